// Package srvlist follows the exchange list of a platform's resolver: what the configuration
// names at the start, then whole lists as DNS answers (RFC 1035, SRV as in RFC 2782), folded to
// what has changed. It has no socket and no clock.
package srvlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"dahliaspindle/brain"
)

// Service is the name that is asked for.
const Service = "_work._tcp.fleet.local."

// MaxAnswerBytes is the size of the longest answer, in bytes.
const MaxAnswerBytes = 8 << 10

// Entry is one exchange.
type Entry struct {
	Name, Addr     string
	Number         int
	State          brain.ExchangeState
	StartUnixMilli int64 // Unix milliseconds of a late start, or 0
}

// List is the list as last told.
type List struct {
	serial          uint64
	entries         []Entry // by name; none that are gone
	latestQuery     uint64  // the last question whose answer held this list
	olderAnswers    int     // answers in a row to later ones that were older, none of them than the one before
	lastOlderSerial uint64  // the number of the last of them
	lastOlderQuery  uint64  // and its question
}

// maxOlderAnswers is how many such answers speak against the number held. Numbers begin anew with each
// start of a controller; an answer of before, kept somewhere on the way, carries a high one.
const maxOlderAnswers = 4

// Serial is the number of the last event that the list holds.
func (l *List) Serial() uint64 { return l.serial }

var stateByHealth = map[string]brain.ExchangeState{"active": brain.InService, "leaving": brain.Draining, "left": brain.OutOfService}

// ParseKnown starts a list from the events in a configuration. The error names the place.
func ParseKnown(raw []byte) (*List, error) {
	var known struct {
		Pos     uint64
		Entries []struct {
			Pos   uint64
			Hosts *struct {
				Whole bool
				Hosts []struct {
					Host, Dial, Health string
					Block              *int
					Born               int64 `json:"born_ms"`
				}
			}
		}
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	l := &List{serial: known.Pos}
	for i, ev := range known.Entries {
		if ev.Hosts == nil {
			continue
		}
		if i == 0 || ev.Hosts.Whole {
			l.entries = nil
		}
		for j, h := range ev.Hosts.Hosts {
			state, ok := stateByHealth[h.Health]
			if !ok || h.Host == "" || h.Block == nil {
				return nil, fmt.Errorf("known: entry %d, host %d: no id, no block or unknown state %q", i, j, h.Health)
			}
			if _, _, err := net.SplitHostPort(h.Dial); err != nil {
				return nil, fmt.Errorf("known: entry %d, host %d: address: %w", i, j, err)
			}
			l.apply(Entry{h.Host, h.Dial, *h.Block, state, h.Born})
		}
	}
	return l, nil
}

func (l *List) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.entries, name, func(e Entry, n string) int { return strings.Compare(e.Name, n) })
}

// apply takes one entry over; true if that changes the list.
func (l *List) apply(e Entry) bool {
	i, there := l.find(e.Name)
	switch {
	case e.State == brain.OutOfService && there:
		l.entries = slices.Delete(l.entries, i, i+1)
	case e.State == brain.OutOfService || there && l.entries[i] == e:
		return false
	case there:
		l.entries[i] = e
	default:
		l.entries = slices.Insert(l.entries, i, e)
	}
	return true
}

// Entries are all that are listed, by name.
func (l *List) Entries() []Entry { return slices.Clone(l.entries) }

// NewQuery is the question under an id.
func NewQuery(id uint16) ([]byte, error) {
	m := new(dns.Msg)
	m.SetQuestion(Service, dns.TypeSRV)
	m.Id, m.RecursionDesired = id, false
	return m.Pack()
}

// ErrStale says that an answer is of before what the list holds.
var ErrStale = errors.New("an older list")

