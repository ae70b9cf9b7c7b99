// Package setup turns a controller's settings into what its core and its module start with.
package setup

import (
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/settings"
)

// ControllerConfig is what a controller core starts with at a time; flows takes its records, nil for none.
func ControllerConfig(now time.Duration, set *settings.Controller, flows flow.Sink) controller.Config {
	b := ModuleSettings(set)
	patience := time.Duration(0)
	for _, c := range set.Classes {
		patience = max(patience, c.Patience)
	}
	return controller.Config{
		Module: policy.New(set.Policy, b), Classes: b.Classes, ExchangeNumber: set.Self, ControllerNumber: set.Number,
		MaxCalls: set.Limits.Calls, MaxPendingPerCaller: set.Limits.PerPeer, MaxExchanges: set.Limits.Exchanges,
		LinkTimeout: set.Peers.Connect, ShutdownGrace: set.Limits.Leave,
		Liveness:     guard.Liveness{ProbeAfter: set.Peers.SignAfter, LostAfter: set.Peers.LostAfter},
		ReleaseRetry: guard.ReleaseRetry{Interval: set.Peers.Release, MaxRequests: set.Peers.Releases},
		FaultLimit:   guard.FaultLimiter{Burst: set.Limits.Faults, ForgiveEvery: 100 * time.Millisecond},
		FlowSink:     flows, InterimInterval: set.Flows.Interim,
		TrafficMeter: measure.NewLive(now, set.Limits.Measure, patience),
	}
}

// ModuleSettings is what the decision module starts with, from the settings.
func ModuleSettings(set *settings.Controller) brain.Settings {
	b := brain.Settings{Seed: set.Seed, Self: set.Self, Me: set.Number, Controllers: set.Controllers,
		ReleaseWait: set.Rules.Release, ResendAfter: set.Rules.ResendAfter, DrainGrace: set.Rules.DrainGrace,
		AnswerSlack: set.Rules.AnswerSlack, ColdFrom: set.Rules.ColdFrom, ColdFor: set.Rules.ColdFor,
		OverloadFactor: set.Rules.OverloadFactor, OverloadFor: set.Rules.OverloadFor, MaxAttempts: set.Rules.Attempts,
		BackoffMax: set.Rules.BackoffMost, Backoff: set.Rules.BackoffMost > 0, Cancelling: true,
		Advice: set.Rules.Advice, MarksRepeat: set.Rules.MarksRepeat, Tick: time.Millisecond}
	for _, c := range set.Classes {
		b.Classes = append(b.Classes, brain.Class{Name: c.Name, Worth: c.Worth, LateWorth: c.LateWorth, Aim: c.Aim,
			GiveUp: c.Patience, Holding: c.Holding, Width: c.Circuits})
	}
	return b
}
