// Package export is the exporting process (RFC 7011): it takes records from the
// call path through a ring, decides with shed what goes whole, sends to one
// collector of several or to all, over TCP, TLS or UDP, and keeps in a spool
// what nobody takes. The call path never waits for it.
//
// What was counted is received whole, or in sums, or dropped and told so: the
// last word of a controller's stream says how many of each.
package export

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/ipfix"
	"dahliaspindle/internal/ring"
	"dahliaspindle/internal/shed"
	"dahliaspindle/internal/spool"
)

// Collector is one that takes records.
type Collector struct {
	Address   string
	Transport string // tcp, tls or udp
	Protocol  ipfix.Protocol
	MTU       int // bytes of a datagram
}

// Config of an exporting process.
type Config struct {
	Collectors          []Collector
	SendToAll           bool          // to all of them; else to the first that can be reached
	RingCapacity        int           // records between the call path and the exporter
	QueueCapacity       int           // records that wait in memory, for each lane
	ReplayRate          float64       // records a second from the spool, at the most
	SummaryInterval     time.Duration // of sums and counts
	TemplateInterval    time.Duration // sent again over UDP after this
	ConfirmAfter        time.Duration // written records are made sure of after this
	MaxUnconfirmedBytes int           // bytes: more than the buffers of both ends of a connection
	WriteTimeout        time.Duration // bound on one write
	ShutdownTimeout     time.Duration // bound on the end of Run
	MinRetryDelay       time.Duration
	MaxRetryDelay       time.Duration
	Shed                shed.Config
	Spools              []*spool.Spool // one for each lane, or none
	Dial                func(ctx context.Context, c Collector) (net.Conn, error)
	Now                 func() time.Duration // since 1970
	Log                 *slog.Logger
}

// SetDefaults fills in what is left open.
func (c *Config) SetDefaults() {
	def(&c.RingCapacity, 1<<14)
	def(&c.QueueCapacity, 50000)
	def(&c.ReplayRate, 2000)
	def(&c.SummaryInterval, 10*time.Second)
	def(&c.TemplateInterval, 30*time.Second)
	def(&c.ConfirmAfter, 20*time.Second)
	def(&c.MaxUnconfirmedBytes, 8<<20)
	def(&c.WriteTimeout, 5*time.Second)
	def(&c.ShutdownTimeout, 3*time.Second)
	def(&c.MinRetryDelay, 200*time.Millisecond)
	def(&c.MaxRetryDelay, 10*time.Second)
	def(&c.Shed.MaxRecordRate, 1000)
	def(&c.Shed.MaxAge, 20*time.Second)
	def(&c.Shed.MinLevelDuration, 5*time.Second)
	def(&c.Shed.MaxSums, 8192)
	for i := range c.Collectors {
		if c.Collectors[i].Protocol == 0 {
			c.Collectors[i].Protocol = ipfix.IPFIX
		}
		def(&c.Collectors[i].MTU, 1400)
	}
}

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Exporter takes records and sends them. Put is for the call path; Run owns the rest.
type Exporter struct {
	cfg   Config
	codec *flow.Codec
	ring  *ring.Ring[flow.Record]
	full  [flow.KindCount][flow.MaxClasses][flow.OutcomeCount]atomic.Uint64 // the ring had no room

	lanes   []*lane
	shed    *shed.Shedder
	folds   map[shed.Key]*shed.Sum
	order   []shed.Key // of folds
	sums    map[farClass]*flow.Summary
	sumKeys []farClass
	from    time.Duration // of the interval
	counted flow.Counts
	folded  flow.Counts
	dropped flow.Counts // by the ring and by shed
	told    flow.Counts // of full, so far
	foldSeq uint64
	words   chan word
	flushAt time.Duration
	warned  map[string]time.Duration

	mu     sync.Mutex
	status Status
}

