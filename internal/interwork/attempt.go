package interwork

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/timerwheel"
	"dahliaspindle/routing"
)

// callAttempt is one set-up at an exchange. It is kept until the attempt ends or the call is
// established.
type callAttempt struct {
	call      *activeCall
	number    int
	peer      *peerExchange
	link      *peerLink    // nil while waiting for a link
	invite    *sip.Message // as sent on the link
	startedAt time.Duration
	deadline  time.Duration
	timer     timerwheel.Handle
}

// startAttempt starts the attempt that the module asked for. The set-up is sent at once if a suitable
// link is up; otherwise the attempt waits, and a link is dialed unless a dial is in progress already.
func (c *Core) startAttempt(call *activeCall, action routing.StartAttempt) {
	peer := c.peersByID[action.ExchangeID]
	attempt := &callAttempt{
		call:      call,
		number:    call.attempts,
		peer:      peer,
		startedAt: c.now,
		deadline:  c.now + action.Timeout,
	}
	call.attempts++
	c.attempts[call.id] = attempt
	c.Stats.Attempts++
	if peer == nil || peer.State != routing.InService {
		attempt.peer = &peerExchange{id: action.ExchangeID, removed: true}
		c.removeAttempt(attempt)
		c.reportEnded(attempt, routing.AttemptEnded{Outcome: routing.OutcomeUnreachable})
		return
	}
	attempt.timer = c.timers.Set(attempt.deadline, timerEvent{attempt: attempt})
	withdrawnLink := c.recentEndings[call.id].withdrawnLink // the previous attempt may still be answered on it
	if link := c.pickLink(peer, withdrawnLink); link != nil && !c.nearIdleTimeout(link) &&
		(link != withdrawnLink || len(peer.links) >= c.maxLinksPerPeer()) {
		c.sendSetUp(attempt, link)
		c.maintainLinks(peer)
		return
	}
	peer.waiting = append(peer.waiting, attempt)
	if !slices.ContainsFunc(peer.links, func(link *peerLink) bool { return !link.up }) &&
		(len(c.links) < c.cfg.MaxLinks || c.closeIdlestLink(true)) {
		c.dialPeer(peer)
	}
}

