package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// Health of an exchange on the list.
const (
	active = iota
	leaving
)

// entry is an exchange on the list.
type entry struct {
	name, addr string
	number     int
	state      int
	bornMs     int64
}

func (e entry) health() string {
	if e.state == leaving {
		return "leaving"
	}
	return "active"
}

// resolver stands in for the platform's resolver. An answer holds the list at the time at which it is sent.
type resolver struct {
	s    *scenario
	conn net.PacketConn

	mu     sync.Mutex
	serial int
	list   []entry
	silent bool              // answers nothing
	delay  time.Duration     // from a query to its answer
	told   map[int]time.Time // when the first answer with a serial was sent
}

func (s *scenario) newResolver(list []entry) *resolver {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		s.cannotRun("resolver: %v", err)
	}
	r := &resolver{s: s, conn: conn, serial: 1, list: list, told: map[int]time.Time{}}
	go r.serve()
	s.atEnd(func() { conn.Close() })
	return r
}

func (r *resolver) addr() string { return r.conn.LocalAddr().String() }

// change makes an event: the list is another one from now on.
func (r *resolver) change(what string, list []entry) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	r.list = list
	r.s.note("resolver: event %d: %s", r.serial, what)
	return r.serial
}

func (r *resolver) toldAt(serial int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.told[serial]
}

// setSilent makes the resolver answer nothing, or answer again.
func (r *resolver) setSilent(silent bool) {
	r.s.note("resolver: silent %v", silent)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

func (r *resolver) setDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

func (r *resolver) serve() {
	buf := make([]byte, 1500)
	for {
		n, from, err := r.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		var query dns.Msg
		if query.Unpack(buf[:n]) != nil {
			continue
		}
		r.mu.Lock()
		delay, silent := r.delay, r.silent
		r.mu.Unlock()
		if silent {
			continue
		}
		if delay == 0 {
			r.answer(&query, from)
			continue
		}
		time.AfterFunc(delay, func() { r.answer(&query, from) })
	}
}

func (r *resolver) answer(query *dns.Msg, to net.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	serial, list := r.serial, r.list
	msg := new(dns.Msg)
	msg.SetReply(query)
	msg.Compress, msg.Authoritative = true, true
	for _, e := range list {
		host, port, _ := net.SplitHostPort(e.addr)
		target := e.name + ".almaty.hosts."
		msg.Answer = append(msg.Answer, record("_work._tcp.fleet.local. 0 IN SRV %d 10 %s %s", e.state, port, target))
		msg.Extra = append(msg.Extra, record("%s 0 IN A %s", target, host),
			record(`%s 0 IN TXT "kind=basic-1core" "cell=%d" "started=%d"`, target, e.number, e.bornMs))
	}
	msg.Ns = append(msg.Ns, record("fleet.local. 0 IN SOA ns.fleet.local. hostmaster.fleet.local. %d 1 1 1 1", serial))
	packet, err := msg.Pack()
	if err != nil {
		panic(err)
	}
	if _, err := r.conn.WriteTo(packet, to); err != nil {
		return
	}
	if r.told[serial].IsZero() {
		r.told[serial] = time.Now()
		r.s.note("resolver: sends the first answer with serial %d, to query %d", serial, query.Id)
	}
}

func record(format string, args ...any) dns.RR {
	rr, err := dns.NewRR(fmt.Sprintf(format, args...))
	if err != nil {
		panic(err)
	}
	return rr
}
