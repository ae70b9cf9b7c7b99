package virtual

import "time"

// Clock is virtual time: it stands still while an event is worked on and jumps
// to the next. It is the Sched of all stand-ins.
type Clock struct {
	now    time.Duration
	queue  queue
	events uint64
}

// Now is the time of the event at hand, since 1970.
func (c *Clock) Now() time.Duration { return c.now }

// After calls f when d has passed.
func (c *Clock) After(delay time.Duration, callback func()) {
	c.queue.push(c.now+max(delay, 0), callback)
}

// Events counts what has happened.
func (c *Clock) Events() uint64 { return c.events }

// Run lets time pass until over says so after an event, or nothing is to come,
// or the end is reached; it tells whether over did.
func (c *Clock) Run(end time.Duration, finished func() bool) bool {
	for c.queue.len() > 0 && c.queue.next() <= end {
		eventTime, callback := c.queue.pop()
		c.now = eventTime
		c.events++
		callback()
		if finished() {
			return true
		}
	}
	return false
}
