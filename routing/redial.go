package routing

import "time"

const maxRecentNumbers = 4096 // called numbers kept in each of the two generations

// firstAttempt returns when the caller first attempted this call, and whether
// the aim has passed since then.
//
// Where callers do not mark repeated attempts, a call to a number that was
// called recently counts as a redial. This keeps redials from crowding out
// first attempts. It disadvantages callers of a number that many people call at
// the same time.
func (c *Controller) firstAttempt(offered Call, class Class) (time.Duration, bool) {
	if offered.Transit || offered.Reconnect || !offered.HasCalledNumber {
		return c.now, offered.Repeat && !offered.Reconnect
	}
	first, known := c.recentNumbers[offered.CalledNumber]
	if !known {
		first, known = c.olderNumbers[offered.CalledNumber]
	}
	if !known || c.now-first > class.GiveUp || c.settings.MarksRepeat && !offered.Repeat {
		if c.now-c.numbersRotatedAt > class.GiveUp || len(c.recentNumbers) >= maxRecentNumbers {
			c.recentNumbers, c.olderNumbers, c.numbersRotatedAt =
				map[uint64]time.Duration{}, c.recentNumbers, c.now
		}
		c.recentNumbers[offered.CalledNumber] = c.now
		return c.now, offered.Repeat
	}
	return first, c.now-first >= class.Aim
}
