package export

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"dahliaspindle/internal/collect"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/ipfix"
	"dahliaspindle/internal/shed"
	"dahliaspindle/internal/spool"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var classes = []string{"fetch", "dear"}

// station is a collector on loopback that can be closed and opened again.
type station struct {
	t    *testing.T
	c    *collect.Collector
	addr string
	ln   net.Listener
	wg   sync.WaitGroup
}

func newStation(t *testing.T) *station {
	t.Helper()
	c, err := collect.New("")
	if err != nil {
		t.Fatal(err)
	}
	s := &station{t: t, c: c}
	s.open()
	return s
}

func (s *station) open() {
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.ln, s.addr = ln, ln.Addr().String()
	s.wg.Go(func() { s.c.Serve(ln) })
}

// close takes the collector out of reach, at once and with resets.
func (s *station) close() {
	s.ln.Close()
	s.wg.Wait()
	s.c.ResetAll()
}

func (s *station) end() {
	s.ln.Close()
	s.wg.Wait()
	if err := s.c.Close(); err != nil {
		s.t.Error(err)
	}
}

// process is one life of an exporting process.
type process struct {
	e     *Exporter
	stop  context.CancelFunc
	ended chan struct{}
	seq   uint64
	put   flow.Counts
}

var lives atomic.Uint64

func start(t *testing.T, cfg Config, fs []spool.FS) *process {
	t.Helper()
	codec := flow.NewCodec(7, 1_700_000_000_000+lives.Add(1), classes, []byte("key"))
	for _, f := range fs {
		s, err := spool.Open(f, spool.Config{MaxBytes: 8 << 20, SegmentBytes: 64 << 10, SyncDelay: 50 * time.Millisecond}, codec)
		if err != nil {
			t.Fatal(err)
		}
		cfg.Spools = append(cfg.Spools, s)
	}
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, c Collector) (net.Conn, error) {
			d := net.Dialer{Timeout: time.Second}
			network := "tcp"
			if c.Transport == "udp" {
				network = "udp"
			}
			return d.DialContext(ctx, network, c.Address)
		}
	}
	cfg.Now = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	cfg.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	cfg.SummaryInterval, cfg.ConfirmAfter = 100*time.Millisecond, 200*time.Millisecond
	cfg.MinRetryDelay, cfg.MaxRetryDelay, cfg.WriteTimeout = 5*time.Millisecond, 50*time.Millisecond, 300*time.Millisecond
	cfg.Shed.ClassWorth = []float64{1, 5}
	e, err := New(cfg, codec)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &process{e: e, stop: stop, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		e.Run(ctx)
	}()
	return p
}

// calls puts n calls with an attempt each, over a time.
func (p *process) calls(n int, over time.Duration) {
	from := time.Now()
	for i := range n {
		for _, k := range []flow.Kind{flow.KindCall, flow.KindAttempt} {
			p.seq++
			r := flow.Record{Kind: k, Seq: p.seq, Class: uint8(i % 2), Outcome: flow.CallEnded, Dest: int32(i % 9), CalledNumber: uint64(i), VerdictReason: "no circuit free"}
			if k == flow.KindAttempt {
				r.Outcome = flow.AttemptCompleted
			}
			*p.put.At(&r)++
			p.e.Put(&r)
		}
		if wait := time.Until(from.Add(over * time.Duration(i) / time.Duration(n))); wait > 2*time.Millisecond {
			time.Sleep(wait)
		}
	}
}

func (p *process) end(t *testing.T) {
	t.Helper()
	p.stop()
	<-p.ended
	if *p.e.Counted() != p.put {
		t.Errorf("counted %d calls and %d attempts, put %d and %d", p.e.Counted().Sum(flow.KindCall), p.e.Counted().Sum(flow.KindAttempt),
			p.put.Sum(flow.KindCall), p.put.Sum(flow.KindAttempt))
	}
}

// exact asks that everything counted is there, once, and nothing is unknown.
func exact(t *testing.T, r *collect.Report) {
	t.Helper()
	if !r.OK() || r.Unfinished != 0 || r.UnknownSets != 0 || r.Unreadable != 0 {
		t.Errorf("%+v", r)
	}
	t.Logf("counted %d, received %d, folded %d, dropped %d, resent %d", r.Counted, r.Received, r.Folded, r.Dropped, r.Resent)
}

func tcp(s *station) Config {
	return Config{Collectors: []Collector{{Address: s.addr, Transport: "tcp"}}}
}

