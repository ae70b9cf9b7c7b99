// Package collect stands in for a collector of flow records, and adds up what
// it received against what the controllers say that they counted.
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
	decoders    map[string]*ipfix.Decoder                           // by source: templates are a stream's own
	UnknownSets int                                                 // sets without a template
	Unreadable  int                                                 // messages that can't be read
	OnRecord    func(r *ipfix.Record, it *flow.Item, domain uint32) // told of each record that counts; nil for none
}

type domain struct {
	incarnations map[uint64]*incarnation
	nextSequence map[string]uint32 // by source: the sequence number that is due
	gaps         uint64            // records that sequence numbers miss (UDP)
	resent       uint64            // came twice, as they were marked
	duplicates   uint64            // came twice and were not marked
	summaryCalls uint64            // calls by the summaries of intervals
}

type incarnation struct {
	seenRecords map[uint64]bool // records by flowId
	seenSums    map[uint64]bool // sums by theirs
	received    flow.Counts     // whole
	folded      flow.Counts     // in sums
	counted     flow.Counts     // as the controller says
	dropped     flow.Counts
	countsSeq   uint64 // the latest of its words on counts
	final       bool   // it was the last one
}

// NewTally starts with nothing.
func NewTally() *Tally {
	return &Tally{domains: map[uint32]*domain{}, decoders: map[string]*ipfix.Decoder{}}
}

// Forget drops what is remembered of a source: its connection is over.
func (t *Tally) Forget(source string) { delete(t.decoders, source) }

// AddMessage adds a message of a source in; it returns how many records it held.
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

// ReportLine is what became of the records of one kind, class and outcome of a controller.
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

// Report is all lines, and what was seen of the streams.
type Report struct {
	Lines         []ReportLine `json:"lines"`
	Counted       uint64       `json:"counted"`
	Received      uint64       `json:"received"`
	Folded        uint64       `json:"folded"`
	Dropped       uint64       `json:"dropped"`
	Difference    uint64       `json:"difference"` // added up without signs
	Resent        uint64       `json:"resent"`
	Duplicates    uint64       `json:"double"` // twice without a mark
	SequenceGaps  uint64       `json:"gaps"`
	SummaryCalls  uint64       `json:"summed"`  // calls by the summaries of intervals, of all controllers
	Unfinished    int          `json:"unended"` // controllers that run yet, or were killed: not in the sums
	OrphanRecords uint64       `json:"orphans"` // records of theirs
	UnknownSets   int          `json:"unknown_sets"`
	Unreadable    int          `json:"unreadable"`
}

// OK tells whether everything that was counted is accounted for, once.
func (r *Report) OK() bool { return r.Difference == 0 && r.Duplicates == 0 && r.Counted > 0 }

// Report adds up.
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
		for _, inc := range d.incarnations { // sums: the order does not matter
			if !inc.final {
				report.Unfinished++
				for k := range flow.KindCount {
					report.OrphanRecords += inc.received.Sum(k) + inc.folded.Sum(k)
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
					line := ReportLine{id, flow.Kind(kind).String(), uint8(class), flow.Outcome(outcome).String(), counted[kind][class][outcome], received[kind][class][outcome], folded[kind][class][outcome], dropped[kind][class][outcome], 0}
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

func addCounts(to, from *flow.Counts) {
	for kind := range from {
		for class := range from[kind] {
			for outcome, n := range from[kind][class] {
				to[kind][class][outcome] += n
			}
		}
	}
}

// AddFile adds an IPFIX file (RFC 5655) in. A torn end is an error that says so;
// what came before it is added.
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

// ForEachMessage hands out the messages of an IPFIX file, each valid until the next.
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

// TopEntry is a far end, class or outcome with its count.
type TopEntry struct {
	Key      string `json:"key"`
	Count    uint64 `json:"count"`
	MaxError uint64 `json:"over"` // by so much at the most Count is too high
}

// Sketch keeps the heaviest of many keys in a bounded table: Space-Saving
// (A. Metwally, D. Agrawal, A. El Abbadi, "Efficient computation of frequent and
// top-k elements in data streams", 2005). Of n added, every key with more than
// n/size is in it, and no count is too high by more than n/size.
type Sketch struct {
	size    int
	minHeap []*entry // the least count on top
	byKey   map[string]*entry
	total   uint64
}

type entry struct {
	TopEntry
	index int
}

// NewSketch keeps so many keys.
func NewSketch(size int) *Sketch {
	return &Sketch{size: max(size, 1), byKey: map[string]*entry{}}
}

// Add counts a key.
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
	e := s.minHeap[0] // the least makes room, and leaves its count as the error
	delete(s.byKey, e.Key)
	e.Key, e.MaxError, e.Count = key, e.Count, e.Count+count
	s.byKey[key] = e
	s.siftDown(0)
}

func (s *Sketch) swap(i, j int) {
	s.minHeap[i], s.minHeap[j] = s.minHeap[j], s.minHeap[i]
	s.minHeap[i].index, s.minHeap[j].index = i, j
}

func (s *Sketch) siftUp(i int) {
	for parent := (i - 1) / 2; i > 0 && s.minHeap[i].Count < s.minHeap[parent].Count; i, parent = parent, (parent-1)/2 {
		s.swap(i, parent)
	}
}

func (s *Sketch) siftDown(i int) {
	for {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(s.minHeap) && s.minHeap[child].Count < s.minHeap[least].Count {
				least = child
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}

// Top lists the heaviest, and by how much any count may be too high.
func (s *Sketch) Top(count int) (top []TopEntry, errorBound uint64) {
	for _, e := range s.minHeap {
		top = append(top, e.TopEntry)
	}
	slices.SortFunc(top, func(a, b TopEntry) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key)) })
	return top[:min(count, len(top))], s.total / uint64(s.size)
}
