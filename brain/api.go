// Package brain decides admission and routing for one exchange's call control.
//
// This file is its whole interface: what a controller is told (Settings and
// events) and what it asks for (actions). The decisions stand in brain.go.
package brain

import "time"

// Class describes one class of calls.
type Class struct {
	Name      string
	Worth     float64       // worth of a call that stands in time
	LateWorth float64       // share of the worth when it stands late
	Aim       time.Duration // wanted to stand within
	GiveUp    time.Duration // the caller's patience over all tries
	Holding   time.Duration // mean holding time
	Width     int           // circuits taken on each trunk group
	Pools     []int         // pools allowed (pools shape only)
}

// Settings is all that a controller is told at its start.
type Settings struct {
	Seed           uint64
	Self           int  // number of the own exchange, -1 with pools
	Me             int  // number of this controller
	Controllers    int  // how many there are
	Pools          bool // pools of agents in place of a mesh
	Classes        []Class
	ReleaseWait    time.Duration // no resend within this after an unclear end
	ResendAfter    time.Duration // a waiting set-up is repeated after this; 0 never
	DrainGrace     time.Duration
	AnswerSlack    time.Duration
	ColdFrom       float64 // least share of capacity at a processor start
	ColdFor        time.Duration
	OverloadFactor float64 // a cold processor falls over beyond this multiple ...
	OverloadFor    time.Duration
	MaxAttempts    int
	BackoffMax     time.Duration // longest hint that callers honour
	Backoff        bool          // hints reach the callers
	Probing        bool
	Peers          bool
	Cancelling     bool
	Advice         bool
	MarksRepeat    bool // callers mark further tries
	Tick           time.Duration
}

// ExchangeState is what the exchange list says of an exchange.
type ExchangeState int

const (
	InService    ExchangeState = iota // takes calls
	Draining                          // completes what it has
	OutOfService                      // withdrawn
)

// Exchange is one line of the exchange list.
type Exchange struct {
	ID        uint32
	Number    int
	State     ExchangeState
	StartedAt time.Duration // clock time of its latest start, 0 long ago
}

// StatusReport is what an answer or a probe tells of a far exchange.
type StatusReport struct {
	CircuitsKnown           bool // Free and Size are set
	FreeCircuits, GroupSize int  // circuits of the group between here and there
	HasReduction            bool
	Reduction               float64 // share of new set-ups to hold back
}

// Outcome says how an attempt ended.
type Outcome int

const (
	OutcomeCompleted   Outcome = iota // the call has ended after standing
	OutcomeFailed                     // all lines busy, or a signalling fault
	OutcomeRejected                   // turned back or turned away, never ran
	OutcomeTimedOut                   // no timely answer
	OutcomeUnreachable                // never reached, never ran
	OutcomeReset                      // cut
	OutcomeCancelled                  // withdrawn
	OutcomeNotSent                    // not sent, never ran
)

// Note says why, where it is known.
type Note int

const (
	NoteNone                Note = 0
	NoteNoCircuit           Note = 1
	NoteCrankback           Note = 2
	NoteProcessorFull       Note = 3
	NoteLinesBusy           Note = 4
	NoteOnwardProcessorFull Note = 18 // turned back, the onward processor was full
)

// Event is one thing that a controller is told.
type Event interface{ event() }

type (
	// ExchangeListUpdate brings the exchange list or changes to it.
	ExchangeListUpdate struct {
		Complete bool
		Entries  []Exchange
	}
	// Call hands over a call; one final answer is owed from here on.
	Call struct {
		ID              string
		Class           int
		CalledNumber    uint64
		HasCalledNumber bool          // Number is set
		Remaining       time.Duration // until the caller gives this try up
		Destination     int
		Width           int
		Via             int // advice of the centre, or the source of a call in transit
		Transit         bool
		Repeat          bool // marked as a further try
		Reconnect       bool // was cut and comes again
	}
	// CallAbandoned says that the caller left.
	CallAbandoned struct{ CallID string }
	// GroupStatus tells the free circuits of the group towards an exchange.
	GroupStatus struct {
		ExchangeID uint32
		OK         bool
		ProbeReply bool // the answer to a Probe
		Elapsed    time.Duration
		Report     StatusReport
	}
	// CallEstablished says that a call stands.
	CallEstablished struct {
		CallID     string
		Attempt    int
		ExchangeID uint32
		Elapsed    time.Duration
	}
	// AttemptEnded says how an attempt ended.
	AttemptEnded struct {
		CallID     string
		Attempt    int
		ExchangeID uint32
		Outcome    Outcome
		Elapsed    time.Duration
		Final      bool
		Note       Note
		RetryAfter time.Duration // named by a full processor
		Report     StatusReport
	}
	// TimerExpired is the return of a Wake.
	TimerExpired struct{ Token uint64 }
	// PeerMessage brings a message of another controller.
	PeerMessage struct {
		From int
		Data []byte
	}
)

func (ExchangeListUpdate) event() {}
func (Call) event()               {}
func (CallAbandoned) event()      {}
func (GroupStatus) event()        {}
func (CallEstablished) event()    {}
func (AttemptEnded) event()       {}
func (TimerExpired) event()       {}
func (PeerMessage) event()        {}

// Action is one thing that a controller asks for.
type Action interface{ action() }

// Reason is the first half of a verdict.
type Reason string

// Scope is the second: what the reason lies in.
type Scope string

type (
	// StartAttempt sets the call up through an exchange.
	StartAttempt struct {
		CallID     string
		ExchangeID uint32
		Timeout    time.Duration
	}
	// RefuseCall is a final answer; Backoff names a time to come back.
	RefuseCall struct {
		CallID     string
		RetryAfter time.Duration
	}
	// FailCall is a final answer: it failed.
	FailCall struct{ CallID string }
	// CancelAttempt withdraws an attempt.
	CancelAttempt struct {
		CallID  string
		Attempt int
	}
	// SetTimer asks for an Alarm.
	SetTimer struct {
		Token uint64
		Delay time.Duration
	}
	// Verdict records why a call waited, was refused or rerouted.
	Verdict struct {
		CallID         string
		Class          int
		Reason         Reason
		Scope          Scope
		ExchangeNumber int  // exchange or pool concerned
		Count          int  // the how manieth of its reason
		Log            bool // among the few worth a line in the log
	}
)

func (StartAttempt) action()  {}
func (RefuseCall) action()    {}
func (FailCall) action()      {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Verdict) action()       {}
