package controller

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/signal"
	"dahliaspindle/routing"
)

// linkState is the connection state of a permanent link.
type linkState struct {
	peer                 Peer
	connected            bool
	connectionCount      int // number of connections so far
	lastHeard, lastProbe time.Duration
	lastTransaction      uint32
	faults               guard.FaultLimiter
}

// exchangeLink is the permanent link to one listed exchange.
type exchangeLink struct {
	id       uint64
	number   int // the exchange's number; id names one incarnation of it
	address  string
	state    linkState
	blocked  bool                // draining or delisted: no new set-ups
	delisted bool                // no longer in the exchange list
	queued   []*attempt          // attempts that wait for the link
	pending  map[uint32]*attempt // attempts by unanswered transaction
	held     map[*attempt]bool   // attempts for which the exchange may hold circuits
}

func (link *exchangeLink) peer() Peer { return link.state.peer }

// nextTransaction returns the ID for the next transaction towards the exchange.
func (link *exchangeLink) nextTransaction() uint32 {
	link.state.lastTransaction++
	return link.state.lastTransaction
}

// linkConnected announces the controller to a peer that is now connected, subscribes
// to its events and sends the set-ups that waited for the link.
func (c *Controller) linkConnected(peer Peer) {
	var state *linkState
	switch peer.Role {
	case RoleCaller:
		c.callerFor(peer.ID)
		return
	case RoleExchangeList:
		state = &c.listLink
		state.peer, state.faults = peer, c.config.FaultLimit
	case RoleExchange:
		link := c.links[peer.ID]
		if link == nil {
			return
		}
		state = &link.state
	}
	state.connected, state.lastHeard, state.lastProbe = true, c.now, 0
	state.connectionCount++
	state.lastTransaction++
	msg := &signal.Message{ID: state.lastTransaction, Command: signal.ServiceChange, Termination: signal.Root}
	msg.Put("Method", "restart").PutInt("Controller", c.config.ControllerNumber).PutInt("From", c.config.ExchangeNumber)
	c.sendMessage(peer, msg)
	state.lastTransaction++
	events := "circuits"
	if peer.Role == RoleExchangeList {
		events = "list"
	}
	c.sendMessage(peer, (&signal.Message{ID: state.lastTransaction, Command: signal.Modify, Termination: signal.Root}).Put("Events", events))
	c.checkLiveness(state)
	if peer.Role == RoleExchange {
		link := c.links[peer.ID]
		queued := link.queued
		link.queued = nil
		for _, attempt := range queued {
			c.timers.Stop(attempt.timer)
			c.sendSetUp(attempt)
		}
	}
}

// linkDisconnected ends each call of a disconnected caller, or each attempt on a
// disconnected link.
func (c *Controller) linkDisconnected(peer Peer) {
	switch peer.Role {
	case RoleCaller:
		c.callerDisconnected(peer.ID)
	case RoleExchangeList:
		c.listLink.connected = false
		c.log(slog.LevelWarn, "", "exchange list unreachable; the last list stays in force")
	case RoleExchange:
		link := c.links[peer.ID]
		if link == nil {
			return
		}
		link.state.connected = false
		held := make([]*attempt, 0, len(link.held))
		for attempt := range link.held {
			held = append(held, attempt)
		}
		slices.SortFunc(held, func(a, b *attempt) int { return int(int64(a.setUpTransaction) - int64(b.setUpTransaction)) })
		if len(held) > 0 {
			c.log(slog.LevelWarn, "", fmt.Sprintf("link to exchange %d lost with %d attempts", link.id, len(held)))
		}
		for _, attempt := range held {
			switch attempt.stage {
			case stageSent:
				c.finishAttempt(attempt, routing.OutcomeReset, signal.Message{})
			case stageReleasing: // the exchange releases everything that was set up over a lost link
				c.finishAttempt(attempt, attempt.outcome, signal.Message{})
			case stageEstablished:
				call := attempt.call
				c.stats.Cut++
				c.recordCallEnd(call, flow.CallCut)
				c.notifyCaller(call, "cut")
				if call.caller != nil {
					delete(call.caller.calls, call.name)
				}
				c.finishAttempt(attempt, routing.OutcomeReset, signal.Message{})
			}
		}
		c.dropIfUnused(link)
	}
}

