package export

import (
	"errors"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/ipfix"
	"dahliaspindle/internal/spool"
)

// pipeline is one way for records to leave: a queue, a spool and the collectors that
// may take them, the first that can being the one in use. It does no I/O but to
// its spool; what goes to and comes from a collector passes as batches and words.
type pipeline struct {
	config         *Config
	codec          *flow.Codec
	queue          []*flow.Item
	queuedAt       []time.Duration // when each was queued
	spool          *spool.Spool    // nil: none
	streams        []*stream
	lost           flow.Counts // of this lane alone
	lostCount      uint64
	undelivered    uint64 // summaries and counts that there was no room for
	sentCount      uint64 // records written to a collector
	replayTokens   float64
	values         []ipfix.Value
	replayTokensAt time.Duration
	warn           func(string, error)
	spoolFailedAt  time.Duration // when the spool last failed
	lastConnected  time.Duration // when a collector was last there
}

// stream is what a lane knows of one collector's connection.
type stream struct {
	collector        Collector
	connected        bool
	writer           *ipfix.Writer
	inFlight         int // batches handed over and not written yet
	unconfirmed      []*batch
	unconfirmedBytes int           // of unsure
	unconfirmedSince time.Duration // when the first unsure was written
	finSent          bool
	peerKeepsOpen    bool          // it does not close when this end does: what has left both sockets' buffers has arrived
	templatesSentAt  time.Duration // when templates were sent
	preamble         []*batch      // that are to go first
}

// batch is one message on its way, with the records in it.
type batch struct {
	data   []byte
	items  []*flow.Item
	replay bool // from the spool
	fin    bool // no message: end the connection and wait for the other end
}

// active is the collector in use.
func (p *pipeline) active() *stream {
	for _, stream := range p.streams {
		if stream.connected {
			return stream
		}
	}
	return nil
}

// summaryQueueReserve is the room beyond the queue for counts and statistics.
const summaryQueueReserve = 2000

// enqueue queues items; what there is no room for is dropped and counted.
func (p *pipeline) enqueue(now time.Duration, items ...*flow.Item) {
	for _, item := range items {
		switch {
		case len(p.queue) >= p.config.QueueCapacity && item.HasRecords():
			p.drop(item)
			continue
		case len(p.queue) >= p.config.QueueCapacity && item.Kind == flow.ItemSummary, len(p.queue) >= p.config.QueueCapacity+summaryQueueReserve:
			p.undelivered++ // of these a later one tells more
			continue
		}
		p.queue = append(p.queue, item)
		p.queuedAt = append(p.queuedAt, now)
	}
}

func (p *pipeline) drop(item *flow.Item) {
	item.AddTo(&p.lost)
	p.lostCount += item.RecordCount
}

// requeue puts items back where they came from.
func (p *pipeline) requeue(now time.Duration, items []*flow.Item) {
	p.queue = append(append(make([]*flow.Item, 0, len(items)+len(p.queue)), items...), p.queue...)
	queuedAt := make([]time.Duration, len(items), len(items)+len(p.queuedAt))
	for i := range queuedAt {
		queuedAt[i] = now
	}
	p.queuedAt = append(queuedAt, p.queuedAt...)
}

func (p *pipeline) dequeue(count int) []*flow.Item {
	count = min(count, len(p.queue))
	items := p.queue[:count:count]
	p.queue, p.queuedAt = p.queue[count:], p.queuedAt[count:]
	return items
}

// oldestAge of the first that waits.
func (p *pipeline) oldestAge(now time.Duration) time.Duration {
	if len(p.queuedAt) == 0 {
		return 0
	}
	return now - p.queuedAt[0]
}

// spoolRetryDelay is the wait after a write that failed.
const spoolRetryDelay = time.Second

