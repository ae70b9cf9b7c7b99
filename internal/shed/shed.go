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
	rise = [LevelCount]float64{0, 0.40, 0.55, 0.70, 0.85}
	fall = [LevelCount]float64{0, 0.20, 0.35, 0.50, 0.65}
)

// Pressure is how near the records are to being lost, from 0 to 1. While no
// collector is reachable the spool is what can run full.
func (c Config) Pressure(s State) float64 {
	p := 0.0
	if s.QueueCapacity > 0 {
		p = float64(s.QueueLength) / float64(s.QueueCapacity)
	}
	if c.MaxAge > 0 && s.Reachable {
		p = max(p, float64(s.OldestAge)/float64(c.MaxAge))
	}
	if !s.Reachable && s.MaxSpoolBytes > 0 {
		p = max(p, float64(s.SpoolBytes)/float64(s.MaxSpoolBytes))
	}
	return min(p, 1)
}

// Shedder decides record by record.
type Shedder struct {
	cfg        Config
	level      Level
	since      time.Duration // of the level
	dear       []bool
	window     time.Duration // start of the fair shares' window
	taken      map[int32]float64
	far        int // far ends seen in the last window
	tokens     float64
	at         time.Duration
	LevelRises int // times that a level was taken
}

// shareWindow is the span over which far ends' shares are counted.
const shareWindow = time.Second

// mostFar bounds the far ends told apart in a window.
const mostFar = 4096

// New starts a shedder at level None.
func New(cfg Config) *Shedder {
	s := &Shedder{cfg: cfg, taken: map[int32]float64{}, far: 1, tokens: cfg.MaxRecordRate}
	mean := 0.0
	for _, w := range cfg.ClassWorth {
		mean += w / float64(len(cfg.ClassWorth))
	}
	for _, w := range cfg.ClassWorth {
		s.dear = append(s.dear, w > mean)
	}
	return s
}

// Level is the level in force.
func (s *Shedder) Level() Level { return s.level }

// Update takes a new view of the pressure. A level rises at once, over several if
// need be, and falls one at a time after Hold.
func (s *Shedder) Update(now time.Duration, st State) Level {
	p := s.cfg.Pressure(st)
	for s.level < LevelCount-1 && p >= rise[s.level+1] {
		s.level++
		s.since = now
		s.LevelRises++
	}
	if s.level > LevelNone && p < fall[s.level] && now-s.since >= s.cfg.MinLevelDuration {
		s.level--
		s.since = now
	}
	if now-s.window >= shareWindow {
		s.window, s.far = now, max(len(s.taken), 1)
		clear(s.taken)
	}
	s.tokens = min(s.tokens+s.cfg.MaxRecordRate*(now-s.at).Seconds(), s.cfg.MaxRecordRate)
	s.at = now
	return s.level
}

// Decide tells what becomes of a record. folds is the number of sums in use and
// known whether the record's own is among them.
func (s *Shedder) Decide(r *flow.Record, folds int, known bool) Decision {
	if s.whole(r) {
		if len(s.taken) < mostFar {
			s.taken[r.Dest]++
		}
		s.tokens--
		return Send
	}
	if known || folds < s.cfg.MaxSums {
		return Fold
	}
	return Drop
}

func (s *Shedder) whole(r *flow.Record) bool {
	level := s.level
	if level > LevelNone && level < LevelMostCalls && s.over(r.Dest) {
		level++ // more than its share: as if the pressure were a level higher
	}
	dear := int(r.Class) < len(s.dear) && s.dear[r.Class]
	attempt := r.Kind == flow.KindAttempt
	switch level {
	case LevelNone:
		return true
	case LevelLowValueAttempts:
		return !attempt || dear
	case LevelAttempts:
		return !attempt
	case LevelLowValueCalls:
		return !attempt && dear
	}
	return !attempt && dear && s.tokens >= 1 && !s.over(r.Dest)
}

// over tells whether a far end has had more than its share of the window's
// whole records: an even part of the budget.
func (s *Shedder) over(far int32) bool {
	return s.taken[far] > s.cfg.MaxRecordRate*shareWindow.Seconds()/float64(s.far)
}

// Key of a sum.
type Key struct {
	Kind    flow.Kind
	Class   uint8
	Outcome flow.Outcome
	Dest    int32
}

// KeyFor is the sum that a record is folded into.
func KeyFor(r *flow.Record) Key { return Key{r.Kind, r.Class, r.Outcome, r.Dest} }

// Sum is what is left of folded records.
type Sum struct {
	Count                 uint64
	FirstStart, LastStart time.Duration // starts
	SetUp, EstablishedFor time.Duration // added up
	Attempts              uint64
}

// Add folds a record in.
func (s *Sum) Add(r *flow.Record) {
	if s.Count == 0 {
		s.FirstStart = r.Start
	}
	s.Count++
	s.FirstStart, s.LastStart = min(s.FirstStart, r.Start), max(s.LastStart, r.Start)
	s.SetUp += r.SetUp
	s.EstablishedFor += r.EstablishedFor
	s.Attempts += uint64(r.Attempts)
}
