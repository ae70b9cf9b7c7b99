package flow

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"dahliaspindle/internal/ipfix"
)

// PEN is the enterprise number of the elements of our own: the one that IANA
// keeps for documentation.
const PEN = 32473

// FormatVersion is the version of the templates; a spool of another is set aside.
const FormatVersion = 1

func own(id uint16, t ipfix.Type, n uint16, name string) ipfix.Element {
	return ipfix.Element{PEN: PEN, ID: id, Type: t, Length: n, Name: name}
}

// The elements. Their order in the templates is that of this list.
var (
	eStart     = ipfix.Element{ID: 152, Type: ipfix.DateTimeMilliseconds, Length: 8, Name: "flowStartMilliseconds"}
	eEnd       = ipfix.Element{ID: 153, Type: ipfix.DateTimeMilliseconds, Length: 8, Name: "flowEndMilliseconds"}
	eFlowID    = ipfix.Element{ID: 148, Type: ipfix.Unsigned64, Length: 8, Name: "flowId"}
	eProcess   = ipfix.Element{ID: 144, Type: ipfix.Unsigned32, Length: 4, Name: "exportingProcessId"}
	eNotSent   = ipfix.Element{ID: 167, Type: ipfix.Unsigned64, Length: 8, Name: "notSentFlowTotalCount"}
	eExported  = ipfix.Element{ID: 42, Type: ipfix.Unsigned64, Length: 8, Name: "exportedFlowRecordTotalCount"}
	eLife      = own(1, ipfix.Unsigned64, 8, "controllerLife")
	eKind      = own(2, ipfix.Unsigned8, 1, "recordKind")
	eClass     = own(3, ipfix.Unsigned8, 1, "callClassNumber")
	eClassName = own(4, ipfix.String, ipfix.VariableLength, "callClass")
	eOutcome   = own(5, ipfix.Unsigned8, 1, "recordOutcome")
	eFlags     = own(6, ipfix.Unsigned8, 1, "recordFlags")
	eSource    = own(7, ipfix.Unsigned32, 4, "sourceExchangeNumber")
	eDest      = own(8, ipfix.Unsigned32, 4, "destinationExchangeNumber")
	eVia       = own(9, ipfix.Unsigned32, 4, "viaExchangeNumber")
	eHash      = own(10, ipfix.Unsigned64, 8, "calledNumberHash")
	eCircuits  = own(11, ipfix.Unsigned16, 2, "circuits")
	eTries     = own(12, ipfix.Unsigned8, 1, "attempts")
	eTandems   = own(13, ipfix.Unsigned8, 1, "tandemAttempts")
	eSetUp     = own(14, ipfix.Unsigned32, 4, "setUpMilliseconds")
	eStood     = own(15, ipfix.Unsigned32, 4, "standingMilliseconds")
	eReason    = own(16, ipfix.String, ipfix.VariableLength, "verdictReason")
	eScope     = own(17, ipfix.String, ipfix.VariableLength, "verdictScope")
	eWhere     = own(18, ipfix.Unsigned32, 4, "verdictNumber")
	eExchange  = own(19, ipfix.Unsigned32, 4, "exchangeId")
	eRoute     = own(20, ipfix.Unsigned8, 1, "route")
	eNote      = own(21, ipfix.Unsigned8, 1, "attemptNote")
	eNumber    = own(22, ipfix.Unsigned8, 1, "attemptNumber")
	eContext   = own(23, ipfix.Unsigned32, 4, "callContext")
	eCount     = own(24, ipfix.Unsigned64, 8, "recordCount")
	eFolded    = own(25, ipfix.Unsigned64, 8, "foldedRecordCount")
	eDropped   = own(26, ipfix.Unsigned64, 8, "droppedRecordCount")
	eSetUpSum  = own(27, ipfix.Unsigned64, 8, "setUpMillisecondsSum")
	eStoodSum  = own(28, ipfix.Unsigned64, 8, "standingMillisecondsSum")
	eTriesSum  = own(29, ipfix.Unsigned64, 8, "attemptsSum")
	eFormat    = own(30, ipfix.Unsigned16, 2, "recordFormat")
	eCalls     = own(31, ipfix.Unsigned64, 8, "callCount")
	eStoodCnt  = own(32, ipfix.Unsigned64, 8, "stoodCallCount")
	eRefused   = own(33, ipfix.Unsigned64, 8, "refusedCallCount")
	eFailed    = own(34, ipfix.Unsigned64, 8, "failedCallCount")
	eLeft      = own(35, ipfix.Unsigned64, 8, "leftCallCount")
	eTried     = own(36, ipfix.Unsigned64, 8, "attemptCount")
	eBusy      = own(37, ipfix.Unsigned64, 8, "circuitMilliseconds")
)

