package measure

import (
	"cmp"
	"slices"
	"time"
)

// Options of Estimates.
type Options struct {
	RetryWindow  time.Duration // a try so soon after a lost one of the same caller's number is its repeat
	MissingShare float64       // share of the records that are known to be missing, whichever they are
	BusyWindow   time.Duration // only the busiest so long counts, the same for all pairs; 0: all time
}

// Result is what records tell.
type Result struct {
	Pairs        []Estimate
	Observed     map[int32]time.Duration // by source
	HotNumbers   []uint64                // numbers whose lost tries were left out
	HotAttempts  int                     // these tries
	From, To     time.Duration           // of the busiest window, or of all
	Incarnations int                     // of controllers
	Groups       []Group                 // carried, in order
	TailAttempts int                     // tries at the end of lives, left out because calls that began with them may have no record
}

// A life is watched from its first try on. Records come when calls end, so that
// of those that began shortly before the life did, only the short ones are seen;
// the last tailHoldingTimes mean holding times of a life therefore don't count, so that
// all but exp(-4), 2 % of calls' time is.
const tailHoldingTimes = 4

// shutdownTolerance is how close to a life's last moment a call was cut that the life itself ended.
const shutdownTolerance = time.Second

// minHotAttempts is how many tries a number needs, minHotLossShare the share of them lost, to
// be one that many callers want and whose lines, not circuits, are short.
const (
	minHotAttempts  = 30
	minHotLossShare = 0.5
)

// Group is what one trunk group carried, both ways, in circuits taken on average.
type Group struct {
	A       int32   `json:"a"` // the lower number
	B       int32   `json:"b"`
	Direct  float64 `json:"direct"`
	Transit float64 `json:"transit"` // of calls over a tandem, on either of their legs
}

// carriedByGroup adds up what groups carried; each call counts over the time that its source was watched.
func carriedByGroup(attempts []CallAttempt, observed map[int32]time.Duration) []Group {
	groups := map[[2]int32]*Group{}
	addCarried := func(a, b int32, transit bool, circuits float64) {
		pair := [2]int32{min(a, b), max(a, b)}
		g := groups[pair]
		if g == nil {
			g = &Group{A: pair[0], B: pair[1]}
			groups[pair] = g
		}
		if transit {
			g.Transit += circuits
		} else {
			g.Direct += circuits
		}
	}
	for _, attempt := range attempts {
		period := observed[attempt.Source]
		if attempt.Lost || period <= 0 || attempt.Via < 0 {
			continue
		}
		circuits := float64(max(attempt.Circuits, 1)) * attempt.EstablishedFor.Seconds() / period.Seconds()
		if attempt.Via == attempt.Dest {
			addCarried(attempt.Source, attempt.Dest, false, circuits)
		} else {
			addCarried(attempt.Source, attempt.Via, true, circuits)
			addCarried(attempt.Via, attempt.Dest, true, circuits)
		}
	}
	sorted := make([]Group, 0, len(groups))
	for _, g := range groups {
		sorted = append(sorted, *g)
	}
	slices.SortFunc(sorted, func(a, b Group) int { return cmp.Or(cmp.Compare(a.A, b.A), cmp.Compare(a.B, b.B)) })
	return sorted
}

