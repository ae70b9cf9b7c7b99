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

// State is what the exchange list says of an exchange.
type State int

const (
	In       State = iota // takes calls
	Draining              // completes what it has
	Out                   // withdrawn
)

// Exchange is one line of the exchange list.
type Exchange struct {
	ID    uint32
	Cell  int
	State State
	Since time.Duration // clock time of its latest start, 0 long ago
}

// Report is what an answer or a probe tells of a far exchange.
type Report struct {
	Known      bool // Free and Size are set
	Free, Size int  // circuits of the group between here and there
	HasEps     bool
	Eps        float64 // share of new set-ups to hold back
}

// Outcome says how an attempt ended.
type Outcome int

const (
	OK        Outcome = iota // the call has ended after standing
	Failed                   // all lines busy, or a signalling fault
	Full                     // turned back or turned away, never ran
	TimedOut                 // no timely answer
	NoConnect                // never reached, never ran
	Reset                    // cut
	Cancelled                // withdrawn
	Moot                     // not sent, never ran
)

// Note says why, where it is known.
type Note int

const (
	NoNote       Note = 0
	NoCircuit    Note = 1
	TurnedBack   Note = 2
	ProcFull     Note = 3
	LinesBusy    Note = 4
	DestProcFull Note = 18 // turned back, the onward processor was full
)

// Event is one thing that a controller is told.
type Event interface{ event() }

type (
	// Exchanges brings the exchange list or changes to it.
	Exchanges struct {
		Complete bool
		Entries  []Exchange
	}
	// Call hands over a call; one final answer is owed from here on.
	Call struct {
		ID       string
		Class    int
		Number   uint64
		Numbered bool          // Number is set
		Left     time.Duration // until the caller gives this try up
		Dest     int
		Width    int
		Through  int // advice of the centre, or the source of a call in transit
		Transit  bool
		Repeat   bool // marked as a further try
		Again    bool // was cut and comes again
	}
	// CallGone says that the caller left.
	CallGone struct{ ID string }
	// Circuits tells the free circuits of the group towards an exchange.
	Circuits struct {
		Exchange uint32
		OK       bool
		Asked    bool // the answer to a Probe
		After    time.Duration
		Report   Report
	}
	// Standing says that a call stands.
	Standing struct {
		ID       string
		Attempt  int
		Exchange uint32
		After    time.Duration
	}
	// Ended says how an attempt ended.
	Ended struct {
		ID       string
		Attempt  int
		Exchange uint32
		Outcome  Outcome
		After    time.Duration
		Final    bool
		Note     Note
		Wait     time.Duration // named by a full processor
		Report   Report
	}
	// Alarm is the return of a Wake.
	Alarm struct{ Token uint64 }
	// Peer brings a message of another controller.
	Peer struct {
		From int
		Data []byte
	}
)

func (Exchanges) event() {}
func (Call) event()      {}
func (CallGone) event()  {}
func (Circuits) event()  {}
func (Standing) event()  {}
func (Ended) event()     {}
func (Alarm) event()     {}
func (Peer) event()      {}

// Action is one thing that a controller asks for.
type Action interface{ action() }

// Reason is the first half of a verdict.
type Reason string

// Scope is the second: what the reason lies in.
type Scope string

type (
	// Send sets the call up through an exchange.
	Send struct {
		ID       string
		Exchange uint32
		Timeout  time.Duration
	}
	// Refuse is a final answer; Backoff names a time to come back.
	Refuse struct {
		ID      string
		Backoff time.Duration
	}
	// GiveUp is a final answer: it failed.
	GiveUp struct{ ID string }
	// Cancel withdraws an attempt.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Wake asks for an Alarm.
	Wake struct {
		Token uint64
		After time.Duration
	}
	// Verdict records why a call waited, was refused or rerouted.
	Verdict struct {
		ID     string
		Class  int
		Reason Reason
		Scope  Scope
		Cell   int  // exchange or pool concerned
		Nth    int  // the how manieth of its reason
		Log    bool // among the few worth a line in the log
	}
)

func (Send) action()    {}
func (Refuse) action()  {}
func (GiveUp) action()  {}
func (Cancel) action()  {}
func (Wake) action()    {}
func (Verdict) action() {}
