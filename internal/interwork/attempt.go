package interwork

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/wheel"
)

// callAttempt is one set-up at an exchange, until its end or until the call stands.
type callAttempt struct {
	call      *activeCall
	number    int
	peer      *peerExchange
	link      *peerLink    // nil while it waits for one
	invite    *sip.Message // as it was sent on the link
	startedAt time.Duration
	deadline  time.Duration
	timer     wheel.Handle
}

func (c *Core) startAttempt(call *activeCall, a brain.Send) {
	peer := c.peersByID[a.Exchange]
	attempt := &callAttempt{call: call, number: call.attempts, peer: peer, startedAt: c.now, deadline: c.now + a.Timeout}
	call.attempts++
	c.attempts[call.id] = attempt
	c.Stats.Attempts++
	if peer == nil || peer.State != brain.In {
		attempt.peer = &peerExchange{id: a.Exchange, removed: true}
		c.removeAttempt(attempt)
		c.reportEnded(attempt, brain.Ended{Outcome: brain.NoConnect})
		return
	}
	attempt.timer = c.timers.Set(attempt.deadline, timerEvent{attempt: attempt})
	before := c.recentEndings[call.id].withdrawnLink // where an answer to the attempt before may still come
	if link := c.pickLink(peer, before); link != nil && !c.nearIdleTimeout(link) && (link != before || len(peer.links) >= c.maxLinksPerPeer()) {
		c.sendSetUp(attempt, link)
		c.maintainLinks(peer)
		return
	}
	peer.waiting = append(peer.waiting, attempt)
	if !slices.ContainsFunc(peer.links, func(link *peerLink) bool { return !link.up }) && (len(c.links) < c.cfg.MaxLinks || c.closeIdlestLink(true)) {
		c.dialPeer(peer)
	}
}

// newInvite is the set-up. Exchanges answer with CSeq 1 whatever stood there, so a further attempt at
// the same exchange is told apart by its link.
func (call *activeCall) newInvite(within time.Duration) *sip.Message {
	msg := &sip.Message{Method: sip.Invite, URI: "sip:" + call.number + "@net", CallID: call.callID, Seq: 1, Of: sip.Invite, Body: call.description}
	return msg.Put("Call-Kind", call.class).Put("Answer-Within", strconv.FormatInt(max(within.Milliseconds(), 1), 10))
}

// fitsMessageSize tells whether the set-up can be passed on at all.
func (c *Core) fitsMessageSize(call *activeCall) bool {
	return len(call.newInvite(time.Hour).Append(nil)) <= sip.Most
}

// sendSetUp sends the set-up on a link.
func (c *Core) sendSetUp(attempt *callAttempt, link *peerLink) {
	attempt.link = link
	link.pending = append(link.pending, attempt)
	link.lastUsedAt = c.now
	c.log(slog.LevelDebug, "set-up", "call", attempt.call.callID, "nth", attempt.number, "exchange", attempt.peer.Name, "link", link.id, "within", attempt.deadline-c.now)
	attempt.invite = attempt.call.newInvite(attempt.deadline - c.now)
	c.emit(SendToExchange{link.id, attempt.invite, attempt.deadline})
}

// removeAttempt takes an attempt out of all that holds it.
func (c *Core) removeAttempt(attempt *callAttempt) {
	c.timers.Stop(attempt.timer)
	if c.attempts[attempt.call.id] == attempt {
		delete(c.attempts, attempt.call.id)
	}
	is := func(other *callAttempt) bool { return other == attempt }
	attempt.peer.waiting = slices.DeleteFunc(attempt.peer.waiting, is)
	if attempt.link != nil {
		attempt.link.pending = slices.DeleteFunc(attempt.link.pending, is)
	}
}

// withdrawAttempt calls an attempt off.
func (c *Core) withdrawAttempt(attempt *callAttempt, outcome brain.Outcome) {
	link := attempt.link
	c.removeAttempt(attempt)
	if link == nil {
		if outcome == brain.TimedOut {
			outcome = brain.NoConnect
		}
	} else {
		c.recordEnding(attempt.call.id, callEnding{withdrawnPeer: attempt.peer, withdrawnLink: link})
		c.emit(WithdrawSetUp{link.id, attempt.call.callID, &sip.Message{Method: sip.Cancel, URI: "sip:" + attempt.call.number + "@net",
			CallID: attempt.call.callID, Seq: 1, Of: sip.Cancel}})
	}
	c.reportEnded(attempt, brain.Ended{Outcome: outcome})
}

// handleAttemptTimeout is an attempt without an answer in time. Its link is tested before it is used again.
func (c *Core) handleAttemptTimeout(attempt *callAttempt) {
	c.Stats.TimedOut++
	link := attempt.link
	c.withdrawAttempt(attempt, brain.TimedOut)
	if link != nil && link.up {
		link.suspect = true
		c.sendPing(link)
	}
}

