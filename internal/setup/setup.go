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

// Core is what a controller core starts with at a time; flows takes its records, nil for none.
func Core(now time.Duration, set *settings.Controller, flows flow.Sink) controller.Config {
	b := Module(set)
	patience := time.Duration(0)
	for _, c := range set.Classes {
		patience = max(patience, c.Patience)
	}
	return controller.Config{
		Module: policy.New(set.Policy, b), Classes: b.Classes, Self: set.Self, Number: set.Number,
		MostCalls: set.Limits.Calls, MostPerPeer: set.Limits.PerPeer, MostRoutes: set.Limits.Exchanges,
		Connect: set.Peers.Connect, StandingLeft: set.Limits.Leave,
		Life:    guard.Liveness{ProbeAfter: set.Peers.SignAfter, LostAfter: set.Peers.LostAfter},
		Release: guard.ReleaseRetry{Interval: set.Peers.Release, MaxRequests: set.Peers.Releases},
		Faults:  guard.FaultLimiter{Burst: set.Limits.Faults, ForgiveEvery: 100 * time.Millisecond},
		Flows:   flows, Interim: set.Flows.Interim,
		Traffic: measure.NewLive(now, set.Limits.Measure, patience),
	}
}

// Module is what the decision module starts with, from the settings.
func Module(set *settings.Controller) brain.Settings {
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
