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
		MaxCalls: set.Limits.Calls, MaxPendingPerCaller: set.Limits.TransactionsPerPeer, MaxExchanges: set.Limits.Exchanges,
		LinkTimeout: set.Peers.ConnectWait, ShutdownGrace: set.Limits.ShutdownGrace,
		Liveness:     guard.Liveness{ProbeAfter: set.Peers.ProbeAfter, LostAfter: set.Peers.LostAfter},
		ReleaseRetry: guard.ReleaseRetry{Interval: set.Peers.ReleaseRetryAfter, MaxRequests: set.Peers.MaxReleaseAttempts},
		FaultLimit:   guard.FaultLimiter{Burst: set.Limits.UnreadableMessages, ForgiveEvery: 100 * time.Millisecond},
		FlowSink:     flows, InterimInterval: set.Flows.InterimInterval,
		TrafficMeter: measure.NewLive(now, set.Limits.MeasurementPeriod, patience),
	}
}

// ModuleSettings is what the decision module starts with, from the settings.
func ModuleSettings(set *settings.Controller) brain.Settings {
	b := brain.Settings{Seed: set.Seed, Self: set.Self, Me: set.Number, Controllers: set.Controllers,
		ReleaseWait: set.Rules.ReleaseTime, ResendAfter: set.Rules.ResendAfter, DrainGrace: set.Rules.DrainGrace,
		AnswerSlack: set.Rules.AnswerSlack, ColdFrom: set.Rules.ColdCapacity, ColdFor: set.Rules.ColdDuration,
		OverloadFactor: set.Rules.OverloadFactor, OverloadFor: set.Rules.OverloadDuration, MaxAttempts: set.Rules.MaxAttempts,
		BackoffMax: set.Rules.MaxBackoff, Backoff: set.Rules.MaxBackoff > 0, Cancelling: true,
		Advice: set.Rules.RouteAdvice, MarksRepeat: set.Rules.CallersMarkRetries, Tick: time.Millisecond}
	for _, c := range set.Classes {
		b.Classes = append(b.Classes, brain.Class{Name: c.Name, Worth: c.Worth, LateWorth: c.LateWorth, Aim: c.SetUpTarget,
			GiveUp: c.Patience, Holding: c.HoldingTime, Width: c.Circuits})
	}
	return b
}
