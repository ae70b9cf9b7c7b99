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

// PEN is the private enterprise number of this project's information elements.
// IANA reserves it for documentation.
const PEN = 32473

// FormatVersion is the version of the templates. Spool files of another version
// are set aside.
const FormatVersion = 1

// ownElement returns an information element of this project.
func ownElement(id uint16, dataType ipfix.Type, length uint16, name string) ipfix.Element {
	return ipfix.Element{PEN: PEN, ID: id, Type: dataType, Length: length, Name: name}
}

// The information elements that the templates use.
var (
	eStart            = ipfix.Element{ID: 152, Type: ipfix.DateTimeMilliseconds, Length: 8, Name: "flowStartMilliseconds"}
	eEnd              = ipfix.Element{ID: 153, Type: ipfix.DateTimeMilliseconds, Length: 8, Name: "flowEndMilliseconds"}
	eFlowID           = ipfix.Element{ID: 148, Type: ipfix.Unsigned64, Length: 8, Name: "flowId"}
	eProcess          = ipfix.Element{ID: 144, Type: ipfix.Unsigned32, Length: 4, Name: "exportingProcessId"}
	eNotSent          = ipfix.Element{ID: 167, Type: ipfix.Unsigned64, Length: 8, Name: "notSentFlowTotalCount"}
	eExported         = ipfix.Element{ID: 42, Type: ipfix.Unsigned64, Length: 8, Name: "exportedFlowRecordTotalCount"}
	eIncarnation      = ownElement(1, ipfix.Unsigned64, 8, "controllerLife")
	eKind             = ownElement(2, ipfix.Unsigned8, 1, "recordKind")
	eClass            = ownElement(3, ipfix.Unsigned8, 1, "callClassNumber")
	eClassName        = ownElement(4, ipfix.String, ipfix.VariableLength, "callClass")
	eOutcome          = ownElement(5, ipfix.Unsigned8, 1, "recordOutcome")
	eFlags            = ownElement(6, ipfix.Unsigned8, 1, "recordFlags")
	eSource           = ownElement(7, ipfix.Unsigned32, 4, "sourceExchangeNumber")
	eDest             = ownElement(8, ipfix.Unsigned32, 4, "destinationExchangeNumber")
	eVia              = ownElement(9, ipfix.Unsigned32, 4, "viaExchangeNumber")
	eNumberHash       = ownElement(10, ipfix.Unsigned64, 8, "calledNumberHash")
	eCircuits         = ownElement(11, ipfix.Unsigned16, 2, "circuits")
	eAttempts         = ownElement(12, ipfix.Unsigned8, 1, "attempts")
	eTandemAttempts   = ownElement(13, ipfix.Unsigned8, 1, "tandemAttempts")
	eSetUp            = ownElement(14, ipfix.Unsigned32, 4, "setUpMilliseconds")
	eEstablished      = ownElement(15, ipfix.Unsigned32, 4, "standingMilliseconds")
	eVerdictReason    = ownElement(16, ipfix.String, ipfix.VariableLength, "verdictReason")
	eVerdictScope     = ownElement(17, ipfix.String, ipfix.VariableLength, "verdictScope")
	eVerdictNumber    = ownElement(18, ipfix.Unsigned32, 4, "verdictNumber")
	eExchange         = ownElement(19, ipfix.Unsigned32, 4, "exchangeId")
	eRoute            = ownElement(20, ipfix.Unsigned8, 1, "route")
	eAttemptNote      = ownElement(21, ipfix.Unsigned8, 1, "attemptNote")
	eAttemptNumber    = ownElement(22, ipfix.Unsigned8, 1, "attemptNumber")
	eContext          = ownElement(23, ipfix.Unsigned32, 4, "callContext")
	eRecordCount      = ownElement(24, ipfix.Unsigned64, 8, "recordCount")
	eFoldedCount      = ownElement(25, ipfix.Unsigned64, 8, "foldedRecordCount")
	eDroppedCount     = ownElement(26, ipfix.Unsigned64, 8, "droppedRecordCount")
	eSetUpSum         = ownElement(27, ipfix.Unsigned64, 8, "setUpMillisecondsSum")
	eEstablishedSum   = ownElement(28, ipfix.Unsigned64, 8, "standingMillisecondsSum")
	eAttemptsSum      = ownElement(29, ipfix.Unsigned64, 8, "attemptsSum")
	eFormat           = ownElement(30, ipfix.Unsigned16, 2, "recordFormat")
	eCallCount        = ownElement(31, ipfix.Unsigned64, 8, "callCount")
	eEstablishedCount = ownElement(32, ipfix.Unsigned64, 8, "stoodCallCount")
	eRefusedCount     = ownElement(33, ipfix.Unsigned64, 8, "refusedCallCount")
	eFailedCount      = ownElement(34, ipfix.Unsigned64, 8, "failedCallCount")
	eAbandonedCount   = ownElement(35, ipfix.Unsigned64, 8, "leftCallCount")
	eAttemptCount     = ownElement(36, ipfix.Unsigned64, 8, "attemptCount")
	eCircuitTime      = ownElement(37, ipfix.Unsigned64, 8, "circuitMilliseconds")
)

