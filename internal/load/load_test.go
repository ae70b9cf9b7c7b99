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
	setUps      int
	startedAt   time.Time
	established map[string]bool
	t           *testing.T
}

func (s *scriptedController) Message(conn *transport.Conn[*signal.Message], message *signal.Message) {
	switch message.Command {
	case signal.Add:
		s.setUps++
		delay := time.Duration(0)
		if elapsed := time.Since(s.startedAt); elapsed > time.Second && elapsed < 2*time.Second {
			delay = 2*time.Second - elapsed
		}
		switch s.setUps % 3 {
		case 0:
			s.established[message.Termination] = true
			time.AfterFunc(delay, func() { conn.Send(message.NewReply(), 0) })
		case 1:
			time.AfterFunc(delay, func() { conn.Send(message.NewErrorReply(signal.InsufficientResources, "refused"), 0) })
		}
	case signal.Subtract:
		if !s.established[message.Termination] {
			s.t.Errorf("released %s, which did not stand", message.Termination)
		}
		delete(s.established, message.Termination)
	}
}
func (*scriptedController) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}
func (*scriptedController) Unsent(*transport.Conn[*signal.Message], *signal.Message)                {}
func (*scriptedController) Closed(*transport.Conn[*signal.Message], error)                          {}

func TestDelayCountsFromDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		listener, err := network.Listen()
		if err != nil {
			t.Fatal(err)
		}
		controller := &scriptedController{startedAt: time.Now(), established: map[string]bool{}, t: t}
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				transport.Start(conn, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, controller)
			}
		}()
		result, err := Run(t.Context(), Options{Addresses: []string{listener.Addr().String()}, Rate: 300, Duration: 3 * time.Second, Classes: []string{"x"},
			Destinations: []int{1}, Patience: 2 * time.Second, MeanHoldingTime: 100 * time.Millisecond, ConnsPerAddress: 1, Seed: 7,
			Dial: func(ctx context.Context, addr string) (net.Conn, error) { return network.Dial(ctx, addr) }})
		if err != nil {
			t.Fatal(err)
		}
		sum := int64(0)
		for _, row := range result.Rows {
			sum += row.Calls
		}
		if sum != int64(result.Offered) || result.Offered < 800 || result.Offered > 1000 {
			t.Errorf("%d calls offered, %d booked", result.Offered, sum)
		}
		// the second in which nothing was answered shows in full: arrivals did not wait for it
		if answered := result.Rows[established]; answered.Calls != int64(result.Offered/3) || answered.Max < 900*time.Millisecond || answered.P50 > 10*time.Millisecond {
			t.Errorf("%+v", answered)
		}
		if result.Rows[unanswered].Calls < int64(result.Offered/3) || result.Rows[refused].Calls == 0 {
			t.Errorf("%+v", result.Rows)
		}
		if len(controller.established) != 0 {
			t.Errorf("%d calls were never released", len(controller.established))
		}
	})
}
