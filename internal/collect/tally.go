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
	dec         map[string]*ipfix.Decoder                           // by source: templates are a stream's own
	UnknownSets int                                                 // sets without a template
	Unreadable  int                                                 // messages that can't be read
	OnRecord    func(r *ipfix.Record, it *flow.Item, domain uint32) // told of each record that counts; nil for none
}

type domain struct {
	lives  map[uint64]*life
	next   map[string]uint32 // by source: the sequence number that is due
	gaps   uint64            // records that sequence numbers miss (UDP)
	resent uint64            // came twice, as they were marked
	double uint64            // came twice and were not marked
	summed uint64            // calls by the summaries of intervals
}

type life struct {
	seen    map[uint64]bool // records by flowId
	sums    map[uint64]bool // sums by theirs
	got     flow.Counts     // whole
	folded  flow.Counts     // in sums
	counted flow.Counts     // as the controller says
	dropped flow.Counts
	word    uint64 // the latest of its words on counts
	final   bool   // it was the last one
}

// NewTally starts with nothing.
func NewTally() *Tally {
	return &Tally{domains: map[uint32]*domain{}, dec: map[string]*ipfix.Decoder{}}
}

// Forget drops what is remembered of a source: its connection is over.
func (t *Tally) Forget(source string) { delete(t.dec, source) }

// AddMessage adds a message of a source in; it returns how many records it held.
func (t *Tally) AddMessage(source string, b []byte) (int, error) {
	d := t.dec[source]
	if d == nil {
		d = ipfix.NewDecoder(flow.Elements()...)
		t.dec[source] = d
	}
	m, err := d.Decode(b)
	if err != nil {
		t.Unreadable++
		return 0, err
	}
	t.UnknownSets += m.UnknownSets
	dom := t.domains[m.Domain]
	if dom == nil {
		dom = &domain{lives: map[uint64]*life{}, next: map[string]uint32{}}
		t.domains[m.Domain] = dom
	}
	if due, ok := dom.next[source]; ok && m.Sequence != due && m.Sequence-due < 1<<31 {
		dom.gaps += uint64(m.Sequence - due)
	}
	dom.next[source] = m.Sequence + uint32(len(m.Records))
	if m.Protocol == ipfix.NetFlow9 {
		dom.next[source] = m.Sequence + 1
	}
	for i := range m.Records {
		t.record(dom, m.Domain, &m.Records[i])
	}
	return len(m.Records), nil
}