// EstimateBatch estimates offered traffic from the tries of one or more lives of each
// controller. A controller that was away leaves a gap, which counts neither as
// traffic nor as quiet. A number that very many call in vain is left out but for
// the calls to it that stood. If Window is set, the result is that of the busiest
// window: the time-consistent busy hour of ITU-T E.600 where it is an hour.
func EstimateBatch(attempts []CallAttempt, options Options) *Result {
	attempts = slices.Clone(attempts)
	slices.SortStableFunc(attempts, func(a, b CallAttempt) int { return cmp.Compare(a.Start, b.Start) })
	result := &Result{Observed: map[int32]time.Duration{}}
	if len(attempts) == 0 {
		return result
	}
	hot := hotNumbers(attempts)
	result.HotNumbers = hot
	observations := observationsOf(attempts)
	result.Incarnations = len(observations)
	result.From, result.To = attempts[0].Start, attempts[len(attempts)-1].Start
	if options.BusyWindow > 0 && result.To-result.From > options.BusyWindow {
		result.From = busiestWindow(attempts, options.BusyWindow)
		result.To = result.From + options.BusyWindow
	}
	for k := range observations {
		result.Observed[k.source] += max(min(observations[k].until, result.To)-max(observations[k].from, result.From), 0)
	}
	estimator := NewEstimator(result.From, options.RetryWindow)
	var counted []CallAttempt
	for _, attempt := range attempts {
		_, isHot := slices.BinarySearch(hot, attempt.Number)
		switch {
		case isHot && attempt.Lost:
			result.HotAttempts++
		case attempt.Start >= result.From && attempt.Start > observations[incarnationKey{attempt.Source, attempt.Incarnation}].until:
			result.TailAttempts++
		case attempt.Start < result.From || attempt.Start > result.To:
			if attempt.Lost && attempt.Start < result.From && attempt.Start >= result.From-options.RetryWindow {
				estimator.rememberLost(caller{attempt.Source, attempt.Number}, attempt.Start) // its repeat may come within
			}
		default:
			estimator.Add(attempt)
			counted = append(counted, attempt)
		}
	}
	result.Groups = carriedByGroup(counted, result.Observed)
	result.Pairs = estimator.estimates(func(source int32) time.Duration { return result.Observed[source] })
	if options.MissingShare > 0 && options.MissingShare < 1 {
		for i := range result.Pairs {
			estimate := &result.Pairs[i]
			for _, value := range []*float64{&estimate.Erlang, &estimate.Low, &estimate.High, &estimate.AllAttemptsErlang, &estimate.Carried} {
				*value /= 1 - options.MissingShare
			}
		}
		for i := range result.Groups {
			result.Groups[i].Direct /= 1 - options.MissingShare
			result.Groups[i].Transit /= 1 - options.MissingShare
		}
	}
	return result
}

type incarnationKey struct {
	source      int32
	incarnation uint64
}

// observation is how long a controller's observation was watched.
type observation struct{ from, lastEnd, lastCut, until time.Duration }

// observationsOf works out how long each life of each controller can be relied on.
func observationsOf(attempts []CallAttempt) map[incarnationKey]*observation {
	tail := tailHoldingTimes * longestHoldingTime(attempts)
	observations := map[incarnationKey]*observation{}
	for _, attempt := range attempts {
		key := incarnationKey{attempt.Source, attempt.Incarnation}
		observed := observations[key]
		if observed == nil {
			observed = &observation{from: attempt.Start}
			observations[key] = observed
		}
		observed.lastEnd = max(observed.lastEnd, attempt.Start+attempt.EstablishedFor)
		if attempt.Cut {
			observed.lastCut = max(observed.lastCut, attempt.Start+attempt.EstablishedFor)
		}
	}
	for _, l := range observations {
		l.until = l.lastEnd - min(tail, (l.lastEnd-l.from)/2)
		if l.lastCut > 0 && l.lastCut >= l.lastEnd-shutdownTolerance { // it left in order, and told what it cut
			l.until = l.lastEnd
		}
	}
	return observations
}

// Slot is what one pair and class showed in one step of time.
type Slot struct {
	Key
	Begin                                    time.Duration // its begin
	Attempts, FirstAttempts, Lost, Completed int
	HeldTime                                 time.Duration // of all that stood
	Observed                                 time.Duration
}

