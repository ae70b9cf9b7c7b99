package virtual

import (
	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/signal"
)

// connection is one connection between a controller and a stand-in. What is said
// arrives a hop later, in order; what is under way towards an end that has
// closed is lost, as with a socket.
type connection struct {
	runner *Runner
	node   *node
	peer   controller.Peer
	port   *exchangePort // of an exchange that a controller dialled, or that dialled for its calls in transit; nil else

	onMessage          func(*signal.Message) // to the stand-in
	onClosed           func()                // tells the stand-in
	controllerOpen     bool                  // the controller's end is open
	remoteOpen         bool                  // the stand-in's end is open
	unread             []*signal.Message     // read by nobody: the stand-in's reader stalls
	controllerRecorder *capture.ConnRecorder
	remoteRecorder     *capture.ConnRecorder
	subjectToFaults    bool // the door's faults hit it
}

// maxUnreadMessages is how many messages fit between a controller and a stand-in that does
// not read, before the controller's own queue fills: about a loopback socket's
// buffers. What a full queue would do (refuse set-ups, then close) begins there.
const maxUnreadMessages = 8192

// sendToRemote takes a message of the controller; false if it does not leave.
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

// arriveAtRemote is a message at the stand-in's end.
func (c *connection) arriveAtRemote(message *signal.Message) {
	switch {
	case !c.remoteOpen:
	case c.subjectToFaults && (c.port.stalled || len(c.unread) > 0):
		c.unread = append(c.unread, message)
	default:
		c.deliverToRemote(message)
	}
}

func (c *connection) deliverToRemote(message *signal.Message) {
	if c.remoteRecorder != nil {
		c.remoteRecorder.Received(message.Append(nil))
	}
	if !(c.subjectToFaults && c.port.halfOpen) {
		c.onMessage(message)
	}
}

// resumeReading lets a reader that had stalled go on.
func (c *connection) resumeReading() {
	unread := c.unread
	c.unread = nil
	for _, message := range unread {
		if c.remoteOpen {
			c.deliverToRemote(message)
		}
	}
}

// sendToController takes a message of the stand-in.
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

// close ends the connection from one side; the other hears of it a hop later.
func (c *connection) close(reason string, byController bool) {
	if byController {
		c.closeControllerEnd(reason)
		c.runner.clock.After(c.runner.hopDelay, func() { c.closeRemoteEnd("closed by the peer") })
	} else {
		c.closeRemoteEnd(reason)
		c.runner.clock.After(c.runner.hopDelay, func() { c.closeControllerEnd("closed by the peer") })
	}
}

func (c *connection) closeRemoteEnd(reason string) {
	if !c.remoteOpen {
		return
	}
	c.remoteOpen, c.unread = false, nil
	c.remoteRecorder.Closed(reason)
	c.onClosed()
}

func (c *connection) closeControllerEnd(reason string) {
	if !c.controllerOpen {
		return
	}
	c.controllerOpen = false
	c.controllerRecorder.Closed(reason)
	c.node.connectionLost(c)
}
