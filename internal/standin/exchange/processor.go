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
	wait := time.Duration(float64(p.backlog) / p.capacityShare(now))
	if p.busy {
		wait += max(p.jobEnd-now, 0)
	}
	return wait + max(p.pausedUntil-now, 0)
}

// enqueue queues work; done is called when it is through.
func (p *processor) enqueue(work time.Duration, followUp bool, done func()) {
	queue := 1
	if followUp && p.answersFirst {
		queue = 0
	}
	p.queues[queue] = append(p.queues[queue], job{work, done})
	p.backlog += work
	if !p.busy {
		p.startNext()
	}
}

func (p *processor) startNext() {
	for queue := range p.queues {
		if len(p.queues[queue]) == 0 {
			continue
		}
		next := p.queues[queue][0]
		p.queues[queue] = p.queues[queue][1:]
		p.backlog -= next.work
		p.busy = true
		now := p.scheduler.Now()
		duration := time.Duration(float64(next.work)/p.capacityShare(now)) + max(p.pausedUntil-now, 0)
		p.jobEnd = now + duration
		generation := p.generation
		p.scheduler.After(duration, func() {
			if p.generation != generation {
				return
			}
			p.busy = false
			next.done()
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
