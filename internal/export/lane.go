package export

import (
	"errors"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/ipfix"
	"dahliaspindle/internal/spool"
)

// lane is one way for records to leave: a queue, a spool and the collectors that
// may take them, the first that can being the one in use. It does no I/O but to
// its spool; what goes to and comes from a collector passes as batches and words.
type lane struct {
	cfg     *Config
	codec   *flow.Codec
	queue   []*flow.Item
	oldest  []time.Duration // when each was queued
	spool   *spool.Spool    // nil: none
	streams []*stream
	lost    flow.Counts // of this lane alone
	lostN   uint64
	unsaid  uint64 // summaries and counts that there was no room for
	sent    uint64 // records written to a collector
	pace    float64
	scratch []ipfix.Value
	paceAt  time.Duration
	warn    func(string, error)
	brokeAt time.Duration // when the spool last failed
	upAt    time.Duration // when a collector was last there
}

// stream is what a lane knows of one collector's connection.
type stream struct {
	to       Collector
	up       bool
	w        *ipfix.Writer
	sending  int // batches handed over and not written yet
	unsure   []*batch
	bytes    int           // of unsure
	since    time.Duration // when the first unsure was written
	finSent  bool
	noFin    bool          // it does not close when this end does: what has left both sockets' buffers has arrived
	template time.Duration // when templates were sent
	opening  []*batch      // that are to go first
}

// batch is one message on its way, with the records in it.
type batch struct {
	data   []byte
	items  []*flow.Item
	replay bool // from the spool
	fin    bool // no message: end the connection and wait for the other end
}

// active is the collector in use.
func (l *lane) active() *stream {
	for _, s := range l.streams {
		if s.up {
			return s
		}
	}
	return nil
}

// wordsMost is the room beyond the queue for counts and statistics.
const wordsMost = 2000

// add queues items; what there is no room for is dropped and counted.
func (l *lane) add(now time.Duration, items ...*flow.Item) {
	for _, it := range items {
		switch {
		case len(l.queue) >= l.cfg.QueueCapacity && it.HasRecords():
			l.drop(it)
			continue
		case len(l.queue) >= l.cfg.QueueCapacity && it.Kind == flow.ItemSummary, len(l.queue) >= l.cfg.QueueCapacity+wordsMost:
			l.unsaid++ // of these a later one tells more
			continue
		}
		l.queue = append(l.queue, it)
		l.oldest = append(l.oldest, now)
	}
}

func (l *lane) drop(it *flow.Item) {
	it.AddTo(&l.lost)
	l.lostN += it.RecordCount
}

// front puts items back where they came from.
func (l *lane) front(now time.Duration, items []*flow.Item) {
	l.queue = append(append(make([]*flow.Item, 0, len(items)+len(l.queue)), items...), l.queue...)
	at := make([]time.Duration, len(items), len(items)+len(l.oldest))
	for i := range at {
		at[i] = now
	}
	l.oldest = append(at, l.oldest...)
}

func (l *lane) take(n int) []*flow.Item {
	n = min(n, len(l.queue))
	got := l.queue[:n:n]
	l.queue, l.oldest = l.queue[n:], l.oldest[n:]
	return got
}

// age of the first that waits.
func (l *lane) age(now time.Duration) time.Duration {
	if len(l.oldest) == 0 {
		return 0
	}
	return now - l.oldest[0]
}

// spoolRetry is the wait after a write that failed.
const spoolRetry = time.Second

// toSpool moves what waits to disk when nobody takes it, or more waits than will
// be taken soon. Where the disk fails it stays, and the queue's bound holds.
func (l *lane) toSpool(now time.Duration, all bool) {
	if l.spool == nil || len(l.queue) == 0 || now-l.brokeAt < spoolRetry && l.brokeAt > 0 {
		return
	}
	n := len(l.queue)
	switch s := l.active(); {
	case all || s == nil:
	case n > l.cfg.QueueCapacity*3/4:
		n -= l.cfg.QueueCapacity / 2 // the oldest: the spool is replayed in order, live records go first
	default:
		return
	}
	for n > 0 {
		k := min(n, 500)
		if err := l.spool.Write(now, l.queue[:k]); err != nil {
			l.brokeAt = now
			l.warn("the spool can't be written; records wait in memory", err)
			return
		}
		l.take(k)
		n -= k
	}
}

// next makes the next batch for the active stream, nil if there is nothing for
// it now: live records first, else the replay at its pace.
func (l *lane) next(now time.Duration) (*stream, *batch) {
	s := l.active()
	if s == nil || s.finSent || s.sending >= sendingMost {
		return nil, nil
	}
	if l.wantsFin(now, s) {
		if s.sending > 0 {
			return nil, nil
		}
		s.finSent = true
		s.sending++
		return s, &batch{fin: true}
	}
	if udp(s.to) && now-s.template >= l.cfg.TemplateInterval {
		l.open(now, s)
	}
	if len(s.opening) > 0 {
		b := s.opening[0]
		s.opening = s.opening[1:]
		s.sending++
		return s, b
	}
	if len(l.queue) > 0 {
		return s, l.pack(now, s, false, l.take(packMost))
	}
	l.pace = min(l.pace+l.cfg.ReplayRate*(now-l.paceAt).Seconds(), l.cfg.ReplayRate/4+1)
	l.paceAt = now
	if l.spool == nil || l.pace < 1 || !l.spool.HasPending() {
		return nil, nil
	}
	items, err := l.spool.Next()
	if err != nil {
		l.warn("the spool can't be read", err)
		l.pace = 0
		return nil, nil
	}
	if len(items) == 0 {
		return nil, nil
	}
	l.pace -= float64(len(items))
	return s, l.pack(now, s, true, items)
}