// Elements returns all information elements that the templates use.
func Elements() []ipfix.Element {
	return append([]ipfix.Element{
		eStart, eEnd, eFlowID, eProcess, eNotSent, eExported, eIncarnation, eKind, eClass, eClassName,
		eOutcome, eFlags, eSource, eDest, eVia, eNumberHash, eCircuits, eAttempts, eTandemAttempts, eSetUp,
		eEstablished, eVerdictReason, eVerdictScope, eVerdictNumber, eExchange, eRoute, eAttemptNote,
		eAttemptNumber, eContext, eRecordCount, eFoldedCount, eDroppedCount, eSetUpSum, eEstablishedSum,
		eAttemptsSum, eFormat, eCallCount, eEstablishedCount, eRefusedCount, eFailedCount, eAbandonedCount,
		eAttemptCount, eCircuitTime,
	}, ipfix.TypeInfoElements...)
}

// ItemKind is the kind of an Item. It selects the template of the item.
type ItemKind uint8

const (
	ItemCall       ItemKind = iota // one call that has ended or is still established
	ItemAttempt                    // one attempt
	ItemFolded                     // the sum of records that were folded instead of being sent one by one
	ItemCounts                     // records counted, folded and dropped so far, by kind, class and outcome
	ItemStatistics                 // exporting process reliability statistics (RFC 7011, 4.3)
	ItemFormat                     // the version of the records in the stream
	ItemSummary                    // an interval's calls to one destination in one class, including shed records
	itemKindCount
)

// Flags of a record.
const (
	FlagResent uint64 = 1 // may have arrived before; flowId identifies duplicates
	FlagRepeat uint64 = 2 // a caller's retry, or a repeated call
	FlagFinal  uint64 = 4 // on counts: the last ones of a controller that shut down in order
)

// templates holds the template of each ItemKind.
var templates = [itemKindCount]*ipfix.Template{
	{ID: 256, Fields: []ipfix.Element{
		eIncarnation, eFlowID, eFlags, eKind, eClass, eClassName, eOutcome, eStart, eEnd, eSource, eDest,
		eVia, eNumberHash, eCircuits, eAttempts, eTandemAttempts, eSetUp, eEstablished, eVerdictReason,
		eVerdictScope, eVerdictNumber, eRoute, eContext,
	}},
	{ID: 257, Fields: []ipfix.Element{
		eIncarnation, eFlowID, eFlags, eKind, eClass, eClassName, eOutcome, eStart, eEnd, eSource, eDest,
		eVia, eNumberHash, eCircuits, eAttemptNumber, eExchange, eRoute, eAttemptNote, eSetUp, eEstablished,
		eContext,
	}},
	{ID: 258, Fields: []ipfix.Element{
		eIncarnation, eFlowID, eFlags, eKind, eClass, eClassName, eOutcome, eStart, eEnd, eDest,
		eRecordCount, eSetUpSum, eEstablishedSum, eAttemptsSum,
	}},
	{ID: 259, ScopeCount: 2, Fields: []ipfix.Element{
		eIncarnation, eProcess, eFlowID, eFlags, eKind, eClass, eClassName, eOutcome, eRecordCount,
		eFoldedCount, eDroppedCount,
	}},
	{ID: 260, ScopeCount: 1, Fields: []ipfix.Element{eProcess, eNotSent, eExported}},
	{ID: 261, ScopeCount: 1, Fields: []ipfix.Element{eProcess, eFormat}},
	{ID: 263, Fields: []ipfix.Element{
		eIncarnation, eFlowID, eFlags, eClass, eClassName, eDest, eStart, eEnd, eCallCount,
		eEstablishedCount, eRefusedCount, eFailedCount, eAbandonedCount, eAttemptCount, eCircuitTime,
	}},
}

