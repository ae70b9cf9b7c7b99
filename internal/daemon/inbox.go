package daemon

import (
	"sync"

	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/signal"
)

// inbox is the bounded queue between the edges and the core.
type inbox struct {
	intake guard.Intake

	mu     sync.Mutex
	room   sync.Cond
	items  []controller.Input
	spare  []controller.Input
	turned int
	closed bool
	wake   chan struct{}
}

func newInbox(most int) *inbox {
	b := &inbox{intake: guard.Intake{Capacity: most}, wake: make(chan struct{}, 1)}
	b.room.L = &b.mu
	return b
}

// put queues an input, waiting for room where the guard says so; false if it
// was shed, or the inbox is closed.
func (b *inbox) put(k guard.Kind, in controller.Input) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if b.closed {
			return false
		}
		switch b.intake.Admit(k, len(b.items)) {
		case guard.Shed:
			b.turned++
			return false
		case guard.Wait:
			b.room.Wait()
			continue
		}
		b.items = append(b.items, in)
		select {
		case b.wake <- struct{}{}:
		default:
		}
		return true
	}
}

// take hands over all that is queued, valid until the next call.
func (b *inbox) take() []controller.Input {
	b.mu.Lock()
	defer b.mu.Unlock()
	got := b.items
	clear(b.spare)
	b.items, b.spare = b.spare[:0], got
	if b.turned > 0 {
		got = append(got, controller.Input{Kind: controller.InputShed, Count: b.turned})
		b.turned = 0
	}
	b.room.Broadcast()
	return got
}

func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.room.Broadcast()
}

// kindOf tells what the loss of an input would cost.
func kindOf(in controller.Input) guard.Kind {
	switch {
	case in.Kind != controller.InputMessage || in.Message.FreesResources():
		return guard.Completion
	case in.Peer.Role == controller.RoleCaller && in.Message.Command == signal.Add:
		return guard.NewCall
	}
	return guard.StatusUpdate
}
