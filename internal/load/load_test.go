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

// scriptedController answers every third Add well, every third with a refusal, the rest
// never; it stops answering for a while in the middle.
type scriptedController struct {
	n      int
	start  time.Time
	opened map[string]bool
	t      *testing.T
}

func (s *scriptedController) Message(c *transport.Conn[*signal.Message], m *signal.Message) {
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
func (*scriptedController) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}
func (*scriptedController) Unsent(*transport.Conn[*signal.Message], *signal.Message)                {}
func (*scriptedController) Closed(*transport.Conn[*signal.Message], error)                          {}

func TestDelayCountsFromDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		ln, err := n.Listen()
		if err != nil {
			t.Fatal(err)
		}
		s := &scriptedController{start: time.Now(), opened: map[string]bool{}, t: t}
		go func() {
			nc, err := ln.Accept()
			if err == nil {
				transport.Start(nc, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, s)
			}
		}()
		r, err := Run(t.Context(), Options{Addresses: []string{ln.Addr().String()}, Rate: 300, Duration: 3 * time.Second, Classes: []string{"x"},
			Destinations: []int{1}, Patience: 2 * time.Second, MeanHoldingTime: 100 * time.Millisecond, ConnsPerAddress: 1, Seed: 7,
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
		if st := r.Rows[established]; st.Calls != int64(r.Offered/3) || st.Max < 900*time.Millisecond || st.P50 > 10*time.Millisecond {
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
