package exchange

import "time"

// Scheduler is virtual or real time: stand-ins have no clock of their own.
type Scheduler interface {
	Now() time.Duration
	After(d time.Duration, f func())
}

// processor is one line on which work is time. It serves answers and releases
// first, or in turn with set-ups.
type processor struct {
	s      Scheduler
	queues [2][]job // first, then the rest
	first  bool     // answers go first
	busy   bool
	until  time.Duration // end of the job on the line
	back   time.Duration // work queued, at full speed
	gen    int           // of its starts: jobs of an earlier one are lost

	slow   float64       // times slower
	paused time.Duration // stands still until then
	since  time.Duration // its start, 0 long ago
	from   float64       // share of its capacity at the start
	warm   time.Duration
}

type job struct {
	work time.Duration
	done func()
}

// share is the part of its capacity that it has now.
func (p *processor) share(now time.Duration) float64 {
	age := now - p.since
	if p.since == 0 || age >= p.warm || p.warm <= 0 {
		return 1 / p.slow
	}
	return (p.from + (1-p.from)*float64(age)/float64(p.warm)) / p.slow
}

// wait is how long a set-up that comes now will wait.
func (p *processor) wait() time.Duration {
	now := p.s.Now()
	w := time.Duration(float64(p.back) / p.share(now))
	if p.busy {
		w += max(p.until-now, 0)
	}
	return w + max(p.paused-now, 0)
}

// do queues work; done is called when it is through.
func (p *processor) do(work time.Duration, ends bool, done func()) {
	q := 1
	if ends && p.first {
		q = 0
	}
	p.queues[q] = append(p.queues[q], job{work, done})
	p.back += work
	if !p.busy {
		p.next()
	}
}

func (p *processor) next() {
	for q := range p.queues {
		if len(p.queues[q]) == 0 {
			continue
		}
		j := p.queues[q][0]
		p.queues[q] = p.queues[q][1:]
		p.back -= j.work
		p.busy = true
		now := p.s.Now()
		took := time.Duration(float64(j.work)/p.share(now)) + max(p.paused-now, 0)
		p.until = now + took
		gen := p.gen
		p.s.After(took, func() {
			if p.gen != gen {
				return
			}
			p.busy = false
			j.done()
			if !p.busy {
				p.next()
			}
		})
		return
	}
}

// restart loses all work and starts cold.
func (p *processor) restart(now time.Duration) {
	p.gen++
	p.queues, p.back, p.busy, p.paused, p.since = [2][]job{}, 0, false, 0, now
}
