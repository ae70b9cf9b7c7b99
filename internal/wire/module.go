package wire

import (
	"errors"
	"fmt"
	"time"

	"dahliaspindle/brain"
)

// Module turns the settings that the simulator's first message brings, or a platform's
// configuration, into the module's. The error names what is wrong.
func (s *Settings) Module(seed uint64) (brain.Settings, error) {
	if len(s.Classes) == 0 {
		return brain.Settings{}, errors.New("no classes in profiles")
	}
	b := brain.Settings{
		Seed: seed, Self: -1, Me: s.ControllerNumber, Controllers: s.Controllers, Pools: s.Network.Shape == "skills",
		ReleaseWait: time.Duration(s.Network.ReleaseTime), ResendAfter: time.Duration(s.Network.ResendAfter),
		DrainGrace: time.Duration(s.Rules.DrainGrace), AnswerSlack: time.Duration(s.Rules.AnswerSlack),
		ColdFrom: s.Rules.ColdCapacity, ColdFor: time.Duration(s.Rules.ColdDuration),
		OverloadFactor: s.Rules.OverloadFactor, OverloadFor: time.Duration(s.Rules.OverloadDuration),
		MaxAttempts: s.Limits.MaxAttempts, BackoffMax: time.Duration(s.Limits.MaxRetryAfter), Backoff: s.Limits.RetryAfter,
		Probing: s.Limits.Probing, Peers: s.Limits.Peers, Cancelling: s.Limits.Cancelling,
		Advice: s.Network.RouteAdvice, MarksRepeat: s.Callers.MarksRetry, Tick: time.Duration(s.Tick),
	}
	if s.Network.OwnExchange != nil {
		b.Self = *s.Network.OwnExchange
	}
	for i, p := range s.Classes {
		c := brain.Class{Name: p.Name, Worth: p.Worth, LateWorth: p.LateWorth, Width: 1,
			Aim: time.Duration(p.SetUpTarget), GiveUp: time.Duration(p.Patience)}
		if i < len(s.Network.HoldingTimes) {
			c.Holding = time.Duration(s.Network.HoldingTimes[i])
		}
		if i < len(s.Network.CircuitsByClass) {
			c.Width = s.Network.CircuitsByClass[i]
		}
		if i < len(s.Network.PoolsByClass) {
			c.Pools = s.Network.PoolsByClass[i]
		}
		if c.Aim < 0 || c.GiveUp < 0 || c.Holding < 0 || c.Width < 0 || c.Worth < 0 {
			return brain.Settings{}, fmt.Errorf("class %q has a negative figure", p.Name)
		}
		b.Classes = append(b.Classes, c)
	}
	for _, f := range []struct {
		name string
		d    time.Duration
	}{{"release_ns", b.ReleaseWait}, {"t1_ns", b.ResendAfter}, {"drain_grace_ns", b.DrainGrace},
		{"answer_slack_ns", b.AnswerSlack}, {"cold_ns", b.ColdFor}, {"overload_for_ns", b.OverloadFor},
		{"max_retry_after_ns", b.BackoffMax}, {"quantum_ns", b.Tick}} {
		if f.d < 0 {
			return brain.Settings{}, fmt.Errorf("%s is negative", f.name)
		}
	}
	return b, nil
}
