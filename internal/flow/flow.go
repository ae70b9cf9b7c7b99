// Package flow is what a controller tells of its calls and attempts: records of
// a fixed size, made on the call path without an allocation, and the counts
// that they must add up to.
package flow

import "time"

// Kind of a record.
type Kind uint8

const (
	KindCall    Kind = iota // a call, at its end
	KindAttempt             // an attempt, at its end
	KindInterim             // a call that stands for long: not its end, and in no sum
	KindCount
)

var kindNames = [KindCount]string{"call", "attempt", "interim"}

func (k Kind) String() string { return name(kindNames[:], int(k)) }

// Outcome is how a call or an attempt ended. Calls use the first, attempts the second group.
type Outcome uint8

const (
	CallEnded       Outcome = iota // the call stood to its end
	CallCut                        // stood and was cut
	CallRefused                    // the final answer was a refusal
	CallFailed                     // or a failure
	CallAbandoned                  // the caller left before the answer
	CallEstablished                // interim

	AttemptCompleted   // the attempt stood to the call's end
	AttemptFailed      // lines busy or a fault
	AttemptRejected    // turned back or turned away
	AttemptTimedOut    // no timely answer
	AttemptUnreachable // never reached
	AttemptReset       // cut, before or after it stood
	AttemptCancelled   // withdrawn
	AttemptNotSent     // not sent
	OutcomeCount
)

var outcomeNames = [OutcomeCount]string{"ended", "cut", "refused", "failed", "left", "stands", "done", "error", "full",
	"timed out", "never reached", "reset", "cancelled", "moot"}

func (o Outcome) String() string { return name(outcomeNames[:], int(o)) }

// Route of an attempt.
type Route uint8

const (
	RouteDirect  Route = iota // to the destination, for an own caller
	RouteTandem               // through another exchange
	RouteTransit              // to the destination, for another exchange's call
)

var routeNames = []string{"direct", "tandem", "transit"}

func (r Route) String() string { return name(routeNames, int(r)) }

func name(of []string, i int) string {
	if i < len(of) {
		return of[i]
	}
	return "?"
}

// MaxClasses is how many classes are told apart; further ones count as the last.
const MaxClasses = 16

// Record is one call or attempt. It holds no pointer but to constant words.
type Record struct {
	Seq            uint64        // unique in the life of a controller
	CalledNumber   uint64        // as called; it leaves the controller only hashed
	Start          time.Duration // since 1970
	SetUp          time.Duration // from the start to standing, or to the end of what never stood
	EstablishedFor time.Duration // from standing to the end
	Context        uint32
	Exchange       uint32 // of an attempt
	Source         int32  // number of the exchange that the call comes from
	Dest           int32
	Via            int32  // number of the exchange that it stood over, or was sent to; -1 none
	VerdictNumber  int32  // number that the verdict speaks of
	VerdictReason  string // the module's last word; constants of its own
	VerdictScope   string
	Circuits       uint16
	Kind           Kind
	Class          uint8
	Outcome        Outcome
	Route          Route
	Note           uint8 // of an attempt
	Attempts       uint8 // attempts of a call; number of an attempt
	TandemAttempts uint8 // attempts over a tandem
	Repeat         bool  // marked as a further try, or came again
}

// Counts is what was counted, by kind, class and outcome.
type Counts [KindCount][MaxClasses][OutcomeCount]uint64

// At is the place of a record.
func (c *Counts) At(r *Record) *uint64 {
	return &c[r.Kind][min(r.Class, MaxClasses-1)][r.Outcome]
}

// Sum adds up a kind.
func (c *Counts) Sum(k Kind) uint64 {
	n := uint64(0)
	for i := range c[k] {
		for j := range c[k][i] {
			n += c[k][i][j]
		}
	}
	return n
}

// Sink takes records from the call path. Put must not wait, lock or allocate;
// the record is only lent.
type Sink interface{ Put(r *Record) }
