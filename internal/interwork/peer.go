package interwork

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
)

// peer is an exchange of the list, with the connections to it.
type peer struct {
	srvlist.Entry
	id      uint32 // in the module
	links   []*link
	waiting []*attempt // for a link
	calls   map[uint64]*call
	byes    []bye // to be said once a link is up
	gone    bool
	told    brain.StatusReport // of the group, the last

	heard   time.Duration // last sign of life
	apart   time.Duration // until then set-ups share no connection
	fails   int           // tries to connect in a row that came to nothing
	refused time.Duration // since when it refuses connections, 0 if it does not
	retryAt time.Duration
}

type bye struct {
	id    uint64
	name  string
	cause byte
}

// byesMost bounds what is kept to be said to an exchange that can't be reached.
const byesMost = 4096

// link is a connection to an exchange.
type link struct {
	id     LinkID
	peer   *peer
	up     bool
	open   []*attempt
	spent  bool          // no new set-ups until a test has passed
	heard  time.Duration // last message, or when it came up
	tested time.Duration // when a test went out that is not answered, 0 if none is
	used   time.Duration
	dialed time.Duration
}

func compact(peers []*peer) []*peer {
	return slices.DeleteFunc(peers, func(p *peer) bool { return p.gone })
}

// since maps the start of an exchange to the clock: 0 is long ago.
func (c *Core) since(born int64) time.Duration {
	if born == 0 {
		return 0
	}
	return max(time.Duration(born*int64(time.Millisecond)-c.cfg.EpochUnixNano), 0)
}

func (c *Core) listed(in ExchangeListUpdate) {
	var rows []brain.Exchange
	for _, e := range in.Changes {
		p := c.names[e.Name]
		if p == nil {
			if e.State == brain.OutOfService {
				continue
			}
			c.lastID++
			p = &peer{Entry: e, id: c.lastID, calls: map[uint64]*call{}, heard: c.now}
			c.names[e.Name], c.ids[p.id] = p, p
			c.peers = append(c.peers, p)
			c.cells[e.Number] = true
		}
		was := p.Entry
		p.Entry = e
		c.log(slog.LevelInfo, "exchange", "name", e.Name, "cell", e.Number, "state", e.State, "born", e.StartUnixMilli, "addr", e.Addr)
		rows = append(rows, brain.Exchange{ID: p.id, Number: e.Number, State: e.State, StartedAt: c.since(e.StartUnixMilli)})
		c.moved(p, was)
	}
	c.feed(brain.ExchangeListUpdate{Complete: in.Complete, Entries: rows})
	for _, e := range in.Changes { // once the module knows
		if p := c.names[e.Name]; p != nil && e.State == brain.OutOfService {
			c.remove(p)
		} else if p != nil {
			c.keep(p)
		}
	}
}

// moved follows what the list says of an exchange that is known: its links, its calls.
func (c *Core) moved(p *peer, was srvlist.Entry) {
	if p.StartUnixMilli != was.StartUnixMilli || p.Addr != was.Addr {
		// another process: the calls of the one before are over
		c.callsOver(p, c.since(p.StartUnixMilli), "started again")
		for _, l := range slices.Clone(p.links) {
			if l.dialed < c.since(p.StartUnixMilli) || p.Addr != was.Addr {
				c.drop(l, "of before the exchange's start")
			}
		}
		p.fails, p.retryAt, p.refused, p.heard = 0, 0, 0, c.now
	}
	if (p.State == brain.InService) != (was.State == brain.InService) {
		for _, l := range p.links {
			c.do(HoldSetUps{l.id, p.State != brain.InService})
		}
	}
	if p.State == brain.InService {
		return
	}
	for _, t := range slices.Clone(p.waiting) { // nothing new goes there
		c.conclude(t)
		c.ended(t, brain.AttemptEnded{Outcome: brain.OutcomeNotSent})
	}
}

func (c *Core) remove(p *peer) {
	c.callsOver(p, c.now+1, "gone")
	for _, l := range slices.Clone(p.links) {
		c.drop(l, "exchange gone")
	}
	p.gone = true
	delete(c.names, p.Name)
	delete(c.ids, p.id)
}

// served tells whether a number is an exchange's: one that was ever listed, or one of the controllers'
// own exchanges; any, while no list was told. Whether it can be reached now is the module's to say:
// one that is off the list for a while is no fault of the caller, who may come back.
func (c *Core) served(cell int) bool {
	return cell >= 0 && (c.cells[cell] || len(c.cells) == 0 || !c.cfg.Settings.Pools && cell < c.cfg.Settings.Controllers)
}

