// Package export implements an IPFIX exporting process (RFC 7011). It takes flow
// records from the call path through a ring buffer, sheds load when there are too
// many (package shed), and sends the rest to the first reachable collector or to
// all of them, over TCP, TLS or UDP. Records that no collector takes are stored in
// a spool. The call path never waits for the exporter.
//
// Every counted record is sent, folded into a sum that is sent, or counted as
// dropped. The final counts that a controller sends report the number of each.
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

// Collector describes a collector of flow records.
type Collector struct {
	Address   string
	Transport string // tcp, tls or udp
	Protocol  ipfix.Protocol
	MTU       int // maximum datagram size in bytes, for UDP
}

// Config is the configuration of an Exporter.
type Config struct {
	Collectors          []Collector
	SendToAll           bool          // send to all collectors, instead of the first that can be reached
	RingCapacity        int           // records between the call path and Run
	QueueCapacity       int           // records in memory, for each pipeline
	ReplayRate          float64       // records per second replayed from a spool
	SummaryInterval     time.Duration // between two reports of sums, summaries and counts
	TemplateInterval    time.Duration // between two transmissions of the templates over UDP
	ConfirmAfter        time.Duration // time after which the arrival of written records is confirmed
	MaxUnconfirmedBytes int           // must be more than the socket buffers of both ends of a connection
	WriteTimeout        time.Duration // for one write
	ShutdownTimeout     time.Duration // for sending the rest when Run ends
	MinRetryDelay       time.Duration
	MaxRetryDelay       time.Duration
	Shed                shed.Config
	Spools              []*spool.Spool // one for each pipeline, or none
	Dial                func(ctx context.Context, c Collector) (net.Conn, error)
	Now                 func() time.Duration // time since 1970
	Log                 *slog.Logger
}

// SetDefaults sets fields that are zero to their defaults.
func (c *Config) SetDefaults() {
	setDefault(&c.RingCapacity, 1<<14)
	setDefault(&c.QueueCapacity, 50000)
	setDefault(&c.ReplayRate, 2000)
	setDefault(&c.SummaryInterval, 10*time.Second)
	setDefault(&c.TemplateInterval, 30*time.Second)
	setDefault(&c.ConfirmAfter, 20*time.Second)
	setDefault(&c.MaxUnconfirmedBytes, 8<<20)
	setDefault(&c.WriteTimeout, 5*time.Second)
	setDefault(&c.ShutdownTimeout, 3*time.Second)
	setDefault(&c.MinRetryDelay, 200*time.Millisecond)
	setDefault(&c.MaxRetryDelay, 10*time.Second)
	setDefault(&c.Shed.MaxRecordRate, 1000)
	setDefault(&c.Shed.MaxAge, 20*time.Second)
	setDefault(&c.Shed.MinLevelDuration, 5*time.Second)
	setDefault(&c.Shed.MaxSums, 8192)
	for i := range c.Collectors {
		if c.Collectors[i].Protocol == 0 {
			c.Collectors[i].Protocol = ipfix.IPFIX
		}
		setDefault(&c.Collectors[i].MTU, 1400)
	}
}

// setDefault sets a field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Exporter takes flow records and sends them to collectors. Put is called on the call
// path, by one goroutine at a time. Status may be called at any time. Everything else
// belongs to Run.
type Exporter struct {
	config   Config
	codec    *flow.Codec
	ring     *ring.Ring[flow.Record]
	ringFull [flow.KindCount][flow.MaxClasses][flow.OutcomeCount]atomic.Uint64 // records dropped because the ring was full

	pipelines       []*pipeline
	shedder         *shed.Shedder
	foldedSums      map[shed.Key]*shed.Sum
	foldedKeys      []shed.Key // keys of foldedSums in order of insertion
	summaries       map[destinationClass]*flow.Summary
	summaryKeys     []destinationClass
	intervalStart   time.Duration // start of the current summary interval
	counted         flow.Counts   // all records taken from the call path
	folded          flow.Counts
	dropped         flow.Counts // dropped by the ring and by load shedding
	ringFullCounted flow.Counts // the part of ringFull already in counted and dropped
	lastSeq         uint64      // sequence number of the last sum, summary or counts
	events          chan senderEvent
	nextFlushAt     time.Duration
	warnedAt        map[string]time.Duration // by message

	mu     sync.Mutex
	status Status
}

// Status describes the state of an exporter.
type Status struct {
	Counted, Folded, Dropped uint64 // records of all kinds
	Sent                     uint64 // records written to collectors, total of all pipelines
	Undelivered              uint64 // summaries and counts discarded because the queue was full
	QueueLength              int
	ShedLevel                string
	Spools                   []spool.Status
	Connected                []bool // by collector
}

