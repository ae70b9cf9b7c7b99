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

// scriptedController accepts a third of the calls, refuses a third and never answers
// the others. It delays all answers of the second second to its end.
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
			s.t.Errorf("released %s, which was not established", message.Termination)
		}
		delete(s.established, message.Termination)
	}
}
func (*scriptedController) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}
func (*scriptedController) Unsent(*transport.Conn[*signal.Message], *signal.Message)                {}
func (*scriptedController) Closed(*transport.Conn[*signal.Message], error)                          {}

// Calls are generated in an open loop: a pause of the controller appears in the delays
// in full, because later calls do not wait for it. All calls are counted, and all
// established ones released.
func TestDelayCountsFromDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		listener, err := network.Listen()
		if err != nil {
			t.Fatal(err)
		}
		server := &scriptedController{startedAt: time.Now(), established: map[string]bool{}, t: t}
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				transport.Start(conn, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, server)
			}
		}()
		result, err := Run(t.Context(), Options{
			Addresses:       []string{listener.Addr().String()},
			Rate:            300,
			Duration:        3 * time.Second,
			Classes:         []string{"x"},
			Destinations:    []int{1},
			Patience:        2 * time.Second,
			MeanHoldingTime: 100 * time.Millisecond,
			ConnsPerAddress: 1,
			Seed:            7,
			Dial:            func(ctx context.Context, address string) (net.Conn, error) { return network.Dial(ctx, address) },
		})
		if err != nil {
			t.Fatal(err)
		}
		sum := int64(0)
		for _, row := range result.Rows {
			sum += row.Calls
		}
		if sum != int64(result.Offered) || result.Offered < 800 || result.Offered > 1000 {
			t.Errorf("%d calls offered, %d counted", result.Offered, sum)
		}
		// The pause of one second appears in full.
		// The median shows that calls outside the pause were not delayed.
		if answered := result.Rows[established]; answered.Calls != int64(result.Offered/3) || answered.Max < 900*time.Millisecond || answered.P50 > 10*time.Millisecond {
			t.Errorf("established calls: %+v", answered)
		}
		if result.Rows[unanswered].Calls < int64(result.Offered/3) || result.Rows[refused].Calls == 0 {
			t.Errorf("calls by outcome: %+v", result.Rows)
		}
		if len(server.established) != 0 {
			t.Errorf("%d calls were never released", len(server.established))
		}
	})
}
