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
func (w *connection) sendToRemote(m *signal.Message) bool {
	if !w.controllerOpen {
		return false
	}
	if len(w.unread) >= maxUnreadMessages {
		if m.Kind != signal.Request || m.Command != signal.Add {
			w.close("the peer reads too slowly", true)
		}
		return false
	}
	if w.controllerRecorder != nil {
		w.controllerRecorder.Sent(w.controllerRecorder.Now(), m.Append(nil))
	}
	w.runner.clock.After(w.runner.hopDelay, func() { w.arriveAtRemote(m) })
	return true
}

// arriveAtRemote is a message at the stand-in's end.
func (w *connection) arriveAtRemote(m *signal.Message) {
	switch {
	case !w.remoteOpen:
	case w.subjectToFaults && (w.port.stalled || len(w.unread) > 0):
		w.unread = append(w.unread, m)
	default:
		w.deliverToRemote(m)
	}
}

func (w *connection) deliverToRemote(m *signal.Message) {
	if w.remoteRecorder != nil {
		w.remoteRecorder.Received(m.Append(nil))
	}
	if !(w.subjectToFaults && w.port.halfOpen) {
		w.onMessage(m)
	}
}

// resumeReading lets a reader that had stalled go on.
func (w *connection) resumeReading() {
	held := w.unread
	w.unread = nil
	for _, m := range held {
		if w.remoteOpen {
			w.deliverToRemote(m)
		}
	}
}

// sendToController takes a message of the stand-in.
func (w *connection) sendToController(m *signal.Message) bool {
	if !w.remoteOpen || w.subjectToFaults && w.port.halfOpen {
		return w.remoteOpen
	}
	if w.remoteRecorder != nil {
		w.remoteRecorder.Sent(w.remoteRecorder.Now(), m.Append(nil))
	}
	w.runner.clock.After(w.runner.hopDelay, func() {
		if w.controllerOpen {
			if w.controllerRecorder != nil {
				w.controllerRecorder.Received(m.Append(nil))
			}
			w.node.handleInput(controller.Input{Kind: controller.InputMessage, Peer: w.peer, Message: m})
		}
	})
	return true
}

// close ends the connection from one side; the other hears of it a hop later.
func (w *connection) close(why string, byController bool) {
	if byController {
		w.closeControllerEnd(why)
		w.runner.clock.After(w.runner.hopDelay, func() { w.closeRemoteEnd("closed by the peer") })
	} else {
		w.closeRemoteEnd(why)
		w.runner.clock.After(w.runner.hopDelay, func() { w.closeControllerEnd("closed by the peer") })
	}
}

func (w *connection) closeRemoteEnd(why string) {
	if !w.remoteOpen {
		return
	}
	w.remoteOpen, w.unread = false, nil
	w.remoteRecorder.Closed(why)
	w.onClosed()
}

func (w *connection) closeControllerEnd(why string) {
	if !w.controllerOpen {
		return
	}
	w.controllerOpen = false
	w.controllerRecorder.Closed(why)
	w.node.connectionLost(w)
}
