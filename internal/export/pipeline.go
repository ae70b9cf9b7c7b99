package export

import (
	"errors"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/ipfix"
	"dahliaspindle/internal/spool"
)

// pipeline sends records to the first reachable one of its collectors. It has a
// queue and optionally a spool. Apart from the spool it does no I/O: it exchanges
// batches and events with the senders.
type pipeline struct {
	config         *Config
	codec          *flow.Codec
	queue          []*flow.Item
	queuedAt       []time.Duration // when each was queued
	spool          *spool.Spool    // may be nil
	streams        []*stream       // in order of preference
	lost           flow.Counts     // dropped by this pipeline
	lostCount      uint64          // total of lost
	undelivered    uint64          // summaries and counts discarded because the queue was full
	sentCount      uint64          // records written to a collector
	replayTokens   float64         // records that may be replayed now
	values         []ipfix.Value   // buffer
	replayTokensAt time.Duration   // when replayTokens was last updated
	warn           func(string, error)
	spoolFailedAt  time.Duration // when the spool last failed
	lastConnected  time.Duration // when a collector was last connected
}

// stream is the state of the connection to one collector.
type stream struct {
	collector        Collector
	connected        bool
	writer           *ipfix.Writer
	inFlight         int           // batches passed to the sender and not yet written
	unconfirmed      []*batch      // written, may not have arrived
	unconfirmedBytes int           // size of unconfirmed
	unconfirmedSince time.Duration // when the first of unconfirmed was written
	finSent          bool          // the sender was asked to close the connection
	peerKeepsOpen    bool          // the collector does not close when this end does; see onWritten
	templatesSentAt  time.Duration
	preamble         []*batch // templates to be sent before other batches
}

// batch holds one or more encoded messages and their items.
type batch struct {
	data   []byte
	items  []*flow.Item
	replay bool // from the spool
	fin    bool // no messages: close the connection and wait until the peer has closed it too
}

// active returns the stream in use, or nil if no collector is connected.
func (p *pipeline) active() *stream {
	for _, stream := range p.streams {
		if stream.connected {
			return stream
		}
	}
	return nil
}

// countsQueueReserve is the number of counts and statistics items that may be
// queued beyond QueueCapacity.
const countsQueueReserve = 2000

// enqueue adds items to the queue. It drops and counts those that don't fit.
func (p *pipeline) enqueue(now time.Duration, items ...*flow.Item) {
	for _, item := range items {
		switch {
		case len(p.queue) >= p.config.QueueCapacity && item.HasRecords():
			p.drop(item)
			continue
		case len(p.queue) >= p.config.QueueCapacity && item.Kind == flow.ItemSummary,
			len(p.queue) >= p.config.QueueCapacity+countsQueueReserve:
			p.undelivered++ // counts and statistics are cumulative: later ones include these
			continue
		}
		p.queue = append(p.queue, item)
		p.queuedAt = append(p.queuedAt, now)
	}
}

// drop counts the records of an item as lost.
func (p *pipeline) drop(item *flow.Item) {
	item.AddTo(&p.lost)
	p.lostCount += item.RecordCount
}

// requeue puts items back at the front of the queue.
func (p *pipeline) requeue(now time.Duration, items []*flow.Item) {
	p.queue = append(append(make([]*flow.Item, 0, len(items)+len(p.queue)), items...), p.queue...)
	queuedAt := make([]time.Duration, len(items), len(items)+len(p.queuedAt))
	for i := range queuedAt {
		queuedAt[i] = now
	}
	p.queuedAt = append(queuedAt, p.queuedAt...)
}

// dequeue removes and returns up to count items from the front of the queue.
func (p *pipeline) dequeue(count int) []*flow.Item {
	count = min(count, len(p.queue))
	items := p.queue[:count:count]
	p.queue, p.queuedAt = p.queue[count:], p.queuedAt[count:]
	return items
}

// oldestAge returns how long the first item has been queued.
func (p *pipeline) oldestAge(now time.Duration) time.Duration {
	if len(p.queuedAt) == 0 {
		return 0
	}
	return now - p.queuedAt[0]
}

// spoolRetryDelay is the delay after a failed write to the spool.
const spoolRetryDelay = time.Second