// Elements lists all that the templates use.
func Elements() []ipfix.Element {
	return append([]ipfix.Element{eStart, eEnd, eFlowID, eProcess, eNotSent, eExported, eLife, eKind, eClass, eClassName, eOutcome, eFlags,
		eSource, eDest, eVia, eHash, eCircuits, eTries, eTandems, eSetUp, eStood, eReason, eScope, eWhere, eExchange, eRoute, eNote,
		eNumber, eContext, eCount, eFolded, eDropped, eSetUpSum, eStoodSum, eTriesSum, eFormat, eCalls, eStoodCnt, eRefused, eFailed, eLeft,
		eTried, eBusy}, ipfix.TypeInfoElements...)
}

// ItemKind is what an item in the stream is.
type ItemKind uint8

const (
	ItemCall       ItemKind = iota // one call, ended or standing still
	ItemAttempt                    // one attempt
	ItemFolded                     // a sum of records that were not sent one by one
	ItemCounts                     // what a controller has counted, folded and dropped so far, by kind, class and outcome
	ItemStatistics                 // the exporting process' reliability (RFC 7011, 4.3)
	ItemFormat                     // the version of these records
	ItemSummary                    // an interval's calls of one far end and class, whatever was shed
	itemKinds
)

// Flags of a record.
const (
	FlagResent uint64 = 1 // it may have arrived before: the flowId tells
	FlagRepeat uint64 = 2 // a further try of a caller, or one that came again
	FlagFinal  uint64 = 4 // of counts: the last word of a controller that ended in order
)

var templates = [itemKinds]*ipfix.Template{
	{ID: 256, Fields: []ipfix.Element{eLife, eFlowID, eFlags, eKind, eClass, eClassName, eOutcome, eStart, eEnd, eSource, eDest, eVia,
		eHash, eCircuits, eTries, eTandems, eSetUp, eStood, eReason, eScope, eWhere, eRoute, eContext}},
	{ID: 257, Fields: []ipfix.Element{eLife, eFlowID, eFlags, eKind, eClass, eClassName, eOutcome, eStart, eEnd, eSource, eDest, eVia,
		eHash, eCircuits, eNumber, eExchange, eRoute, eNote, eSetUp, eStood, eContext}},
	{ID: 258, Fields: []ipfix.Element{eLife, eFlowID, eFlags, eKind, eClass, eClassName, eOutcome, eStart, eEnd, eDest, eCount, eSetUpSum,
		eStoodSum, eTriesSum}},
	{ID: 259, ScopeCount: 2, Fields: []ipfix.Element{eLife, eProcess, eFlowID, eFlags, eKind, eClass, eClassName, eOutcome, eCount, eFolded, eDropped}},
	{ID: 260, ScopeCount: 1, Fields: []ipfix.Element{eProcess, eNotSent, eExported}},
	{ID: 261, ScopeCount: 1, Fields: []ipfix.Element{eProcess, eFormat}},
	{ID: 263, Fields: []ipfix.Element{eLife, eFlowID, eFlags, eClass, eClassName, eDest, eStart, eEnd, eCalls, eStoodCnt, eRefused, eFailed,
		eLeft, eTried, eBusy}},
}

var describing = ipfix.TypeInfoTemplate(262)

// Codec turns a controller's records into values of the templates.
type Codec struct {
	Domain      uint32 // observation domain: the controller's number
	Incarnation uint64 // when the controller started, in milliseconds since 1970
	Classes     []string
	key         []byte
}

// NewCodec hashes called numbers with a key: the same number has the same hash
// at all controllers that share it, and nobody without it can tell the number.
func NewCodec(domain uint32, life uint64, classes []string, key []byte) *Codec {
	return &Codec{Domain: domain, Incarnation: life, Classes: classes, key: key}
}

// Template of an item.
func (c *Codec) Template(k ItemKind) *ipfix.Template { return templates[k] }