// typeInfoTemplate describes this project's information elements to collectors.
var typeInfoTemplate = ipfix.TypeInfoTemplate(262)

// Codec converts a controller's records to the values of their templates.
type Codec struct {
	Domain      uint32   // observation domain ID: the controller's number
	Incarnation uint64   // start time of the controller, in milliseconds since 1970
	Classes     []string // names of the call classes
	hashKey     []byte   // HMAC key for called numbers
}

// NewCodec returns a codec that hashes called numbers with key. Controllers that
// share the key produce the same hash for a number; without the key the number
// can't be recovered.
func NewCodec(domain uint32, incarnation uint64, classes []string, key []byte) *Codec {
	return &Codec{Domain: domain, Incarnation: incarnation, Classes: classes, hashKey: key}
}

// Template returns the template of an item kind.
func (c *Codec) Template(kind ItemKind) *ipfix.Template { return templates[kind] }

// Preamble writes what a reader of the stream needs first: the format version,
// the templates and the type information of the elements (RFC 5610). It calls
// finish whenever a message is full and once at the end.
func (c *Codec) Preamble(writer *ipfix.Writer, finish func()) error {
	steps := []func() error{
		func() error { return writer.AddTemplate(templates[ItemFormat]) },
		func() error {
			return writer.AddRecord(templates[ItemFormat], []ipfix.Value{{Num: uint64(c.Domain)}, {Num: FormatVersion}})
		}}
	for _, template := range append(templates[:ItemFormat:ItemFormat], templates[ItemSummary], typeInfoTemplate) {
		steps = append(steps, func() error { return writer.AddTemplate(template) })
	}
	for _, element := range Elements() {
		if element.PEN == PEN {
			steps = append(steps, func() error { return writer.AddRecord(typeInfoTemplate, ipfix.TypeInfoRecord(element, 0)) })
		}
	}
	for _, step := range steps {
		err := step()
		if errors.Is(err, ipfix.ErrFull) {
			finish()
			err = step()
		}
		if err != nil {
			return fmt.Errorf("templates: %w", err)
		}
	}
	finish()
	return nil
}

// HasCurrentFormat reports whether a message announces the current format version.
func HasCurrentFormat(message *ipfix.Message) bool {
	for i := range message.Records {
		if format, ok := message.Records[i].Get(PEN, eFormat.ID); ok {
			return format.Num == FormatVersion
		}
	}
	return false
}

// Item is one data record of the stream, with the number of flow records that it
// represents.
type Item struct {
	Kind        ItemKind
	RecordKind  Kind
	Class       uint8
	Outcome     Outcome
	RecordCount uint64 // flow records that the item represents

	resent bool
	record Record        // of calls and attempts of this process, encoded when they are written
	values []ipfix.Value // of all other items
}

// flagsIndex is the index of recordFlags in the templates that have it, except
// that of ItemCounts.
const flagsIndex = 2

// MarkResent marks an item that may have arrived at a collector before.
func (i *Item) MarkResent() { i.resent = i.HasRecords() }

// Values returns the values of an item in the order of its template. It
// overwrites buf.
func (c *Codec) Values(item *Item, buf []ipfix.Value) []ipfix.Value {
	values := append(buf[:0], item.values...)
	if item.values == nil {
		values = c.recordValues(&item.record, values)
	}
	if item.resent {
		values[flagsIndex].Num |= FlagResent
	}
	return values
}

// HasRecords reports whether the item represents flow records, rather than
// counts, summaries or statistics.
func (i *Item) HasRecords() bool { return i.Kind <= ItemFolded }

