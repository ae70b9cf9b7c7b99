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
	scheduler    Scheduler
	queues       [2][]job // first, then the rest
	answersFirst bool     // answers go first
	busy         bool
	jobEnd       time.Duration // end of the job on the line
	backlog      time.Duration // work queued, at full speed
	generation   int           // of its starts: jobs of an earlier one are lost

	slowdown     float64       // times slower
	pausedUntil  time.Duration // stands still until then
	startedAt    time.Duration // its start, 0 long ago
	initialShare float64       // share of its capacity at the start
	warmUpTime   time.Duration
}

type job struct {
	work time.Duration
	done func()
}

// capacityShare is the part of its capacity that it has now.
func (p *processor) capacityShare(now time.Duration) float64 {
	age := now - p.startedAt
	if p.startedAt == 0 || age >= p.warmUpTime || p.warmUpTime <= 0 {
		return 1 / p.slowdown
	}
	return (p.initialShare + (1-p.initialShare)*float64(age)/float64(p.warmUpTime)) / p.slowdown
}

// expectedWait is how long a set-up that comes now will expectedWait.
func (p *processor) expectedWait() time.Duration {
	now := p.scheduler.Now()
	w := time.Duration(float64(p.backlog) / p.capacityShare(now))
	if p.busy {
		w += max(p.jobEnd-now, 0)
	}
	return w + max(p.pausedUntil-now, 0)
}

// enqueue queues work; done is called when it is through.
func (p *processor) enqueue(work time.Duration, ends bool, done func()) {
	q := 1
	if ends && p.answersFirst {
		q = 0
	}
	p.queues[q] = append(p.queues[q], job{work, done})
	p.backlog += work
	if !p.busy {
		p.startNext()
	}
}

func (p *processor) startNext() {
	for q := range p.queues {
		if len(p.queues[q]) == 0 {
			continue
		}
		j := p.queues[q][0]
		p.queues[q] = p.queues[q][1:]
		p.backlog -= j.work
		p.busy = true
		now := p.scheduler.Now()
		took := time.Duration(float64(j.work)/p.capacityShare(now)) + max(p.pausedUntil-now, 0)
		p.jobEnd = now + took
		gen := p.generation
		p.scheduler.After(took, func() {
			if p.generation != gen {
				return
			}
			p.busy = false
			j.done()
			if !p.busy {
				p.startNext()
			}
		})
		return
	}
}

// reset loses all work and starts cold.
func (p *processor) reset(now time.Duration) {
	p.generation++
	p.queues, p.backlog, p.busy, p.pausedUntil, p.startedAt = [2][]job{}, 0, false, 0, now
}
