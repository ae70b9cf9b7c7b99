package wire

import (
	"errors"
	"fmt"
	"time"

	"dahliaspindle/routing"
)

// Module converts the settings, which come from the first message of the simulator or
// from the configuration of a platform node, into settings of the routing module.
// Values that make no sense, such as a negative time, are an error.
func (s *Settings) Module(seed uint64) (routing.Settings, error) {
	if len(s.Classes) == 0 {
		return routing.Settings{}, errors.New("no classes in profiles")
	}
	settings := routing.Settings{
		Seed:           seed,
		Self:           -1,
		Me:             s.ControllerNumber,
		Controllers:    s.Controllers,
		Pools:          s.Network.Shape == "skills",
		ReleaseWait:    time.Duration(s.Network.ReleaseTime),
		ResendAfter:    time.Duration(s.Network.ResendAfter),
		DrainGrace:     time.Duration(s.Rules.DrainGrace),
		AnswerSlack:    time.Duration(s.Rules.AnswerSlack),
		ColdFrom:       s.Rules.ColdCapacity,
		ColdFor:        time.Duration(s.Rules.ColdDuration),
		OverloadFactor: s.Rules.OverloadFactor,
		OverloadFor:    time.Duration(s.Rules.OverloadDuration),
		MaxAttempts:    s.Limits.MaxAttempts,
		BackoffMax:     time.Duration(s.Limits.MaxRetryAfter),
		Backoff:        s.Limits.RetryAfter,
		Probing:        s.Limits.Probing,
		Peers:          s.Limits.Peers,
		Cancelling:     s.Limits.Cancelling,
		Advice:         s.Network.RouteAdvice,
		MarksRepeat:    s.Callers.MarksRetry,
		Tick:           time.Duration(s.Tick),
	}
	if s.Network.OwnExchange != nil {
		settings.Self = *s.Network.OwnExchange
	}
	for i, profile := range s.Classes {
		class := routing.Class{
			Name:      profile.Name,
			Worth:     profile.Worth,
			LateWorth: profile.LateWorth,
			Width:     1,
			Aim:       time.Duration(profile.SetUpTarget),
			GiveUp:    time.Duration(profile.Patience),
		}
		if i < len(s.Network.HoldingTimes) {
			class.Holding = time.Duration(s.Network.HoldingTimes[i])
		}
		if i < len(s.Network.CircuitsByClass) {
			class.Width = s.Network.CircuitsByClass[i]
		}
		if i < len(s.Network.PoolsByClass) {
			class.Pools = s.Network.PoolsByClass[i]
		}
		if class.Aim < 0 || class.GiveUp < 0 || class.Holding < 0 || class.Width < 0 || class.Worth < 0 {
			return routing.Settings{}, fmt.Errorf("class %q has a negative value", profile.Name)
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, field := range []struct {
		name     string
		duration time.Duration
	}{
		{"release_ns", settings.ReleaseWait},
		{"t1_ns", settings.ResendAfter},
		{"drain_grace_ns", settings.DrainGrace},
		{"answer_slack_ns", settings.AnswerSlack},
		{"cold_ns", settings.ColdFor},
		{"overload_for_ns", settings.OverloadFor},
		{"max_retry_after_ns", settings.BackoffMax},
		{"quantum_ns", settings.Tick},
	} {
		if field.duration < 0 {
			return routing.Settings{}, fmt.Errorf("%s is negative", field.name)
		}
	}
	return settings, nil
}