// callsOver ends the calls that stood at an exchange before a time.
func (c *Core) callsOver(p *peer, before time.Duration, why string) {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		if x := p.calls[id]; x.stood < before {
			n++
			c.Stats.Forgotten++
			c.hangUp(p, x.id, x.name, isup.TemporaryFailure)
			c.over(x, brain.OutcomeReset, isup.TemporaryFailure, false)
		}
	}
	if n > 0 {
		c.log(slog.LevelWarn, "calls over", "exchange", p.Name, "why", why, "calls", n)
	}
}

// keep sees to the connections to an exchange: enough of them, none that is silent.
func (c *Core) keep(p *peer) {
	if p.gone {
		return
	}
	for _, l := range slices.Clone(p.links) {
		if l.up && c.stale(l) {
			c.drop(l, "idle")
		} else if l.up {
			c.test(l)
		}
	}
	up, busy, dialing, out, spent := 0, 0, 0, len(p.waiting), 0
	for _, l := range p.links { // what the tests have left
		if !l.up {
			dialing++
			continue
		}
		up++
		out += len(l.open)
		if l.spent {
			spent++
		}
		if len(l.open) > 0 || l.spent {
			busy++
		}
	}
	switch {
	case p.refused > 0 && c.now-p.refused > refusedFor && up == 0:
		c.callsOver(p, c.now+1, "refuses connections")
	case c.now-p.heard > silentFor && len(p.calls) > 0:
		c.callsOver(p, c.now+1, "silent")
	}
	want := max((out+shared-1)/shared, 1) + spent
	if c.now < p.apart {
		want = busy + 1
	}
	want = min(want, c.perPeer())
	if p.State != brain.InService {
		want = 1
	}
	if p.fails > 0 {
		want = min(want, up+1)
		if c.now < p.retryAt {
			want = up
		}
	}
	for n := up + dialing; n < want && (len(c.links) < c.cfg.MaxLinks || n == 0 && c.makeRoom(len(p.waiting) > 0)); n++ {
		c.dial(p)
	}
	if up > want { // the longest unused goes
		var l *link
		for _, k := range p.links {
			if k.up && len(k.open) == 0 && c.now-k.used > idle && (l == nil || k.used < l.used) {
				l = k
			}
		}
		if l != nil {
			c.drop(l, "not needed")
		}
	}
}

// stale tells whether a link has been idle for so long that the exchange may be about to close it:
// a set-up that crosses that close is unclear.
func (c *Core) stale(l *link) bool {
	return c.cfg.ExchangeIdleTimeout > 0 && len(l.open) == 0 && l.tested == 0 && c.now-l.used >= c.cfg.ExchangeIdleTimeout-min(c.cfg.ExchangeIdleTimeout/4, idleMargin)
}

// perPeer is how many connections one exchange may have: the list may grow beyond that of the start.
func (c *Core) perPeer() int { return min(max(c.cfg.MaxLinks/max(len(c.peers), 1), 1), linksMost) }

// makeRoom closes the link that was idle the longest: one of several to its exchange or, where a
// set-up needs the room, any.
func (c *Core) makeRoom(needed bool) bool {
	var idlest *link
	for _, p := range c.peers {
		for _, l := range p.links {
			if l.up && len(l.open) == 0 && l.tested == 0 && (needed || len(p.links) > 1) && (idlest == nil || l.used < idlest.used) {
				idlest = l
			}
		}
	}
	if idlest != nil {
		c.drop(idlest, "its descriptor is needed")
	}
	return idlest != nil
}

// test asks a quiet link with work on it for a sign of life, and gives up one that gave none.
func (c *Core) test(l *link) {
	if l.tested > 0 {
		if c.now-l.tested >= testWithin {
			c.Stats.TestsLost++
			c.drop(l, "silent")
		}
		return
	}
	wait := quiet
	if len(l.open) == 0 && !l.spent {
		if wait = quietStood; len(l.peer.calls) == 0 {
			return
		}
	}
	if c.now-max(l.heard, l.used) >= wait {
		c.ping(l)
	}
}