// Status is what an operator may want to know.
type Status struct {
	Counted, Folded, Dropped uint64 // records, all kinds
	Sent                     uint64 // written to collectors, by lane summed
	Undelivered              uint64 // summaries and counts that there was no room for
	QueueLength              int
	ShedLevel                string
	Spools                   []spool.Status
	Connected                []bool // by collector
}

// New makes an exporter.
func New(cfg Config, codec *flow.Codec) (*Exporter, error) {
	cfg.SetDefaults()
	if len(cfg.Collectors) == 0 {
		return nil, fmt.Errorf("export: no collector")
	}
	e := &Exporter{cfg: cfg, codec: codec, ring: ring.New[flow.Record](cfg.RingCapacity), shed: shed.New(cfg.Shed),
		folds: map[shed.Key]*shed.Sum{}, sums: map[farClass]*flow.Summary{}, from: cfg.Now(), words: make(chan word, 64), warned: map[string]time.Duration{}}
	lanes := 1
	if cfg.SendToAll {
		lanes = len(cfg.Collectors)
	}
	for i := range lanes {
		l := &lane{cfg: &e.cfg, codec: codec, warn: e.warn}
		for j, c := range cfg.Collectors {
			if !cfg.SendToAll || i == j {
				l.streams = append(l.streams, &stream{to: c})
			}
		}
		if i < len(cfg.Spools) {
			l.spool = cfg.Spools[i]
		}
		e.lanes = append(e.lanes, l)
	}
	return e, nil
}

type farClass struct {
	far   int32
	class uint8
}

// summary is where a record of a far end and class adds to; when there are too
// many, those of one kind beyond are taken together.
func (e *Exporter) summary(r *flow.Record) *flow.Summary {
	k := farClass{r.Dest, r.Class}
	if e.sums[k] == nil {
		if len(e.sums) >= e.cfg.Shed.MaxSums {
			k.far = -1
		}
		if e.sums[k] == nil {
			e.sums[k] = &flow.Summary{}
			e.sumKeys = append(e.sumKeys, k)
		}
	}
	return e.sums[k]
}

// Put takes a record from the call path: no lock, no allocation, no system call.
func (e *Exporter) Put(r *flow.Record) {
	if !e.ring.Put(r) {
		e.full[r.Kind][min(r.Class, flow.MaxClasses-1)][r.Outcome].Add(1)
	}
}

// warn logs a trouble, and the same again a minute later at the earliest.
func (e *Exporter) warn(what string, err error) {
	now := e.cfg.Now()
	if at, ok := e.warned[what]; ok && now-at < time.Minute {
		return
	}
	e.warned[what] = now
	e.cfg.Log.Warn("flow export: "+what, "error", err)
}

// word is what a sender tells.
type word struct {
	l    *lane
	s    *stream
	kind wordKind
	b    *batch // wrote; with broke the one in hand, or none
	err  error
	feed chan *batch // with cameUp: what is to be written
}

type wordKind uint8

const (
	cameUp wordKind = iota
	wrote
	confirmed
	noAnswer // the other end did not close
	broke
)

// tick is how often the ring is emptied; nothing wakes the exporter from the call path.
const tick = 20 * time.Millisecond