func (c *Core) handleUnsent(in Unsent) {
	id, err := strconv.ParseUint(in.Msg.CallID, 16, 64)
	if attempt := c.attempts[id]; err == nil && attempt != nil && attempt.invite == in.Msg { // not one of before that is told late
		c.removeAttempt(attempt)
		c.reportEnded(attempt, brain.Ended{Outcome: brain.Moot})
	}
}

func (c *Core) handleLinkMessage(in LinkMessage) {
	link := c.links[in.Link]
	if link == nil {
		return
	}
	msg := in.Msg
	link.lastHeardAt, link.peer.lastHeardAt = c.now, c.now
	if msg.Status != 0 {
		switch msg.Of {
		case sip.Invite:
			if msg.Status >= 200 {
				c.handleFinalResponse(link, msg)
			}
		case sip.Options:
			link.pingSentAt, link.suspect = 0, false
		}
		return
	}
	switch msg.Method {
	case sip.Bye:
		c.emit(SendToExchange{link.id, &sip.Message{Status: 200, CallID: msg.CallID, Seq: msg.Seq, Of: sip.Bye}, 1 << 62})
		c.handlePeerRelease(link.peer, msg)
	case sip.Notify:
		c.handleNotify(link.peer, msg)
	case sip.Options:
		c.emit(SendToExchange{link.id, &sip.Message{Status: 200, CallID: msg.CallID, Seq: msg.Seq, Of: sip.Options}, 1 << 62})
	default:
		c.Stats.Stray++
	}
}

func (c *Core) sendAck(link *peerLink, msg *sip.Message) {
	c.emit(SendToExchange{link.id, &sip.Message{Method: sip.Ack, URI: "sip:" + msg.CallID + "@net", CallID: msg.CallID, Seq: msg.Seq, Of: sip.Ack}, 1 << 62})
}

// outcomeByStatus maps the answers to INVITE that say how an attempt ended; any other is a fault.
var outcomeByStatus = map[int]brain.Outcome{503: brain.Full, 480: brain.Moot, 504: brain.Reset, 408: brain.TimedOut}

var noteByFailWord = map[string]brain.Note{"atb": brain.NoCircuit, "rtb": brain.TurnedBack, "racc": brain.DestProcFull,
	"acc": brain.ProcFull, "sub": brain.LinesBusy}

// handleFinalResponse is a handleFinalResponse answer to a set-up.
func (c *Core) handleFinalResponse(link *peerLink, msg *sip.Message) {
	id, err := strconv.ParseUint(msg.CallID, 16, 64)
	if err != nil || len(msg.CallID) != 16 {
		c.Stats.Stray++
		return
	}
	attempt := c.attempts[id]
	if attempt == nil || attempt.link != link {
		c.handleLateResponse(link, id, msg)
		return
	}
	c.sendAck(link, msg)
	call := attempt.call
	c.log(slog.LevelDebug, "answer", "call", msg.CallID, "status", msg.Status, "link", link.id, "after", c.now-attempt.startedAt)
	if msg.Status >= 300 {
		e := brain.Ended{Outcome: brain.Failed, Note: noteByFailWord[msg.Get("Fail-Word")], Report: c.parseReport(link.peer, msg)}
		if outcome, ok := outcomeByStatus[msg.Status]; ok {
			e.Outcome = outcome
		}
		if ms, err := strconv.Atoi(msg.Get("Proc-Wait")); err == nil && e.Note == brain.ProcFull {
			e.Wait = time.Duration(max(ms, 0)) * time.Millisecond
		}
		if e.Outcome == brain.Reset {
			c.Stats.Cut++
		}
		c.removeAttempt(attempt)
		c.reportEnded(attempt, e)
		return
	}
	c.removeAttempt(attempt)
	if c.calls[id] != call { // given up meanwhile
		c.sendBye(link, byeRequest{id, call.callID, isup.NormalClearing})
		c.reportEnded(attempt, brain.Ended{Outcome: brain.Cancelled})
		return
	}
	c.Stats.Answered++
	c.emit(SendToCaller{call.conn.id, (&isup.Message{Type: isup.Answer, Call: id}).With(isup.Description, msg.Body)})
	c.pending--
	call.conn.pending--
	call.conn.established++
	call.established, call.establishedAt, call.peer, call.description = true, c.now, link.peer, nil
	link.peer.calls[id] = call
	c.notifyModule(brain.Standing{ID: call.callID, Attempt: attempt.number, Exchange: link.peer.id, After: c.now - attempt.startedAt})
}

