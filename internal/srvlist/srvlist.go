// Package srvlist maintains the exchange list of the platform. The list starts with the exchanges in the
// configuration and is updated from the answers of the platform's resolver, each of which holds the whole
// list as DNS records (RFC 1035, SRV as in RFC 2782). Updates are returned as the entries that changed.
// The package has no socket, and the time is passed in.
package srvlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"dahliaspindle/routing"
)

// Service is the DNS name under which the exchanges are listed.
const Service = "_work._tcp.fleet.local."

// MaxAnswerBytes is the maximum size of an answer in bytes.
const MaxAnswerBytes = 8 << 10

// Entry is one exchange of the list.
type Entry struct {
	Name, Addr     string
	Number         int // stable number of the exchange
	State          routing.ExchangeState
	StartUnixMilli int64 // start of the exchange, 0 if it has run from the beginning
}

// List is the exchange list in force.
type List struct {
	serial      uint64    // of latest
	latest      []Entry   // the list with the highest serial
	confirmed   []Entry   // latest, with the drains of the lists before that latest undoes and no answer has confirmed yet
	receivedAt  time.Time // when latest was received
	latestQuery uint64    // number of the latest query that was answered with it
	older       olderAnswers
	entries     []Entry // in force, sorted by name, without removed exchanges: confirmed, or restricted by older answers
}

// Serial returns the serial of the list: the number of the last event that it includes.
func (l *List) Serial() uint64 { return l.serial }

// stateByHealth maps the values of "health" in the configuration to states.
var stateByHealth = map[string]routing.ExchangeState{
	"active":  routing.InService,
	"leaving": routing.Draining,
	"left":    routing.OutOfService,
}

// ParseKnown returns the list that results from the events in a configuration read at the time now. An error
// names the entry and host that it concerns.
func ParseKnown(raw []byte, now time.Time) (*List, error) {
	var known struct {
		Pos     uint64
		Entries []struct {
			Pos   uint64
			Hosts *struct {
				Whole bool
				Hosts []struct {
					Host, Dial, Health string
					Block              *int
					Born               int64 `json:"born_ms"`
				}
			}
		}
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	l := &List{serial: known.Pos, receivedAt: now}
	for i, event := range known.Entries {
		if event.Hosts == nil {
			continue
		}
		if i == 0 || event.Hosts.Whole {
			l.entries = nil
		}
		for j, host := range event.Hosts.Hosts {
			state, ok := stateByHealth[host.Health]
			if !ok || host.Host == "" || host.Block == nil {
				return nil, fmt.Errorf("known: entry %d, host %d: missing host or block, or unknown health %q", i, j, host.Health)
			}
			if _, _, err := net.SplitHostPort(host.Dial); err != nil {
				return nil, fmt.Errorf("known: entry %d, host %d: invalid dial address: %w", i, j, err)
			}
			l.apply(Entry{host.Host, host.Dial, *host.Block, state, host.Born})
		}
	}
	l.latest, l.confirmed = l.Entries(), l.Entries()
	return l, nil
}

// find returns the index at which the entry with the given name is or would be inserted into entries.
func find(entries []Entry, name string) (int, bool) {
	return slices.BinarySearchFunc(entries, name, func(entry Entry, target string) int {
		return strings.Compare(entry.Name, target)
	})
}

// apply inserts, replaces or, if its state is OutOfService, deletes one entry. It reports whether the
// list changed.
func (l *List) apply(entry Entry) bool {
	i, listed := find(l.entries, entry.Name)
	switch {
	case entry.State == routing.OutOfService && listed:
		l.entries = slices.Delete(l.entries, i, i+1)
	case entry.State == routing.OutOfService || listed && l.entries[i] == entry:
		return false
	case listed:
		l.entries[i] = entry
	default:
		l.entries = slices.Insert(l.entries, i, entry)
	}
	return true
}

// Entries returns a copy of all entries, sorted by name.
func (l *List) Entries() []Entry { return slices.Clone(l.entries) }

// replace puts other entries in force and returns the changes: first the removed ones, with state
// OutOfService, then those that are new or different.
func (l *List) replace(entries []Entry) (changes []Entry) {
	for _, previous := range l.Entries() {
		if !slices.ContainsFunc(entries, func(entry Entry) bool { return entry.Name == previous.Name }) {
			previous.State = routing.OutOfService
			l.apply(previous)
			changes = append(changes, previous)
		}
	}
	for _, entry := range entries {
		if l.apply(entry) {
			changes = append(changes, entry)
		}
	}
	return changes
}

// ErrStale is wrapped by the error for an answer whose serial is older than the list's.
var ErrStale = errors.New("stale list")

// ApplyAnswer updates the list with an answer that arrives at the time now, and returns the entries that
// changed, the removed ones first, with state OutOfService. The query is identified by its number, whose last
// 16 bits are its message ID. An answer that is malformed, incomplete, stale or to another query changes no
// entry. Answers may arrive in another order than the queries were sent.
func (l *List) ApplyAnswer(query uint64, packet []byte, now time.Time) ([]Entry, error) {
	received, err := parseAnswer(uint16(query), packet)
	if err != nil {
		return nil, fmt.Errorf("resolver answer: %w", err)
	}
	if received.serial < l.serial {
		return l.applyOlder(query, received, now)
	}
	l.older, l.latestQuery = olderAnswers{}, max(l.latestQuery, query)
	if received.serial > l.serial {
		l.serial, l.latest, l.receivedAt = received.serial, sortedEntries(received.entries), now
	}
	if now.Sub(l.receivedAt) < drainUndoDelay {
		l.confirmed = keepDrains(l.confirmed, l.latest)
	} else {
		l.confirmed = l.latest
	}
	return l.replace(l.confirmed), nil
}
