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
func New(scheduler Scheduler, random *rand.Rand, meanDelay time.Duration) *List {
	return &List{scheduler: scheduler, random: random, meanDelay: meanDelay}
}

// Update changes a line, or adds one.
func (l *List) Update(entry Entry) {
	found := false
	for i := range l.entries {
		if l.entries[i].ID == entry.ID {
			l.entries[i], found = entry, true
		}
	}
	if !found {
		l.entries = append(l.entries, entry)
	}
	for _, conn := range l.conns {
		if !conn.subscribed {
			continue
		}
		delay := time.Duration(float64(l.meanDelay) * (0.5 + l.random.Float64()))
		deliverAt := max(l.scheduler.Now()+delay, conn.lastDelivery)
		conn.lastDelivery = deliverAt
		l.scheduler.After(deliverAt-l.scheduler.Now(), func() {
			if !conn.subscribed {
				return
			}
			conn.lastTransaction++
			conn.Send((&signal.Message{ID: conn.lastTransaction, Command: signal.Notify, Termination: signal.Root}).Put("Exchange", entry.text()))
		})
	}
}

// OpenConn takes a connection.
func (l *List) OpenConn(send func(*signal.Message)) *Conn {
	conn := &Conn{Send: send}
	l.conns = append(l.conns, conn)
	return conn
}

// ConnClosed ends one.
func (l *List) ConnClosed(conn *Conn) {
	conn.subscribed = false
	for i := range l.conns {
		if l.conns[i] == conn {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}

// maxEntriesPerMessage bounds one message; further ones bring the rest as changes.
const maxEntriesPerMessage = 100

// HandleMessage takes a message from a controller.
func (l *List) HandleMessage(conn *Conn, request *signal.Message) {
	if request.Kind != signal.Request {
		return
	}
	conn.Send(request.NewReply())
	if request.Command != signal.Modify || request.Get("Events") != "list" || conn.subscribed {
		return
	}
	conn.subscribed = true
	for first := 0; first == 0 || first < len(l.entries); first += maxEntriesPerMessage {
		conn.lastTransaction++
		notification := &signal.Message{ID: conn.lastTransaction, Command: signal.Notify, Termination: signal.Root}
		notification.PutFlag("Complete", first == 0)
		for _, entry := range l.entries[first:min(first+maxEntriesPerMessage, len(l.entries))] {
			notification.Put("Exchange", entry.text())
		}
		conn.Send(notification)
	}
}