// checkLiveness probes the peer of a permanent link when nothing was received for
// a while, and closes the connection when the peer stays unresponsive.
func (c *Controller) checkLiveness(state *linkState) {
	if !state.connected {
		return
	}
	probe, lost, next := c.config.Liveness.Check(c.now, state.lastHeard, state.lastProbe)
	if lost {
		c.effects = append(c.effects, Effect{Kind: EffectClose, Peer: state.peer, Text: "no sign of life"})
		return
	}
	if probe {
		state.lastProbe = c.now
		state.lastTransaction++
		c.sendMessage(state.peer, &signal.Message{ID: state.lastTransaction, Command: signal.AuditValue, Termination: signal.Root})
	}
	c.timers.Set(next, timer{link: state, connection: state.connectionCount})
}

// dropIfUnused removes a link that is no longer listed and has no attempts.
func (c *Controller) dropIfUnused(link *exchangeLink) {
	if link.delisted && c.links[link.id] == link && len(link.held) == 0 && len(link.queued) == 0 {
		c.effects = append(c.effects, Effect{Kind: EffectDisconnect, Peer: link.peer()})
		link.state.connected = false
		delete(c.links, link.id)
	}
}

// handleListMessage handles a message of the exchange list.
func (c *Controller) handleListMessage(msg *signal.Message) {
	if msg.Kind != signal.Request {
		if msg.Code != 0 {
			c.log(slog.LevelWarn, "", fmt.Sprintf("the exchange list reported error %d %s", msg.Code, msg.Text))
		}
		return
	}
	if msg.Command != signal.Notify {
		c.sendMessage(c.listLink.peer, msg.NewErrorReply(signal.UnknownCommand, "not a command for a controller"))
		return
	}
	update, addresses, err := c.parseExchangeList(msg)
	if err != nil {
		c.log(slog.LevelError, "", "invalid exchange list: "+err.Error())
		c.sendMessage(c.listLink.peer, msg.NewErrorReply(signal.BadValue, err.Error()))
		return
	}
	c.sendMessage(c.listLink.peer, msg.NewReply())
	listed := map[uint64]bool{}
	for i, entry := range update.Entries {
		listed[uint64(entry.ID)] = true
		c.applyListEntry(entry, addresses[i])
	}
	if update.Complete {
		for _, id := range sortedKeys(c.links) {
			if link := c.links[id]; !listed[id] && !link.delisted {
				c.blockLink(link, true)
			}
		}
	}
	c.notifyModule(update)
	for _, number := range sortedKeys(c.groupReports) { // circuit reports received before the list
		if id, ok := c.exchangeIDs[number]; ok && listed[id] {
			circuits := c.groupReports[number]
			circuits.ExchangeID = uint32(id)
			c.notifyModule(circuits)
		}
	}
}

// applyListEntry applies one entry of the exchange list.
func (c *Controller) applyListEntry(entry routing.Exchange, address string) {
	id := uint64(entry.ID)
	link := c.links[id]
	if entry.State == routing.OutOfService {
		if link != nil {
			c.blockLink(link, true)
		}
		return
	}
	if link == nil {
		link = &exchangeLink{id: id, pending: map[uint32]*attempt{}, held: map[*attempt]bool{},
			state: linkState{peer: Peer{RoleExchange, id}, faults: c.config.FaultLimit}}
		c.links[id] = link
	}
	if link.address != address {
		link.address = address
		c.effects = append(c.effects, Effect{Kind: EffectConnect, Peer: link.peer(), Address: address})
	}
	link.number, link.delisted = entry.Number, false
	if entry.State == routing.Draining {
		c.blockLink(link, false)
		return
	}
	c.exchangeIDs[entry.Number] = id
	if link.blocked {
		link.blocked = false
		c.effects = append(c.effects, Effect{Kind: EffectUnblock, Peer: link.peer()})
	}
}

