// Package exlist stands in for the exchange list: it tells each controller of
// changes, seconds late and in order. It has no socket and no clock.
package exlist

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dahliaspindle/internal/signal"
)

// Entry is one line of the list.
type Entry struct {
	ID    uint32
	Cell  int
	State string        // in, draining or out
	Since time.Duration // since 1970, 0 long ago
	Addr  string
}

func (e Entry) line() string {
	return fmt.Sprintf("%d cell=%d state=%s since=%d at=%s", e.ID, e.Cell, e.State, e.Since.Milliseconds(), e.Addr)
}

// Sched is the time that the list lives in.
type Sched interface {
	Now() time.Duration
	After(d time.Duration, f func())
}

// Conn is one controller's connection.
type Conn struct {
	Send       func(*signal.Message)
	subscribed bool
	tx         uint32
	last       time.Duration // nothing overtakes what was told before
}

// List is the exchange list.
type List struct {
	s       Sched
	rnd     *rand.Rand
	notice  time.Duration
	entries []Entry
	conns   []*Conn
}

// New makes a list that tells of changes late by notice, on average.
func New(s Sched, rnd *rand.Rand, notice time.Duration) *List {
	return &List{s: s, rnd: rnd, notice: notice}
}

// Set changes a line, or adds one.
func (l *List) Set(e Entry) {
	found := false
	for i := range l.entries {
		if l.entries[i].ID == e.ID {
			l.entries[i], found = e, true
		}
	}
	if !found {
		l.entries = append(l.entries, e)
	}
	for _, c := range l.conns {
		if !c.subscribed {
			continue
		}
		late := time.Duration(float64(l.notice) * (0.5 + l.rnd.Float64()))
		at := max(l.s.Now()+late, c.last)
		c.last = at
		l.s.After(at-l.s.Now(), func() {
			if !c.subscribed {
				return
			}
			c.tx++
			c.Send((&signal.Message{ID: c.tx, Command: signal.Notify, Termination: signal.Root}).Put("Exchange", e.line()))
		})
	}
}

// Open takes a connection.
func (l *List) Open(send func(*signal.Message)) *Conn {
	c := &Conn{Send: send}
	l.conns = append(l.conns, c)
	return c
}

// Closed ends one.
func (l *List) Closed(c *Conn) {
	c.subscribed = false
	for i := range l.conns {
		if l.conns[i] == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}

// entriesAPage bounds one message; further ones bring the rest as changes.
const entriesAPage = 100

// Message takes a message from a controller.
func (l *List) Message(c *Conn, m *signal.Message) {
	if m.Kind != signal.Request {
		return
	}
	c.Send(m.NewReply())
	if m.Command != signal.Modify || m.Get("Events") != "list" || c.subscribed {
		return
	}
	c.subscribed = true
	for i := 0; i == 0 || i < len(l.entries); i += entriesAPage {
		c.tx++
		n := &signal.Message{ID: c.tx, Command: signal.Notify, Termination: signal.Root}
		n.PutFlag("Complete", i == 0)
		for _, e := range l.entries[i:min(i+entriesAPage, len(l.entries))] {
			n.Put("Exchange", e.line())
		}
		c.Send(n)
	}
}
