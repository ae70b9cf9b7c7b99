// Package shed implements load shedding of flow records. When there are more
// records than can be sent, it decides which are sent one by one, which are folded
// into sums and which are dropped. It does no I/O and reads no clock.
//
// Attempts are shed before calls and low-value classes before high-value classes.
// Destinations that exceed their fair share of the records are shed one level
// earlier than the others. A record is dropped only if it can't be folded, since a
// sum preserves the counts and loses only the details.
package shed

import (
	"time"

	"dahliaspindle/internal/flow"
)

// Decision is the decision on one record.
type Decision uint8

const (
	Send Decision = iota // send the record itself
	Fold                 // add the record to a sum
	Drop                 // only count the record as dropped
)

// Level is the degree of load shedding. Each level also sheds what the lower ones do.
type Level int

const (
	LevelNone             Level = iota // all records are sent
	LevelLowValueAttempts              // attempts of low-value classes are shed
	LevelAttempts                      // all attempts are shed
	LevelLowValueCalls                 // calls of low-value classes are shed
	LevelMostCalls                     // all calls are shed but a limited rate of high-value ones
	LevelCount                         // number of levels
)

// String returns the name of the level.
func (l Level) String() string {
	return [...]string{"none", "low-value attempts", "attempts", "low-value calls", "most calls"}[l]
}

// Config is the configuration of a Shedder.
type Config struct {
	ClassWorth       []float64     // by class; classes above the mean are high-value
	MaxRecordRate    float64       // records per second sent at LevelMostCalls, and divided into fair shares
	MaxAge           time.Duration // age of the oldest queued record that counts as full pressure
	MinLevelDuration time.Duration // time at a level before it falls by one
	MaxSums          int           // concurrent sums
}

// State is the state of the queue and the spool that the pressure is computed from.
type State struct {
	QueueLength, QueueCapacity int           // records
	OldestAge                  time.Duration // age of the oldest queued record
	Reachable                  bool          // a collector is connected
	SpoolBytes, MaxSpoolBytes  int64
}

// The pressure at which each level is entered, and below which it is left. The gap
// between the two prevents flapping.
var (
	riseThresholds = [LevelCount]float64{0, 0.40, 0.55, 0.70, 0.85}
	fallThresholds = [LevelCount]float64{0, 0.20, 0.35, 0.50, 0.65}
)

// Pressure returns how close records are to being lost, from 0 to 1. While no
// collector is reachable, the fill level of the spool counts instead of the age
// of the queue.
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

// Shedder decides for each record whether it is sent, folded or dropped.
type Shedder struct {
	config      Config
	level       Level
	levelSince  time.Duration
	highValue   []bool            // by class
	windowStart time.Duration     // start of the window of the fair shares
	sentByDest  map[int32]float64 // records sent in the window
	activeDests int               // destinations with records sent in the previous window
	tokens      float64           // records that may be sent at LevelMostCalls
	updatedAt   time.Duration
	LevelRises  int // number of level increases
}

// shareWindow is the time over which the shares of destinations are counted.
const shareWindow = time.Second

// maxTrackedDests limits sentByDest.
const maxTrackedDests = 4096

// New returns a shedder at LevelNone.
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

// Level returns the current level.
func (s *Shedder) Level() Level { return s.level }

// Update adjusts the level to the pressure and returns it. The level rises at once,
// by several levels if necessary, and falls by one after MinLevelDuration.
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

// Decide decides about a record. sumCount is the number of sums in use, and
// sumExists whether the sum for the record's key is one of them.
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

// shouldSend reports whether a record is sent at the current level.
func (s *Shedder) shouldSend(record *flow.Record) bool {
	level := s.level
	if level > LevelNone && level < LevelMostCalls && s.exceedsShare(record.Dest) {
		level++ // destinations above their share are treated as one level higher
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

// exceedsShare reports whether more records of a destination were sent in the
// window than its fair share: MaxRecordRate divided equally among the destinations.
func (s *Shedder) exceedsShare(dest int32) bool {
	return s.sentByDest[dest] > s.config.MaxRecordRate*shareWindow.Seconds()/float64(s.activeDests)
}

// Key identifies a sum.
type Key struct {
	Kind    flow.Kind
	Class   uint8
	Outcome flow.Outcome
	Dest    int32
}

// KeyFor returns the key of the sum that a record is folded into.
func KeyFor(record *flow.Record) Key {
	return Key{record.Kind, record.Class, record.Outcome, record.Dest}
}

// Sum is the sum of folded records.
type Sum struct {
	Count                 uint64
	FirstStart, LastStart time.Duration
	SetUp, EstablishedFor time.Duration // totals
	Attempts              uint64
}

// Add adds a record to the sum.
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
