// Package collect implements a simple collector of flow records that can simulate
// faults. It compares the records that it received with the counts that the
// controllers report.
package collect

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/ipfix"
)

// Tally adds up records by controller (observation domain). It is not safe for
// concurrent use.
type Tally struct {
	domains     map[uint32]*domain
	decoders    map[string]*ipfix.Decoder                                  // by source: templates belong to a stream
	UnknownSets int                                                        // sets without a template
	Unreadable  int                                                        // messages that can't be decoded
	OnRecord    func(record *ipfix.Record, item *flow.Item, domain uint32) // called for each call, attempt or sum that is not a duplicate; may be nil
}

// domain holds what was received from one controller.
type domain struct {
	incarnations map[uint64]*incarnation
	nextSequence map[string]uint32 // by source: the expected sequence number
	gaps         uint64            // records missing according to sequence numbers (UDP)
	resent       uint64            // received twice, marked as resent
	duplicates   uint64            // received twice without the mark
	summaryCalls uint64            // calls according to the summaries of intervals
}

// incarnation holds what was received from one start of a controller.
type incarnation struct {
	seenRecords map[uint64]bool // records received, by flowId
	seenSums    map[uint64]bool // sums and summaries received, by flowId
	received    flow.Counts     // records received one by one
	folded      flow.Counts     // records received in sums
	counted     flow.Counts     // as the controller reports
	dropped     flow.Counts     // as the controller reports
	countsSeq   uint64          // flowId of the latest counts
	final       bool            // the final counts were received
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{domains: map[uint32]*domain{}, decoders: map[string]*ipfix.Decoder{}}
}

// Forget drops the templates of a source whose connection has ended.
func (t *Tally) Forget(source string) { delete(t.decoders, source) }

// AddMessage adds a message from a source. It returns the number of its records.
func (t *Tally) AddMessage(source string, data []byte) (int, error) {
	decoder := t.decoders[source]
	if decoder == nil {
		decoder = ipfix.NewDecoder(flow.Elements()...)
		t.decoders[source] = decoder
	}
	message, err := decoder.Decode(data)
	if err != nil {
		t.Unreadable++
		return 0, err
	}
	t.UnknownSets += message.UnknownSets
	d := t.domains[message.Domain]
	if d == nil {
		d = &domain{incarnations: map[uint64]*incarnation{}, nextSequence: map[string]uint32{}}
		t.domains[message.Domain] = d
	}
	if expected, ok := d.nextSequence[source]; ok && message.Sequence != expected && message.Sequence-expected < 1<<31 {
		d.gaps += uint64(message.Sequence - expected)
	}
	d.nextSequence[source] = message.Sequence + uint32(len(message.Records))
	if message.Protocol == ipfix.NetFlow9 {
		d.nextSequence[source] = message.Sequence + 1
	}
	for i := range message.Records {
		t.addRecord(d, message.Domain, &message.Records[i])
	}
	return len(message.Records), nil
}

// addRecord adds one record.
func (t *Tally) addRecord(d *domain, domainNumber uint32, record *ipfix.Record) {
	item, ok := flow.ItemOf(record)
	if !ok {
		return
	}
	incarnationID, seq, flags := flow.Identity(record)
	inc := d.incarnations[incarnationID]
	if inc == nil {
		inc = &incarnation{seenRecords: map[uint64]bool{}, seenSums: map[uint64]bool{}}
		d.incarnations[incarnationID] = inc
	}
	seen := inc.seenRecords
	switch item.Kind {
	case flow.ItemCounts:
		counted, dropped := flow.CountsOf(record)
		if seq < inc.countsSeq {
			return
		}
		inc.countsSeq, inc.final = seq, inc.final || flags&flow.FlagFinal != 0
		inc.counted[item.RecordKind][min(item.Class, flow.MaxClasses-1)][item.Outcome] = counted
		inc.dropped[item.RecordKind][min(item.Class, flow.MaxClasses-1)][item.Outcome] = dropped
		return
	case flow.ItemFolded:
		seen = inc.seenSums
	case flow.ItemSummary:
		if !inc.seenSums[seq] {
			inc.seenSums[seq] = true
			d.summaryCalls += flow.SummaryCallsOf(record)
		}
		return
	}
	if seen[seq] {
		if flags&flow.FlagResent != 0 {
			d.resent++
		} else {
			d.duplicates++
		}
		return
	}
	seen[seq] = true
	if item.Kind == flow.ItemFolded {
		item.AddTo(&inc.folded)
	} else {
		item.AddTo(&inc.received)
	}
	if t.OnRecord != nil {
		t.OnRecord(record, item, domainNumber)
	}
}

