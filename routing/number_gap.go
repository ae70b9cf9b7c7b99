package routing

import "time"

const (
	maxBusyNumbers     = 512
	minBusyReports     = 2                // reports of busy lines before attempts are spaced out
	busyReportLifetime = 10 * time.Second // the reports of a number are forgotten after this long without one
	maxNumberGap       = 4 * time.Second  // between attempts to a busy number
)

// busyNumber counts the reports of busy lines of one called number.
type busyNumber struct {
	reports, pendingAttempts int
	lastReport, blockedUntil time.Duration
}

// numberBlocked reports whether a call to a busy number is refused for now.
//
// It limits a burst of calls to one number with few lines: after
// minBusyReports reports, one attempt at a time is made, at growing intervals.
// A single report has no effect. The limit costs calls when the lines clear at
// once.
func (c *Controller) numberBlocked(number *busyNumber) bool {
	return c.now-number.lastReport <= busyReportLifetime && number.reports >= minBusyReports &&
		(number.pendingAttempts > 0 || c.now < number.blockedUntil)
}

// recordBusyNumber counts a report of busy lines; record is nil for the first
// one of a number.
func (c *Controller) recordBusyNumber(calledNumber uint64, record *busyNumber) {
	if record == nil {
		if len(c.busyNumbers) >= maxBusyNumbers {
			c.busyNumbers = map[uint64]*busyNumber{}
		}
		record = &busyNumber{}
		c.busyNumbers[calledNumber] = record
	}
	if c.now-record.lastReport > busyReportLifetime {
		record.reports = 0
	}
	record.reports++
	record.lastReport = c.now
	record.blockedUntil = c.now + min(setupGap<<min(record.reports, 8), maxNumberGap)
}