// New returns an exporter. Its records are sent once Run is called.
func New(config Config, codec *flow.Codec) (*Exporter, error) {
	config.SetDefaults()
	if len(config.Collectors) == 0 {
		return nil, fmt.Errorf("export: no collector configured")
	}
	e := &Exporter{
		config:        config,
		codec:         codec,
		ring:          ring.New[flow.Record](config.RingCapacity),
		shedder:       shed.New(config.Shed),
		foldedSums:    map[shed.Key]*shed.Sum{},
		summaries:     map[destinationClass]*flow.Summary{},
		intervalStart: config.Now(),
		events:        make(chan senderEvent, 64),
		warnedAt:      map[string]time.Duration{},
	}
	pipelineCount := 1
	if config.SendToAll {
		pipelineCount = len(config.Collectors)
	}
	for i := range pipelineCount {
		p := &pipeline{config: &e.config, codec: codec, warn: e.warn}
		for j, collector := range config.Collectors {
			if !config.SendToAll || i == j {
				p.streams = append(p.streams, &stream{collector: collector})
			}
		}
		if i < len(config.Spools) {
			p.spool = config.Spools[i]
		}
		e.pipelines = append(e.pipelines, p)
	}
	return e, nil
}

// destinationClass is the key of a summary.
type destinationClass struct {
	dest  int32
	class uint8
}

// summaryFor returns the summary for the destination and class of a record. When
// there are too many summaries, further destinations share one for each class.
func (e *Exporter) summaryFor(record *flow.Record) *flow.Summary {
	key := destinationClass{record.Dest, record.Class}
	if e.summaries[key] == nil {
		if len(e.summaries) >= e.config.Shed.MaxSums {
			key.dest = -1
		}
		if e.summaries[key] == nil {
			e.summaries[key] = &flow.Summary{}
			e.summaryKeys = append(e.summaryKeys, key)
		}
	}
	return e.summaries[key]
}

// Put takes a record from the call path. It takes no lock, allocates nothing and
// makes no system call.
func (e *Exporter) Put(record *flow.Record) {
	if !e.ring.Put(record) {
		e.ringFull[record.Kind][min(record.Class, flow.MaxClasses-1)][record.Outcome].Add(1)
	}
}

// warn logs a warning, and the same message at most once a minute.
func (e *Exporter) warn(message string, err error) {
	now := e.config.Now()
	if lastAt, ok := e.warnedAt[message]; ok && now-lastAt < time.Minute {
		return
	}
	e.warnedAt[message] = now
	e.config.Log.Warn("flow export: "+message, "error", err)
}

// senderEvent is an event that a sender reports to the exporter.
type senderEvent struct {
	pipeline *pipeline
	stream   *stream
	kind     senderEventKind
	batch    *batch // with eventWritten; with eventNotClosed and eventDisconnected the unwritten one, if any
	err      error
	batches  chan *batch // with eventConnected: the channel that the sender reads batches from
}

// senderEventKind is the kind of a senderEvent.
type senderEventKind uint8

const (
	eventConnected senderEventKind = iota
	eventWritten
	eventConfirmed // everything written has arrived; the connection is closed
	eventNotClosed // the collector did not close its end of the connection
	eventDisconnected
)

// drainInterval is the interval at which the ring is emptied. The call path doesn't
// wake the exporter.
const drainInterval = 20 * time.Millisecond

// Run sends records until ctx is done, and then until the rest is sent or spooled,
// or ShutdownTimeout has passed.
func (e *Exporter) Run(ctx context.Context) {
	sendCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	queues := map[*stream]chan *batch{}
	for i, p := range e.pipelines {
		for j, stream := range p.streams {
			sender := &sender{exporter: e, pipeline: p, stream: stream, seed: uint64(i*100 + j)}
			wg.Go(func() { sender.run(sendCtx) })
		}
	}
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	e.nextFlushAt = e.config.Now() + e.config.SummaryInterval
	done := ctx.Done()
	var deadline time.Duration
	for {
		select {
		case <-done:
			done = nil
			deadline = e.config.Now() + e.config.ShutdownTimeout
			e.drainRing(e.config.Now())
			e.flush(deadline, true)
		case <-ticker.C:
		case event := <-e.events:
			e.handleEvent(event, queues)
		}
		now := e.config.Now()
		if done != nil {
			e.drainRing(now)
			if now >= e.nextFlushAt {
				e.nextFlushAt = now + e.config.SummaryInterval
				e.flush(now, false)
			}
		}
		e.dispatch(now, queues)
		e.updateStatus(now)
		if done == nil && (now >= deadline || e.isDrained(now, queues)) {
			break
		}
	}
	stop()
	sendersDone := make(chan struct{})
	go func() {
		wg.Wait()
		close(sendersDone)
	}()
	for finished := false; !finished; { // the last events report which batches were written
		select {
		case event := <-e.events:
			e.handleEvent(event, queues)
		case <-sendersDone:
			for len(e.events) > 0 {
				e.handleEvent(<-e.events, queues)
			}
			finished = true
		}
	}
	for _, p := range e.pipelines {
		p.shutDown(e.config.Now())
	}
	e.updateStatus(e.config.Now())
}

