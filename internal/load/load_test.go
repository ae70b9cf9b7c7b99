package load

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"dahliaspindle/internal/memnet"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/transport"
)

// server answers every third Add well, every third with a refusal, the rest
// never; it stops answering for a while in the middle.
type server struct {
	n      int
	start  time.Time
	opened map[string]bool
	t      *testing.T
}

func (s *server) Message(c *transport.Conn[*signal.Message], m *signal.Message) {
	switch m.Command {
	case signal.Add:
		s.n++
		d := time.Duration(0)
		if passed := time.Since(s.start); passed > time.Second && passed < 2*time.Second {
			d = 2*time.Second - passed
		}
		switch s.n % 3 {
		case 0:
			s.opened[m.Termination] = true
			time.AfterFunc(d, func() { c.Send(m.NewReply(), 0) })
		case 1:
			time.AfterFunc(d, func() { c.Send(m.NewErrorReply(signal.InsufficientResources, "refused"), 0) })
		}
	case signal.Subtract:
		if !s.opened[m.Termination] {
			s.t.Errorf("released %s, which did not stand", m.Termination)
		}
		delete(s.opened, m.Termination)
	}
}
func (*server) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}
func (*server) Unsent(*transport.Conn[*signal.Message], *signal.Message)                {}
func (*server) Closed(*transport.Conn[*signal.Message], error)                          {}

func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		ln, err := n.Listen()
		if err != nil {
			t.Fatal(err)
		}
		s := &server{start: time.Now(), opened: map[string]bool{}, t: t}
		go func() {
			nc, err := ln.Accept()
			if err == nil {
				transport.Start(nc, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, s)
			}
		}()
		r, err := Run(t.Context(), Options{To: []string{ln.Addr().String()}, Rate: 300, For: 3 * time.Second, Classes: []string{"x"},
			Dests: []int{1}, Patience: 2 * time.Second, Holding: 100 * time.Millisecond, Conns: 1, Seed: 7,
			Dial: func(ctx context.Context, addr string) (net.Conn, error) { return n.Dial(ctx, addr) }})
		if err != nil {
			t.Fatal(err)
		}
		sum := int64(0)
		for _, row := range r.Rows {
			sum += row.Calls
		}
		if sum != int64(r.Offered) || r.Offered < 800 || r.Offered > 1000 {
			t.Errorf("%d calls offered, %d booked", r.Offered, sum)
		}
		// the second in which nothing was answered shows in full: arrivals did not wait for it
		if st := r.Rows[stood]; st.Calls != int64(r.Offered/3) || st.Most < 900*time.Millisecond || st.P50 > 10*time.Millisecond {
			t.Errorf("%+v", st)
		}
		if r.Rows[unanswered].Calls < int64(r.Offered/3) || r.Rows[refused].Calls == 0 {
			t.Errorf("%+v", r.Rows)
		}
		if len(s.opened) != 0 {
			t.Errorf("%d calls were never released", len(s.opened))
		}
	})
}