// Preamble writes what a reader needs first: the format, the other templates
// and the descriptions of the elements (RFC 5610). take is called whenever a
// message is full, and for the last.
func (c *Codec) Preamble(w *ipfix.Writer, take func()) error {
	steps := []func() error{
		func() error { return w.AddTemplate(templates[ItemFormat]) },
		func() error {
			return w.AddRecord(templates[ItemFormat], []ipfix.Value{{Num: uint64(c.Domain)}, {Num: FormatVersion}})
		}}
	for _, t := range append(templates[:ItemFormat:ItemFormat], templates[ItemSummary], describing) {
		steps = append(steps, func() error { return w.AddTemplate(t) })
	}
	for _, e := range Elements() {
		if e.PEN == PEN {
			steps = append(steps, func() error { return w.AddRecord(describing, ipfix.TypeInfoRecord(e, 0)) })
		}
	}
	for _, step := range steps {
		err := step()
		if errors.Is(err, ipfix.ErrFull) {
			take()
			err = step()
		}
		if err != nil {
			return fmt.Errorf("templates: %w", err)
		}
	}
	take()
	return nil
}

// HasCurrentFormat tells whether a message opens a stream of this format.
func HasCurrentFormat(m *ipfix.Message) bool {
	for i := range m.Records {
		if v, ok := m.Records[i].Get(PEN, eFormat.ID); ok {
			return v.Num == FormatVersion
		}
	}
	return false
}

// Item is one record in the stream, with what it counts as.
type Item struct {
	Kind        ItemKind
	RecordKind  Kind
	Class       uint8
	Outcome     Outcome
	RecordCount uint64 // records that it stands for

	resent bool
	rec    Record        // of calls and attempts that were made here: their values are made when they are written
	values []ipfix.Value // of all others
}

// flagsAt is where the flags stand, in items that have them.
const flagsAt = 2

// MarkResent marks an item that may have arrived before.
func (i *Item) MarkResent() { i.resent = i.HasRecords() }

// Values of an item, in the order of its template, written over buf.
func (c *Codec) Values(i *Item, buf []ipfix.Value) []ipfix.Value {
	v := append(buf[:0], i.values...)
	if i.values == nil {
		v = c.make(&i.rec, v)
	}
	if i.resent {
		v[flagsAt].Num |= FlagResent
	}
	return v
}

// HasRecords tells whether the item stands for records of its own.
func (i *Item) HasRecords() bool { return i.Kind <= ItemFolded }

// AddTo books what the item stands for.
func (i *Item) AddTo(c *Counts) {
	if i.HasRecords() {
		c[min(i.RecordKind, KindCount-1)][min(i.Class, MaxClasses-1)][min(i.Outcome, OutcomeCount-1)] += i.RecordCount
	}
}

func (c *Codec) class(n uint8) string {
	if int(n) < len(c.Classes) {
		return c.Classes[n]
	}
	return ""
}

