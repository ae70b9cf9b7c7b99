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
// the last tailTimes mean holding times of a life therefore don't count, so that
// all but exp(-4), 2 % of calls' time is.
const tailTimes = 4

// toldEnd is how close to a life's last moment a call was cut that the life itself ended.
const toldEnd = time.Second

// hotTries is how many tries a number needs, hotLost the share of them lost, to
// be one that many callers want and whose lines, not circuits, are short.
const (
	hotTries = 30
	hotLost  = 0.5
)

// Group is what one trunk group carried, both ways, in circuits taken on average.
type Group struct {
	A       int32   `json:"a"` // the lower number
	B       int32   `json:"b"`
	Direct  float64 `json:"direct"`
	Transit float64 `json:"transit"` // of calls over a tandem, on either of their legs
}

// groupsOf adds up what groups carried; each call counts over the time that its source was watched.
func groupsOf(tries []CallAttempt, watched map[int32]time.Duration) []Group {
	sums := map[[2]int32]*Group{}
	book := func(a, b int32, transit bool, circuits float64) {
		k := [2]int32{min(a, b), max(a, b)}
		g := sums[k]
		if g == nil {
			g = &Group{A: k[0], B: k[1]}
			sums[k] = g
		}
		if transit {
			g.Transit += circuits
		} else {
			g.Direct += circuits
		}
	}
	for _, t := range tries {
		w := watched[t.Source]
		if t.Lost || w <= 0 || t.Via < 0 {
			continue
		}
		circuits := float64(max(t.Circuits, 1)) * t.EstablishedFor.Seconds() / w.Seconds()
		if t.Via == t.Dest {
			book(t.Source, t.Dest, false, circuits)
		} else {
			book(t.Source, t.Via, true, circuits)
			book(t.Via, t.Dest, true, circuits)
		}
	}
	all := make([]Group, 0, len(sums))
	for _, g := range sums {
		all = append(all, *g)
	}
	slices.SortFunc(all, func(a, b Group) int { return cmp.Or(cmp.Compare(a.A, b.A), cmp.Compare(a.B, b.B)) })
	return all
}

// EstimateBatch estimates offered traffic from the tries of one or more lives of each
// controller. A controller that was away leaves a gap, which counts neither as
// traffic nor as quiet. A number that very many call in vain is left out but for
// the calls to it that stood. If Window is set, the result is that of the busiest
// window: the time-consistent busy hour of ITU-T E.600 where it is an hour.
func EstimateBatch(tries []CallAttempt, o Options) *Result {
	tries = slices.Clone(tries)
	slices.SortStableFunc(tries, func(a, b CallAttempt) int { return cmp.Compare(a.Start, b.Start) })
	r := &Result{Observed: map[int32]time.Duration{}}
	if len(tries) == 0 {
		return r
	}
	hot := hotNumbers(tries)
	r.HotNumbers = hot
	lives := livesOf(tries)
	r.Incarnations = len(lives)
	r.From, r.To = tries[0].Start, tries[len(tries)-1].Start
	if o.BusyWindow > 0 && r.To-r.From > o.BusyWindow {
		r.From = busiest(tries, o.BusyWindow)
		r.To = r.From + o.BusyWindow
	}
	for k := range lives {
		r.Observed[k.source] += max(min(lives[k].until, r.To)-max(lives[k].from, r.From), 0)
	}
	e := NewEstimator(r.From, o.RetryWindow)
	var counted []CallAttempt
	for _, t := range tries {
		_, isHot := slices.BinarySearch(hot, t.Number)
		switch {
		case isHot && t.Lost:
			r.HotAttempts++
		case t.Start >= r.From && t.Start > lives[lifeKey{t.Source, t.Incarnation}].until:
			r.TailAttempts++
		case t.Start < r.From || t.Start > r.To:
			if t.Lost && t.Start < r.From && t.Start >= r.From-o.RetryWindow {
				e.remember(caller{t.Source, t.Number}, t.Start) // its repeat may come within
			}
		default:
			e.Add(t)
			counted = append(counted, t)
		}
	}
	r.Groups = groupsOf(counted, r.Observed)
	r.Pairs = e.over(func(source int32) time.Duration { return r.Observed[source] })
	if o.MissingShare > 0 && o.MissingShare < 1 {
		for i := range r.Pairs {
			p := &r.Pairs[i]
			for _, x := range []*float64{&p.Erlang, &p.Low, &p.High, &p.AllAttemptsErlang, &p.Carried} {
				*x /= 1 - o.MissingShare
			}
		}
		for i := range r.Groups {
			r.Groups[i].Direct /= 1 - o.MissingShare
			r.Groups[i].Transit /= 1 - o.MissingShare
		}
	}
	return r
}