// AddTo adds the flow records that the item represents to counts.
func (i *Item) AddTo(counts *Counts) {
	if i.HasRecords() {
		counts[min(i.RecordKind, KindCount-1)][min(i.Class, MaxClasses-1)][min(i.Outcome, OutcomeCount-1)] += i.RecordCount
	}
}

// className returns the name of a class, or an empty string if it has none.
func (c *Codec) className(class uint8) string {
	if int(class) < len(c.Classes) {
		return c.Classes[class]
	}
	return ""
}

// milliseconds converts a duration, or 0 if it is negative.
func milliseconds(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

// exchangeNumber encodes an exchange number in 32 bits; all bits set mean none.
func exchangeNumber(number int32) uint64 { return uint64(uint32(number)) }

// hashNumber returns the first 8 bytes of the HMAC-SHA-256 (RFC 2104) of a called number.
func (c *Codec) hashNumber(number uint64) uint64 {
	mac := hmac.New(sha256.New, c.hashKey)
	mac.Write(binary.BigEndian.AppendUint64(nil, number))
	return binary.BigEndian.Uint64(mac.Sum(nil))
}

// RecordItem returns the item for a call or attempt record.
func (c *Codec) RecordItem(record *Record) *Item {
	item := &Item{
		Kind:        ItemCall,
		RecordKind:  record.Kind,
		Class:       record.Class,
		Outcome:     record.Outcome,
		RecordCount: 1,
		record:      *record,
	}
	if record.Kind == KindAttempt {
		item.Kind = ItemAttempt
	}
	return item
}

// recordValues appends the values of a call or attempt record.
func (c *Codec) recordValues(record *Record, values []ipfix.Value) []ipfix.Value {
	flags := uint64(0)
	if record.Repeat {
		flags |= FlagRepeat
	}
	values = append(
		values,
		ipfix.Value{Num: c.Incarnation},
		ipfix.Value{Num: record.Seq},
		ipfix.Value{Num: flags},
		ipfix.Value{Num: uint64(record.Kind)},
		ipfix.Value{Num: uint64(record.Class)},
		ipfix.Value{Str: c.className(record.Class)},
		ipfix.Value{Num: uint64(record.Outcome)},
		ipfix.Value{Num: milliseconds(record.Start)},
		ipfix.Value{Num: milliseconds(record.Start + record.SetUp + record.EstablishedFor)},
		ipfix.Value{Num: exchangeNumber(record.Source)},
		ipfix.Value{Num: exchangeNumber(record.Dest)},
		ipfix.Value{Num: exchangeNumber(record.Via)},
		ipfix.Value{Num: c.hashNumber(record.CalledNumber)},
		ipfix.Value{Num: uint64(record.Circuits)},
	)
	if record.Kind == KindAttempt {
		return append(
			values,
			ipfix.Value{Num: uint64(record.Attempts)},
			ipfix.Value{Num: uint64(record.Exchange)},
			ipfix.Value{Num: uint64(record.Route)},
			ipfix.Value{Num: uint64(record.Note)},
			ipfix.Value{Num: milliseconds(record.SetUp)},
			ipfix.Value{Num: milliseconds(record.EstablishedFor)},
			ipfix.Value{Num: uint64(record.Context)},
		)
	}
	return append(
		values,
		ipfix.Value{Num: uint64(record.Attempts)},
		ipfix.Value{Num: uint64(record.TandemAttempts)},
		ipfix.Value{Num: milliseconds(record.SetUp)},
		ipfix.Value{Num: milliseconds(record.EstablishedFor)},
		ipfix.Value{Str: record.VerdictReason},
		ipfix.Value{Str: record.VerdictScope},
		ipfix.Value{Num: exchangeNumber(record.VerdictNumber)},
		ipfix.Value{Num: uint64(record.Route)},
		ipfix.Value{Num: uint64(record.Context)},
	)
}

// Folded is the sum of records that were not sent one by one.
type Folded struct {
	Kind                  Kind
	Class                 uint8
	Outcome               Outcome
	Dest                  int32
	Seq                   uint64 // numbered separately from the records
	Count                 uint64
	FirstStart, LastStart time.Duration
	SetUp, EstablishedFor time.Duration
	Attempts              uint64
}

// FoldedItem returns the item for a sum of folded records.
func (c *Codec) FoldedItem(folded Folded) *Item {
	return &Item{
		Kind:        ItemFolded,
		RecordKind:  folded.Kind,
		Class:       folded.Class,
		Outcome:     folded.Outcome,
		RecordCount: folded.Count,
		values: []ipfix.Value{
			{Num: c.Incarnation},
			{Num: folded.Seq},
			{},
			{Num: uint64(folded.Kind)},
			{Num: uint64(folded.Class)},
			{Str: c.className(folded.Class)},
			{Num: uint64(folded.Outcome)},
			{Num: milliseconds(folded.FirstStart)},
			{Num: milliseconds(folded.LastStart)},
			{Num: exchangeNumber(folded.Dest)},
			{Num: folded.Count},
			{Num: milliseconds(folded.SetUp)},
			{Num: milliseconds(folded.EstablishedFor)},
			{Num: folded.Attempts},
		},
	}
}

// Summary counts the calls to one destination in one class that ended in an interval.
type Summary struct {
	Calls, Established, Refused, Failed, Abandoned, Attempts uint64
	CircuitTime                                              time.Duration // circuits multiplied by the time established
}

// Add counts a record.
func (s *Summary) Add(record *Record) {
	switch record.Kind {
	case KindAttempt:
		s.Attempts++
		return
	case KindInterim:
		return
	}
	s.Calls++
	switch record.Outcome {
	case CallEnded, CallCut:
		s.Established++
		s.CircuitTime += record.EstablishedFor * time.Duration(record.Circuits)
	case CallRefused:
		s.Refused++
	case CallFailed:
		s.Failed++
	case CallAbandoned:
		s.Abandoned++
	}
}

// SummaryItem returns the item for the summary of an interval.
func (c *Codec) SummaryItem(seq uint64, class uint8, dest int32, from, to time.Duration, summary *Summary) *Item {
	return &Item{
		Kind:  ItemSummary,
		Class: class,
		values: []ipfix.Value{
			{Num: c.Incarnation},
			{Num: seq},
			{},
			{Num: uint64(class)},
			{Str: c.className(class)},
			{Num: exchangeNumber(dest)},
			{Num: milliseconds(from)},
			{Num: milliseconds(to)},
			{Num: summary.Calls},
			{Num: summary.Established},
			{Num: summary.Refused},
			{Num: summary.Failed},
			{Num: summary.Abandoned},
			{Num: summary.Attempts},
			{Num: milliseconds(summary.CircuitTime)},
		},
	}
}

// CountItems returns the items that report the records counted, folded and
// dropped so far: one for each kind, class and outcome that occurred.
func (c *Codec) CountItems(seq uint64, counted, folded, dropped *Counts, final bool) []*Item {
	var items []*Item
	flags := uint64(0)
	if final {
		flags = FlagFinal
	}
	for kind := range counted {
		for class := range counted[kind] {
			for outcome, count := range counted[kind][class] {
				if count == 0 {
					continue
				}
				items = append(items, &Item{
					Kind:       ItemCounts,
					RecordKind: Kind(kind),
					Class:      uint8(class),
					Outcome:    Outcome(outcome),
					values: []ipfix.Value{
						{Num: c.Incarnation},
						{Num: uint64(c.Domain)},
						{Num: seq},
						{Num: flags},
						{Num: uint64(kind)},
						{Num: uint64(class)},
						{Str: c.className(uint8(class))},
						{Num: uint64(outcome)},
						{Num: count},
						{Num: folded[kind][class][outcome]},
						{Num: dropped[kind][class][outcome]},
					},
				})
			}
		}
	}
	return items
}

// StatisticsItem returns the item for the exporting process reliability statistics.
func (c *Codec) StatisticsItem(notSent, exported uint64) *Item {
	return &Item{Kind: ItemStatistics, values: []ipfix.Value{{Num: uint64(c.Domain)}, {Num: notSent}, {Num: exported}}}
}

// ItemOf returns the item for a record that was read. It returns false for a
// record about the stream itself and for one that is not valid.
func ItemOf(record *ipfix.Record) (*Item, bool) {
	item := &Item{values: record.Values, RecordCount: 1}
	switch record.Template.ID {
	case templates[ItemCall].ID:
		item.Kind = ItemCall
	case templates[ItemAttempt].ID:
		item.Kind = ItemAttempt
	case templates[ItemFolded].ID:
		item.Kind = ItemFolded
		count, _ := record.Get(PEN, eRecordCount.ID)
		item.RecordCount = count.Num
	case templates[ItemCounts].ID:
		item.Kind, item.RecordCount = ItemCounts, 0
	case templates[ItemSummary].ID:
		item.Kind, item.RecordCount = ItemSummary, 0
	default:
		return nil, false
	}
	if len(record.Values) != len(templates[item.Kind].Fields) {
		return nil, false
	}
	kind, _ := record.Get(PEN, eKind.ID)
	class, _ := record.Get(PEN, eClass.ID)
	outcome, _ := record.Get(PEN, eOutcome.ID)
	item.RecordKind, item.Class, item.Outcome = Kind(kind.Num), uint8(class.Num), Outcome(outcome.Num)
	if item.RecordKind >= KindCount || item.Outcome >= OutcomeCount {
		return nil, false
	}
	return item, true
}

// fieldValue returns a value by the position of its element in this package's
// template, because NetFlow version 9 doesn't name the elements of scope fields.
func fieldValue(record *ipfix.Record, element ipfix.Element) uint64 {
	for _, template := range templates {
		if template.ID != record.Template.ID || len(template.Fields) != len(record.Values) {
			continue
		}
		for i := range template.Fields {
			if template.Fields[i].ID == element.ID && template.Fields[i].PEN == element.PEN {
				return record.Values[i].Num
			}
		}
	}
	return 0
}

// Identity returns the incarnation of the controller that a record comes from,
// the sequence number within it, and the flags.
func Identity(record *ipfix.Record) (incarnation, seq, flags uint64) {
	return fieldValue(record, eIncarnation), fieldValue(record, eFlowID), fieldValue(record, eFlags)
}

// CountsOf returns the counted and dropped records that an ItemCounts record reports.
func CountsOf(record *ipfix.Record) (counted, dropped uint64) {
	return fieldValue(record, eRecordCount), fieldValue(record, eDroppedCount)
}

// SummaryCallsOf returns the number of calls in a summary.
func SummaryCallsOf(record *ipfix.Record) uint64 { return fieldValue(record, eCallCount) }

// CallAttributes returns the destination, the class name and the hash of the
// called number of a record.
func CallAttributes(record *ipfix.Record) (dest uint32, class string, hash uint64) {
	className, _ := record.Get(PEN, eClassName.ID)
	return uint32(fieldValue(record, eDest)), className.Str, fieldValue(record, eNumberHash)
}

// CallRecordOf returns the record of a call that was read, with the hash in place
// of the called number. It returns false for any other record.
func CallRecordOf(record *ipfix.Record) (Record, bool) {
	item, ok := ItemOf(record)
	if !ok || item.Kind != ItemCall || item.RecordKind != KindCall {
		return Record{}, false
	}
	duration := func(element ipfix.Element) time.Duration {
		return time.Duration(fieldValue(record, element)) * time.Millisecond
	}
	return Record{
		Kind:           KindCall,
		Class:          item.Class,
		Outcome:        item.Outcome,
		Seq:            fieldValue(record, eFlowID),
		CalledNumber:   fieldValue(record, eNumberHash),
		Start:          duration(eStart),
		SetUp:          duration(eSetUp),
		EstablishedFor: duration(eEstablished),
		Source:         int32(fieldValue(record, eSource)),
		Dest:           int32(fieldValue(record, eDest)),
		Via:            int32(fieldValue(record, eVia)),
		Circuits:       uint16(fieldValue(record, eCircuits)),
		Attempts:       uint8(fieldValue(record, eAttempts)),
		TandemAttempts: uint8(fieldValue(record, eTandemAttempts)),
		Route:          Route(fieldValue(record, eRoute)),
		Repeat:         fieldValue(record, eFlags)&FlagRepeat != 0,
	}, true
}
