// Package setup converts the settings of a controller into the configurations of its
// core and its routing module.
package setup

import (
	"time"

	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/settings"
	"dahliaspindle/routing"
)

// ControllerConfig returns the configuration of a controller core that starts at the
// given time. flows receives the controller's flow records and may be nil.
func ControllerConfig(now time.Duration, set *settings.Controller, flows flow.Sink) controller.Config {
	module := ModuleSettings(set)
	patience := time.Duration(0)
	for _, class := range set.Classes {
		patience = max(patience, class.Patience)
	}
	return controller.Config{
		Module:              policy.New(set.Policy, module),
		Classes:             module.Classes,
		ExchangeNumber:      set.Self,
		ControllerNumber:    set.Number,
		MaxCalls:            set.Limits.Calls,
		MaxPendingPerCaller: set.Limits.TransactionsPerPeer,
		MaxExchanges:        set.Limits.Exchanges,
		LinkTimeout:         set.Peers.ConnectWait,
		ShutdownGrace:       set.Limits.ShutdownGrace,
		Liveness:            guard.Liveness{ProbeAfter: set.Peers.ProbeAfter, LostAfter: set.Peers.LostAfter},
		ReleaseRetry:        guard.ReleaseRetry{Interval: set.Peers.ReleaseRetryAfter, MaxRequests: set.Peers.MaxReleaseAttempts},
		FaultLimit:          guard.FaultLimiter{Burst: set.Limits.UnreadableMessages, ForgiveEvery: 100 * time.Millisecond},
		FlowSink:            flows,
		InterimInterval:     set.Flows.InterimInterval,
		TrafficMeter:        measure.NewMeter(now, set.Limits.MeasurementPeriod, patience),
	}
}

// ModuleSettings returns the settings of the routing module.
func ModuleSettings(set *settings.Controller) routing.Settings {
	module := routing.Settings{
		Seed:           set.Seed,
		Self:           set.Self,
		Me:             set.Number,
		Controllers:    set.Controllers,
		ReleaseWait:    set.Rules.ReleaseTime,
		ResendAfter:    set.Rules.ResendAfter,
		DrainGrace:     set.Rules.DrainGrace,
		AnswerSlack:    set.Rules.AnswerSlack,
		ColdFrom:       set.Rules.ColdCapacity,
		ColdFor:        set.Rules.ColdDuration,
		OverloadFactor: set.Rules.OverloadFactor,
		OverloadFor:    set.Rules.OverloadDuration,
		MaxAttempts:    set.Rules.MaxAttempts,
		BackoffMax:     set.Rules.MaxBackoff,
		Backoff:        set.Rules.MaxBackoff > 0,
		Cancelling:     true,
		Advice:         set.Rules.RouteAdvice,
		MarksRepeat:    set.Rules.CallersMarkRetries,
		Tick:           time.Millisecond,
	}
	for _, class := range set.Classes {
		module.Classes = append(module.Classes, routing.Class{
			Name:      class.Name,
			Worth:     class.Worth,
			LateWorth: class.LateWorth,
			Aim:       class.SetUpTarget,
			GiveUp:    class.Patience,
			Holding:   class.HoldingTime,
			Width:     class.Circuits,
		})
	}
	return module
}