func ms(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

// none stands for no exchange in 32 bits.
func none(n int32) uint64 { return uint64(uint32(n)) }

// hash of a called number: the first 8 bytes of HMAC-SHA-256 (RFC 2104).
func (c *Codec) hash(number uint64) uint64 {
	h := hmac.New(sha256.New, c.key)
	h.Write(binary.BigEndian.AppendUint64(nil, number))
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// RecordItem makes the item of a record.
func (c *Codec) RecordItem(r *Record) *Item {
	it := &Item{Kind: ItemCall, RecordKind: r.Kind, Class: r.Class, Outcome: r.Outcome, RecordCount: 1, rec: *r}
	if r.Kind == KindAttempt {
		it.Kind = ItemAttempt
	}
	return it
}

func (c *Codec) make(r *Record, v []ipfix.Value) []ipfix.Value {
	flags := uint64(0)
	if r.Repeat {
		flags |= FlagRepeat
	}
	v = append(v, ipfix.Value{Num: c.Incarnation}, ipfix.Value{Num: r.Seq}, ipfix.Value{Num: flags},
		ipfix.Value{Num: uint64(r.Kind)}, ipfix.Value{Num: uint64(r.Class)}, ipfix.Value{Str: c.class(r.Class)},
		ipfix.Value{Num: uint64(r.Outcome)}, ipfix.Value{Num: ms(r.Start)}, ipfix.Value{Num: ms(r.Start + r.SetUp + r.EstablishedFor)},
		ipfix.Value{Num: none(r.Source)}, ipfix.Value{Num: none(r.Dest)}, ipfix.Value{Num: none(r.Via)}, ipfix.Value{Num: c.hash(r.CalledNumber)},
		ipfix.Value{Num: uint64(r.Circuits)})
	if r.Kind == KindAttempt {
		return append(v, ipfix.Value{Num: uint64(r.Attempts)}, ipfix.Value{Num: uint64(r.Exchange)}, ipfix.Value{Num: uint64(r.Route)},
			ipfix.Value{Num: uint64(r.Note)}, ipfix.Value{Num: ms(r.SetUp)}, ipfix.Value{Num: ms(r.EstablishedFor)}, ipfix.Value{Num: uint64(r.Context)})
	}
	return append(v, ipfix.Value{Num: uint64(r.Attempts)}, ipfix.Value{Num: uint64(r.TandemAttempts)}, ipfix.Value{Num: ms(r.SetUp)},
		ipfix.Value{Num: ms(r.EstablishedFor)}, ipfix.Value{Str: r.VerdictReason}, ipfix.Value{Str: r.VerdictScope}, ipfix.Value{Num: none(r.VerdictNumber)},
		ipfix.Value{Num: uint64(r.Route)}, ipfix.Value{Num: uint64(r.Context)})
}

// Folded is what a sum of records tells.
type Folded struct {
	Kind                  Kind
	Class                 uint8
	Outcome               Outcome
	Dest                  int32
	Seq                   uint64 // of sums: apart from that of records
	Count                 uint64
	FirstStart, LastStart time.Duration
	SetUp, EstablishedFor time.Duration
	Attempts              uint64
}

// FoldedItem makes the item of a sum.
func (c *Codec) FoldedItem(f Folded) *Item {
	return &Item{Kind: ItemFolded, RecordKind: f.Kind, Class: f.Class, Outcome: f.Outcome, RecordCount: f.Count, values: []ipfix.Value{
		{Num: c.Incarnation}, {Num: f.Seq}, {}, {Num: uint64(f.Kind)}, {Num: uint64(f.Class)}, {Str: c.class(f.Class)}, {Num: uint64(f.Outcome)},
		{Num: ms(f.FirstStart)}, {Num: ms(f.LastStart)}, {Num: none(f.Dest)}, {Num: f.Count}, {Num: ms(f.SetUp)}, {Num: ms(f.EstablishedFor)}, {Num: f.Attempts}}}
}

// Summary is the calls of one far end and class that ended in an interval.
type Summary struct {
	Calls, Established, Refused, Failed, Abandoned, Attempts uint64
	CircuitTime                                              time.Duration // circuits times standing time
}

// Add books a record.
func (s *Summary) Add(r *Record) {
	switch r.Kind {
	case KindAttempt:
		s.Attempts++
		return
	case KindInterim:
		return
	}
	s.Calls++
	switch r.Outcome {
	case CallEnded, CallCut:
		s.Established++
		s.CircuitTime += r.EstablishedFor * time.Duration(r.Circuits)
	case CallRefused:
		s.Refused++
	case CallFailed:
		s.Failed++
	case CallAbandoned:
		s.Abandoned++
	}
}

// SummaryItem makes the item of an interval's summary.
func (c *Codec) SummaryItem(seq uint64, class uint8, far int32, from, to time.Duration, s *Summary) *Item {
	return &Item{Kind: ItemSummary, Class: class, values: []ipfix.Value{{Num: c.Incarnation}, {Num: seq}, {}, {Num: uint64(class)}, {Str: c.class(class)},
		{Num: none(far)}, {Num: ms(from)}, {Num: ms(to)}, {Num: s.Calls}, {Num: s.Established}, {Num: s.Refused}, {Num: s.Failed}, {Num: s.Abandoned},
		{Num: s.Attempts}, {Num: ms(s.CircuitTime)}}}
}

// CountItems makes the items that tell what was counted, folded and dropped so
// far, one for each kind, class and outcome that was seen.
func (c *Codec) CountItems(seq uint64, counted, folded, dropped *Counts, final bool) []*Item {
	var items []*Item
	flags := uint64(0)
	if final {
		flags = FlagFinal
	}
	for k := range counted {
		for cl := range counted[k] {
			for o, n := range counted[k][cl] {
				if n == 0 {
					continue
				}
				items = append(items, &Item{Kind: ItemCounts, RecordKind: Kind(k), Class: uint8(cl), Outcome: Outcome(o), values: []ipfix.Value{
					{Num: c.Incarnation}, {Num: uint64(c.Domain)}, {Num: seq}, {Num: flags}, {Num: uint64(k)}, {Num: uint64(cl)}, {Str: c.class(uint8(cl))},
					{Num: uint64(o)}, {Num: n}, {Num: folded[k][cl][o]}, {Num: dropped[k][cl][o]}}})
			}
		}
	}
	return items
}

// StatisticsItem makes the item of the exporting process' reliability.
func (c *Codec) StatisticsItem(notSent, exported uint64) *Item {
	return &Item{Kind: ItemStatistics, values: []ipfix.Value{{Num: uint64(c.Domain)}, {Num: notSent}, {Num: exported}}}
}

// ItemOf makes an item of a record that was read; false for those that tell of
// the stream itself.
func ItemOf(r *ipfix.Record) (*Item, bool) {
	it := &Item{values: r.Values, RecordCount: 1}
	switch r.Template.ID {
	case templates[ItemCall].ID:
		it.Kind = ItemCall
	case templates[ItemAttempt].ID:
		it.Kind = ItemAttempt
	case templates[ItemFolded].ID:
		it.Kind = ItemFolded
		n, _ := r.Get(PEN, eCount.ID)
		it.RecordCount = n.Num
	case templates[ItemCounts].ID:
		it.Kind, it.RecordCount = ItemCounts, 0
	case templates[ItemSummary].ID:
		it.Kind, it.RecordCount = ItemSummary, 0
	default:
		return nil, false
	}
	if len(r.Values) != len(templates[it.Kind].Fields) {
		return nil, false
	}
	k, _ := r.Get(PEN, eKind.ID)
	cl, _ := r.Get(PEN, eClass.ID)
	o, _ := r.Get(PEN, eOutcome.ID)
	it.RecordKind, it.Class, it.Outcome = Kind(k.Num), uint8(cl.Num), Outcome(o.Num)
	if it.RecordKind >= KindCount || it.Outcome >= OutcomeCount {
		return nil, false
	}
	return it, true
}

// field reads a value by its place in our template: version 9 gives the fields
// of a scope no names.
func field(r *ipfix.Record, e ipfix.Element) uint64 {
	for _, t := range templates {
		if t.ID != r.Template.ID || len(t.Fields) != len(r.Values) {
			continue
		}
		for i := range t.Fields {
			if t.Fields[i].ID == e.ID && t.Fields[i].PEN == e.PEN {
				return r.Values[i].Num
			}
		}
	}
	return 0
}

// Identity tells which record this is: the controller's life, its number in it,
// and its flags.
func Identity(r *ipfix.Record) (life, id, flags uint64) {
	return field(r, eLife), field(r, eFlowID), field(r, eFlags)
}

// CountsOf reads a controller's word on its counts.
func CountsOf(r *ipfix.Record) (counted, dropped uint64) {
	return field(r, eCount), field(r, eDropped)
}

// SummaryCallsOf reads how many calls a summary tells of.
func SummaryCallsOf(r *ipfix.Record) uint64 { return field(r, eCalls) }

// CallAttributes tells the destination, class name, outcome and hash of the number of a record.
func CallAttributes(r *ipfix.Record) (dest uint32, class string, hash uint64) {
	c, _ := r.Get(PEN, eClassName.ID)
	return uint32(field(r, eDest)), c.Str, field(r, eHash)
}

// CallRecordOf reads a call's record back, with the hash in place of the number.
func CallRecordOf(r *ipfix.Record) (Record, bool) {
	it, ok := ItemOf(r)
	if !ok || it.Kind != ItemCall || it.RecordKind != KindCall {
		return Record{}, false
	}
	span := func(e ipfix.Element) time.Duration { return time.Duration(field(r, e)) * time.Millisecond }
	return Record{Kind: KindCall, Class: it.Class, Outcome: it.Outcome, Seq: field(r, eFlowID), CalledNumber: field(r, eHash), Start: span(eStart),
		SetUp: span(eSetUp), EstablishedFor: span(eStood), Source: int32(field(r, eSource)), Dest: int32(field(r, eDest)), Via: int32(field(r, eVia)),
		Circuits: uint16(field(r, eCircuits)), Attempts: uint8(field(r, eTries)), TandemAttempts: uint8(field(r, eTandems)), Route: Route(field(r, eRoute)),
		Repeat: field(r, eFlags)&FlagRepeat != 0}, true
}