// newInvite returns the INVITE of the call. Exchanges answer with CSeq 1 whatever the request carried,
// so answers to several attempts at one exchange can only be told apart by their link.
func (call *activeCall) newInvite(timeLeft time.Duration) *sip.Message {
	msg := &sip.Message{
		Method:     sip.Invite,
		URI:        "sip:" + call.number + "@net",
		CallID:     call.callID,
		CSeq:       1,
		CSeqMethod: sip.Invite,
		Body:       call.description,
	}
	return msg.Add("Call-Kind", call.class).Add("Answer-Within", strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
}

// fitsMessageSize reports whether the INVITE of the call stays within the maximum message size.
func (c *Core) fitsMessageSize(call *activeCall) bool {
	return len(call.newInvite(time.Hour).Append(nil)) <= sip.MaxMessageBytes
}

// sendSetUp sends the INVITE of an attempt on a link.
func (c *Core) sendSetUp(attempt *callAttempt, link *peerLink) {
	attempt.link = link
	link.pending = append(link.pending, attempt)
	link.lastUsedAt, link.usedForCall = c.now, true
	attempt.call.sent = true
	c.noteAsked(link.peer)
	c.log(slog.LevelDebug, "set-up", "call", attempt.call.callID, "nth", attempt.number, "exchange", attempt.peer.Name,
		"link", link.id, "within", attempt.deadline-c.now)
	attempt.invite = attempt.call.newInvite(attempt.deadline - c.now)
	c.emit(SendToExchange{link.id, attempt.invite, attempt.deadline})
}

// removeAttempt stops the timer of an attempt and removes it from the tables of its call, peer and link.
func (c *Core) removeAttempt(attempt *callAttempt) {
	c.timers.Stop(attempt.timer)
	if c.attempts[attempt.call.id] == attempt {
		delete(c.attempts, attempt.call.id)
	}
	isAttempt := func(other *callAttempt) bool { return other == attempt }
	attempt.peer.waiting = slices.DeleteFunc(attempt.peer.waiting, isAttempt)
	if attempt.link != nil {
		attempt.link.pending = slices.DeleteFunc(attempt.link.pending, isAttempt)
	}
}

// endAttempts ends several attempts with one outcome. All of them are removed before the module is notified of
// the first, because the module may then act on the call of any other.
func (c *Core) endAttempts(attempts []*callAttempt, outcome routing.Outcome) {
	for _, attempt := range attempts {
		c.removeAttempt(attempt)
	}
	for _, attempt := range attempts {
		c.reportEnded(attempt, routing.AttemptEnded{Outcome: outcome})
	}
}

// withdrawAttempt cancels an attempt and reports its outcome. An attempt that was never sent cannot have
// timed out at the exchange: it is reported as OutcomeUnreachable.
func (c *Core) withdrawAttempt(attempt *callAttempt, outcome routing.Outcome) {
	link := attempt.link
	c.removeAttempt(attempt)
	if link == nil {
		if outcome == routing.OutcomeTimedOut {
			outcome = routing.OutcomeUnreachable
		}
	} else {
		c.recordEnding(attempt.call.id, callEnding{withdrawnPeer: attempt.peer, withdrawnLink: link})
		c.emit(WithdrawSetUp{link.id, attempt.call.callID, &sip.Message{Method: sip.Cancel, URI: "sip:" + attempt.call.number + "@net",
			CallID: attempt.call.callID, CSeq: 1, CSeqMethod: sip.Cancel}})
	}
	c.reportEnded(attempt, routing.AttemptEnded{Outcome: outcome})
}

// handleAttemptTimeout withdraws an attempt that was not answered in time. Its link is used for new
// set-ups only after it has answered a ping.
func (c *Core) handleAttemptTimeout(attempt *callAttempt) {
	c.Stats.TimedOut++
	link := attempt.link
	c.withdrawAttempt(attempt, routing.OutcomeTimedOut)
	if link != nil && link.up {
		link.suspect = true
		c.sendPing(link)
	}
}

// handleUnsent ends the attempt whose INVITE was not sent. A report on an earlier INVITE of the same call
// is ignored.
func (c *Core) handleUnsent(in Unsent) {
	id, err := strconv.ParseUint(in.Msg.CallID, 16, 64)
	if attempt := c.attempts[id]; err == nil && attempt != nil && attempt.invite == in.Msg {
		c.removeAttempt(attempt)
		c.reportEnded(attempt, routing.AttemptEnded{Outcome: routing.OutcomeNotSent})
	}
}

// handleLinkMessage dispatches a SIP message from an exchange. A deadline of
// 1<<62 in an effect means that there is none.
func (c *Core) handleLinkMessage(in LinkMessage) {
	link := c.links[in.Link]
	if link == nil {
		c.handleClosingLinkMessage(in)
		return
	}
	msg := in.Msg
	link.lastHeardAt, link.peer.silentSince = c.now, 0
	if msg.Status != 0 {
		switch msg.CSeqMethod {
		case sip.Invite:
			if msg.Status >= 200 {
				c.handleFinalResponse(link, msg)
			}
		case sip.Options:
			link.pingSentAt, link.suspect = 0, false
			link.confirmByesBeforePing()
		case sip.Bye:
			link.confirmBye(msg.CallID)
		}
		return
	}
	switch msg.Method {
	case sip.Bye:
		c.emit(SendToExchange{link.id, &sip.Message{Status: 200, CallID: msg.CallID, CSeq: msg.CSeq, CSeqMethod: sip.Bye}, 1 << 62})
		c.handlePeerRelease(link.peer, msg)
	case sip.Notify:
		c.handleNotify(link.peer, msg)
	case sip.Options:
		c.emit(SendToExchange{link.id, &sip.Message{Status: 200, CallID: msg.CallID, CSeq: msg.CSeq, CSeqMethod: sip.Options}, 1 << 62})
	default:
		c.Stats.Stray++
	}
}

// handleClosingLinkMessage handles a message on a link that is being closed. Only releases matter: nothing can be
// sent there any more.
func (c *Core) handleClosingLinkMessage(in LinkMessage) {
	if peer := c.closingLinks[in.Link]; peer != nil && in.Msg.Method == sip.Bye {
		c.handlePeerRelease(peer, in.Msg)
	}
}

// sendAck acknowledges a final response to an INVITE.
func (c *Core) sendAck(link *peerLink, msg *sip.Message) {
	c.emit(SendToExchange{link.id, &sip.Message{
		Method:     sip.Ack,
		URI:        "sip:" + msg.CallID + "@net",
		CallID:     msg.CallID,
		CSeq:       msg.CSeq,
		CSeqMethod: sip.Ack,
	}, 1 << 62})
}

// outcomeByStatus maps the final responses to INVITE that tell how an attempt ended. Any other failure
// status counts as OutcomeFailed.
var outcomeByStatus = map[int]routing.Outcome{
	503: routing.OutcomeRejected,
	480: routing.OutcomeNotSent,
	504: routing.OutcomeReset,
	408: routing.OutcomeTimedOut,
}

// noteByFailWord maps the values of the Fail-Word header field to the notes of the module.
var noteByFailWord = map[string]routing.Note{
	"atb":  routing.NoteNoCircuit,
	"rtb":  routing.NoteCrankback,
	"racc": routing.NoteOnwardProcessorFull,
	"acc":  routing.NoteProcessorFull,
	"sub":  routing.NoteLinesBusy,
}

// handleFinalResponse handles a final response to an INVITE.
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
		ended := routing.AttemptEnded{
			Outcome: routing.OutcomeFailed,
			Note:    noteByFailWord[msg.Get("Fail-Word")],
			Report:  c.parseReport(link.peer, msg),
		}
		if outcome, ok := outcomeByStatus[msg.Status]; ok {
			ended.Outcome = outcome
		}
		if ms, err := strconv.Atoi(msg.Get("Proc-Wait")); err == nil && ended.Note == routing.NoteProcessorFull {
			ended.RetryAfter = time.Duration(max(ms, 0)) * time.Millisecond
		}
		if ended.Outcome == routing.OutcomeReset {
			c.Stats.Cut++
		}
		c.removeAttempt(attempt)
		c.reportEnded(attempt, ended)
		return
	}
	c.removeAttempt(attempt)
	if c.calls[id] != call { // abandoned in the meantime
		c.sendBye(link, byeRequest{id: id, callID: call.callID, cause: isup.NormalClearing})
		c.reportEnded(attempt, routing.AttemptEnded{Outcome: routing.OutcomeCancelled})
		return
	}
	c.Stats.Answered++
	c.emit(SendToCaller{call.conn.id, (&isup.Message{Type: isup.Answer, CallID: id}).Add(isup.ParamDescription, msg.Body)})
	c.dropPending(call)
	call.conn.established++
	call.established, call.establishedAt, call.peer, call.description = true, c.now, link.peer, nil
	link.peer.calls[id] = call
	c.notifyModule(routing.CallEstablished{
		CallID:     call.callID,
		Attempt:    attempt.number,
		ExchangeID: link.peer.id,
		Elapsed:    c.now - attempt.startedAt,
	})
}