func (t *Tally) record(dom *domain, id uint32, r *ipfix.Record) {
	it, ok := flow.ItemOf(r)
	if !ok {
		return
	}
	lifeID, seq, flags := flow.Identity(r)
	l := dom.lives[lifeID]
	if l == nil {
		l = &life{seen: map[uint64]bool{}, sums: map[uint64]bool{}}
		dom.lives[lifeID] = l
	}
	seen := l.seen
	switch it.Kind {
	case flow.ItemCounts:
		counted, dropped := flow.CountsOf(r)
		if seq < l.word {
			return
		}
		l.word, l.final = seq, l.final || flags&flow.FlagFinal != 0
		l.counted[it.RecordKind][min(it.Class, flow.MaxClasses-1)][it.Outcome] = counted
		l.dropped[it.RecordKind][min(it.Class, flow.MaxClasses-1)][it.Outcome] = dropped
		return
	case flow.ItemFolded:
		seen = l.sums
	case flow.ItemSummary:
		if !l.sums[seq] {
			l.sums[seq] = true
			dom.summed += flow.SummaryCallsOf(r)
		}
		return
	}
	if seen[seq] {
		if flags&flow.FlagResent != 0 {
			dom.resent++
		} else {
			dom.double++
		}
		return
	}
	seen[seq] = true
	if it.Kind == flow.ItemFolded {
		it.AddTo(&l.folded)
	} else {
		it.AddTo(&l.got)
	}
	if t.OnRecord != nil {
		t.OnRecord(r, it, id)
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
	rep := &Report{UnknownSets: t.UnknownSets, Unreadable: t.Unreadable}
	var ids []uint32
	for id := range t.domains {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		d := t.domains[id]
		rep.SequenceGaps += d.gaps
		rep.Resent += d.resent
		rep.Duplicates += d.double
		rep.SummaryCalls += d.summed
		var counted, got, folded, dropped flow.Counts
		for _, l := range d.lives { // sums: the order does not matter
			if !l.final {
				rep.Unfinished++
				for k := range flow.KindCount {
					rep.OrphanRecords += l.got.Sum(k) + l.folded.Sum(k)
				}
				continue
			}
			add(&counted, &l.counted)
			add(&got, &l.got)
			add(&folded, &l.folded)
			add(&dropped, &l.dropped)
		}
		for k := range counted {
			for c := range counted[k] {
				for o := range counted[k][c] {
					n := ReportLine{id, flow.Kind(k).String(), uint8(c), flow.Outcome(o).String(), counted[k][c][o], got[k][c][o], folded[k][c][o], dropped[k][c][o], 0}
					if n.Counted+n.Received+n.Folded+n.Dropped == 0 {
						continue
					}
					n.Difference = int64(n.Counted) - int64(n.Received+n.Folded+n.Dropped)
					rep.Lines = append(rep.Lines, n)
					rep.Counted += n.Counted
					rep.Received += n.Received
					rep.Folded += n.Folded
					rep.Dropped += n.Dropped
					rep.Difference += uint64(max(n.Difference, -n.Difference))
				}
			}
		}
	}
	return rep
}

func add(to, from *flow.Counts) {
	for k := range from {
		for c := range from[k] {
			for o, n := range from[k][c] {
				to[k][c][o] += n
			}
		}
	}
}

// AddFile adds an IPFIX file (RFC 5655) in. A torn end is an error that says so;
// what came before it is added.
func (t *Tally) AddFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("flows: %w", err)
	}
	defer f.Close()
	defer t.Forget(path)
	if err := ForEachMessage(f, func(b []byte) error {
		_, err := t.AddMessage(path, b)
		return err
	}); err != nil {
		return fmt.Errorf("flows: %s: %w", path, err)
	}
	return nil
}

// ForEachMessage hands out the messages of an IPFIX file, each valid until the next.
func ForEachMessage(f io.Reader, each func([]byte) error) error {
	r := bufio.NewReaderSize(f, 1<<16)
	var buf []byte
	for n := 1; ; n++ {
		b, err := ipfix.ReadMessage(r, buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			buf = b
			err = each(b)
		}
		if err != nil {
			return fmt.Errorf("message %d: %w", n, err)
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
	size int
	heap []*entry // the least count on top
	at   map[string]*entry
	n    uint64
}

type entry struct {
	TopEntry
	i int
}

// NewSketch keeps so many keys.
func NewSketch(size int) *Sketch {
	return &Sketch{size: max(size, 1), at: map[string]*entry{}}
}

// Add counts a key.
func (s *Sketch) Add(key string, n uint64) {
	s.n += n
	if e := s.at[key]; e != nil {
		e.Count += n
		s.down(e.i)
		return
	}
	if len(s.heap) < s.size {
		e := &entry{TopEntry{key, n, 0}, len(s.heap)}
		s.heap = append(s.heap, e)
		s.at[key] = e
		s.up(e.i)
		return
	}
	e := s.heap[0] // the least makes room, and leaves its count as the error
	delete(s.at, e.Key)
	e.Key, e.MaxError, e.Count = key, e.Count, e.Count+n
	s.at[key] = e
	s.down(0)
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.heap[i].i, s.heap[j].i = i, j
}

func (s *Sketch) up(i int) {
	for p := (i - 1) / 2; i > 0 && s.heap[i].Count < s.heap[p].Count; i, p = p, (p-1)/2 {
		s.swap(i, p)
	}
}

func (s *Sketch) down(i int) {
	for {
		least := i
		for _, c := range []int{2*i + 1, 2*i + 2} {
			if c < len(s.heap) && s.heap[c].Count < s.heap[least].Count {
				least = c
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
func (s *Sketch) Top(k int) (top []TopEntry, errorBound uint64) {
	for _, e := range s.heap {
		top = append(top, e.TopEntry)
	}
	slices.SortFunc(top, func(a, b TopEntry) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key)) })
	return top[:min(k, len(top))], s.n / uint64(s.size)
}
