package node

import (
	"time"

	"dahliaspindle/internal/interwork"
)

// inboxLogInterval is the time between two log records on the inbox.
const inboxLogInterval = time.Second

// Shares of the inbox. The goroutines of all connections run on one processor with the core's: a connection
// that is read without a limit takes that processor from the core and from the other connections.
const (
	maxInputsPerCaller = 2  // lets the end of a connection be noticed behind a message
	maxInputsPerLink   = 16 // an exchange answers many calls
)

// inboxShare bounds the inputs of one connection that wait for the core. The connection is not read while its
// share is used up, so that connections take turns and a fast sender is slowed down by its own socket.
type inboxShare struct {
	node  *Node
	slots chan struct{}
}

func newInboxShare(n *Node, inputs int) *inboxShare {
	return &inboxShare{node: n, slots: make(chan struct{}, inputs)}
}

// acquire waits until an input may be enqueued.
func (s *inboxShare) acquire() {
	select {
	case s.slots <- struct{}{}:
	case <-s.node.ctx.Done():
	}
}

// enqueue passes an input to the core's goroutine, which releases what was acquired for it.
func (s *inboxShare) enqueue(in interwork.Input) {
	s.node.enqueue(sharedInput{Input: in, share: s, queuedAt: s.node.now()})
}

// release lets the next input be enqueued.
func (s *inboxShare) release() {
	select {
	case <-s.slots:
	default: // the node is stopping, and nothing was acquired
	}
}

// inboxStats tells how long inputs waited for the core since the last log record.
type inboxStats struct {
	inputs      int
	longestWait time.Duration
	nextLogAt   time.Duration
}

// note records that an input is handled after a wait.
func (s *inboxStats) note(wait time.Duration) {
	s.inputs++
	s.longestWait = max(s.longestWait, wait)
}

// log logs the statistics once per inboxLogInterval.
func (s *inboxStats) log(n *Node) {
	now := n.now()
	if now < s.nextLogAt {
		return
	}
	n.log.Debug("inbox", "handled", s.inputs, "longest_wait", s.longestWait, "waiting", len(n.inbox), "shed", n.shedSetUps.Load())
	*s = inboxStats{nextLogAt: now + inboxLogInterval}
}