// Slots cuts tries into steps of time by when they were made, as Batch would
// take them. A pair and class that showed itself in a life has a slot for each
// step in which that life was watched, also where nothing was tried.
func Slots(attempts []CallAttempt, options Options, step time.Duration) []Slot {
	attempts = slices.Clone(attempts)
	slices.SortStableFunc(attempts, func(a, b CallAttempt) int { return cmp.Compare(a.Start, b.Start) })
	if len(attempts) == 0 || step <= 0 {
		return nil
	}
	hot, observations := hotNumbers(attempts), observationsOf(attempts)
	type slotKey struct {
		key Key
		at  time.Duration
	}
	slots := map[slotKey]*Slot{}
	get := func(k Key, at time.Duration) *Slot {
		at -= at % step
		s := slots[slotKey{k, at}]
		if s == nil {
			s = &Slot{Key: k, Begin: at}
			slots[slotKey{k, at}] = s
		}
		return s
	}
	active := map[incarnationKey]map[Key]bool{}
	estimator := NewEstimator(attempts[0].Start, options.RetryWindow) // knows redials
	for _, attempt := range attempts {
		k, incarnation := Key{attempt.Source, attempt.Dest, attempt.Class}, incarnationKey{attempt.Source, attempt.Incarnation}
		if _, isHot := slices.BinarySearch(hot, attempt.Number); isHot && attempt.Lost || attempt.Start > observations[incarnation].until {
			continue
		}
		if active[incarnation] == nil {
			active[incarnation] = map[Key]bool{}
		}
		active[incarnation][k] = true
		s := get(k, attempt.Start)
		s.Attempts++
		c := caller{attempt.Source, attempt.Number}
		if !attempt.MarkedRetry && !estimator.isRetry(c, attempt.Start) {
			s.FirstAttempts++
		}
		if attempt.Lost {
			s.Lost++
			estimator.rememberLost(c, attempt.Start)
			continue
		}
		s.HeldTime += attempt.EstablishedFor
		if !attempt.Cut {
			s.Completed++
		}
	}
	for id, l := range observations {
		for k := range active[id] {
			for at := l.from - l.from%step; at < l.until; at += step {
				get(k, at).Observed += min(at+step, l.until) - max(at, l.from)
			}
		}
	}
	sorted := make([]Slot, 0, len(slots))
	for _, s := range slots {
		sorted = append(sorted, *s)
	}
	slices.SortFunc(sorted, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Begin, b.Begin))
	})
	return sorted
}

// longestHoldingTime is the longestHoldingTime mean holding time of a class.
func longestHoldingTime(attempts []CallAttempt) time.Duration {
	held, completed := map[uint8]time.Duration{}, map[uint8]int{}
	for _, attempt := range attempts {
		if !attempt.Lost {
			held[attempt.Class] += attempt.EstablishedFor
			if !attempt.Cut {
				completed[attempt.Class]++
			}
		}
	}
	longest := time.Duration(0)
	for class, count := range completed {
		longest = max(longest, held[class]/time.Duration(count))
	}
	return longest
}

// hotNumbers lists numbers that very many call in vain, in order.
func hotNumbers(attempts []CallAttempt) []uint64 {
	total, lost := map[uint64]int{}, map[uint64]int{}
	for _, attempt := range attempts {
		total[attempt.Number]++
		if attempt.Lost {
			lost[attempt.Number]++
		}
	}
	var hot []uint64
	for number, count := range total {
		if count >= minHotAttempts && float64(lost[number]) >= minHotLossShare*float64(count) {
			hot = append(hot, number)
		}
	}
	slices.Sort(hot)
	return hot
}

// busiestWindow is the begin of the window in which tries ask for most circuits, all
// pairs together.
func busiestWindow(attempts []CallAttempt, window time.Duration) time.Duration {
	begin, maxWeight, windowWeight, first := attempts[0].Start, 0.0, 0.0, 0
	weight := func(attempt CallAttempt) float64 { return float64(max(attempt.Circuits, 1)) }
	for _, t := range attempts {
		windowWeight += weight(t)
		for attempts[first].Start <= t.Start-window {
			windowWeight -= weight(attempts[first])
			first++
		}
		if t.Start-attempts[0].Start >= window && windowWeight > maxWeight {
			maxWeight, begin = windowWeight, t.Start-window
		}
	}
	return begin
}