const (
	sendingMost = 4   // batches handed over at a time
	packMost    = 200 // records of one
)

// pack writes one message; what does not fit goes back, or in a second one for a replay.
func (l *lane) pack(now time.Duration, s *stream, replay bool, items []*flow.Item) *batch {
	b := &batch{replay: replay}
	for i, it := range items {
		l.scratch = l.codec.Values(it, l.scratch)
		err := s.w.AddRecord(l.codec.Template(it.Kind), l.scratch)
		if errors.Is(err, ipfix.ErrFull) {
			if !replay {
				l.front(now, items[i:])
				break
			}
			b.data = append(b.data, s.w.Finish(now.Milliseconds(), 0)...)
			err = s.w.AddRecord(l.codec.Template(it.Kind), l.scratch)
		}
		if err != nil { // larger than any message of this collector's: it can't be told
			l.drop(it)
			continue
		}
		b.items = append(b.items, it)
	}
	b.data = append(b.data, s.w.Finish(now.Milliseconds(), 0)...)
	s.sending++
	return b
}

// wantsFin tells whether it is time to make sure that what was written has
// arrived: by ending the connection in order and seeing the other end do so.
func (l *lane) wantsFin(now time.Duration, s *stream) bool {
	if udp(s.to) || s.noFin || len(s.unsure) == 0 {
		return false
	}
	waits := l.spool != nil && l.spool.HasPending() && len(l.queue) == 0
	return s.bytes >= l.cfg.MaxUnconfirmedBytes/2 || now-s.since >= l.cfg.ConfirmAfter || waits && now-s.since >= l.cfg.ConfirmAfter/5
}

// connected starts a stream afresh: the collector may have no memory of templates.
func (l *lane) connected(now time.Duration, s *stream) {
	s.up, s.finSent, s.sending = true, false, 0
	most := 16 << 10
	if udp(s.to) {
		most = s.to.MTU
	}
	s.w = ipfix.NewWriter(s.to.Protocol, l.codec.Domain, most)
	l.open(now, s)
}

// open puts the templates in front.
func (l *lane) open(now time.Duration, s *stream) {
	s.template, s.opening = now, nil
	err := l.codec.Preamble(s.w, func() {
		if b := s.w.Finish(now.Milliseconds(), 0); b != nil {
			s.opening = append(s.opening, &batch{data: append([]byte(nil), b...)})
		}
	})
	if err != nil {
		l.warn("templates", err)
	}
}

// written books that a batch has been taken by the system.
func (l *lane) written(now time.Duration, s *stream, b *batch) {
	s.sending--
	l.sent += uint64(len(b.items))
	if udp(s.to) {
		if b.replay {
			l.arrived()
		}
		return
	}
	if len(b.items) == 0 {
		return
	}
	if len(s.unsure) == 0 {
		s.since = now
	}
	s.unsure = append(s.unsure, b)
	s.bytes += len(b.data)
	// What lies more than both sockets' buffers behind has been read.
	for s.noFin && s.bytes > l.cfg.MaxUnconfirmedBytes {
		if s.bytes -= len(s.unsure[0].data); s.unsure[0].replay {
			l.arrived()
		}
		s.unsure = s.unsure[1:]
	}
}

// confirmed books that all that was written has arrived.
func (l *lane) confirmed(s *stream) {
	replay := false
	for _, b := range s.unsure {
		replay = replay || b.replay
	}
	s.unsure, s.bytes, s.up = nil, 0, false
	if replay {
		l.arrived()
	}
}

func (l *lane) arrived() {
	if err := l.spool.Confirm(); err != nil {
		l.warn("the spool can't be written", err)
	}
}

// broken takes back what may not have arrived: it is sent again, and marked.
func (l *lane) broken(now time.Duration, s *stream, out []*batch) {
	s.up = false
	var again []*flow.Item
	replay := false
	for _, b := range append(s.unsure, out...) {
		if b.replay {
			replay = true
			continue // the spool has it
		}
		for _, it := range b.items {
			it.MarkResent()
			again = append(again, it)
		}
	}
	s.unsure, s.bytes = nil, 0
	if replay {
		l.spool.Rewind()
	}
	l.front(now, again)
}

// finished puts all that is left where the next life finds it, or counts it as lost.
func (l *lane) finished(now time.Duration) {
	for _, s := range l.streams {
		if len(s.unsure) > 0 {
			l.broken(now, s, nil)
		}
	}
	l.brokeAt = 0
	l.toSpool(now, true)
	for _, it := range l.take(len(l.queue)) {
		l.drop(it)
	}
	if l.spool != nil {
		if err := l.spool.Close(); err != nil {
			l.warn("closing the spool", err)
		}
	}
}

func udp(c Collector) bool { return c.Transport == "udp" }
