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
	if len(s.Profiles) == 0 {
		return brain.Settings{}, errors.New("no classes in profiles")
	}
	b := brain.Settings{
		Seed: seed, Self: -1, Me: s.Me, Controllers: s.Balancers, Pools: s.Domain.Shape == "skills",
		ReleaseWait: time.Duration(s.Domain.Release), ResendAfter: time.Duration(s.Domain.T1),
		DrainGrace: time.Duration(s.Rules.DrainGrace), AnswerSlack: time.Duration(s.Rules.AnswerSlack),
		ColdFrom: s.Rules.ColdFrom, ColdFor: time.Duration(s.Rules.Cold),
		OverloadFactor: s.Rules.OverloadFactor, OverloadFor: time.Duration(s.Rules.OverloadFor),
		MaxAttempts: s.Limits.Attempts, BackoffMax: time.Duration(s.Limits.RetryMax), Backoff: s.Limits.RetryAfter,
		Probing: s.Limits.Probing, Peers: s.Limits.Peers, Cancelling: s.Limits.Cancelling,
		Advice: s.Domain.Advice, MarksRepeat: s.Clients.MarksRetry, Tick: time.Duration(s.Quantum),
	}
	if s.Domain.Self != nil {
		b.Self = *s.Domain.Self
	}
	for i, p := range s.Profiles {
		c := brain.Class{Name: p.Name, Worth: p.Worth, LateWorth: p.LateWorth, Width: 1,
			Aim: time.Duration(p.Objective), GiveUp: time.Duration(p.GiveUp)}
		if i < len(s.Domain.CallLength) {
			c.Holding = time.Duration(s.Domain.CallLength[i])
		}
		if i < len(s.Domain.Circuits) {
			c.Width = s.Domain.Circuits[i]
		}
		if i < len(s.Domain.Pools) {
			c.Pools = s.Domain.Pools[i]
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