// ApplyAnswer folds an answer to the nth question in and returns what has changed, what is gone first.
// The question's id is the last 16 bits of n. An answer that is not whole, not to the question or
// older changes nothing; answers may come in another order than the questions went out.
func (l *List) ApplyAnswer(n uint64, packet []byte) ([]Entry, error) {
	id := uint16(n)
	var m dns.Msg
	if err := m.Unpack(packet); err != nil {
		return nil, fmt.Errorf("resolver's answer: %w", err)
	}
	switch {
	case m.Id != id || !m.Response:
		return nil, fmt.Errorf("resolver's answer: to question %d, not %d", m.Id, id)
	case m.Rcode != dns.RcodeSuccess:
		return nil, fmt.Errorf("resolver's answer: %s", dns.RcodeToString[m.Rcode])
	case m.Truncated:
		return nil, errors.New("resolver's answer: cut short")
	}
	serial, found := uint64(0), false
	for _, rr := range m.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			serial, found = uint64(soa.Serial), true
		}
	}
	if !found {
		return nil, errors.New("resolver's answer: no serial")
	}
	list, err := parseEntries(&m)
	if err != nil {
		return nil, fmt.Errorf("resolver's answer: %w", err)
	}
	if serial < l.serial {
		switch { // an answer that was overtaken says nothing against the list
		case n <= max(l.latestQuery, l.lastOlderQuery):
		case serial < l.lastOlderSerial:
			l.olderAnswers, l.lastOlderSerial, l.lastOlderQuery = 1, serial, n
		default:
			l.olderAnswers, l.lastOlderSerial, l.lastOlderQuery = l.olderAnswers+1, serial, n
		}
		if l.olderAnswers < maxOlderAnswers {
			return nil, fmt.Errorf("resolver's answer: %w: %d after %d", ErrStale, serial, l.serial)
		}
	}
	l.olderAnswers, l.lastOlderSerial, l.lastOlderQuery, l.latestQuery = 0, 0, 0, max(l.latestQuery, n)
	if serial == l.serial {
		return nil, nil
	}
	var changes []Entry
	for _, old := range l.Entries() {
		if !slices.ContainsFunc(list, func(e Entry) bool { return e.Name == old.Name }) {
			old.State = brain.OutOfService
			l.apply(old)
			changes = append(changes, old)
		}
	}
	for _, e := range list {
		if l.apply(e) {
			changes = append(changes, e)
		}
	}
	l.serial = serial
	return changes, nil
}

func parseEntries(m *dns.Msg) ([]Entry, error) {
	addr, text := map[string]string{}, map[string][]string{}
	for _, rr := range slices.Concat(m.Answer, m.Extra) {
		name := strings.ToLower(rr.Header().Name)
		switch rr := rr.(type) {
		case *dns.A:
			addr[name] = rr.A.String()
		case *dns.TXT:
			text[name] = rr.Txt
		}
	}
	var list []Entry
	for _, rr := range m.Answer {
		srv, ok := rr.(*dns.SRV)
		if !ok {
			continue
		}
		target := strings.ToLower(srv.Target)
		name, _, _ := strings.Cut(target, ".")
		a, txt := addr[target], text[target]
		if a == "" || txt == nil || name == "" {
			return nil, fmt.Errorf("%s lacks its address or text", target)
		}
		e := Entry{Name: name, Addr: net.JoinHostPort(a, strconv.Itoa(int(srv.Port)))}
		if srv.Priority != 0 {
			e.State = brain.Draining
		}
		cell, err := strconv.Atoi(txtValue(txt, "cell"))
		if err != nil {
			return nil, fmt.Errorf("%s: cell: %w", target, err)
		}
		if e.StartUnixMilli, err = strconv.ParseInt(txtValue(txt, "started"), 10, 64); err != nil {
			return nil, fmt.Errorf("%s: started: %w", target, err)
		}
		e.Number = cell
		list = append(list, e)
	}
	return list, nil
}

func txtValue(txt []string, key string) string {
	for _, t := range txt {
		if v, ok := strings.CutPrefix(t, key+"="); ok {
			return v
		}
	}
	return ""
}
