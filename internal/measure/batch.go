package measure

import (
	"cmp"
	"slices"
	"time"
)

// Options configures EstimateBatch and Slots.
type Options struct {
	RetryWindow  time.Duration // an attempt within this time after a lost one for the same number repeats it
	MissingShare float64       // share of records known to be missing at random
	BusyWindow   time.Duration // length of the busiest window to estimate, common to all pairs; 0: all time
}

// Result holds the traffic estimated from a batch of attempts.
type Result struct {
	Pairs        []Estimate
	Observed     map[int32]time.Duration // observed time by source
	HotNumbers   []uint64                // numbers whose lost attempts were excluded
	HotAttempts  int                     // excluded attempts
	From, To     time.Duration           // limits of the busiest window, or of all attempts
	Incarnations int                     // of controllers, by which attempts were recorded
	Groups       []Group                 // ordered by exchange numbers
	TailAttempts int                     // attempts excluded at the end of incarnations, because calls that started at that time may have no record
}

// tailHoldingTimes is the number of mean holding times that are excluded at the end
// of an incarnation, which is observed from its first attempt on. Calls are recorded
// when they end, so of the calls that start shortly before an incarnation ends only
// the short ones have a record. With 4, all but exp(-4) = 2 % of the calls' time is
// included.
const tailHoldingTimes = 4

// shutdownTolerance is the maximum time between the last cut of a call and the end
// of an incarnation that was shut down and cut its calls itself.
const shutdownTolerance = time.Second

// A number with at least minHotAttempts attempts of which at least minHotLossShare
// are lost is a hot number: the called lines are short, not circuits.
const (
	minHotAttempts  = 30
	minHotLossShare = 0.5
)

// Group is the mean number of circuits that one trunk group carried, in both
// directions.
type Group struct {
	A       int32   `json:"a"` // the lower exchange number
	B       int32   `json:"b"`
	Direct  float64 `json:"direct"`
	Transit float64 `json:"transit"` // of calls over a tandem, on either leg
}

// carriedByGroup sums up the carried traffic of each group; a call is averaged over
// the time that its source was observed.
func carriedByGroup(attempts []CallAttempt, observed map[int32]time.Duration) []Group {
	groups := map[[2]int32]*Group{}
	addCarried := func(a, b int32, transit bool, circuits float64) {
		pair := [2]int32{min(a, b), max(a, b)}
		group := groups[pair]
		if group == nil {
			group = &Group{A: pair[0], B: pair[1]}
			groups[pair] = group
		}
		if transit {
			group.Transit += circuits
		} else {
			group.Direct += circuits
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

// EstimateBatch estimates offered traffic from the attempts recorded by one or more
// incarnations of each controller. While a controller is not running, its time does
// not count as observed. Lost attempts for hot numbers are excluded, established
// calls to them are not. If BusyWindow is set, the result is that of the busiest
// window; with a window of an hour this is the time-consistent busy hour of ITU-T
// E.600.
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
				estimator.rememberLost(caller{attempt.Source, attempt.Number}, attempt.Start) // its retry may be within the window
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

// observation is the time that one incarnation of a controller was observed.
type observation struct{ from, lastEnd, lastCut, until time.Duration }

// observationsOf returns the time in which the records of each incarnation of each
// controller are complete.
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
	for _, observed := range observations {
		observed.until = observed.lastEnd - min(tail, (observed.lastEnd-observed.from)/2)
		if observed.lastCut > 0 && observed.lastCut >= observed.lastEnd-shutdownTolerance { // orderly shutdown, with records of the calls cut
			observed.until = observed.lastEnd
		}
	}
	return observations
}

// Slot counts the attempts of one key in one interval of time.
type Slot struct {
	Key
	Begin                                    time.Duration // of the interval
	Attempts, FirstAttempts, Lost, Completed int
	HeldTime                                 time.Duration // total holding time of established calls
	Observed                                 time.Duration
}

// Slots counts attempts by intervals of length step, according to the time of the
// attempt and with the exclusions of EstimateBatch. A key with an attempt in an
// incarnation has a slot for each interval in which that incarnation was observed,
// also without attempts.
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
	slotAt := func(k Key, at time.Duration) *Slot {
		at -= at % step
		slot := slots[slotKey{k, at}]
		if slot == nil {
			slot = &Slot{Key: k, Begin: at}
			slots[slotKey{k, at}] = slot
		}
		return slot
	}
	active := map[incarnationKey]map[Key]bool{}
	estimator := NewEstimator(attempts[0].Start, options.RetryWindow) // recognizes retries
	for _, attempt := range attempts {
		key, incarnation := Key{attempt.Source, attempt.Dest, attempt.Class}, incarnationKey{attempt.Source, attempt.Incarnation}
		if _, isHot := slices.BinarySearch(hot, attempt.Number); isHot && attempt.Lost || attempt.Start > observations[incarnation].until {
			continue
		}
		if active[incarnation] == nil {
			active[incarnation] = map[Key]bool{}
		}
		active[incarnation][key] = true
		s := slotAt(key, attempt.Start)
		s.Attempts++
		from := caller{attempt.Source, attempt.Number}
		if !attempt.MarkedRetry && !estimator.isRetry(from, attempt.Start) {
			s.FirstAttempts++
		}
		if attempt.Lost {
			s.Lost++
			estimator.rememberLost(from, attempt.Start)
			continue
		}
		s.HeldTime += attempt.EstablishedFor
		if !attempt.Cut {
			s.Completed++
		}
	}
	for id, observed := range observations {
		for k := range active[id] {
			for at := observed.from - observed.from%step; at < observed.until; at += step {
				slotAt(k, at).Observed += min(at+step, observed.until) - max(at, observed.from)
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

// longestHoldingTime returns the maximum over all classes of the mean holding time.
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

// hotNumbers returns the hot numbers in increasing order.
func hotNumbers(attempts []CallAttempt) []uint64 {
	attemptCount, lost := map[uint64]int{}, map[uint64]int{}
	for _, attempt := range attempts {
		attemptCount[attempt.Number]++
		if attempt.Lost {
			lost[attempt.Number]++
		}
	}
	var hot []uint64
	for number, count := range attemptCount {
		if count >= minHotAttempts && float64(lost[number]) >= minHotLossShare*float64(count) {
			hot = append(hot, number)
		}
	}
	slices.Sort(hot)
	return hot
}

// busiestWindow returns the beginning of the window in which the attempts of all
// pairs together request the most circuits.
func busiestWindow(attempts []CallAttempt, window time.Duration) time.Duration {
	begin, maxWeight, windowWeight, first := attempts[0].Start, 0.0, 0.0, 0
	weight := func(attempt CallAttempt) float64 { return float64(max(attempt.Circuits, 1)) }
	for _, attempt := range attempts {
		windowWeight += weight(attempt)
		for attempts[first].Start <= attempt.Start-window {
			windowWeight -= weight(attempts[first])
			first++
		}
		if attempt.Start-attempts[0].Start >= window && windowWeight > maxWeight {
			maxWeight, begin = windowWeight, attempt.Start-window
		}
	}
	return begin
}