// moveToSpool moves what waits to disk when nobody takes it, or more waits than will
// be taken soon. Where the disk fails it stays, and the queue's bound holds.
func (p *pipeline) moveToSpool(now time.Duration, all bool) {
	if p.spool == nil || len(p.queue) == 0 || now-p.spoolFailedAt < spoolRetryDelay && p.spoolFailedAt > 0 {
		return
	}
	toMove := len(p.queue)
	switch stream := p.active(); {
	case all || stream == nil:
	case toMove > p.config.QueueCapacity*3/4:
		toMove -= p.config.QueueCapacity / 2 // the oldest: the spool is replayed in order, live records go first
	default:
		return
	}
	for toMove > 0 {
		count := min(toMove, 500)
		if err := p.spool.Write(now, p.queue[:count]); err != nil {
			p.spoolFailedAt = now
			p.warn("the spool can't be written; records wait in memory", err)
			return
		}
		p.dequeue(count)
		toMove -= count
	}
}

// nextBatch makes the nextBatch batch for the active stream, nil if there is nothing for
// it now: live records first, else the replay at its pace.
func (p *pipeline) nextBatch(now time.Duration) (*stream, *batch) {
	stream := p.active()
	if stream == nil || stream.finSent || stream.inFlight >= maxInFlightBatches {
		return nil, nil
	}
	if p.needsConfirmation(now, stream) {
		if stream.inFlight > 0 {
			return nil, nil
		}
		stream.finSent = true
		stream.inFlight++
		return stream, &batch{fin: true}
	}
	if isUDP(stream.collector) && now-stream.templatesSentAt >= p.config.TemplateInterval {
		p.queuePreamble(now, stream)
	}
	if len(stream.preamble) > 0 {
		next := stream.preamble[0]
		stream.preamble = stream.preamble[1:]
		stream.inFlight++
		return stream, next
	}
	if len(p.queue) > 0 {
		return stream, p.makeBatch(now, stream, false, p.dequeue(maxBatchRecords))
	}
	p.replayTokens = min(p.replayTokens+p.config.ReplayRate*(now-p.replayTokensAt).Seconds(), p.config.ReplayRate/4+1)
	p.replayTokensAt = now
	if p.spool == nil || p.replayTokens < 1 || !p.spool.HasPending() {
		return nil, nil
	}
	items, err := p.spool.Next()
	if err != nil {
		p.warn("the spool can't be read", err)
		p.replayTokens = 0
		return nil, nil
	}
	if len(items) == 0 {
		return nil, nil
	}
	p.replayTokens -= float64(len(items))
	return stream, p.makeBatch(now, stream, true, items)
}

const (
	maxInFlightBatches = 4   // batches handed over at a time
	maxBatchRecords    = 200 // records of one
)

// makeBatch writes one message; what does not fit goes back, or in a second one for a replay.
func (p *pipeline) makeBatch(now time.Duration, stream *stream, replay bool, items []*flow.Item) *batch {
	packed := &batch{replay: replay}
	for i, item := range items {
		p.values = p.codec.Values(item, p.values)
		err := stream.writer.AddRecord(p.codec.Template(item.Kind), p.values)
		if errors.Is(err, ipfix.ErrFull) {
			if !replay {
				p.requeue(now, items[i:])
				break
			}
			packed.data = append(packed.data, stream.writer.Finish(now.Milliseconds(), 0)...)
			err = stream.writer.AddRecord(p.codec.Template(item.Kind), p.values)
		}
		if err != nil { // larger than any message of this collector's: it can't be told
			p.drop(item)
			continue
		}
		packed.items = append(packed.items, item)
	}
	packed.data = append(packed.data, stream.writer.Finish(now.Milliseconds(), 0)...)
	stream.inFlight++
	return packed
}

// needsConfirmation tells whether it is time to make sure that what was written has
// arrived: by ending the connection in order and seeing the other end do so.
func (p *pipeline) needsConfirmation(now time.Duration, stream *stream) bool {
	if isUDP(stream.collector) || stream.peerKeepsOpen || len(stream.unconfirmed) == 0 {
		return false
	}
	replayPending := p.spool != nil && p.spool.HasPending() && len(p.queue) == 0
	return stream.unconfirmedBytes >= p.config.MaxUnconfirmedBytes/2 || now-stream.unconfirmedSince >= p.config.ConfirmAfter || replayPending && now-stream.unconfirmedSince >= p.config.ConfirmAfter/5
}

