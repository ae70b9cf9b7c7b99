package virtual

import "time"

// Clock is a virtual clock. It stands still while an event is handled and jumps to
// the time of the next one. It is the scheduler of the whole simulation.
type Clock struct {
	now    time.Duration
	queue  queue
	events uint64
}

// Now returns the time of the current event since 1970.
func (c *Clock) Now() time.Duration { return c.now }

// After calls callback after delay.
func (c *Clock) After(delay time.Duration, callback func()) {
	c.queue.push(c.now+max(delay, 0), callback)
}

// Events returns the number of events handled.
func (c *Clock) Events() uint64 { return c.events }

// Run handles events until finished returns true after one of them, no event is left,
// or the next one is later than end. It reports whether finished returned true.
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