// handleLateResponse handles a final response that belongs to no attempt in flight. If it accepts a
// set-up that was withdrawn from this exchange, the call is released with a BYE, unless it is established
// there.
func (c *Core) handleLateResponse(link *peerLink, id uint64, msg *sip.Message) {
	c.Stats.Late++
	ending, known := c.recentEndings[id]
	call := c.calls[id]
	c.log(slog.LevelDebug, "late", "call", msg.CallID, "status", msg.Status, "link", link.id, "known", known,
		"ghost", ending.withdrawnPeer != nil, "ago", c.now-ending.endedAt,
		"open", call != nil && !call.established, "standing", call != nil && call.established)
	if !known && call == nil {
		c.Stats.Stray++ // the call is unknown or ended long ago
		return
	}
	c.sendAck(link, msg)
	if ending.withdrawnPeer == link.peer && msg.Status < 300 && (call == nil || call.peer != link.peer) {
		c.sendBye(link, byeRequest{id: id, callID: msg.CallID, cause: isup.NormalClearing})
	}
}

// handlePeerRelease handles the BYE of an exchange.
func (c *Core) handlePeerRelease(peer *peerExchange, msg *sip.Message) {
	id, err := strconv.ParseUint(msg.CallID, 16, 64)
	if err != nil {
		return
	}
	cause := sip.ParseCause(msg.Get("Reason"))
	outcome := routing.OutcomeReset
	if cause == isup.NormalClearing {
		outcome = routing.OutcomeCompleted
	}
	c.log(slog.LevelDebug, "release", "call", msg.CallID, "exchange", peer.Name, "cause", cause)
	switch call, attempt := c.calls[id], c.attempts[id]; {
	case call != nil && call.established && call.peer == peer:
		c.endEstablishedCall(call, outcome, cause, false)
	case attempt != nil && attempt.peer == peer && attempt.link != nil && attempt.call == call:
		// An exchange sends BYE only for an established call, so the call was answered and ended before
		// its 200 arrived here. Its caller gets the release, and the call is not retried.
		c.removeAttempt(attempt)
		c.recordEnding(id, callEnding{cause: cause})
		c.sendFinalAnswer(call, newRelease(id, cause))
		c.reportEnded(attempt, routing.AttemptEnded{Outcome: outcome})
	case attempt != nil && attempt.peer == peer && attempt.link != nil: // abandoned in the meantime
		c.removeAttempt(attempt)
		c.reportEnded(attempt, routing.AttemptEnded{Outcome: routing.OutcomeReset})
	case call == nil:
		if ending, known := c.recentEndings[id]; !known || ending.withdrawnPeer != nil {
			c.recordEnding(id, callEnding{cause: cause})
		}
	}
}

