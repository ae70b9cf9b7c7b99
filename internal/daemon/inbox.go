package daemon

import (
	"sync"

	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/signal"
)

// inbox is the bounded queue between the connections and the core.
type inbox struct {
	intake guard.Intake

	mu     sync.Mutex
	space  sync.Cond // signalled when there may be room
	items  []controller.Input
	spare  []controller.Input // slice for reuse
	shed   int                // inputs rejected since the last take
	closed bool
	ready  chan struct{} // holds a token when there is something to take
}

// newInbox returns an inbox for the given number of inputs.
func newInbox(capacity int) *inbox {
	b := &inbox{intake: guard.Intake{Capacity: capacity}, ready: make(chan struct{}, 1)}
	b.space.L = &b.mu
	return b
}

// put queues an input. Depending on its kind it is shed or waits for room when the
// inbox is filling up. put returns false if it was shed or the inbox is closed.
func (b *inbox) put(kind guard.Kind, input controller.Input) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if b.closed {
			return false
		}
		switch b.intake.Admit(kind, len(b.items)) {
		case guard.Shed:
			b.shed++
			return false
		case guard.Wait:
			b.space.Wait()
			continue
		}
		b.items = append(b.items, input)
		select {
		case b.ready <- struct{}{}:
		default:
		}
		return true
	}
}

// take returns all queued inputs, valid until the next call, and after them the number
// of inputs shed.
func (b *inbox) take() []controller.Input {
	b.mu.Lock()
	defer b.mu.Unlock()
	inputs := b.items
	clear(b.spare)
	b.items, b.spare = b.spare[:0], inputs
	if b.shed > 0 {
		inputs = append(inputs, controller.Input{Kind: controller.InputShed, Count: b.shed})
		b.shed = 0
	}
	b.space.Broadcast()
	return inputs
}

// close makes every put return false, also those that wait for room.
func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.space.Broadcast()
}

// inputKind classifies an input by the effect of its loss.
func inputKind(input controller.Input) guard.Kind {
	switch {
	case input.Kind != controller.InputMessage || input.Message.FreesResources():
		return guard.Completion
	case input.Peer.Role == controller.RoleCaller && input.Message.Command == signal.Add:
		return guard.NewCall
	}
	return guard.StatusUpdate
}