// onConnected starts a stream afresh: the collector may have no memory of templates.
func (p *pipeline) onConnected(now time.Duration, stream *stream) {
	stream.connected, stream.finSent, stream.inFlight = true, false, 0
	maxLength := 16 << 10
	if isUDP(stream.collector) {
		maxLength = stream.collector.MTU
	}
	stream.writer = ipfix.NewWriter(stream.collector.Protocol, p.codec.Domain, maxLength)
	p.queuePreamble(now, stream)
}

// queuePreamble puts the templates in front.
func (p *pipeline) queuePreamble(now time.Duration, stream *stream) {
	stream.templatesSentAt, stream.preamble = now, nil
	err := p.codec.Preamble(stream.writer, func() {
		if message := stream.writer.Finish(now.Milliseconds(), 0); message != nil {
			stream.preamble = append(stream.preamble, &batch{data: append([]byte(nil), message...)})
		}
	})
	if err != nil {
		p.warn("templates", err)
	}
}

// onWritten books that a batch has been taken by the system.
func (p *pipeline) onWritten(now time.Duration, stream *stream, written *batch) {
	stream.inFlight--
	p.sentCount += uint64(len(written.items))
	if isUDP(stream.collector) {
		if written.replay {
			p.confirmReplay()
		}
		return
	}
	if len(written.items) == 0 {
		return
	}
	if len(stream.unconfirmed) == 0 {
		stream.unconfirmedSince = now
	}
	stream.unconfirmed = append(stream.unconfirmed, written)
	stream.unconfirmedBytes += len(written.data)
	// What lies more than both sockets' buffers behind has been read.
	for stream.peerKeepsOpen && stream.unconfirmedBytes > p.config.MaxUnconfirmedBytes {
		if stream.unconfirmedBytes -= len(stream.unconfirmed[0].data); stream.unconfirmed[0].replay {
			p.confirmReplay()
		}
		stream.unconfirmed = stream.unconfirmed[1:]
	}
}

// onConfirmed books that all that was written has arrived.
func (p *pipeline) onConfirmed(stream *stream) {
	replay := false
	for _, unconfirmed := range stream.unconfirmed {
		replay = replay || unconfirmed.replay
	}
	stream.unconfirmed, stream.unconfirmedBytes, stream.connected = nil, 0, false
	if replay {
		p.confirmReplay()
	}
}

func (p *pipeline) confirmReplay() {
	if err := p.spool.Confirm(); err != nil {
		p.warn("the spool can't be written", err)
	}
}

// onDisconnected takes back what may not have arrived: it is sent again, and marked.
func (p *pipeline) onDisconnected(now time.Duration, stream *stream, unwritten []*batch) {
	stream.connected = false
	var resend []*flow.Item
	replay := false
	for _, unconfirmed := range append(stream.unconfirmed, unwritten...) {
		if unconfirmed.replay {
			replay = true
			continue // the spool has it
		}
		for _, item := range unconfirmed.items {
			item.MarkResent()
			resend = append(resend, item)
		}
	}
	stream.unconfirmed, stream.unconfirmedBytes = nil, 0
	if replay {
		p.spool.Rewind()
	}
	p.requeue(now, resend)
}

// shutDown puts all that is left where the next life finds it, or counts it as lost.
func (p *pipeline) shutDown(now time.Duration) {
	for _, stream := range p.streams {
		if len(stream.unconfirmed) > 0 {
			p.onDisconnected(now, stream, nil)
		}
	}
	p.spoolFailedAt = 0
	p.moveToSpool(now, true)
	for _, item := range p.dequeue(len(p.queue)) {
		p.drop(item)
	}
	if p.spool != nil {
		if err := p.spool.Close(); err != nil {
			p.warn("closing the spool", err)
		}
	}
}

func isUDP(collector Collector) bool { return collector.Transport == "udp" }