type lifeKey struct {
	source int32
	life   uint64
}

// life is how long a controller's life was watched.
type life struct{ from, last, cut, until time.Duration }

// livesOf works out how long each life of each controller can be relied on.
func livesOf(tries []CallAttempt) map[lifeKey]*life {
	tail := tailTimes * longest(tries)
	lives := map[lifeKey]*life{}
	for _, t := range tries {
		k := lifeKey{t.Source, t.Incarnation}
		l := lives[k]
		if l == nil {
			l = &life{from: t.Start}
			lives[k] = l
		}
		l.last = max(l.last, t.Start+t.EstablishedFor)
		if t.Cut {
			l.cut = max(l.cut, t.Start+t.EstablishedFor)
		}
	}
	for _, l := range lives {
		l.until = l.last - min(tail, (l.last-l.from)/2)
		if l.cut > 0 && l.cut >= l.last-toldEnd { // it left in order, and told what it cut
			l.until = l.last
		}
	}
	return lives
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
func Slots(tries []CallAttempt, o Options, step time.Duration) []Slot {
	tries = slices.Clone(tries)
	slices.SortStableFunc(tries, func(a, b CallAttempt) int { return cmp.Compare(a.Start, b.Start) })
	if len(tries) == 0 || step <= 0 {
		return nil
	}
	hot, lives := hotNumbers(tries), livesOf(tries)
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
	shown := map[lifeKey]map[Key]bool{}
	e := NewEstimator(tries[0].Start, o.RetryWindow) // knows redials
	for _, t := range tries {
		k, l := Key{t.Source, t.Dest, t.Class}, lifeKey{t.Source, t.Incarnation}
		if _, isHot := slices.BinarySearch(hot, t.Number); isHot && t.Lost || t.Start > lives[l].until {
			continue
		}
		if shown[l] == nil {
			shown[l] = map[Key]bool{}
		}
		shown[l][k] = true
		s := get(k, t.Start)
		s.Attempts++
		c := caller{t.Source, t.Number}
		if !t.MarkedRetry && !e.again(c, t.Start) {
			s.FirstAttempts++
		}
		if t.Lost {
			s.Lost++
			e.remember(c, t.Start)
			continue
		}
		s.HeldTime += t.EstablishedFor
		if !t.Cut {
			s.Completed++
		}
	}
	for id, l := range lives {
		for k := range shown[id] {
			for at := l.from - l.from%step; at < l.until; at += step {
				get(k, at).Observed += min(at+step, l.until) - max(at, l.from)
			}
		}
	}
	all := make([]Slot, 0, len(slots))
	for _, s := range slots {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Begin, b.Begin))
	})
	return all
}

// longest is the longest mean holding time of a class.
func longest(tries []CallAttempt) time.Duration {
	held, ended := map[uint8]time.Duration{}, map[uint8]int{}
	for _, t := range tries {
		if !t.Lost {
			held[t.Class] += t.EstablishedFor
			if !t.Cut {
				ended[t.Class]++
			}
		}
	}
	most := time.Duration(0)
	for c, n := range ended {
		most = max(most, held[c]/time.Duration(n))
	}
	return most
}

// hotNumbers lists numbers that very many call in vain, in order.
func hotNumbers(tries []CallAttempt) []uint64 {
	all, lost := map[uint64]int{}, map[uint64]int{}
	for _, t := range tries {
		all[t.Number]++
		if t.Lost {
			lost[t.Number]++
		}
	}
	var hot []uint64
	for n, k := range all {
		if k >= hotTries && float64(lost[n]) >= hotLost*float64(k) {
			hot = append(hot, n)
		}
	}
	slices.Sort(hot)
	return hot
}

// busiest is the begin of the window in which tries ask for most circuits, all
// pairs together.
func busiest(tries []CallAttempt, window time.Duration) time.Duration {
	at, most, sum, from := tries[0].Start, 0.0, 0.0, 0
	weight := func(t CallAttempt) float64 { return float64(max(t.Circuits, 1)) }
	for _, t := range tries {
		sum += weight(t)
		for tries[from].Start <= t.Start-window {
			sum -= weight(tries[from])
			from++
		}
		if t.Start-tries[0].Start >= window && sum > most {
			most, at = sum, t.Start-window
		}
	}
	return at
}
