package virtual

import (
	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/signal"
)

// wire is one connection between a controller and a stand-in. What is said
// arrives a hop later, in order; what is under way towards an end that has
// closed is lost, as with a socket.
type wire struct {
	r    *Runner
	n    *node
	peer controller.Peer
	door *door // of an exchange that a controller dialled, or that dialled for its calls in transit; nil else

	message func(*signal.Message) // to the stand-in
	closed  func()                // tells the stand-in
	near    bool                  // the controller's end is open
	far     bool                  // the stand-in's end is open
	held    []*signal.Message     // read by nobody: the stand-in's reader stalls
	nearTap *capture.ConnRecorder
	farTap  *capture.ConnRecorder
	faulty  bool // the door's faults hit it
}

// pipe is how many messages fit between a controller and a stand-in that does
// not read, before the controller's own queue fills: about a loopback socket's
// buffers. What a full queue would do (refuse set-ups, then close) begins there.
const pipe = 8192

// toStandIn takes a message of the controller; false if it does not leave.
func (w *wire) toStandIn(m *signal.Message) bool {
	if !w.near {
		return false
	}
	if len(w.held) >= pipe {
		if m.Kind != signal.Request || m.Command != signal.Add {
			w.close("the peer reads too slowly", true)
		}
		return false
	}
	if w.nearTap != nil {
		w.nearTap.Sent(w.nearTap.Now(), m.Append(nil))
	}
	w.r.clock.After(w.r.hop, func() { w.arrive(m) })
	return true
}

// arrive is a message at the stand-in's end.
func (w *wire) arrive(m *signal.Message) {
	switch {
	case !w.far:
	case w.faulty && (w.door.stalled || len(w.held) > 0):
		w.held = append(w.held, m)
	default:
		w.read(m)
	}
}

func (w *wire) read(m *signal.Message) {
	if w.farTap != nil {
		w.farTap.Received(m.Append(nil))
	}
	if !(w.faulty && w.door.mute) {
		w.message(m)
	}
}

// flow lets a reader that had stalled go on.
func (w *wire) flow() {
	held := w.held
	w.held = nil
	for _, m := range held {
		if w.far {
			w.read(m)
		}
	}
}

// toController takes a message of the stand-in.
func (w *wire) toController(m *signal.Message) bool {
	if !w.far || w.faulty && w.door.mute {
		return w.far
	}
	if w.farTap != nil {
		w.farTap.Sent(w.farTap.Now(), m.Append(nil))
	}
	w.r.clock.After(w.r.hop, func() {
		if w.near {
			if w.nearTap != nil {
				w.nearTap.Received(m.Append(nil))
			}
			w.n.step(controller.Input{Kind: controller.InputMessage, Peer: w.peer, Message: m})
		}
	})
	return true
}

// close ends the connection from one side; the other hears of it a hop later.
func (w *wire) close(why string, byController bool) {
	if byController {
		w.endNear(why)
		w.r.clock.After(w.r.hop, func() { w.endFar("closed by the peer") })
	} else {
		w.endFar(why)
		w.r.clock.After(w.r.hop, func() { w.endNear("closed by the peer") })
	}
}

func (w *wire) endFar(why string) {
	if !w.far {
		return
	}
	w.far, w.held = false, nil
	w.farTap.Closed(why)
	w.closed()
}

func (w *wire) endNear(why string) {
	if !w.near {
		return
	}
	w.near = false
	w.nearTap.Closed(why)
	w.n.lost(w)
}
