package srvlist

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dahliaspindle/routing"
)

// Answers with an older serial than the list's have two causes. Most are outdated: a list that the resolver or
// a cache held back. But serials restart with each start of a controller, so the list itself may come from
// before the start, with a high serial, and the answers with lower serials are the current ones. The two
// cannot be told apart at once. After several older answers in a row both are respected: an exchange takes no
// new calls if either of them says so.
const (
	// olderAnswersToRestrict is the number of consecutive older answers after which they restrict the list.
	olderAnswersToRestrict = 4
	// maxRestriction is the time after which older answers replace the list. It is longer than a resolver may
	// fail to bring the current one.
	maxRestriction = 30 * time.Second
	// drainUndoDelay is the time after which a list that returns a draining process to service must be confirmed
	// by another answer. A list from before the start is followed by older answers instead.
	drainUndoDelay = time.Second
)

// olderAnswers describes the answers with a serial below the list's since the last one that was not.
type olderAnswers struct {
	consecutive     int    // to later queries each; a serial below the previous one restarts the count
	serial          uint64 // of the last one
	query           uint64 // of the last one
	restrictedSince time.Time
}

// Restricted reports whether answers with an older serial restrict the list.
func (l *List) Restricted() bool { return !l.older.restrictedSince.IsZero() }

// applyOlder handles an answer with a serial below the list's and returns the entries that changed.
func (l *List) applyOlder(query uint64, received answer, now time.Time) ([]Entry, error) {
	older := &l.older
	switch { // an answer that arrives after the answer to a later query is not counted
	case query <= max(l.latestQuery, older.query):
		return nil, staleError(received.serial, l.serial)
	case received.serial < older.serial:
		older.consecutive = 1
	default:
		older.consecutive++
	}
	older.serial, older.query = received.serial, query
	if older.consecutive < olderAnswersToRestrict {
		return nil, staleError(received.serial, l.serial)
	}
	if older.restrictedSince.IsZero() {
		older.restrictedSince = now
	}
	entries := sortedEntries(received.entries)
	if now.Sub(older.restrictedSince) < maxRestriction {
		return l.replace(restrict(l.confirmed, entries, l.receivedAt)), nil
	}
	l.serial, l.latest, l.receivedAt = received.serial, keepDrains(l.confirmed, entries), now
	l.confirmed = l.latest
	l.older, l.latestQuery = olderAnswers{}, query
	return l.replace(l.confirmed), nil
}

func staleError(serial, current uint64) error {
	return fmt.Errorf("resolver answer: %w: serial %d, already at %d", ErrStale, serial, current)
}

// restrict returns the entries of the list, in which an exchange takes new calls only if the list and the older
// answer agree. An exchange that the older answer does not name drains, so that its calls continue in case it
// is a new one. A process that started later than the other list can know of is taken from the answer.
func restrict(latest, older []Entry, latestReceivedAt time.Time) []Entry {
	var restricted []Entry
	for _, entry := range latest {
		i, named := find(older, entry.Name)
		switch {
		case !named:
			entry.State = routing.Draining
		case older[i].StartUnixMilli > entry.StartUnixMilli:
			entry = older[i]
		case older[i].StartUnixMilli == entry.StartUnixMilli:
			entry.State = max(entry.State, older[i].State)
		}
		restricted = append(restricted, entry)
	}
	for _, entry := range older {
		if _, named := find(latest, entry.Name); !named && entry.StartUnixMilli > latestReceivedAt.UnixMilli() {
			restricted = append(restricted, entry)
		}
	}
	return restricted
}

// keepDrains returns the entries of another list, in which a process that drains in the present one drains too.
func keepDrains(present, other []Entry) []Entry {
	kept := slices.Clone(other)
	for i, entry := range kept {
		if j, named := find(present, entry.Name); named && present[j].StartUnixMilli == entry.StartUnixMilli {
			kept[i].State = max(entry.State, present[j].State)
		}
	}
	return kept
}

// sortedEntries returns the entries sorted by name.
func sortedEntries(entries []Entry) []Entry {
	return slices.SortedFunc(slices.Values(entries), func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
}
