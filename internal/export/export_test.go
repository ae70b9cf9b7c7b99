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

var classes = []string{"voice", "data"}

// testCollector is a collector on the loopback interface that can be disconnected and
// can listen again on the same address.
type testCollector struct {
	t         *testing.T
	collector *collect.Collector
	addr      string
	listener  net.Listener
	wg        sync.WaitGroup
}

func newTestCollector(t *testing.T) *testCollector {
	t.Helper()
	collector, err := collect.New("")
	if err != nil {
		t.Fatal(err)
	}
	c := &testCollector{t: t, collector: collector}
	c.listen()
	return c
}

// listen starts the listener, at the previous address if there was one.
func (c *testCollector) listen() {
	addr := c.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		c.t.Fatal(err)
	}
	c.listener, c.addr = listener, listener.Addr().String()
	c.wg.Go(func() { c.collector.Serve(listener) })
}

// disconnect closes the listener and resets all connections.
func (c *testCollector) disconnect() {
	c.listener.Close()
	c.wg.Wait()
	c.collector.ResetAll()
}

// stop closes the listener and the collector.
func (c *testCollector) stop() {
	c.listener.Close()
	c.wg.Wait()
	if err := c.collector.Close(); err != nil {
		c.t.Error(err)
	}
}

// testProcess is one incarnation of an exporting process.
type testProcess struct {
	exporter *Exporter
	stop     context.CancelFunc
	done     chan struct{}
	seq      uint64
	put      flow.Counts // records passed to Put
}

// incarnationCount makes the incarnations of all test processes differ.
var incarnationCount atomic.Uint64

// startProcess starts an exporter with short intervals, and with a spool in each of
// spoolDirs.
func startProcess(t *testing.T, config Config, spoolDirs []spool.FS) *testProcess {
	t.Helper()
	codec := flow.NewCodec(7, 1_700_000_000_000+incarnationCount.Add(1), classes, []byte("key"))
	for _, fs := range spoolDirs {
		opened, err := spool.Open(fs, spool.Config{MaxBytes: 8 << 20, SegmentBytes: 64 << 10, SyncDelay: 50 * time.Millisecond}, codec)
		if err != nil {
			t.Fatal(err)
		}
		config.Spools = append(config.Spools, opened)
	}
	if config.Dial == nil {
		config.Dial = func(ctx context.Context, collector Collector) (net.Conn, error) {
			dialer := net.Dialer{Timeout: time.Second}
			network := "tcp"
			if collector.Transport == "udp" {
				network = "udp"
			}
			return dialer.DialContext(ctx, network, collector.Address)
		}
	}
	config.Now = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	config.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	config.SummaryInterval, config.ConfirmAfter = 100*time.Millisecond, 200*time.Millisecond
	config.MinRetryDelay, config.MaxRetryDelay, config.WriteTimeout = 5*time.Millisecond, 50*time.Millisecond, 300*time.Millisecond
	config.Shed.ClassWorth = []float64{1, 5}
	exporter, err := New(config, codec)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	process := &testProcess{exporter: exporter, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(process.done)
		exporter.Run(ctx)
	}()
	return process
}

// putCalls puts the records of count calls with one attempt each, spread over duration.
func (p *testProcess) putCalls(count int, duration time.Duration) {
	startedAt := time.Now()
	for i := range count {
		for _, kind := range []flow.Kind{flow.KindCall, flow.KindAttempt} {
			p.seq++
			record := flow.Record{
				Kind:          kind,
				Seq:           p.seq,
				Class:         uint8(i % 2),
				Outcome:       flow.CallEnded,
				Dest:          int32(i % 9),
				CalledNumber:  uint64(i),
				VerdictReason: "no circuit free",
			}
			if kind == flow.KindAttempt {
				record.Outcome = flow.AttemptCompleted
			}
			*p.put.At(&record)++
			p.exporter.Put(&record)
		}
		if wait := time.Until(startedAt.Add(duration * time.Duration(i) / time.Duration(count))); wait > 2*time.Millisecond {
			time.Sleep(wait)
		}
	}
}