// What a collector does to a stream, and each time the sums are exact.
func TestConservation(t *testing.T) {
	cases := []struct {
		name  string
		spool bool
		play  func(t *testing.T, s *station, p *process)
		ask   func(r *collect.Report) string
	}{
		{"well", false, func(t *testing.T, s *station, p *process) { p.calls(3000, 500*time.Millisecond) },
			func(r *collect.Report) string { return whole(r, 6000) }},
		{"away at the start, with a spool", true, func(t *testing.T, s *station, p *process) {
			s.close()
			p.calls(2000, 400*time.Millisecond)
			s.open()
			p.calls(500, 1500*time.Millisecond)
		}, func(r *collect.Report) string { return whole(r, 5000) }},
		{"away at the start, without", false, func(t *testing.T, s *station, p *process) {
			s.close()
			p.calls(2000, 400*time.Millisecond)
			s.open()
			p.calls(500, 500*time.Millisecond)
		}, func(r *collect.Report) string { return whole(r, 5000) }},
		{"away in the middle", true, func(t *testing.T, s *station, p *process) {
			p.calls(1000, 300*time.Millisecond)
			s.close()
			p.calls(1000, 300*time.Millisecond)
			s.open()
			p.calls(1000, 1500*time.Millisecond)
		}, func(r *collect.Report) string { return whole(r, 6000) }},
		{"away to the end", true, func(t *testing.T, s *station, p *process) {
			p.calls(1000, 300*time.Millisecond)
			s.close()
			p.calls(1000, 300*time.Millisecond)
		}, func(r *collect.Report) string { return whole(r, 4000) }},
		{"resets after each message", true, func(t *testing.T, s *station, p *process) {
			s.c.Faults.ResetEach.Store(true)
			p.calls(1000, 700*time.Millisecond)
			s.c.Faults.ResetEach.Store(false)
			p.calls(500, time.Second)
		}, nil},
		{"accepts and never reads, then resets", true, func(t *testing.T, s *station, p *process) {
			s.c.Faults.StopReading.Store(true)
			p.calls(20000, time.Second)
			s.c.ResetAll()
			s.c.Faults.StopReading.Store(false)
			p.calls(500, time.Second)
		}, nil},
		{"resets during the replay", true, func(t *testing.T, s *station, p *process) {
			s.close()
			p.calls(3000, 300*time.Millisecond)
			s.c.Faults.ReadDelay.Store(int64(time.Millisecond))
			s.c.Faults.StopReading.Store(true)
			s.open()
			p.calls(100, 500*time.Millisecond) // the replay begins, and lies in the buffers
			s.c.ResetAll()
			s.c.Faults.StopReading.Store(false)
			p.calls(100, time.Second)
			for i := 0; p.e.Status().Spools[0].Segments > 0; i++ {
				if i > 500 {
					t.Fatal("the replay does not go on behind the break")
				}
				time.Sleep(10 * time.Millisecond)
			}
		}, func(r *collect.Report) string { return whole(r, 6400) }},
		{"refuses", true, func(t *testing.T, s *station, p *process) {
			s.c.Faults.RefuseConnections.Store(true)
			s.c.ResetAll()
			p.calls(1000, 300*time.Millisecond)
			s.c.Faults.RefuseConnections.Store(false)
			p.calls(500, time.Second)
		}, nil},
		{"never ends a connection", false, func(t *testing.T, s *station, p *process) {
			s.c.Faults.KeepOpen.Store(true)
			p.calls(2000, 3*time.Second)
		}, nil},
		{"flood", false, func(t *testing.T, s *station, p *process) {
			s.c.Faults.ReadDelay.Store(int64(5 * time.Millisecond))
			p.calls(200, 300*time.Millisecond)
			p.calls(100000, 500*time.Millisecond)
			s.c.Faults.ReadDelay.Store(0)
			p.calls(200, 500*time.Millisecond)
		}, func(r *collect.Report) string {
			if r.Folded == 0 {
				return "nothing was folded"
			}
			return ""
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStation(t)
			defer s.end()
			cfg := tcp(s)
			cfg.QueueCapacity, cfg.ReplayRate, cfg.ShutdownTimeout = 15000, 50000, 4*time.Second
			if c.name == "resets during the replay" {
				cfg.ReplayRate = 4000 // it goes on behind the break
			}
			var fs []spool.FS
			if c.spool {
				fs = append(fs, spool.Dir(t.TempDir()))
			}
			p := start(t, cfg, fs)
			c.play(t, s, p)
			p.end(t)
			if c.spool { // what is left of it goes out in the next life
				if c.name == "away to the end" {
					s.open()
				}
				p = start(t, cfg, fs)
				p.calls(1, 10*time.Millisecond)
				for i := 0; i < 300; i++ {
					if st := p.e.Status(); len(st.Spools) > 0 && st.Spools[0].Segments == 0 {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				p.end(t)
			}
			r := s.c.Report()
			for i := 0; r.Unfinished > 0 && i < 200; i++ { // what is in the sockets yet is read
				time.Sleep(10 * time.Millisecond)
				r = s.c.Report()
			}
			exact(t, r)
			if c.ask != nil {
				if bad := c.ask(r); bad != "" {
					t.Error(bad)
				}
			}
		})
	}
}

func whole(r *collect.Report, n uint64) string {
	if calls := r.Counted / 2; r.SummaryCalls != calls { // an attempt each
		return fmt.Sprintf("%d calls in the summaries, %d counted", r.SummaryCalls, calls)
	}
	if r.Received < n || r.Dropped+r.Folded > 0 {
		return fmt.Sprintf("%d received whole, want %d", r.Received, n)
	}
	return ""
}

func TestFailoverAndCopies(t *testing.T) {
	a, b := newStation(t), newStation(t)
	defer a.end()
	defer b.end()
	both := []Collector{{Address: a.addr, Transport: "tcp"}, {Address: b.addr, Transport: "tcp"}}
	dir := t.TempDir()

	p := start(t, Config{Collectors: both}, nil)
	p.calls(500, 300*time.Millisecond)
	a.close()
	p.calls(500, 500*time.Millisecond)
	p.end(t)
	ra, rb := a.c.Report(), b.c.Report()
	if ra.OrphanRecords == 0 && ra.Received == 0 || rb.Received == 0 || rb.Unfinished != 0 || int(ra.OrphanRecords+rb.Received) < 2000 {
		t.Errorf("failover: first %+v, second %+v", ra, rb)
	}

	a, c := newStation(t), newStation(t)
	defer a.end()
	defer c.end()
	fs := []spool.FS{mustDir(t, filepath.Join(dir, "a")), mustDir(t, filepath.Join(dir, "c"))}
	cfg := Config{Collectors: []Collector{{Address: a.addr, Transport: "tcp"}, {Address: c.addr, Transport: "tcp"}}, SendToAll: true, ReplayRate: 50000}
	p = start(t, cfg, fs)
	p.calls(300, 200*time.Millisecond)
	c.close()
	p.calls(300, 300*time.Millisecond)
	c.open()
	p.calls(300, 1500*time.Millisecond)
	p.end(t)
	exact(t, a.c.Report())
	p = start(t, cfg, fs) // what the second one lacks, if anything
	p.calls(1, time.Millisecond)
	time.Sleep(time.Second)
	p.end(t)
	exact(t, a.c.Report())
	exact(t, c.c.Report())
}

func mustDir(t *testing.T, path string) spool.FS {
	t.Helper()
	d, err := spool.CreateDir(path)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestDatagrams(t *testing.T) {
	for _, proto := range []ipfix.Protocol{ipfix.IPFIX, ipfix.NetFlow9} {
		t.Run(fmt.Sprint("version ", proto), func(t *testing.T) {
			c, err := collect.New("")
			if err != nil {
				t.Fatal(err)
			}
			pc, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var wg sync.WaitGroup
			wg.Go(func() { c.ServePacket(pc) })
			p := start(t, Config{Collectors: []Collector{{Address: pc.LocalAddr().String(), Transport: "udp", Protocol: proto, MTU: 600}},
				TemplateInterval: 100 * time.Millisecond}, nil)
			p.calls(1000, 500*time.Millisecond)
			p.end(t)
			time.Sleep(50 * time.Millisecond)
			pc.Close()
			wg.Wait()
			r := c.Report()
			if err := c.Close(); err != nil {
				t.Fatal(err)
			}
			if lost := r.Difference; lost > 0 && r.SequenceGaps == 0 || r.Received < 1500 || r.Unreadable != 0 { // datagrams may be lost, but not unseen
				t.Errorf("%+v", r)
			}
		})
	}
}

// full is a disk that has no room.
type full struct{ spool.FS }

func (full) Create(string) (spool.File, error) { return nil, fmt.Errorf("no space left on device") }

func TestDiskFullAndCollectorAway(t *testing.T) {
	s := newStation(t)
	defer s.end()
	s.close()
	cfg := tcp(s)
	cfg.QueueCapacity = 2000
	cfg.Shed = shed.Config{MaxSums: 20}
	p := start(t, cfg, []spool.FS{full{mustDir(t, t.TempDir())}})
	p.calls(20000, time.Second)
	s.open()
	p.calls(500, time.Second)
	p.end(t)
	r := s.c.Report()
	exact(t, r)
	if r.Folded == 0 {
		t.Errorf("%+v", r)
	}
}

// The call path: no allocation, also when nobody takes the records.
func TestPutDoesNotAllocate(t *testing.T) {
	e, err := New(Config{Collectors: []Collector{{Address: "x", Transport: "tcp"}}, RingCapacity: 64,
		Now: func() time.Duration { return 0 }}, flow.NewCodec(1, 1, classes, nil))
	if err != nil {
		t.Fatal(err)
	}
	r := &flow.Record{VerdictReason: "no circuit free"}
	if n := testing.AllocsPerRun(1000, func() { e.Put(r) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}