// drainRing empties the ring, and sends, folds or drops each record. It also
// maintains the spools.
func (e *Exporter) drainRing(now time.Duration) {
	for kind := range e.ringFull {
		for class := range e.ringFull[kind] {
			for outcome := range e.ringFull[kind][class] {
				if n := e.ringFull[kind][class][outcome].Load(); n != e.ringFullCounted[kind][class][outcome] {
					e.counted[kind][class][outcome] += n - e.ringFullCounted[kind][class][outcome]
					e.dropped[kind][class][outcome] += n - e.ringFullCounted[kind][class][outcome]
					e.ringFullCounted[kind][class][outcome] = n
				}
			}
		}
	}
	e.shedder.Update(now, e.shedState(now))
	var record flow.Record
	for n := e.ring.Len(); n > 0 && e.ring.Take(&record); n-- {
		*e.counted.At(&record)++
		e.summaryFor(&record).Add(&record)
		key := shed.KeyFor(&record)
		sum := e.foldedSums[key]
		switch e.shedder.Decide(&record, len(e.foldedSums), sum != nil) {
		case shed.Send:
			for _, p := range e.pipelines {
				p.enqueue(now, e.codec.RecordItem(&record)) // one item per pipeline, because the resent marks differ
			}
		case shed.Fold:
			if sum == nil {
				sum = &shed.Sum{}
				e.foldedSums[key] = sum
				e.foldedKeys = append(e.foldedKeys, key)
			}
			sum.Add(&record)
			*e.folded.At(&record)++
		case shed.Drop:
			*e.dropped.At(&record)++
		}
	}
	for _, p := range e.pipelines {
		p.moveToSpool(now, false)
		if p.spool == nil {
			continue
		}
		if err := p.spool.Tick(now); err != nil {
			e.warn("the spool can't be synced to disk", err)
		}
		lost := p.spool.TakeLost()
		for kind := range lost {
			for class := range lost[kind] {
				for outcome, count := range lost[kind][class] {
					p.lost[kind][class][outcome] += count
					p.lostCount += count
				}
			}
		}
	}
}

// shedState returns the state of the pipeline with the highest pressure.
func (e *Exporter) shedState(now time.Duration) shed.State {
	worst := shed.State{Reachable: true}
	highest := -1.0
	for _, p := range e.pipelines {
		state := shed.State{
			QueueLength:   len(p.queue),
			QueueCapacity: e.config.QueueCapacity,
			OldestAge:     p.oldestAge(now),
			Reachable:     p.active() != nil,
		}
		if p.spool != nil {
			state.SpoolBytes, state.MaxSpoolBytes = p.spool.Bytes(), p.spool.MaxBytes()
		}
		if pressure := e.config.Shed.Pressure(state); pressure > highest {
			highest, worst = pressure, state
		}
	}
	return worst
}

// flush queues the sums, the summaries and the counts of all records counted,
// folded and dropped so far.
func (e *Exporter) flush(now time.Duration, final bool) {
	for _, key := range e.foldedKeys {
		sum := e.foldedSums[key]
		e.lastSeq++
		folded := flow.Folded{
			Kind:           key.Kind,
			Class:          key.Class,
			Outcome:        key.Outcome,
			Dest:           key.Dest,
			Seq:            e.lastSeq,
			Count:          sum.Count,
			FirstStart:     sum.FirstStart,
			LastStart:      sum.LastStart,
			SetUp:          sum.SetUp,
			EstablishedFor: sum.EstablishedFor,
			Attempts:       sum.Attempts,
		}
		for _, p := range e.pipelines {
			p.enqueue(now, e.codec.FoldedItem(folded))
		}
	}
	for _, key := range e.summaryKeys {
		e.lastSeq++
		for _, p := range e.pipelines {
			p.enqueue(now, e.codec.SummaryItem(e.lastSeq, key.class, key.dest, e.intervalStart, now, e.summaries[key]))
		}
	}
	clear(e.summaries)
	e.summaryKeys, e.intervalStart = e.summaryKeys[:0], now
	clear(e.foldedSums)
	e.foldedKeys = e.foldedKeys[:0]
	for _, p := range e.pipelines {
		dropped := e.dropped
		notSent := p.lostCount
		for kind := range dropped {
			for class := range dropped[kind] {
				for outcome := range dropped[kind][class] {
					notSent += dropped[kind][class][outcome]
					dropped[kind][class][outcome] += p.lost[kind][class][outcome]
				}
			}
		}
		e.lastSeq++
		p.enqueue(now, e.codec.CountItems(e.lastSeq, &e.counted, &e.folded, &dropped, final)...)
		p.enqueue(now, e.codec.StatisticsItem(notSent, p.sentCount))
	}
}