// shutDown waits until Run has returned, and checks that every record was counted.
func (p *testProcess) shutDown(t *testing.T) {
	t.Helper()
	p.stop()
	<-p.done
	if *p.exporter.Counted() != p.put {
		t.Errorf("counted %d calls and %d attempts, want %d and %d", p.exporter.Counted().Sum(flow.KindCall), p.exporter.Counted().Sum(flow.KindAttempt),
			p.put.Sum(flow.KindCall), p.put.Sum(flow.KindAttempt))
	}
}

// checkAccountedFor checks that every counted record was received, folded or dropped
// exactly once, and that everything could be decoded.
func checkAccountedFor(t *testing.T, report *collect.Report) {
	t.Helper()
	if !report.OK() || report.Unfinished != 0 || report.UnknownSets != 0 || report.Unreadable != 0 {
		t.Errorf("not every record is accounted for: %+v", report)
	}
	t.Logf("counted %d, received %d, folded %d, dropped %d, resent %d", report.Counted, report.Received, report.Folded, report.Dropped, report.Resent)
}

func tcpConfig(collector *testCollector) Config {
	return Config{Collectors: []Collector{{Address: collector.addr, Transport: "tcp"}}}
}

// Whatever faults a collector has, every record is accounted for exactly once.
func TestEveryRecordIsAccountedFor(t *testing.T) {
	tests := []struct {
		name  string
		spool bool
		run   func(t *testing.T, collector *testCollector, process *testProcess)
		check func(report *collect.Report) string
	}{
		{"no fault", false, func(t *testing.T, collector *testCollector, process *testProcess) {
			process.putCalls(3000, 500*time.Millisecond)
		},
			func(report *collect.Report) string { return checkReceived(report, 6000) }},
		{"unreachable at the start, with a spool", true, func(t *testing.T, collector *testCollector, process *testProcess) {
			collector.disconnect()
			process.putCalls(2000, 400*time.Millisecond)
			collector.listen()
			process.putCalls(500, 1500*time.Millisecond)
		}, func(report *collect.Report) string { return checkReceived(report, 5000) }},
		{"unreachable at the start, without a spool", false, func(t *testing.T, collector *testCollector, process *testProcess) {
			collector.disconnect()
			process.putCalls(2000, 400*time.Millisecond)
			collector.listen()
			process.putCalls(500, 500*time.Millisecond)
		}, func(report *collect.Report) string { return checkReceived(report, 5000) }},
		{"unreachable in the middle", true, func(t *testing.T, collector *testCollector, process *testProcess) {
			process.putCalls(1000, 300*time.Millisecond)
			collector.disconnect()
			process.putCalls(1000, 300*time.Millisecond)
			collector.listen()
			process.putCalls(1000, 1500*time.Millisecond)
		}, func(report *collect.Report) string { return checkReceived(report, 6000) }},
		{"unreachable until the end", true, func(t *testing.T, collector *testCollector, process *testProcess) {
			process.putCalls(1000, 300*time.Millisecond)
			collector.disconnect()
			process.putCalls(1000, 300*time.Millisecond)
		}, func(report *collect.Report) string { return checkReceived(report, 4000) }},
		{"resets after each message", true, func(t *testing.T, collector *testCollector, process *testProcess) {
			collector.collector.Faults.ResetEach.Store(true)
			process.putCalls(1000, 700*time.Millisecond)
			collector.collector.Faults.ResetEach.Store(false)
			process.putCalls(500, time.Second)
		}, nil},
		{"stops reading, then resets", true, func(t *testing.T, collector *testCollector, process *testProcess) {
			collector.collector.Faults.StopReading.Store(true)
			process.putCalls(20000, time.Second)
			collector.collector.ResetAll()
			collector.collector.Faults.StopReading.Store(false)
			process.putCalls(500, time.Second)
		}, nil},
		{"resets during the replay", true, func(t *testing.T, collector *testCollector, process *testProcess) {
			collector.disconnect()
			process.putCalls(3000, 300*time.Millisecond)
			collector.collector.Faults.ReadDelay.Store(int64(time.Millisecond))
			collector.collector.Faults.StopReading.Store(true)
			collector.listen()
			process.putCalls(100, 500*time.Millisecond) // the replay begins and stays in the socket buffers
			collector.collector.ResetAll()
			collector.collector.Faults.StopReading.Store(false)
			process.putCalls(100, time.Second)
			for i := 0; process.exporter.Status().Spools[0].Segments > 0; i++ {
				if i > 500 {
					t.Fatal("the replay does not continue after the reset")
				}
				time.Sleep(10 * time.Millisecond)
			}
		}, func(report *collect.Report) string { return checkReceived(report, 6400) }},
		{"refuses connections", true, func(t *testing.T, collector *testCollector, process *testProcess) {
			collector.collector.Faults.RefuseConnections.Store(true)
			collector.collector.ResetAll()
			process.putCalls(1000, 300*time.Millisecond)
			collector.collector.Faults.RefuseConnections.Store(false)
			process.putCalls(500, time.Second)
		}, nil},
		{"never closes a connection", false, func(t *testing.T, collector *testCollector, process *testProcess) {
			collector.collector.Faults.KeepOpen.Store(true)
			process.putCalls(2000, 3*time.Second)
		}, nil},
		{"flood", false, func(t *testing.T, collector *testCollector, process *testProcess) {
			collector.collector.Faults.ReadDelay.Store(int64(5 * time.Millisecond))
			process.putCalls(200, 300*time.Millisecond)
			process.putCalls(100000, 500*time.Millisecond)
			collector.collector.Faults.ReadDelay.Store(0)
			process.putCalls(200, 500*time.Millisecond)
		}, func(report *collect.Report) string {
			if report.Folded == 0 {
				return "no record was folded"
			}
			return ""
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			collector := newTestCollector(t)
			defer collector.stop()
			config := tcpConfig(collector)
			config.QueueCapacity, config.ReplayRate, config.ShutdownTimeout = 15000, 50000, 4*time.Second
			if test.name == "resets during the replay" {
				config.ReplayRate = 4000 // slow enough that it continues after the reset
			}
			var spoolDirs []spool.FS
			if test.spool {
				spoolDirs = append(spoolDirs, spool.Dir(t.TempDir()))
			}
			process := startProcess(t, config, spoolDirs)
			test.run(t, collector, process)
			process.shutDown(t)
			if test.spool { // the next process sends what is left in the spool
				if test.name == "unreachable until the end" {
					collector.listen()
				}
				process = startProcess(t, config, spoolDirs)
				process.putCalls(1, 10*time.Millisecond)
				for i := 0; i < 300; i++ {
					if status := process.exporter.Status(); len(status.Spools) > 0 && status.Spools[0].Segments == 0 {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				process.shutDown(t)
			}
			report := collector.collector.Report()
			for i := 0; report.Unfinished > 0 && i < 200; i++ { // until the collector has read the socket buffers
				time.Sleep(10 * time.Millisecond)
				report = collector.collector.Report()
			}
			checkAccountedFor(t, report)
			if test.check != nil {
				if failure := test.check(report); failure != "" {
					t.Error(failure)
				}
			}
		})
	}
}

// checkReceived returns a description of the failure if fewer than minReceived records
// were received one by one, or if the summaries do not agree with the counts.
func checkReceived(report *collect.Report, minReceived uint64) string {
	if calls := report.Counted / 2; report.SummaryCalls != calls { // each call has one attempt
		return fmt.Sprintf("%d calls in the summaries, %d counted", report.SummaryCalls, calls)
	}
	if report.Received < minReceived || report.Dropped+report.Folded > 0 {
		return fmt.Sprintf("%d records received one by one, want at least %d", report.Received, minReceived)
	}
	return ""
}

func TestFailoverAndSendToAll(t *testing.T) {
	first, second := newTestCollector(t), newTestCollector(t)
	defer first.stop()
	defer second.stop()
	collectors := []Collector{{Address: first.addr, Transport: "tcp"}, {Address: second.addr, Transport: "tcp"}}
	dir := t.TempDir()

	process := startProcess(t, Config{Collectors: collectors}, nil)
	process.putCalls(500, 300*time.Millisecond)
	first.disconnect()
	process.putCalls(500, 500*time.Millisecond)
	process.shutDown(t)
	firstReport, secondReport := first.collector.Report(), second.collector.Report()
	if firstReport.OrphanRecords == 0 && firstReport.Received == 0 || secondReport.Received == 0 ||
		secondReport.Unfinished != 0 || int(firstReport.OrphanRecords+secondReport.Received) < 2000 {
		t.Errorf("failover: first %+v, second %+v", firstReport, secondReport)
	}

	first, third := newTestCollector(t), newTestCollector(t)
	defer first.stop()
	defer third.stop()
	spoolDirs := []spool.FS{createSpoolDir(t, filepath.Join(dir, "first")), createSpoolDir(t, filepath.Join(dir, "third"))}
	config := Config{
		Collectors: []Collector{{Address: first.addr, Transport: "tcp"}, {Address: third.addr, Transport: "tcp"}},
		SendToAll:  true,
		ReplayRate: 50000,
	}
	process = startProcess(t, config, spoolDirs)
	process.putCalls(300, 200*time.Millisecond)
	third.disconnect()
	process.putCalls(300, 300*time.Millisecond)
	third.listen()
	process.putCalls(300, 1500*time.Millisecond)
	process.shutDown(t)
	checkAccountedFor(t, first.collector.Report())
	process = startProcess(t, config, spoolDirs) // sends what the second collector still lacks
	process.putCalls(1, time.Millisecond)
	time.Sleep(time.Second)
	process.shutDown(t)
	checkAccountedFor(t, first.collector.Report())
	checkAccountedFor(t, third.collector.Report())
}

func createSpoolDir(t *testing.T, path string) spool.FS {
	t.Helper()
	dir, err := spool.CreateDir(path)
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestDatagrams(t *testing.T) {
	for _, protocol := range []ipfix.Protocol{ipfix.IPFIX, ipfix.NetFlow9} {
		t.Run(fmt.Sprint("version ", protocol), func(t *testing.T) {
			collector, err := collect.New("")
			if err != nil {
				t.Fatal(err)
			}
			conn, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var wg sync.WaitGroup
			wg.Go(func() { collector.ServePacket(conn) })
			process := startProcess(t, Config{Collectors: []Collector{{Address: conn.LocalAddr().String(), Transport: "udp", Protocol: protocol, MTU: 600}},
				TemplateInterval: 100 * time.Millisecond}, nil)
			process.putCalls(1000, 500*time.Millisecond)
			process.shutDown(t)
			time.Sleep(50 * time.Millisecond)
			conn.Close()
			wg.Wait()
			report := collector.Report()
			if err := collector.Close(); err != nil {
				t.Fatal(err)
			}
			if lost := report.Difference; lost > 0 && report.SequenceGaps == 0 ||
				report.Received < 1500 || report.Unreadable != 0 { // lost datagrams must appear as sequence gaps
				t.Errorf("unexpected report: %+v", report)
			}
		})
	}
}

// fullDisk is an FS on which no file can be created.
type fullDisk struct{ spool.FS }

func (fullDisk) Create(string) (spool.File, error) { return nil, fmt.Errorf("no space left on device") }

func TestDiskFullAndCollectorUnreachable(t *testing.T) {
	collector := newTestCollector(t)
	defer collector.stop()
	collector.disconnect()
	config := tcpConfig(collector)
	config.QueueCapacity = 2000
	config.Shed = shed.Config{MaxSums: 20}
	process := startProcess(t, config, []spool.FS{fullDisk{createSpoolDir(t, t.TempDir())}})
	process.putCalls(20000, time.Second)
	collector.listen()
	process.putCalls(500, time.Second)
	process.shutDown(t)
	report := collector.collector.Report()
	checkAccountedFor(t, report)
	if report.Folded == 0 {
		t.Errorf("no record was folded: %+v", report)
	}
}

// Put allocates nothing, even when Run does not empty the ring.
func TestPutDoesNotAllocate(t *testing.T) {
	exporter, err := New(Config{Collectors: []Collector{{Address: "x", Transport: "tcp"}}, RingCapacity: 64,
		Now: func() time.Duration { return 0 }}, flow.NewCodec(1, 1, classes, nil))
	if err != nil {
		t.Fatal(err)
	}
	record := &flow.Record{VerdictReason: "no circuit free"}
	if allocs := testing.AllocsPerRun(1000, func() { exporter.Put(record) }); allocs != 0 {
		t.Fatalf("%v allocations per Put, want 0", allocs)
	}
}
