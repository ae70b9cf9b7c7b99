package main

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["flood"] = floodCase }

// rudeClient sends hundreds of set-ups at once and each that is turned away again at once, as a new one.
func (s *scenario) rudeClient(addr string, number, size int, dest int, over *atomic.Bool, replies *atomic.Int64) {
	id := uint64(number+1) << 40
	next := func() []byte {
		id++
		return setUpMessage(id, "grid-fetch", 9*time.Second, figures(dest, 1), describe(id))
	}
	for !over.Load() {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		s.atEnd(func() { conn.Close() })
		var all []byte
		for range size {
			all = append(all, next()...)
		}
		if _, err := conn.Write(all); err != nil {
			conn.Close()
			continue
		}
		for reader := bufio.NewReader(conn); !over.Load(); {
			m, err := decode(reader)
			if err != nil {
				break
			}
			replies.Add(1)
			if m.kind == typeRelease {
				if _, err := conn.Write(next()); err != nil {
					break
				}
			}
		}
		conn.Close()
	}
}

// floodCase: some bad clients send hundreds of set-ups at once and again as soon as they are turned away, beside
// the usual clients.
func floodCase(s *scenario) {
	const rude, atOnce, length = 30, 900, 20 * time.Second
	d := s.deploy(5)
	// There is no group of circuits to exchange 2, which the bad clients call.
	d.exchanges[2].noCircuits()
	for _, x := range d.exchanges {
		x.hold = func(string) time.Duration { return 4 * time.Second }
	}
	callers := []*caller{d.caller}
	for i := range 3 {
		callers = append(callers, s.newCaller("caller"+string(rune('1'+i)), d.control.addr, uint64(i+2)<<20))
	}
	time.Sleep(time.Second)
	var over atomic.Bool
	var replies atomic.Int64
	if s.trouble {
		time.AfterFunc(2*time.Second, func() {
			s.note("%d bad clients come, with %d set-ups at once each", rude, atOnce)
			for i := range rude {
				go s.rudeClient(d.control.addr, i, atOnce, 2, &over, &replies)
			}
		})
	}
	type sent struct {
		call *callerCall
		by   *caller
	}
	var calls []sent
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		c := callers[i%len(callers)]
		if !c.isClosed() {
			calls = append(calls, sent{c.setUp("answer-check", 1800*time.Millisecond, figures([]int{1, 3, 4}[i%3], 1)), c})
		}
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	over.Store(true)
	s.note("the bad clients go; they got %d replies", replies.Load())
	time.Sleep(8 * time.Second)
	now := time.Now()
	for _, c := range calls {
		state := c.by.state(c.call)
		limit := state.sentAt.Add(state.patience + 500*time.Millisecond + slack)
		switch {
		case len(state.answers) > 1:
			s.breach("call %016x has %d answers", c.call.id, len(state.answers))
		case state.connLost && state.connLostAt.Before(limit):
			s.note("call %016x: its connection ended without an answer, not counted", c.call.id)
		case state.finalAt.IsZero() && now.After(limit):
			s.breach("call %016x has no answer", c.call.id)
		case state.finalAt.After(limit):
			s.breach("call %016x: the final answer came %.1f s after the caller's time", c.call.id, state.finalAt.Sub(state.sentAt.Add(state.patience)).Seconds())
		}
		for _, x := range d.exchanges {
			x.mu.Lock()
			released := x.released[callName(c.call.id)]
			x.mu.Unlock()
			limit := released.Add(time.Second + slack)
			if state.answeredAt.IsZero() || released.IsZero() || !c.by.openAt(limit) {
				continue
			}
			if state.releasedAt.IsZero() || state.releasedAt.After(limit) {
				s.breach("call %016x: released by %s %.1f s before it was released towards its caller, or it is not yet", c.call.id, x.name, lag(state.releasedAt, released, now).Seconds())
			}
		}
	}
}

// lag is the time from one moment to a later one, or to now if that has not come.
func lag(to, from, now time.Time) time.Duration {
	if to.IsZero() {
		to = now
	}
	return to.Sub(from)
}