func (c *Core) ping(l *link) {
	if l.tested > 0 {
		return
	}
	l.tested = c.now
	c.Stats.Tests++
	c.do(SendToExchange{l.id, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: fmt.Sprintf("%016x", uint64(l.id)), CSeq: 1, CSeqMethod: sip.Options}, 1 << 62})
}

func (c *Core) dial(p *peer) {
	c.lastLink++
	l := &link{id: c.lastLink, peer: p, dialed: c.now}
	c.links[l.id] = l
	p.links = append(p.links, l)
	c.do(Dial{l.id, p.Addr, c.cfg.ConnectTimeout})
}

func (c *Core) linkUp(id LinkID) {
	l := c.links[id]
	if l == nil {
		c.do(CloseLink{Link: id, Reason: "not wanted any more", Idle: true})
		return
	}
	p := l.peer
	l.up, l.heard, l.used = true, c.now, c.now
	p.heard, p.fails, p.refused, p.retryAt = c.now, 0, 0, 0
	if p.State != brain.InService {
		c.do(HoldSetUps{l.id, true})
	}
	byes := p.byes
	p.byes = nil
	for _, b := range byes {
		c.bye(l, b)
	}
	waiting := p.waiting
	p.waiting = nil
	for _, t := range waiting {
		c.put(t, c.pick(p, c.recent[t.call.id].link))
	}
	c.keep(p)
}

func (c *Core) linkDown(in LinkDown) {
	l := c.links[in.Link]
	if l == nil {
		return
	}
	p, was := l.peer, l.up
	c.unlink(l)
	if !was {
		p.fails++
		p.retryAt = c.now + c.retry.Delay(p.fails)
		switch {
		case !in.Refused:
			p.refused = 0
		case p.refused == 0:
			p.refused = c.now
		}
	}
	c.reset(l)
	if !was && c.pick(p, nil) == nil {
		for _, t := range slices.Clone(p.waiting) {
			c.Stats.NoConnect++
			c.conclude(t)
			c.ended(t, brain.AttemptEnded{Outcome: brain.OutcomeUnreachable})
		}
	}
	c.keep(p)
}

func (c *Core) unlink(l *link) {
	delete(c.links, l.id)
	l.peer.links = slices.DeleteFunc(l.peer.links, func(k *link) bool { return k == l })
	l.up = false
}

// drop closes a link; what was out on it is unclear.
func (c *Core) drop(l *link, why string) {
	c.unlink(l)
	c.do(CloseLink{Link: l.id, Reason: why, Idle: len(l.open) == 0 && l.tested == 0})
	c.log(slog.LevelDebug, "link dropped", "exchange", l.peer.Name, "link", l.id, "why", why, "open", len(l.open))
	c.reset(l)
}

// reset ends what was out on a link that is over. The exchange gives it up as it sees the end; if
// it had answered, the call is hung up on the next link.
func (c *Core) reset(l *link) {
	if len(l.open) > 0 {
		l.peer.apart = c.now + apartFor
	}
	for _, t := range slices.Clone(l.open) {
		c.Stats.Resets++
		c.hangUp(l.peer, t.call.id, t.call.name, isup.TemporaryFailure)
		c.conclude(t)
		c.ended(t, brain.AttemptEnded{Outcome: brain.OutcomeReset})
	}
}

// pick is the link for a set-up: the one with least on it, rather not a given one; nil if none is up.
func (c *Core) pick(p *peer, not *link) *link {
	var best *link
	for _, l := range p.links {
		bad, badBest := l.spent || l == not, best != nil && (best.spent || best == not)
		switch {
		case !l.up:
		case best == nil, badBest && !bad, bad == badBest && len(l.open) < len(best.open):
			best = l
		}
	}
	return best
}

// hangUp ends a call at an exchange, now or when it can be reached.
func (c *Core) hangUp(p *peer, id uint64, name string, cause byte) {
	if p == nil || p.gone {
		return
	}
	b := bye{id, name, cause}
	if l := c.pick(p, nil); l != nil {
		c.bye(l, b)
	} else if len(p.byes) < byesMost {
		p.byes = append(p.byes, b)
	} else {
		c.Stats.ByesShed++
	}
}

func (c *Core) bye(l *link, b bye) {
	m := &sip.Message{Method: sip.Bye, URI: "sip:" + b.name + "@net", CallID: b.name, CSeq: 2, CSeqMethod: sip.Bye}
	c.do(SendToExchange{l.id, m.Add("Reason", sip.FormatReason(b.cause)), 1 << 62})
}