// ReportLine holds the numbers of a controller's records of one kind, class and outcome.
type ReportLine struct {
	Domain     uint32 `json:"domain"`
	Kind       string `json:"kind"`
	Class      uint8  `json:"class"`
	Outcome    string `json:"outcome"`
	Counted    uint64 `json:"counted"`
	Received   uint64 `json:"received"`
	Folded     uint64 `json:"folded"`
	Dropped    uint64 `json:"dropped"`
	Difference int64  `json:"difference"`
}

// Report compares the records received with the counts reported, and describes
// the streams.
type Report struct {
	Lines         []ReportLine `json:"lines"`
	Counted       uint64       `json:"counted"`
	Received      uint64       `json:"received"`
	Folded        uint64       `json:"folded"`
	Dropped       uint64       `json:"dropped"`
	Difference    uint64       `json:"difference"` // sum of the absolute differences
	Resent        uint64       `json:"resent"`
	Duplicates    uint64       `json:"double"` // received twice without the resent mark
	SequenceGaps  uint64       `json:"gaps"`
	SummaryCalls  uint64       `json:"summed"`  // calls of all controllers according to the summaries of intervals
	Unfinished    int          `json:"unended"` // incarnations without final counts (running or killed); not in the sums
	OrphanRecords uint64       `json:"orphans"` // records of unfinished incarnations
	UnknownSets   int          `json:"unknown_sets"`
	Unreadable    int          `json:"unreadable"`
}

// OK reports whether every counted record is accounted for exactly once.
func (r *Report) OK() bool { return r.Difference == 0 && r.Duplicates == 0 && r.Counted > 0 }

// Report returns the report on all messages added so far.
func (t *Tally) Report() *Report {
	report := &Report{UnknownSets: t.UnknownSets, Unreadable: t.Unreadable}
	var ids []uint32
	for id := range t.domains {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		d := t.domains[id]
		report.SequenceGaps += d.gaps
		report.Resent += d.resent
		report.Duplicates += d.duplicates
		report.SummaryCalls += d.summaryCalls
		var counted, received, folded, dropped flow.Counts
		for _, inc := range d.incarnations { // order doesn't matter for sums
			if !inc.final {
				report.Unfinished++
				for kind := range flow.KindCount {
					report.OrphanRecords += inc.received.Sum(kind) + inc.folded.Sum(kind)
				}
				continue
			}
			addCounts(&counted, &inc.counted)
			addCounts(&received, &inc.received)
			addCounts(&folded, &inc.folded)
			addCounts(&dropped, &inc.dropped)
		}
		for kind := range counted {
			for class := range counted[kind] {
				for outcome := range counted[kind][class] {
					line := ReportLine{
						id,
						flow.Kind(kind).String(),
						uint8(class),
						flow.Outcome(outcome).String(),
						counted[kind][class][outcome],
						received[kind][class][outcome],
						folded[kind][class][outcome],
						dropped[kind][class][outcome],
						0,
					}
					if line.Counted+line.Received+line.Folded+line.Dropped == 0 {
						continue
					}
					line.Difference = int64(line.Counted) - int64(line.Received+line.Folded+line.Dropped)
					report.Lines = append(report.Lines, line)
					report.Counted += line.Counted
					report.Received += line.Received
					report.Folded += line.Folded
					report.Dropped += line.Dropped
					report.Difference += uint64(max(line.Difference, -line.Difference))
				}
			}
		}
	}
	return report
}