// moveToSpool moves queued items to the spool when no collector is connected, when
// the queue is too long, or if all is set. If the disk fails, they stay in the
// queue, whose limit still holds.
func (p *pipeline) moveToSpool(now time.Duration, all bool) {
	if p.spool == nil || len(p.queue) == 0 || now-p.spoolFailedAt < spoolRetryDelay && p.spoolFailedAt > 0 {
		return
	}
	toMove := len(p.queue)
	switch stream := p.active(); {
	case all || stream == nil:
	case toMove > p.config.QueueCapacity*3/4:
		toMove -= p.config.QueueCapacity / 2 // the oldest items: the spool is replayed in order, after live records
	default:
		return
	}
	for toMove > 0 {
		count := min(toMove, 500)
		if err := p.spool.Write(now, p.queue[:count]); err != nil {
			p.spoolFailedAt = now
			p.warn("the spool can't be written; records stay in memory", err)
			return
		}
		p.dequeue(count)
		toMove -= count
	}
}

// nextBatch returns the next batch for the active stream, or nil if there is nothing
// to send now. Live records come before the replay, which is limited to ReplayRate.
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
	maxInFlightBatches = 4   // batches passed to a sender and not yet written
	maxBatchRecords    = 200 // live records in a batch
)

// makeBatch encodes items into one message. Items that don't fit return to the
// queue, or for a replay go into a second message.
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
		if err != nil { // larger than this collector's maximum message: can't be sent
			p.drop(item)
			continue
		}
		packed.items = append(packed.items, item)
	}
	packed.data = append(packed.data, stream.writer.Finish(now.Milliseconds(), 0)...)
	stream.inFlight++
	return packed
}

// needsConfirmation reports whether it is time to confirm that the written records
// have arrived. IPFIX has no acknowledgement: the connection is closed, and the
// collector closes it too when it has read everything.
func (p *pipeline) needsConfirmation(now time.Duration, stream *stream) bool {
	if isUDP(stream.collector) || stream.peerKeepsOpen || len(stream.unconfirmed) == 0 {
		return false
	}
	replayPending := p.spool != nil && p.spool.HasPending() && len(p.queue) == 0
	return stream.unconfirmedBytes >= p.config.MaxUnconfirmedBytes/2 ||
		now-stream.unconfirmedSince >= p.config.ConfirmAfter ||
		replayPending && now-stream.unconfirmedSince >= p.config.ConfirmAfter/5
}

// onConnected initializes the stream of a new connection. The templates are sent
// again, because the collector may not have kept them.
func (p *pipeline) onConnected(now time.Duration, stream *stream) {
	stream.connected, stream.finSent, stream.inFlight = true, false, 0
	maxLength := 16 << 10
	if isUDP(stream.collector) {
		maxLength = stream.collector.MTU
	}
	stream.writer = ipfix.NewWriter(stream.collector.Protocol, p.codec.Domain, maxLength)
	p.queuePreamble(now, stream)
}

// queuePreamble schedules the templates before all other batches.
func (p *pipeline) queuePreamble(now time.Duration, stream *stream) {
	stream.templatesSentAt, stream.preamble = now, nil
	err := p.codec.Preamble(stream.writer, func() {
		if message := stream.writer.Finish(now.Milliseconds(), 0); message != nil {
			stream.preamble = append(stream.preamble, &batch{data: append([]byte(nil), message...)})
		}
	})
	if err != nil {
		p.warn("the templates can't be encoded", err)
	}
}

// onWritten records that the operating system has accepted a batch.
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
	// Data followed by more bytes than the socket buffers of both ends can hold must
	// have been read by the collector.
	for stream.peerKeepsOpen && stream.unconfirmedBytes > p.config.MaxUnconfirmedBytes {
		if stream.unconfirmedBytes -= len(stream.unconfirmed[0].data); stream.unconfirmed[0].replay {
			p.confirmReplay()
		}
		stream.unconfirmed = stream.unconfirmed[1:]
	}
}

// onConfirmed records that everything written has arrived.
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

// confirmReplay confirms to the spool that the replayed records have arrived.
func (p *pipeline) confirmReplay() {
	if err := p.spool.Confirm(); err != nil {
		p.warn("the spool can't be written", err)
	}
}

// onDisconnected requeues the records that may not have arrived and marks them as
// resent.
func (p *pipeline) onDisconnected(now time.Duration, stream *stream, unwritten []*batch) {
	stream.connected = false
	var resend []*flow.Item
	replay := false
	for _, unconfirmed := range append(stream.unconfirmed, unwritten...) {
		if unconfirmed.replay {
			replay = true
			continue // still in the spool
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

// shutDown stores the remaining records in the spool, where the next process finds
// them, or counts them as lost.
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
			p.warn("the spool can't be closed", err)
		}
	}
}

// isUDP reports whether a collector is reached over UDP.
func isUDP(collector Collector) bool { return collector.Transport == "udp" }