// dispatch passes batches to the senders that can take them.
func (e *Exporter) dispatch(now time.Duration, queues map[*stream]chan *batch) {
	for _, p := range e.pipelines {
		if p.active() != nil {
			p.lastConnected = now
		}
		for {
			stream, batch := p.nextBatch(now)
			if batch == nil {
				break
			}
			queues[stream] <- batch // never blocks: inFlight is limited to less than the channel's capacity
		}
	}
}

// handleEvent handles an event of a sender.
func (e *Exporter) handleEvent(event senderEvent, queues map[*stream]chan *batch) {
	now := e.config.Now()
	switch event.kind {
	case eventConnected:
		queues[event.stream] = event.batches
		event.pipeline.onConnected(now, event.stream)
		e.config.Log.Info("flow export: connected", "collector", event.stream.collector.Address)
	case eventWritten:
		event.pipeline.onWritten(now, event.stream, event.batch)
	case eventConfirmed:
		event.pipeline.onConfirmed(event.stream)
	case eventNotClosed:
		event.stream.peerKeepsOpen = true
		e.warn("the collector does not close a connection after this end has closed it; arrival of records is inferred from the amount sent", event.err)
		event.pipeline.onDisconnected(now, event.stream, unwrittenBatches(event.batch, queues[event.stream]))
	case eventDisconnected:
		if event.stream.connected && !errors.Is(event.err, context.Canceled) {
			e.warn("connection to collector "+event.stream.collector.Address+" lost", event.err)
		}
		event.pipeline.onDisconnected(now, event.stream, unwrittenBatches(event.batch, queues[event.stream]))
	}
}

// unwrittenBatches returns the batches that a sender received and has not written.
// The sender no longer reads from the queue.
func unwrittenBatches(current *batch, queue chan *batch) (unwritten []*batch) {
	if current != nil {
		unwritten = append(unwritten, current)
	}
	for {
		select {
		case batch := <-queue:
			unwritten = append(unwritten, batch)
		default:
			return unwritten
		}
	}
}

// isDrained reports during shutdown whether there is nothing left to wait for.
func (e *Exporter) isDrained(now time.Duration, queues map[*stream]chan *batch) bool {
	for _, p := range e.pipelines {
		stream := p.active()
		if stream == nil {
			if len(p.queue) > 0 && (p.spool == nil || now-p.lastConnected < time.Second) {
				return false // a collector may still reconnect
			}
			continue // the rest goes to the spool
		}
		if len(p.queue) > 0 || stream.inFlight > 0 {
			return false
		}
		if !isUDP(stream.collector) && !stream.peerKeepsOpen && len(stream.unconfirmed) > 0 {
			if !stream.finSent {
				stream.finSent = true
				stream.inFlight++
				queues[stream] <- &batch{fin: true}
			}
			return false
		}
	}
	return true
}

// updateStatus publishes the status for other goroutines.
func (e *Exporter) updateStatus(time.Duration) {
	status := Status{ShedLevel: e.shedder.Level().String()}
	for kind := range flow.KindCount {
		status.Counted += e.counted.Sum(kind)
		status.Folded += e.folded.Sum(kind)
		status.Dropped += e.dropped.Sum(kind)
	}
	for _, p := range e.pipelines {
		status.Sent += p.sentCount
		status.Dropped += p.lostCount
		status.Undelivered += p.undelivered
		status.QueueLength += len(p.queue)
		if p.spool != nil {
			status.Spools = append(status.Spools, p.spool.Status())
		}
		for _, stream := range p.streams {
			status.Connected = append(status.Connected, stream.connected)
		}
	}
	e.mu.Lock()
	e.status = status
	e.mu.Unlock()
}

// Status returns the latest status.
func (e *Exporter) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status
}

// Counted returns the numbers of records taken from the call path. They are complete
// once Run has returned.
func (e *Exporter) Counted() *flow.Counts { return &e.counted }
