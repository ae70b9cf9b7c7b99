package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// listEntry is one exchange of the list.
type listEntry struct {
	name     string
	cell     int
	addr     *net.TCPAddr
	draining bool
	bornMS   int64
}

// version is the exchange list after one event.
type version struct {
	serial  int
	entries []listEntry
	toldAt  time.Time // when the first answer that holds it was sent; zero before
}

// resolver answers queries with the latest version of the list, or with an earlier one while older is set.
type resolver struct {
	rec     *recorder
	conn    net.PacketConn
	mu      sync.Mutex
	history []*version
	older   func() *version // version to answer with instead of the latest one, or nil
}

func newResolver(rec *recorder, entries []listEntry) (*resolver, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &resolver{rec: rec, conn: conn, history: []*version{{serial: 1, entries: entries, toldAt: time.Now()}}}
	go r.serve()
	return r, nil
}

func (r *resolver) addr() string { return r.conn.LocalAddr().String() }

// latest returns the latest version.
func (r *resolver) latest() *version { return r.history[len(r.history)-1] }

// publish adds an event: the list is changed by edit.
func (r *resolver) publish(edit func([]listEntry) []listEntry) *version {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := append([]listEntry(nil), r.latest().entries...)
	v := &version{serial: r.latest().serial + 1, entries: edit(entries)}
	r.history = append(r.history, v)
	return v
}

// told returns when a version was told, or the zero time.
func (r *resolver) told(v *version) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return v.toldAt
}

// setOlder sets the function that names the version to answer with; nil means the latest one.
func (r *resolver) setOlder(older func() *version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.older = older
}

func (r *resolver) serve() {
	buf := make([]byte, 1024)
	for {
		n, from, err := r.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		var m dns.Msg
		if m.Unpack(buf[:n]) != nil {
			continue
		}
		r.mu.Lock()
		v := r.latest()
		if r.older != nil {
			if old := r.older(); old != nil {
				v = old
			}
		}
		m.Response, m.Compress = true, true
		add := func(section *[]dns.RR, format string, args ...any) {
			rr, err := dns.NewRR(fmt.Sprintf(format, args...))
			if err != nil {
				panic(err)
			}
			*section = append(*section, rr)
		}
		for _, e := range v.entries {
			priority := 0
			if e.draining {
				priority = 1
			}
			target := e.name + ".east.hosts."
			add(&m.Answer, "_work._tcp.fleet.local. 0 IN SRV %d 40 %d %s", priority, e.addr.Port, target)
			add(&m.Extra, "%s 0 IN A %s", target, e.addr.IP)
			add(&m.Extra, `%s 0 IN TXT "kind=std" "cell=%d" "started=%d"`, target, e.cell, e.bornMS)
		}
		add(&m.Ns, "hosts. 0 IN SOA a. b. %d 1 1 1 1", v.serial)
		packet, err := m.Pack()
		if err == nil {
			if v.toldAt.IsZero() {
				v.toldAt = time.Now()
			}
			r.rec.logf("resolver answers query %d with the list of event %d (latest is %d)", m.Id, v.serial, r.latest().serial)
			_, _ = r.conn.WriteTo(packet, from)
		}
		r.mu.Unlock()
	}
}