// Run works until ctx ends, and then until what is left is sent or put away.
func (e *Exporter) Run(ctx context.Context) {
	send, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	feeds := map[*stream]chan *batch{}
	for i, l := range e.lanes {
		for j, s := range l.streams {
			sn := &sender{e: e, l: l, s: s, seed: uint64(i*100 + j)}
			wg.Go(func() { sn.run(send) })
		}
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	e.flushAt = e.cfg.Now() + e.cfg.SummaryInterval
	done := ctx.Done()
	var leaveBy time.Duration
	for {
		select {
		case <-done:
			done = nil
			leaveBy = e.cfg.Now() + e.cfg.ShutdownTimeout
			e.drain(e.cfg.Now())
			e.flush(leaveBy, true)
		case <-ticker.C:
		case w := <-e.words:
			e.hear(w, feeds)
		}
		now := e.cfg.Now()
		if done != nil {
			e.drain(now)
			if now >= e.flushAt {
				e.flushAt = now + e.cfg.SummaryInterval
				e.flush(now, false)
			}
		}
		e.feed(now, feeds)
		e.report(now)
		if done == nil && (now >= leaveBy || e.settled(now, feeds)) {
			break
		}
	}
	stop()
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	for over := false; !over; { // what senders tell yet says what has left
		select {
		case w := <-e.words:
			e.hear(w, feeds)
		case <-ended:
			for len(e.words) > 0 {
				e.hear(<-e.words, feeds)
			}
			over = true
		}
	}
	for _, l := range e.lanes {
		l.finished(e.cfg.Now())
	}
	e.report(e.cfg.Now())
}

// drain empties the ring and decides what becomes of each record.
func (e *Exporter) drain(now time.Duration) {
	for k := range e.full {
		for c := range e.full[k] {
			for o := range e.full[k][c] {
				if n := e.full[k][c][o].Load(); n != e.told[k][c][o] {
					e.counted[k][c][o] += n - e.told[k][c][o]
					e.dropped[k][c][o] += n - e.told[k][c][o]
					e.told[k][c][o] = n
				}
			}
		}
	}
	e.shed.Update(now, e.state(now))
	var r flow.Record
	for n := e.ring.Len(); n > 0 && e.ring.Take(&r); n-- {
		*e.counted.At(&r)++
		e.summary(&r).Add(&r)
		key := shed.KeyFor(&r)
		sum := e.folds[key]
		switch e.shed.Decide(&r, len(e.folds), sum != nil) {
		case shed.Send:
			for _, l := range e.lanes {
				l.add(now, e.codec.RecordItem(&r)) // each its own: marks differ
			}
		case shed.Fold:
			if sum == nil {
				sum = &shed.Sum{}
				e.folds[key] = sum
				e.order = append(e.order, key)
			}
			sum.Add(&r)
			*e.folded.At(&r)++
		case shed.Drop:
			*e.dropped.At(&r)++
		}
	}
	for _, l := range e.lanes {
		l.toSpool(now, false)
		if l.spool == nil {
			continue
		}
		if err := l.spool.Tick(now); err != nil {
			e.warn("the spool can't be made durable", err)
		}
		lost := l.spool.TakeLost()
		for k := range lost {
			for c := range lost[k] {
				for o, n := range lost[k][c] {
					l.lost[k][c][o] += n
					l.lostN += n
				}
			}
		}
	}
}

// state is the worst that any lane is in.
func (e *Exporter) state(now time.Duration) shed.State {
	st := shed.State{Reachable: true}
	worst := -1.0
	for _, l := range e.lanes {
		s := shed.State{QueueLength: len(l.queue), QueueCapacity: e.cfg.QueueCapacity, OldestAge: l.age(now), Reachable: l.active() != nil}
		if l.spool != nil {
			s.SpoolBytes, s.MaxSpoolBytes = l.spool.Bytes(), l.spool.MaxBytes()
		}
		if p := e.cfg.Shed.Pressure(s); p > worst {
			worst, st = p, s
		}
	}
	return st
}

// flush sends the sums, and what was counted, folded and dropped so far.
func (e *Exporter) flush(now time.Duration, final bool) {
	for _, key := range e.order {
		sum := e.folds[key]
		e.foldSeq++
		f := flow.Folded{Kind: key.Kind, Class: key.Class, Outcome: key.Outcome, Dest: key.Dest, Seq: e.foldSeq, Count: sum.Count,
			FirstStart: sum.FirstStart, LastStart: sum.LastStart, SetUp: sum.SetUp, EstablishedFor: sum.EstablishedFor, Attempts: sum.Attempts}
		for _, l := range e.lanes {
			l.add(now, e.codec.FoldedItem(f))
		}
	}
	for _, k := range e.sumKeys {
		e.foldSeq++
		for _, l := range e.lanes {
			l.add(now, e.codec.SummaryItem(e.foldSeq, k.class, k.far, e.from, now, e.sums[k]))
		}
	}
	clear(e.sums)
	e.sumKeys, e.from = e.sumKeys[:0], now
	clear(e.folds)
	e.order = e.order[:0]
	for _, l := range e.lanes {
		dropped := e.dropped
		notSent := l.lostN
		for k := range dropped {
			for c := range dropped[k] {
				for o := range dropped[k][c] {
					notSent += dropped[k][c][o]
					dropped[k][c][o] += l.lost[k][c][o]
				}
			}
		}
		e.foldSeq++
		l.add(now, e.codec.CountItems(e.foldSeq, &e.counted, &e.folded, &dropped, final)...)
		l.add(now, e.codec.StatisticsItem(notSent, l.sent))
	}
}

// feed hands the senders what they can take.
func (e *Exporter) feed(now time.Duration, feeds map[*stream]chan *batch) {
	for _, l := range e.lanes {
		if l.active() != nil {
			l.upAt = now
		}
		for {
			s, b := l.next(now)
			if b == nil {
				break
			}
			feeds[s] <- b // has room: sending is bounded by it
		}
	}
}

func (e *Exporter) hear(w word, feeds map[*stream]chan *batch) {
	now := e.cfg.Now()
	switch w.kind {
	case cameUp:
		feeds[w.s] = w.feed
		w.l.connected(now, w.s)
		e.cfg.Log.Info("flow export: connected", "collector", w.s.to.Address)
	case wrote:
		w.l.written(now, w.s, w.b)
	case confirmed:
		w.l.confirmed(w.s)
	case noAnswer:
		w.s.noFin = true
		e.warn("the collector does not end a connection when we do; what is under way at a break is known by size only", w.err)
		w.l.broken(now, w.s, unwritten(w.b, feeds[w.s]))
	case broke:
		if w.s.up && !errors.Is(w.err, context.Canceled) {
			e.warn("the collector "+w.s.to.Address+" is lost", w.err)
		}
		w.l.broken(now, w.s, unwritten(w.b, feeds[w.s]))
	}
}

// unwritten is what a sender was handed and has not written; it reads no more.
func unwritten(hand *batch, feed chan *batch) (out []*batch) {
	if hand != nil {
		out = append(out, hand)
	}
	for {
		select {
		case b := <-feed:
			out = append(out, b)
		default:
			return out
		}
	}
}

// settled tells whether nothing is left to wait for at the end.
func (e *Exporter) settled(now time.Duration, feeds map[*stream]chan *batch) bool {
	for _, l := range e.lanes {
		s := l.active()
		if s == nil {
			if len(l.queue) > 0 && (l.spool == nil || now-l.upAt < time.Second) {
				return false // a collector may come back yet
			}
			continue // what is left goes to the spool
		}
		if len(l.queue) > 0 || s.sending > 0 {
			return false
		}
		if !udp(s.to) && !s.noFin && len(s.unsure) > 0 {
			if !s.finSent {
				s.finSent = true
				s.sending++
				feeds[s] <- &batch{fin: true}
			}
			return false
		}
	}
	return true
}

func (e *Exporter) report(time.Duration) {
	st := Status{ShedLevel: e.shed.Level().String()}
	for k := range flow.KindCount {
		st.Counted += e.counted.Sum(k)
		st.Folded += e.folded.Sum(k)
		st.Dropped += e.dropped.Sum(k)
	}
	for _, l := range e.lanes {
		st.Sent += l.sent
		st.Dropped += l.lostN
		st.Undelivered += l.unsaid
		st.QueueLength += len(l.queue)
		if l.spool != nil {
			st.Spools = append(st.Spools, l.spool.Status())
		}
		for _, s := range l.streams {
			st.Connected = append(st.Connected, s.up)
		}
	}
	e.mu.Lock()
	e.status = st
	e.mu.Unlock()
}

// Status returns the latest view.
func (e *Exporter) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status
}

// Counted is what came from the call path, by kind, class and outcome. It is
// whole once Run has returned.
func (e *Exporter) Counted() *flow.Counts { return &e.counted }
