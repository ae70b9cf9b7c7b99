package virtual

import (
	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/signal"
)

// connection is a connection between a controller and a remote, which is a simulated
// exchange, the exchange list, or callers. Messages arrive in order after the hop
// delay. Messages in flight to an end that has closed are lost, as with a socket.
type connection struct {
	runner *Runner
	node   *node
	peer   controller.Peer
	port   *exchangePort // of the exchange at the remote end; nil if the remote is no exchange

	onMessage          func(*signal.Message) // delivers a message to the remote
	onClosed           func()                // notifies the remote that its end is closed
	controllerOpen     bool                  // the controller's end
	remoteOpen         bool                  // the remote's end
	unread             []*signal.Message     // arrived while the remote does not read
	controllerRecorder *capture.ConnRecorder
	remoteRecorder     *capture.ConnRecorder
	subjectToFaults    bool // of the port
}

// maxUnreadMessages is the number of messages that a remote that does not read can
// leave unread, about what the buffers of a loopback socket hold. Beyond it the
// connection behaves like one with a full send queue: it rejects set-ups, and closes
// at any other message.
const maxUnreadMessages = 8192

// sendToRemote sends a message of the controller. It returns false if the message
// can't be sent.
func (c *connection) sendToRemote(message *signal.Message) bool {
	if !c.controllerOpen {
		return false
	}
	if len(c.unread) >= maxUnreadMessages {
		if message.Kind != signal.Request || message.Command != signal.Add {
			c.close("the peer reads too slowly", true)
		}
		return false
	}
	if c.controllerRecorder != nil {
		c.controllerRecorder.Sent(c.controllerRecorder.Now(), message.Append(nil))
	}
	c.runner.clock.After(c.runner.hopDelay, func() { c.arriveAtRemote(message) })
	return true
}

// arriveAtRemote handles a message that reaches the remote's end.
func (c *connection) arriveAtRemote(message *signal.Message) {
	switch {
	case !c.remoteOpen:
	case c.subjectToFaults && (c.port.stalled || len(c.unread) > 0):
		c.unread = append(c.unread, message)
	default:
		c.deliverToRemote(message)
	}
}

// deliverToRemote passes a message to the remote, unless the connection is half open.
func (c *connection) deliverToRemote(message *signal.Message) {
	if c.remoteRecorder != nil {
		c.remoteRecorder.Received(message.Append(nil))
	}
	if !(c.subjectToFaults && c.port.halfOpen) {
		c.onMessage(message)
	}
}

// resumeReading delivers the unread messages of a remote that had stalled.
func (c *connection) resumeReading() {
	unread := c.unread
	c.unread = nil
	for _, message := range unread {
		if c.remoteOpen {
			c.deliverToRemote(message)
		}
	}
}

// sendToController sends a message of the remote. It returns false if the remote's end
// is closed.
func (c *connection) sendToController(message *signal.Message) bool {
	if !c.remoteOpen || c.subjectToFaults && c.port.halfOpen {
		return c.remoteOpen
	}
	if c.remoteRecorder != nil {
		c.remoteRecorder.Sent(c.remoteRecorder.Now(), message.Append(nil))
	}
	c.runner.clock.After(c.runner.hopDelay, func() {
		if c.controllerOpen {
			if c.controllerRecorder != nil {
				c.controllerRecorder.Received(message.Append(nil))
			}
			c.node.handleInput(controller.Input{Kind: controller.InputMessage, Peer: c.peer, Message: message})
		}
	})
	return true
}

// close closes one end of the connection, and the other one after the hop delay.
func (c *connection) close(reason string, byController bool) {
	if byController {
		c.closeControllerEnd(reason)
		c.runner.clock.After(c.runner.hopDelay, func() { c.closeRemoteEnd("closed by the peer") })
	} else {
		c.closeRemoteEnd(reason)
		c.runner.clock.After(c.runner.hopDelay, func() { c.closeControllerEnd("closed by the peer") })
	}
}

// closeRemoteEnd closes the remote's end unless it is closed.
func (c *connection) closeRemoteEnd(reason string) {
	if !c.remoteOpen {
		return
	}
	c.remoteOpen, c.unread = false, nil
	c.remoteRecorder.Closed(reason)
	c.onClosed()
}

// closeControllerEnd closes the controller's end unless it is closed.
func (c *connection) closeControllerEnd(reason string) {
	if !c.controllerOpen {
		return
	}
	c.controllerOpen = false
	c.controllerRecorder.Closed(reason)
	c.node.connectionLost(c)
}