// handleLateResponse is an answer that nobody waits for: one to a set-up that was given up is ended in order.
func (c *Core) handleLateResponse(link *peerLink, id uint64, msg *sip.Message) {
	c.Stats.Late++
	ending, known := c.recentEndings[id]
	call := c.calls[id]
	c.log(slog.LevelDebug, "late", "call", msg.CallID, "status", msg.Status, "link", link.id, "known", known, "ghost", ending.withdrawnPeer != nil,
		"ago", c.now-ending.endedAt, "open", call != nil && !call.established, "standing", call != nil && call.established)
	if !known && call == nil {
		c.Stats.Stray++ // answers what was never asked, or long ago
		return
	}
	c.sendAck(link, msg)
	if ending.withdrawnPeer == link.peer && msg.Status < 300 && (call == nil || call.peer != link.peer) {
		c.sendBye(link, byeRequest{id, msg.CallID, isup.NormalClearing})
	}
}

// handlePeerRelease is the release of a call by its exchange.
func (c *Core) handlePeerRelease(peer *peerExchange, msg *sip.Message) {
	id, err := strconv.ParseUint(msg.CallID, 16, 64)
	if err != nil {
		return
	}
	cause := sip.Cause(msg.Get("Reason"))
	outcome := brain.Reset
	if cause == isup.NormalClearing {
		outcome = brain.OK
	}
	c.log(slog.LevelDebug, "release", "call", msg.CallID, "exchange", peer.Name, "cause", cause)
	switch call, attempt := c.calls[id], c.attempts[id]; {
	case call != nil && call.established && call.peer == peer:
		c.endEstablishedCall(call, outcome, cause, false)
	case attempt != nil && attempt.peer == peer && attempt.link != nil && attempt.call == call:
		// it stood and is over while its answer was on the way (a BYE has no other place): its caller is
		// owed that word, and there is nothing to try again
		c.removeAttempt(attempt)
		c.recordEnding(id, callEnding{cause: cause})
		c.sendFinalAnswer(call, newRelease(id, cause))
		c.reportEnded(attempt, brain.Ended{Outcome: outcome})
	case attempt != nil && attempt.peer == peer && attempt.link != nil: // given up meanwhile
		c.removeAttempt(attempt)
		c.reportEnded(attempt, brain.Ended{Outcome: brain.Reset})
	case call == nil:
		if ending, known := c.recentEndings[id]; !known || ending.withdrawnPeer != nil {
			c.recordEnding(id, callEnding{cause: cause})
		}
	}
}

// endEstablishedCall ends a call that stood. Its caller is told unless the word came from there.
func (c *Core) endEstablishedCall(call *activeCall, outcome brain.Outcome, cause byte, told bool) {
	c.log(slog.LevelDebug, "over", "call", call.callID, "outcome", outcome, "cause", cause, "stood", c.now-call.establishedAt, "conn", call.conn.id, "gone", call.conn.closed)
	delete(c.calls, call.id)
	if call.peer != nil {
		delete(call.peer.calls, call.id)
	}
	call.conn.established--
	call.conn.quietSince = c.now
	switch {
	case told:
	case !call.conn.closed:
		c.emit(SendToCaller{call.conn.id, newRelease(call.id, cause)})
	default:
		c.Stats.Unsaid++
		c.log(slog.LevelInfo, "call over, its caller's connection gone", "call", call.callID)
	}
	c.recordEnding(call.id, callEnding{cause: cause})
	if call.adopted {
		return
	}
	c.notifyModule(brain.Ended{ID: call.callID, Attempt: call.attempts - 1, Exchange: call.peer.id, Outcome: outcome, After: c.now - call.establishedAt, Final: true})
}

// handleNotify is the state of the group towards an exchange. It comes on every link to it; only a
// change is news.
func (c *Core) handleNotify(peer *peerExchange, msg *sip.Message) {
	report := c.parseReport(peer, msg)
	if !report.Known || report == peer.lastReport {
		return
	}
	peer.lastReport = report
	c.notifyModule(brain.Circuits{Exchange: peer.id, OK: true, Report: report})
}

// parseReport is what a message tells of the group towards its exchange.
func (c *Core) parseReport(peer *peerExchange, msg *sip.Message) (report brain.Report) {
	var free, size bool
	for part := range strings.SplitSeq(msg.Get("Link-State"), ";") {
		name, value, _ := strings.Cut(part, ":")
		switch n, err := strconv.ParseFloat(value, 64); {
		case err != nil || n < 0 || n > 1<<20:
		case name == "idle":
			report.Free, free = int(n), true
		case name == "circuits":
			report.Size, size = int(n), true
		}
	}
	report.Known = free && size
	return report
}
