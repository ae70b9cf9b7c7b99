package exchange

import "time"

// Scheduler provides virtual or real time to the simulated exchanges.
type Scheduler interface {
	Now() time.Duration
	After(delay time.Duration, callback func())
}

// processor is a single server that handles jobs one at a time. It serves answers
// and releases before set-ups, or all in order of arrival.
type processor struct {
	scheduler    Scheduler
	queues       [2][]job // index 0 is served first
	answersFirst bool     // answers and releases use queue 0
	busy         bool
	jobEnd       time.Duration // end of the job in progress
	backlog      time.Duration // queued work, as its duration at full speed
	generation   int           // incremented at each reset; jobs of earlier generations are dropped

	slowdown     float64 // factor by which the processor is slower
	pausedUntil  time.Duration
	startedAt    time.Duration // 0: started long ago, warm
	initialShare float64       // share of the capacity just after a start
	warmUpTime   time.Duration // from initialShare to full capacity
}

// job is work to do and what follows it.
type job struct {
	work time.Duration
	done func()
}

// capacityShare returns the share of the full capacity that is available at now.
func (p *processor) capacityShare(now time.Duration) float64 {
	age := now - p.startedAt
	if p.startedAt == 0 || age >= p.warmUpTime || p.warmUpTime <= 0 {
		return 1 / p.slowdown
	}
	return (p.initialShare + (1-p.initialShare)*float64(age)/float64(p.warmUpTime)) / p.slowdown
}

// expectedWait returns how long a set-up that arrives now would wait.
func (p *processor) expectedWait() time.Duration {
	now := p.scheduler.Now()
	wait := time.Duration(float64(p.backlog) / p.capacityShare(now))
	if p.busy {
		wait += max(p.jobEnd-now, 0)
	}
	return wait + max(p.pausedUntil-now, 0)
}

// enqueue queues work and calls done when it is finished. followUp marks answers
// and releases.
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

// startNext starts the next queued job, if any.
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

// reset discards all work and restarts the processor cold.
func (p *processor) reset(now time.Duration) {
	p.generation++
	p.queues, p.backlog, p.busy, p.pausedUntil, p.startedAt = [2][]job{}, 0, false, 0, now
}
