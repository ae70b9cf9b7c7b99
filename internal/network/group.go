package network

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// side is one end's traffic on a group, by class, in calls at the same time.
type side struct {
	direct  []float64
	transit []float64   // offered to the group: of its own callers turned this way, and passing through
	waits   []float64   // of direct: the share that waits here when the group has no room, for want of a tandem
	reserve []float64   // owed to its direct calls: values that are equally likely
	dear    [][]float64 // by class: owed to those worth far more, in the same way; nil: none
}

// state is what is known of a group.
type state struct {
	full    [2][]float64 // by side and class: share of the time without room for a direct call
	shut    [2][]float64 // the same for transit
	left    []float64    // by class: share of those waiting that leave without a circuit
	free    [2][]float64 // by side: probability that so many circuits are free beyond what is owed
	share   [2][]float64 // by side and class: part of the carried circuits that is direct
	busy    float64      // share of the time without a free circuit
	carried float64
	transit float64
	entry   float64 // per second: the group becomes full, but for the base reserve
}

// enoughRun are, by circuits taken, the probabilities that at least so many of
// them are calls of one kind, each with the same chance and by itself.
type enoughRun struct {
	share float64
	rows  map[int][]float64
}

// atLeast is the probability that k of n taken circuits are of the kind.
func (b *enoughRun) atLeast(n, k int) float64 {
	switch {
	case k <= 0:
		return 1
	case k > n || b.share <= 0:
		return 0
	case b.share >= 1:
		return 1
	}
	row := b.rows[n]
	if row == nil {
		row = make([]float64, n+2)
		p := math.Exp(float64(n) * math.Log1p(-b.share))
		if p > 0 {
			odds := b.share / (1 - b.share)
			cdf := 0.0
			for i := 0; i <= n; i++ {
				row[i] = max(1-cdf, 0)
				cdf += p
				p *= odds * float64(n-i) / float64(i+1)
			}
		} else { // too many to begin at none
			bin := distuv.Binomial{N: float64(n), P: b.share}
			for i := 1; i <= n; i++ {
				row[i] = 1 - bin.CDF(float64(i-1))
			}
			row[0] = 1
		}
		b.rows[n] = row
	}
	return row[k]
}

// admit is the probability that a call is let in when it would leave so many
// circuits spare of n taken now: at least as many calls of those that are owed
// run as the reserve asks beyond the spare ones. A reserve between two whole
// numbers lies between their values, so that the fixed point moves smoothly.
func (b *enoughRun) admit(n, spare int, reserve []float64) float64 {
	if spare < 0 {
		return 0
	}
	if len(reserve) == 0 {
		return 1
	}
	sum := 0.0
	for _, r := range reserve {
		low := math.Floor(r)
		part := r - low
		sum += (1 - part) * b.atLeast(n, int(low)-spare)
		if part > 0 {
			sum += part * b.atLeast(n, int(low)+1-spare)
		}
	}
	return sum / float64(len(reserve))
}

func most(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	return slices.Max(all)
}