// addCounts adds the counts of from to those of to.
func addCounts(to, from *flow.Counts) {
	for kind := range from {
		for class := range from[kind] {
			for outcome, count := range from[kind][class] {
				to[kind][class][outcome] += count
			}
		}
	}
}

// AddFile adds the messages of an IPFIX file (RFC 5655). If the end is torn, it adds
// the complete messages and returns an error.
func (t *Tally) AddFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("flows: %w", err)
	}
	defer file.Close()
	defer t.Forget(path)
	if err := ForEachMessage(file, func(message []byte) error {
		_, err := t.AddMessage(path, message)
		return err
	}); err != nil {
		return fmt.Errorf("flows: %s: %w", path, err)
	}
	return nil
}

// ForEachMessage calls handle with each message of an IPFIX file. The bytes are valid
// until handle returns.
func ForEachMessage(file io.Reader, handle func([]byte) error) error {
	reader := bufio.NewReaderSize(file, 1<<16)
	var buf []byte
	for number := 1; ; number++ {
		message, err := ipfix.ReadMessage(reader, buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			buf = message
			err = handle(message)
		}
		if err != nil {
			return fmt.Errorf("message %d: %w", number, err)
		}
	}
}

// TopEntry is a key with its count.
type TopEntry struct {
	Key      string `json:"key"`
	Count    uint64 `json:"count"`
	MaxError uint64 `json:"over"` // maximum by which Count is too high
}

// Sketch finds the most frequent of many keys with a table of limited size, by the
// Space-Saving algorithm (A. Metwally, D. Agrawal, A. El Abbadi, "Efficient
// computation of frequent and top-k elements in data streams", 2005). When the
// counts added total n, the table holds every key with more than n/size, and no
// count is too high by more than n/size.
type Sketch struct {
	size    int
	minHeap []*entry // lowest count first
	byKey   map[string]*entry
	total   uint64
}

// entry is a key in the table with its index in the heap.
type entry struct {
	TopEntry
	index int
}

// NewSketch returns a sketch that holds at most size keys.
func NewSketch(size int) *Sketch {
	return &Sketch{size: max(size, 1), byKey: map[string]*entry{}}
}

// Add adds count to the count of a key.
func (s *Sketch) Add(key string, count uint64) {
	s.total += count
	if e := s.byKey[key]; e != nil {
		e.Count += count
		s.siftDown(e.index)
		return
	}
	if len(s.minHeap) < s.size {
		e := &entry{TopEntry{key, count, 0}, len(s.minHeap)}
		s.minHeap = append(s.minHeap, e)
		s.byKey[key] = e
		s.siftUp(e.index)
		return
	}
	e := s.minHeap[0] // replace the lowest entry; its count becomes the maximum error
	delete(s.byKey, e.Key)
	e.Key, e.MaxError, e.Count = key, e.Count, e.Count+count
	s.byKey[key] = e
	s.siftDown(0)
}

// swap swaps two entries of the heap.
func (s *Sketch) swap(i, j int) {
	s.minHeap[i], s.minHeap[j] = s.minHeap[j], s.minHeap[i]
	s.minHeap[i].index, s.minHeap[j].index = i, j
}

// siftUp moves an entry towards the top until its parent is not larger.
func (s *Sketch) siftUp(i int) {
	for parent := (i - 1) / 2; i > 0 && s.minHeap[i].Count < s.minHeap[parent].Count; i, parent = parent, (parent-1)/2 {
		s.swap(i, parent)
	}
}

// siftDown moves an entry towards the bottom until no child is smaller.
func (s *Sketch) siftDown(i int) {
	for {
		smallest := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(s.minHeap) && s.minHeap[child].Count < s.minHeap[smallest].Count {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		s.swap(i, smallest)
		i = smallest
	}
}

// Top returns the keys with the highest counts, and the maximum error of any count.
func (s *Sketch) Top(count int) (top []TopEntry, errorBound uint64) {
	for _, e := range s.minHeap {
		top = append(top, e.TopEntry)
	}
	slices.SortFunc(top, func(a, b TopEntry) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return top[:min(count, len(top))], s.total / uint64(s.size)
}