// blockLink stops set-ups to an exchange that is draining or delisted, also those
// that were decided before and have not been sent yet.
func (c *Controller) blockLink(link *exchangeLink, delisted bool) {
	if !link.blocked {
		link.blocked = true
		c.effects = append(c.effects, Effect{Kind: EffectBlock, Peer: link.peer()})
	}
	link.delisted = link.delisted || delisted
	queued := link.queued
	link.queued = nil
	for _, attempt := range queued {
		c.stats.NoLink++
		c.finishAttempt(attempt, routing.OutcomeUnreachable, signal.Message{})
	}
	c.dropIfUnused(link)
}

// states maps the state words of the exchange list.
var states = map[string]routing.ExchangeState{
	"in":       routing.InService,
	"draining": routing.Draining,
	"out":      routing.OutOfService,
}

// parseExchangeList reads the "Exchange: ID cell=N state=in since=MS at=ADDR" lines
// of a notification. It returns the entries and, in the same order, their addresses.
func (c *Controller) parseExchangeList(msg *signal.Message) (routing.ExchangeListUpdate, []string, error) {
	update := routing.ExchangeListUpdate{Complete: msg.Flag("Complete")}
	var addresses []string
	for _, line := range msg.All("Exchange") {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			return update, nil, errors.New("descriptor Exchange is empty")
		}
		id, err := strconv.ParseUint(fields[0], 10, 32)
		if err != nil {
			return update, nil, fmt.Errorf("descriptor Exchange: %.40q is no id", fields[0])
		}
		entry, address := routing.Exchange{ID: uint32(id), Number: -1, State: -1}, ""
		for _, field := range fields[1:] {
			name, value, _ := strings.Cut(field, "=")
			switch name {
			case "cell":
				n, err := strconv.ParseUint(value, 10, 20)
				if err != nil {
					return update, nil, fmt.Errorf("descriptor Exchange %d: cell: %.40q", id, value)
				}
				entry.Number = int(n)
			case "state":
				state, ok := states[value]
				if !ok {
					return update, nil, fmt.Errorf("descriptor Exchange %d: state: %.40q", id, value)
				}
				entry.State = state
			case "since": // milliseconds since 1970; 0 means long ago
				n, err := strconv.ParseInt(value, 10, 64)
				if err != nil || n < 0 || n > math.MaxInt64/int64(time.Millisecond) {
					return update, nil, fmt.Errorf("descriptor Exchange %d: since: %.40q", id, value)
				}
				entry.StartedAt = time.Duration(n) * time.Millisecond
			case "at":
				address = value
			}
		}
		if entry.Number < 0 || entry.State < 0 || address == "" && entry.State != routing.OutOfService {
			return update, nil, fmt.Errorf("descriptor Exchange %d: cell, state or at is missing", id)
		}
		update.Entries, addresses = append(update.Entries, entry), append(addresses, address)
	}
	if len(update.Entries) > c.config.MaxExchanges {
		return update, nil, fmt.Errorf("%d exchanges in one word, %d at most", len(update.Entries), c.config.MaxExchanges)
	}
	return update, addresses, nil
}

// handleGroupReports passes the circuit reports of a message, "Group: NUMBER FREE SIZE"
// lines about the own trunk groups, to the routing module.
func (c *Controller) handleGroupReports(msg *signal.Message) {
	for _, value := range msg.All("Group") {
		number, free, size, ok := parseGroup(value)
		if !ok {
			continue
		}
		circuits := routing.GroupStatus{OK: true, Report: routing.StatusReport{CircuitsKnown: true, FreeCircuits: free, GroupSize: size}}
		c.groupReports[number] = circuits
		if id, ok := c.exchangeIDs[number]; ok {
			circuits.ExchangeID = uint32(id)
			c.notifyModule(circuits)
		}
	}
}

// parseGroup reads the value of a Group line: the number of the peer exchange, free
// and total circuits.
func parseGroup(value string) (number, free, size int, ok bool) {
	fields := strings.Fields(value)
	if len(fields) != 3 {
		return 0, 0, 0, false
	}
	var values [3]int
	for i := range fields {
		parsed, err := strconv.ParseUint(fields[i], 10, 30)
		if err != nil {
			return 0, 0, 0, false
		}
		values[i] = int(parsed)
	}
	return values[0], values[1], values[2], values[0] <= maxExchangeNumber
}