// solveGroup works a group out: the recursion of Kaufman and Roberts over the
// circuits taken, calls for which a reserve is kept let in by chance that
// depends on the state, and behind the full group a queue of calls that wait and
// leave (Erlang's formula with impatience, after C. Palm; exact for calls of one
// circuit and length), the dearest served first. share is each side's part of
// the carried circuits by class, as last known.
func solveGroup(circuits int, classes []Class, sides *[2]side, share [2][]float64, wait float64) state {
	k := len(classes)
	s := state{left: make([]float64, k), share: share}
	for e := range sides {
		s.full[e], s.shut[e] = make([]float64, k), make([]float64, k)
		s.free[e] = make([]float64, circuits+1)
	}
	// let in by circuits taken, by side and class; 1 but near the full group
	direct, transit := make([][2][]float64, k), make([][2][]float64, k)
	for e := range sides {
		own := &enoughRun{rows: map[int][]float64{}}
		for _, p := range share[e] {
			own.share += p
		}
		own.share = min(own.share, 1)
		for c, cl := range classes {
			dears := &enoughRun{rows: map[int][]float64{}}
			for d := range classes {
				if dearer(classes, d, c) {
					dears.share += share[e][d]
				}
			}
			var dear []float64
			if sides[e].dear != nil {
				dear = sides[e].dear[c]
			}
			reach := circuits - cl.Circuits - int(math.Ceil(max(most(dear), most(sides[e].reserve))))
			d, t := make([]float64, circuits+1), make([]float64, circuits+1)
			for n := range d {
				spare := circuits - n - cl.Circuits
				if n <= reach {
					d[n], t[n] = 1, 1
					continue
				}
				d[n] = dears.admit(n, spare, dear)
				t[n] = min(d[n], own.admit(n, spare, sides[e].reserve))
			}
			direct[c][e], transit[c][e] = d, t
		}
	}
	q := make([]float64, circuits+1)
	q[0] = 1
	sum := 1.0
	for n := 1; n <= circuits; n++ {
		total := 0.0
		for c, cl := range classes {
			from := n - cl.Circuits
			if from < 0 {
				continue
			}
			for e := range sides {
				w := float64(cl.Circuits) * q[from]
				total += w * (sides[e].direct[c]*direct[c][e][from] + sides[e].transit[c]*transit[c][e][from])
			}
		}
		q[n] = total / float64(n)
		sum += q[n]
		if sum > 1e250 {
			for i := range q[:n+1] {
				q[i] /= sum
			}
			sum = 1
		}
	}
	ends, all := 0.0, 0.0
	for c, cl := range classes {
		for e := range sides {
			a := (sides[e].direct[c] + sides[e].transit[c]) * float64(cl.Circuits)
			ends += a / cl.HoldingTime
			all += a
		}
	}
	queue := 0.0
	if all > 0 {
		queue = s.wait(q, classes, sides, ends/all, wait)
	} else {
		for c := range s.left {
			s.left[c] = 1
		}
	}
	sum += queue
	for i := range q {
		q[i] /= sum
	}
	queue /= sum
	for n := range q {
		p := q[n]
		if n == circuits { // with those who wait behind it
			p += queue
			s.busy = p
		}
		s.carried += p * float64(n)
		for c := range classes {
			for e := range sides {
				s.full[e][c] += p * (1 - direct[c][e][n])
				s.shut[e][c] += p * (1 - transit[c][e][n])
			}
		}
	}
	s.settle(circuits, classes, sides)
	for e := range sides {
		owed := 0.0 // on average, less what runs
		for _, r := range sides[e].reserve {
			owed += r / float64(len(sides[e].reserve))
		}
		own := 0.0
		for _, p := range s.share[e] {
			own += p
		}
		for n := range q {
			p := q[n]
			if n == circuits {
				p += queue
			}
			beyond := max(float64(circuits-n)-max(owed-own*float64(n), 0), 0)
			f := int(beyond)
			part := beyond - float64(f) // between two whole numbers: in parts to both
			s.free[e][f] += p * (1 - part)
			s.free[e][min(f+1, circuits)] += p * part
		}
	}
	if last := circuits - 2; last >= 0 {
		s.entry = q[last] * ends
	}
	return s
}

// wait works out who waits behind the full group and leaves; it returns the
// weight of the states with a queue, not normed. A class meets in the queue what
// is as dear as itself or dearer.
func (s *state) wait(q []float64, classes []Class, sides *[2]side, each, wait float64) float64 {
	circuits := len(q) - 1
	order := make([]int, len(classes))
	for c := range order {
		order[c] = c
		s.left[c] = 1
	}
	if wait <= 0 || circuits == 0 {
		return 0
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(classes[b].Worth, classes[a].Worth) })
	free := float64(circuits) * each // circuits that become free in a second
	arrive, before, queue := 0.0, 0.0, 0.0
	for i := 0; i < len(order); {
		j, more := i, 0.0
		for ; j < len(order) && classes[order[j]].Worth == classes[order[i]].Worth; j++ {
			c := order[j]
			for e := range sides {
				more += sides[e].direct[c] * sides[e].waits[c] / classes[c].HoldingTime
			}
		}
		arrive += more
		x, waiting := q[circuits], 0.0
		queue = 0
		for n := 1; n <= 10000 && arrive > 0; n++ {
			x *= arrive / (free + float64(n)/wait)
			queue += x
			waiting += x * float64(n)
			if x < 1e-14*(q[circuits]+queue) {
				break
			}
		}
		leaves := waiting / wait
		for ; i < j; i++ {
			if asked := more * (q[circuits] + queue); asked > 0 {
				s.left[order[i]] = min(max(leaves-before, 0)/asked, 1)
			}
		}
		before = leaves
	}
	return queue
}

// settle works out whose the carried circuits are.
func (s *state) settle(circuits int, classes []Class, sides *[2]side) {
	var direct [2][]float64
	all, transit := 0.0, 0.0
	for e := range sides {
		direct[e] = make([]float64, len(classes))
		for c, cl := range classes {
			w := float64(cl.Circuits)
			d := sides[e].direct[c] * (1 - s.full[e][c] + s.full[e][c]*sides[e].waits[c]*(1-s.left[c]))
			direct[e][c] = w * d
			transit += w * sides[e].transit[c] * (1 - s.shut[e][c])
			all += w * d
		}
	}
	all += transit
	if s.carried <= 0 || all <= 0 || circuits == 0 {
		return
	}
	s.transit = s.carried * transit / all
	for e := range direct {
		for c := range direct[e] {
			direct[e][c] /= all
		}
	}
	s.share = direct
}

// dearer tells whether class d is worth far more by the circuit and second than c.
func dearer(classes []Class, d, c int) bool {
	value := func(x Class) float64 { return x.Worth / (float64(x.Circuits) * x.HoldingTime) }
	return value(classes[d]) > dearFactor*value(classes[c])
}
