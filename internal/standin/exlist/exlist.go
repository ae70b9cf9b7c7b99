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
	ID        uint32
	Number    int
	State     string        // in, draining or out
	StartedAt time.Duration // since 1970, 0 long ago
	Addr      string
}

func (e Entry) text() string {
	return fmt.Sprintf("%d cell=%d state=%s since=%d at=%s", e.ID, e.Number, e.State, e.StartedAt.Milliseconds(), e.Addr)
}

// Scheduler is the time that the list lives in.
type Scheduler interface {
	Now() time.Duration
	After(d time.Duration, f func())
}

// Conn is one controller's connection.
type Conn struct {
	Send            func(*signal.Message)
	subscribed      bool
	lastTransaction uint32
	lastDelivery    time.Duration // nothing overtakes what was told before
}

// List is the exchange list.
type List struct {
	scheduler Scheduler
	random    *rand.Rand
	meanDelay time.Duration
	entries   []Entry
	conns     []*Conn
}

// New makes a list that tells of changes late by notice, on average.
func New(s Scheduler, rnd *rand.Rand, notice time.Duration) *List {
	return &List{scheduler: s, random: rnd, meanDelay: notice}
}

// Update changes a line, or adds one.
func (l *List) Update(e Entry) {
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
		late := time.Duration(float64(l.meanDelay) * (0.5 + l.random.Float64()))
		at := max(l.scheduler.Now()+late, c.lastDelivery)
		c.lastDelivery = at
		l.scheduler.After(at-l.scheduler.Now(), func() {
			if !c.subscribed {
				return
			}
			c.lastTransaction++
			c.Send((&signal.Message{ID: c.lastTransaction, Command: signal.Notify, Termination: signal.Root}).Put("Exchange", e.text()))
		})
	}
}

// OpenConn takes a connection.
func (l *List) OpenConn(send func(*signal.Message)) *Conn {
	c := &Conn{Send: send}
	l.conns = append(l.conns, c)
	return c
}

// ConnClosed ends one.
func (l *List) ConnClosed(c *Conn) {
	c.subscribed = false
	for i := range l.conns {
		if l.conns[i] == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}

// maxEntriesPerMessage bounds one message; further ones bring the rest as changes.
const maxEntriesPerMessage = 100

// HandleMessage takes a message from a controller.
func (l *List) HandleMessage(c *Conn, m *signal.Message) {
	if m.Kind != signal.Request {
		return
	}
	c.Send(m.NewReply())
	if m.Command != signal.Modify || m.Get("Events") != "list" || c.subscribed {
		return
	}
	c.subscribed = true
	for i := 0; i == 0 || i < len(l.entries); i += maxEntriesPerMessage {
		c.lastTransaction++
		n := &signal.Message{ID: c.lastTransaction, Command: signal.Notify, Termination: signal.Root}
		n.PutFlag("Complete", i == 0)
		for _, e := range l.entries[i:min(i+maxEntriesPerMessage, len(l.entries))] {
			n.Put("Exchange", e.text())
		}
		c.Send(n)
	}
}
