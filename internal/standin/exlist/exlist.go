// Package exlist simulates the exchange list: it notifies each controller of
// changes, in order and with a random delay. It uses neither sockets nor a clock of
// its own.
package exlist

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dahliaspindle/internal/signal"
)

// Entry is the list's entry for one exchange.
type Entry struct {
	ID        uint32
	Number    int           // exchange number
	State     string        // in, draining or out
	StartedAt time.Duration // since 1970; 0: started long ago
	Addr      string
}

// text returns the entry in the format of the Exchange descriptor.
func (e Entry) text() string {
	return fmt.Sprintf("%d cell=%d state=%s since=%d at=%s", e.ID, e.Number, e.State, e.StartedAt.Milliseconds(), e.Addr)
}

// Scheduler provides virtual or real time to the list.
type Scheduler interface {
	Now() time.Duration
	After(delay time.Duration, callback func())
}

// Conn is the connection of one controller.
type Conn struct {
	Send            func(*signal.Message)
	subscribed      bool
	lastTransaction uint32
	lastDelivery    time.Duration // scheduled time of the last notification; later ones must not overtake it
}

// List is the simulated exchange list.
type List struct {
	scheduler Scheduler
	random    *rand.Rand
	meanDelay time.Duration
	entries   []Entry
	conns     []*Conn
}

// New returns an empty list that delays notifications by meanDelay on average.
func New(scheduler Scheduler, random *rand.Rand, meanDelay time.Duration) *List {
	return &List{scheduler: scheduler, random: random, meanDelay: meanDelay}
}

// Update replaces or adds the entry of an exchange and notifies all subscribed
// controllers.
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

// OpenConn registers a new connection of a controller.
func (l *List) OpenConn(send func(*signal.Message)) *Conn {
	conn := &Conn{Send: send}
	l.conns = append(l.conns, conn)
	return conn
}

// ConnClosed removes a closed connection.
func (l *List) ConnClosed(conn *Conn) {
	conn.subscribed = false
	for i := range l.conns {
		if l.conns[i] == conn {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}

// maxEntriesPerMessage limits the entries of one notification. The entries beyond it
// follow in further notifications, as changes.
const maxEntriesPerMessage = 100

// HandleMessage handles a message from a controller. A first subscription is answered
// with the whole list.
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
