package routing

import "time"

// Class describes one class of calls.
type Class struct {
	Name      string
	Worth     float64       // value of a call established within the aim
	LateWorth float64       // share of Worth that a call established later is worth
	Aim       time.Duration // time within which a call should be established
	GiveUp    time.Duration // how long a caller keeps trying, over all attempts
	Holding   time.Duration // mean holding time
	Width     int           // circuits that a call takes on each trunk group
	Pools     []int         // pools that may serve the class, used only with Settings.Pools
}

// Settings configures a [Controller].
type Settings struct {
	Seed           uint64        // of the random numbers
	Self           int           // number of the own exchange, -1 with Pools
	Me             int           // number of this controller
	Controllers    int           // number of controllers
	Pools          bool          // the network is a set of agent pools instead of a mesh of exchanges
	Classes        []Class       // indexed by Call.Class
	ReleaseWait    time.Duration // release time: no retry within this after an unclear end of an attempt
	ResendAfter    time.Duration // an unanswered set-up is repeated after this, 0 for never
	DrainGrace     time.Duration // how long after the start of a drain an exchange may still get set-ups
	AnswerSlack    time.Duration // allowed delay of a final answer after the caller's deadline
	ColdFrom       float64       // least share of its capacity that a cold processor starts with
	ColdFor        time.Duration // time that a cold processor takes to reach its full capacity
	OverloadFactor float64       // a cold processor fails at a load of this multiple of its capacity ...
	OverloadFor    time.Duration // ... that lasts this long
	MaxAttempts    int           // per call
	BackoffMax     time.Duration // longest RefuseCall.RetryAfter that callers honour
	Backoff        bool          // RefuseCall.RetryAfter reaches the callers
	Probing        bool          // exchanges can be probed
	Peers          bool          // messages between controllers are delivered
	Cancelling     bool          // CancelAttempt is supported
	Advice         bool          // calls carry routing advice in Call.Via
	MarksRepeat    bool          // callers mark repeated attempts in Call.Repeat
	Tick           time.Duration // resolution of time
}

// ExchangeState is the service state of an exchange in the exchange list.
type ExchangeState int

// Service states of an exchange.
const (
	InService    ExchangeState = iota // accepts calls
	Draining                          // completes its calls and accepts no new ones
	OutOfService                      // withdrawn
)

// Exchange is an entry of the exchange list.
type Exchange struct {
	ID        uint32 // identifies one start of the exchange
	Number    int    // remains the same over restarts
	State     ExchangeState
	StartedAt time.Duration // time of the latest start, 0 if it was long ago
}

// StatusReport is the state of a peer exchange and of the trunk group towards
// it, as reported in an answer or in the reply to a probe.
type StatusReport struct {
	CircuitsKnown           bool // FreeCircuits and GroupSize are set
	FreeCircuits, GroupSize int
	HasReduction            bool    // Reduction is set
	Reduction               float64 // share of new set-ups to hold back
}

// Outcome is the way in which an attempt or an established call ended.
type Outcome int

// Outcomes of attempts.
const (
	OutcomeCompleted   Outcome = iota // the call was established and has ended
	OutcomeFailed                     // all lines of the number were busy, or signalling failed
	OutcomeRejected                   // rejected or cranked back, without being set up
	OutcomeTimedOut                   // no answer in time
	OutcomeUnreachable                // the exchange was not reached; the call was not set up
	OutcomeReset                      // cut off
	OutcomeCancelled                  // withdrawn
	OutcomeNotSent                    // no set-up was sent
)

// Note is the cause of an outcome.
type Note int

// Causes of outcomes.
const (
	NoteNone                Note = 0  // unknown
	NoteNoCircuit           Note = 1  // no free circuit in the group
	NoteCrankback           Note = 2  // cranked back by the tandem
	NoteProcessorFull       Note = 3  // the processor accepted no more
	NoteLinesBusy           Note = 4  // all lines of the called number were busy
	NoteOnwardProcessorFull Note = 18 // cranked back because the processor behind the tandem was full
)

// Event is an input to [Controller.Handle].
type Event interface{ event() }

type (
	// ExchangeListUpdate is the exchange list or a change of it.
	ExchangeListUpdate struct {
		Complete bool // Entries is the whole list
		Entries  []Exchange
	}
	// Call offers a call. The controller owes it exactly one final answer.
	Call struct {
		ID              string
		Class           int    // index into Settings.Classes
		CalledNumber    uint64 // valid if HasCalledNumber is set
		HasCalledNumber bool
		Remaining       time.Duration // until the caller abandons this attempt
		Destination     int           // exchange number
		Width           int           // circuits needed on each trunk group
		Via             int           // tandem advised for an own call, source exchange of a transit call
		Transit         bool          // this exchange is the tandem of the call
		Repeat          bool          // marked by the caller as a repeated attempt
		Reconnect       bool          // the call was cut off and is set up again
	}
	// CallAbandoned reports that the caller has left.
	CallAbandoned struct{ CallID string }
	// GroupStatus reports the state of an exchange and of the group towards it.
	GroupStatus struct {
		ExchangeID uint32
		OK         bool // Report was received
		ProbeReply bool // the report answers a probe
		Elapsed    time.Duration
		Report     StatusReport
	}
	// CallEstablished reports that an attempt succeeded.
	CallEstablished struct {
		CallID     string
		Attempt    int // of the call, counted from 0
		ExchangeID uint32
		Elapsed    time.Duration // since the set-up was sent
	}
	// AttemptEnded reports the end of an attempt or of an established call.
	AttemptEnded struct {
		CallID     string
		Attempt    int // of the call, counted from 0
		ExchangeID uint32
		Outcome    Outcome
		Elapsed    time.Duration
		Final      bool // the call is over
		Note       Note
		RetryAfter time.Duration // requested by a full processor
		Report     StatusReport
	}
	// TimerExpired reports the expiry of a timer set by SetTimer.
	TimerExpired struct{ Token uint64 }
	// PeerMessage is a message from another controller.
	PeerMessage struct {
		From int // number of the controller
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

// Action is a request of the controller to its environment.
type Action interface{ action() }

// Reason is why a verdict was reached. The values are texts for operators.
type Reason string

// Scope is the part of the network or of the call that a [Reason] applies to.
// The values are texts for operators.
type Scope string

type (
	// StartAttempt sets the call up through an exchange.
	StartAttempt struct {
		CallID     string
		ExchangeID uint32
		Timeout    time.Duration
	}
	// RefuseCall is the final answer that the call is refused.
	RefuseCall struct {
		CallID     string
		RetryAfter time.Duration // suggested time before the caller's next attempt, 0 for none
	}
	// FailCall is the final answer that the call has failed.
	FailCall struct{ CallID string }
	// CancelAttempt withdraws an attempt.
	CancelAttempt struct {
		CallID  string
		Attempt int
	}
	// SetTimer requests a TimerExpired with the same token.
	SetTimer struct {
		Token uint64
		Delay time.Duration
	}
	// Verdict records why a call had to wait, was refused, failed or was rerouted.
	Verdict struct {
		CallID         string
		Class          int
		Reason         Reason
		Scope          Scope
		ExchangeNumber int  // exchange or pool concerned
		Count          int  // verdicts with this reason so far, this one included
		Log            bool // worth an entry in the log
	}
)

func (StartAttempt) action()  {}
func (RefuseCall) action()    {}
func (FailCall) action()      {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Verdict) action()       {}