// endEstablishedCall ends an established call. The release is sent to its caller unless the caller
// released the call itself.
func (c *Core) endEstablishedCall(call *activeCall, outcome routing.Outcome, cause byte, byCaller bool) {
	c.log(slog.LevelDebug, "over", "call", call.callID, "outcome", outcome, "cause", cause, "stood", c.now-call.establishedAt,
		"conn", call.conn.id, "gone", call.conn.closed)
	c.timers.Stop(call.expiry)
	delete(c.calls, call.id)
	if call.peer != nil {
		delete(call.peer.calls, call.id)
	}
	call.conn.established--
	call.conn.quietSince = c.now
	switch {
	case byCaller:
	case !call.conn.closed:
		c.emit(SendToCaller{call.conn.id, newRelease(call.id, cause)})
	default:
		c.Stats.Unsaid++
		c.log(slog.LevelInfo, "call ended, its caller's connection is closed", "call", call.callID)
	}
	c.recordEnding(call.id, callEnding{cause: cause})
	if call.adopted {
		c.adopted--
		return
	}
	c.notifyModule(routing.AttemptEnded{
		CallID:     call.callID,
		Attempt:    call.attempts - 1,
		ExchangeID: call.peer.id,
		Outcome:    outcome,
		Elapsed:    c.now - call.establishedAt,
		Final:      true,
	})
}

// handleNotify passes the state of the trunk group towards an exchange to the module. The exchange
// sends it on every link; only changes are passed on.
func (c *Core) handleNotify(peer *peerExchange, msg *sip.Message) {
	report := c.parseReport(peer, msg)
	if !report.CircuitsKnown {
		return
	}
	c.noteGroupState(peer, report.FreeCircuits, report.GroupSize)
	if report == peer.lastReport {
		return
	}
	peer.lastReport = report
	c.notifyModule(routing.GroupStatus{ExchangeID: peer.id, OK: true, Report: report})
}

// parseReport reads the state of the trunk group towards the exchange from a message. The report is
// known only if both the free and the total number of circuits are given.
func (c *Core) parseReport(peer *peerExchange, msg *sip.Message) (report routing.StatusReport) {
	var hasFree, hasSize bool
	for part := range strings.SplitSeq(msg.Get("Link-State"), ";") {
		name, value, _ := strings.Cut(part, ":")
		switch n, err := strconv.ParseFloat(value, 64); {
		case err != nil || n < 0 || n > 1<<20:
		case name == "idle":
			report.FreeCircuits, hasFree = int(n), true
		case name == "circuits":
			report.GroupSize, hasSize = int(n), true
		}
	}
	report.CircuitsKnown = hasFree && hasSize
	return report
}
