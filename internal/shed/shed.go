// Package shed decides what becomes of flow records when more come than can be
// sent: which go whole, which are folded into sums and which are dropped. It is
// free of I/O and clocks.
//
// The order of loss: attempts before calls, cheap before dear, and within a
// level those of far ends that take more than their share before the others.
// Nothing is dropped while it can still be folded: a fold keeps the counts and
// loses the particulars.
package shed

import (
	"time"

	"dahliaspindle/internal/flow"
)

// Decision on one record.
type Decision uint8

const (
	Send Decision = iota
	Fold
	Drop
)

// Level is how much is shed.
type Level int

const (
	LevelNone             Level = iota // all whole
	LevelLowValueAttempts              // attempts of cheap classes are folded
	LevelAttempts                      // all attempts
	LevelLowValueCalls                 // and calls of cheap classes
	LevelMostCalls                     // and all calls but a share of the dear ones
	LevelCount
)

func (l Level) String() string {
	return [...]string{"none", "cheap attempts", "attempts", "cheap calls", "most calls"}[l]
}

// Config of a shedder.
type Config struct {
	ClassWorth       []float64     // by class; above the mean is dear
	MaxRecordRate    float64       // records a second that may go whole in the long run, at MostCalls
	MaxAge           time.Duration // a record that waits longer counts as full pressure
	MinLevelDuration time.Duration // a level is kept at least so long before it falls by one
	MaxSums          int           // sums kept at the same time
}

// State is what a shedder looks at.
type State struct {
	QueueLength, QueueCapacity int           // records waiting
	OldestAge                  time.Duration // age of the first
	Reachable                  bool          // a collector takes records
	SpoolBytes, MaxSpoolBytes  int64         // bytes
}

// The pressure from which each level is taken, and below which it is left: the
// gap keeps it from flapping.
var (
	riseThresholds = [LevelCount]float64{0, 0.40, 0.55, 0.70, 0.85}
	fallThresholds = [LevelCount]float64{0, 0.20, 0.35, 0.50, 0.65}
)

// Pressure is how near the records are to being lost, from 0 to 1. While no
// collector is reachable the spool is what can run full.
func (c Config) Pressure(state State) float64 {
	pressure := 0.0
	if state.QueueCapacity > 0 {
		pressure = float64(state.QueueLength) / float64(state.QueueCapacity)
	}
	if c.MaxAge > 0 && state.Reachable {
		pressure = max(pressure, float64(state.OldestAge)/float64(c.MaxAge))
	}
	if !state.Reachable && state.MaxSpoolBytes > 0 {
		pressure = max(pressure, float64(state.SpoolBytes)/float64(state.MaxSpoolBytes))
	}
	return min(pressure, 1)
}

// Shedder decides record by record.
type Shedder struct {
	config      Config
	level       Level
	levelSince  time.Duration // of the level
	highValue   []bool
	windowStart time.Duration // start of the fair shares' window
	sentByDest  map[int32]float64
	activeDests int // far ends seen in the last window
	tokens      float64
	updatedAt   time.Duration
	LevelRises  int // times that a level was taken
}

// shareWindow is the span over which far ends' shares are counted.
const shareWindow = time.Second

// maxTrackedDests bounds the far ends told apart in a window.
const maxTrackedDests = 4096

// New starts a shedder at level None.
func New(config Config) *Shedder {
	s := &Shedder{config: config, sentByDest: map[int32]float64{}, activeDests: 1, tokens: config.MaxRecordRate}
	mean := 0.0
	for _, worth := range config.ClassWorth {
		mean += worth / float64(len(config.ClassWorth))
	}
	for _, worth := range config.ClassWorth {
		s.highValue = append(s.highValue, worth > mean)
	}
	return s
}

// Level is the level in force.
func (s *Shedder) Level() Level { return s.level }

// Update takes a new view of the pressure. A level rises at once, over several if
// need be, and falls one at a time after Hold.
func (s *Shedder) Update(now time.Duration, state State) Level {
	pressure := s.config.Pressure(state)
	for s.level < LevelCount-1 && pressure >= riseThresholds[s.level+1] {
		s.level++
		s.levelSince = now
		s.LevelRises++
	}
	if s.level > LevelNone && pressure < fallThresholds[s.level] && now-s.levelSince >= s.config.MinLevelDuration {
		s.level--
		s.levelSince = now
	}
	if now-s.windowStart >= shareWindow {
		s.windowStart, s.activeDests = now, max(len(s.sentByDest), 1)
		clear(s.sentByDest)
	}
	s.tokens = min(s.tokens+s.config.MaxRecordRate*(now-s.updatedAt).Seconds(), s.config.MaxRecordRate)
	s.updatedAt = now
	return s.level
}

// Decide tells what becomes of a record. folds is the number of sums in use and
// known whether the record's own is among them.
func (s *Shedder) Decide(record *flow.Record, sumCount int, sumExists bool) Decision {
	if s.shouldSend(record) {
		if len(s.sentByDest) < maxTrackedDests {
			s.sentByDest[record.Dest]++
		}
		s.tokens--
		return Send
	}
	if sumExists || sumCount < s.config.MaxSums {
		return Fold
	}
	return Drop
}

func (s *Shedder) shouldSend(record *flow.Record) bool {
	level := s.level
	if level > LevelNone && level < LevelMostCalls && s.exceedsShare(record.Dest) {
		level++ // more than its share: as if the pressure were a level higher
	}
	highValue := int(record.Class) < len(s.highValue) && s.highValue[record.Class]
	isAttempt := record.Kind == flow.KindAttempt
	switch level {
	case LevelNone:
		return true
	case LevelLowValueAttempts:
		return !isAttempt || highValue
	case LevelAttempts:
		return !isAttempt
	case LevelLowValueCalls:
		return !isAttempt && highValue
	}
	return !isAttempt && highValue && s.tokens >= 1 && !s.exceedsShare(record.Dest)
}

// exceedsShare tells whether a far end has had more than its share of the window's
// whole records: an even part of the budget.
func (s *Shedder) exceedsShare(dest int32) bool {
	return s.sentByDest[dest] > s.config.MaxRecordRate*shareWindow.Seconds()/float64(s.activeDests)
}

// Key of a sum.
type Key struct {
	Kind    flow.Kind
	Class   uint8
	Outcome flow.Outcome
	Dest    int32
}

// KeyFor is the sum that a record is folded into.
func KeyFor(record *flow.Record) Key {
	return Key{record.Kind, record.Class, record.Outcome, record.Dest}
}

// Sum is what is left of folded records.
type Sum struct {
	Count                 uint64
	FirstStart, LastStart time.Duration // starts
	SetUp, EstablishedFor time.Duration // added up
	Attempts              uint64
}

// Add folds a record in.
func (s *Sum) Add(record *flow.Record) {
	if s.Count == 0 {
		s.FirstStart = record.Start
	}
	s.Count++
	s.FirstStart, s.LastStart = min(s.FirstStart, record.Start), max(s.LastStart, record.Start)
	s.SetUp += record.SetUp
	s.EstablishedFor += record.EstablishedFor
	s.Attempts += uint64(record.Attempts)
}
