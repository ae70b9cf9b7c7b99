// Package flow defines the flow records that a controller exports about its
// calls and attempts, their IPFIX encoding, and the counts that the records must
// add up to. A record has a fixed size and is made on the call path without an
// allocation.
package flow

import "time"

// Kind is the kind of a record.
type Kind uint8

const (
	KindCall    Kind = iota // a call that has ended
	KindAttempt             // an attempt that has ended
	KindInterim             // a long call that is still established; not part of any sum
	KindCount               // number of kinds
)

var kindNames = [KindCount]string{"call", "attempt", "interim"}

// String returns the name of the kind, as exported records and reports write it.
func (k Kind) String() string { return nameOf(kindNames[:], int(k)) }

// Outcome is how a call or an attempt ended. The first group of constants is for
// calls, the second for attempts.
type Outcome uint8

const (
	CallEnded       Outcome = iota // the call was established and ended normally
	CallCut                        // the call was established and then cut
	CallRefused                    // the caller's final answer was a refusal
	CallFailed                     // the caller's final answer was a failure
	CallAbandoned                  // the caller abandoned the call before the answer
	CallEstablished                // the call is still established (KindInterim)

	AttemptCompleted   // the call was established by this attempt and ended normally
	AttemptFailed      // lines busy or another fault
	AttemptRejected    // crankback, or rejected by the exchange
	AttemptTimedOut    // no answer in time
	AttemptUnreachable // the exchange was never reached
	AttemptReset       // cut, before or after the call was established
	AttemptCancelled   // the set-up was cancelled
	AttemptNotSent     // the set-up was not sent
	OutcomeCount       // number of outcomes
)

var outcomeNames = [OutcomeCount]string{"ended", "cut", "refused", "failed", "left", "stands", "done", "error", "full",
	"timed out", "never reached", "reset", "cancelled", "moot"}

// String returns the name of the outcome, as exported records and reports write it.
func (o Outcome) String() string { return nameOf(outcomeNames[:], int(o)) }

// Route is the kind of route of a call or an attempt.
type Route uint8

const (
	RouteDirect  Route = iota // to the destination, for a caller of the own exchange
	RouteTandem               // through a tandem exchange
	RouteTransit              // to the destination, for a call of another exchange
)

var routeNames = []string{"direct", "tandem", "transit"}

// String returns the name of the route, as exported records write it.
func (r Route) String() string { return nameOf(routeNames, int(r)) }

// nameOf returns names[i], or "?" for a value without a name.
func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return "?"
}

// MaxClasses is the number of call classes that are counted separately. Further
// classes are counted as the last one.
const MaxClasses = 16

// Record describes one call or attempt. Its only pointers are those of strings
// that are constants, so that a copy of it needs no allocation.
type Record struct {
	Seq            uint64        // unique within one incarnation of a controller
	CalledNumber   uint64        // exported only as a hash
	Start          time.Duration // when the call or attempt began, since 1970
	SetUp          time.Duration // from Start until established, or until the end if never established
	EstablishedFor time.Duration // from established until the end
	Context        uint32
	Exchange       uint32 // ID of an attempt's exchange
	Source         int32  // number of the exchange that the call came from
	Dest           int32
	Via            int32  // number of the exchange that the call was sent to, or -1
	VerdictNumber  int32  // number of the exchange that the verdict names
	VerdictReason  string // from the routing module's final verdict; a constant
	VerdictScope   string
	Circuits       uint16
	Kind           Kind
	Class          uint8
	Outcome        Outcome
	Route          Route
	Note           uint8 // failure note of an attempt
	Attempts       uint8 // number of attempts of a call, or the number of an attempt within its call
	TandemAttempts uint8 // attempts through a tandem
	Repeat         bool  // marked as a retry by the caller, or recognised as a repeated call
}

// Counts holds numbers of records by kind, class and outcome.
type Counts [KindCount][MaxClasses][OutcomeCount]uint64

// At returns the counter for the kind, class and outcome of a record.
func (c *Counts) At(record *Record) *uint64 {
	return &c[record.Kind][min(record.Class, MaxClasses-1)][record.Outcome]
}

// Sum returns the number of records of a kind.
func (c *Counts) Sum(kind Kind) uint64 {
	total := uint64(0)
	for class := range c[kind] {
		for outcome := range c[kind][class] {
			total += c[kind][class][outcome]
		}
	}
	return total
}

// Sink takes records from the call path. Put must not wait, lock or allocate, and
// must not keep the record after it returns.
type Sink interface{ Put(r *Record) }
