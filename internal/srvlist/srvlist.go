// Package srvlist maintains the exchange list of the platform. The list starts with the exchanges in the
// configuration and is updated from the answers of the platform's resolver, each of which holds the whole
// list as DNS records (RFC 1035, SRV as in RFC 2782). Updates are returned as the entries that changed.
// The package has no socket and no clock.
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

	"dahliaspindle/routing"
)

// Service is the DNS name under which the exchanges are listed.
const Service = "_work._tcp.fleet.local."

// MaxAnswerBytes is the maximum size of an answer in bytes.
const MaxAnswerBytes = 8 << 10

// Entry is one exchange of the list.
type Entry struct {
	Name, Addr     string
	Number         int // stable number of the exchange
	State          routing.ExchangeState
	StartUnixMilli int64 // start of the exchange, 0 if it has run from the beginning
}

// List is the latest accepted exchange list.
type List struct {
	serial          uint64
	entries         []Entry // sorted by name, without removed exchanges
	latestQuery     uint64  // number of the latest query that was answered with this list
	olderAnswers    int     // consecutive answers to later queries with a serial below the list's; a serial below the previous one restarts the count
	lastOlderSerial uint64  // serial of the last such answer
	lastOlderQuery  uint64  // query of that answer
}

// olderAnswersToAccept is the number of consecutive answers with an older serial after which the last of
// them is accepted. Serials restart with each start of a controller, so an answer from before the
// restart that a cache still returns carries a high serial, which must not block later updates for good.
const olderAnswersToAccept = 4

// Serial returns the serial of the list: the number of the last event that it includes.
func (l *List) Serial() uint64 { return l.serial }

// stateByHealth maps the values of "health" in the configuration to states.
var stateByHealth = map[string]routing.ExchangeState{
	"active":  routing.InService,
	"leaving": routing.Draining,
	"left":    routing.OutOfService,
}

// ParseKnown returns the list that results from the events in a configuration. An error names the entry
// and host that it concerns.
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
	for i, event := range known.Entries {
		if event.Hosts == nil {
			continue
		}
		if i == 0 || event.Hosts.Whole {
			l.entries = nil
		}
		for j, host := range event.Hosts.Hosts {
			state, ok := stateByHealth[host.Health]
			if !ok || host.Host == "" || host.Block == nil {
				return nil, fmt.Errorf("known: entry %d, host %d: missing host or block, or unknown health %q", i, j, host.Health)
			}
			if _, _, err := net.SplitHostPort(host.Dial); err != nil {
				return nil, fmt.Errorf("known: entry %d, host %d: invalid dial address: %w", i, j, err)
			}
			l.apply(Entry{host.Host, host.Dial, *host.Block, state, host.Born})
		}
	}
	return l, nil
}

// find returns the index at which the entry with the given name is or would be inserted.
func (l *List) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.entries, name, func(entry Entry, target string) int {
		return strings.Compare(entry.Name, target)
	})
}

// apply inserts, replaces or, if its state is OutOfService, deletes one entry. It reports whether the
// list changed.
func (l *List) apply(entry Entry) bool {
	i, listed := l.find(entry.Name)
	switch {
	case entry.State == routing.OutOfService && listed:
		l.entries = slices.Delete(l.entries, i, i+1)
	case entry.State == routing.OutOfService || listed && l.entries[i] == entry:
		return false
	case listed:
		l.entries[i] = entry
	default:
		l.entries = slices.Insert(l.entries, i, entry)
	}
	return true
}

// Entries returns a copy of all entries, sorted by name.
func (l *List) Entries() []Entry { return slices.Clone(l.entries) }

// NewQuery returns a packed query for the exchange list with the given message ID.
func NewQuery(id uint16) ([]byte, error) {
	msg := new(dns.Msg)
	msg.SetQuestion(Service, dns.TypeSRV)
	msg.Id, msg.RecursionDesired = id, false
	return msg.Pack()
}

// ErrStale is wrapped by the error for an answer whose serial is older than the list's.
var ErrStale = errors.New("stale list")

// ApplyAnswer updates the list with an answer and returns the entries that changed: first the removed ones,
// with state OutOfService, then those that are new or different. The query is identified by its number,
// whose last 16 bits are its message ID. An answer that is malformed, incomplete, stale or to another
// query changes no entry. Answers may arrive in another order than the queries were sent.
func (l *List) ApplyAnswer(query uint64, packet []byte) ([]Entry, error) {
	id := uint16(query)
	var msg dns.Msg
	if err := msg.Unpack(packet); err != nil {
		return nil, fmt.Errorf("resolver answer: %w", err)
	}
	switch {
	case msg.Id != id || !msg.Response:
		return nil, fmt.Errorf("resolver answer: message id %d or type does not match query %d", msg.Id, id)
	case msg.Rcode != dns.RcodeSuccess:
		return nil, fmt.Errorf("resolver answer: %s", dns.RcodeToString[msg.Rcode])
	case msg.Truncated:
		return nil, errors.New("resolver answer: truncated")
	}
	serial, found := uint64(0), false
	for _, rr := range msg.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			serial, found = uint64(soa.Serial), true
		}
	}
	if !found {
		return nil, errors.New("resolver answer: missing SOA record")
	}
	listed, err := parseEntries(&msg)
	if err != nil {
		return nil, fmt.Errorf("resolver answer: %w", err)
	}
	if serial < l.serial {
		switch { // an answer that arrives after the answer to a later query is not counted
		case query <= max(l.latestQuery, l.lastOlderQuery):
		case serial < l.lastOlderSerial:
			l.olderAnswers, l.lastOlderSerial, l.lastOlderQuery = 1, serial, query
		default:
			l.olderAnswers, l.lastOlderSerial, l.lastOlderQuery = l.olderAnswers+1, serial, query
		}
		if l.olderAnswers < olderAnswersToAccept {
			return nil, fmt.Errorf("resolver answer: %w: serial %d, already at %d", ErrStale, serial, l.serial)
		}
	}
	l.olderAnswers, l.lastOlderSerial, l.lastOlderQuery, l.latestQuery = 0, 0, 0, max(l.latestQuery, query)
	if serial == l.serial {
		return nil, nil
	}
	var changes []Entry
	for _, previous := range l.Entries() {
		if !slices.ContainsFunc(listed, func(entry Entry) bool { return entry.Name == previous.Name }) {
			previous.State = routing.OutOfService
			l.apply(previous)
			changes = append(changes, previous)
		}
	}
	for _, entry := range listed {
		if l.apply(entry) {
			changes = append(changes, entry)
		}
	}
	l.serial = serial
	return changes, nil
}

// parseEntries returns the entries of an answer: one for each SRV record, with its A and TXT records.
func parseEntries(msg *dns.Msg) ([]Entry, error) {
	addrByTarget, textByTarget := map[string]string{}, map[string][]string{}
	for _, rr := range slices.Concat(msg.Answer, msg.Extra) {
		name := strings.ToLower(rr.Header().Name)
		switch rr := rr.(type) {
		case *dns.A:
			addrByTarget[name] = rr.A.String()
		case *dns.TXT:
			textByTarget[name] = rr.Txt
		}
	}
	var entries []Entry
	for _, rr := range msg.Answer {
		srv, ok := rr.(*dns.SRV)
		if !ok {
			continue
		}
		target := strings.ToLower(srv.Target)
		name, _, _ := strings.Cut(target, ".")
		ip, txt := addrByTarget[target], textByTarget[target]
		if ip == "" || txt == nil || name == "" {
			return nil, fmt.Errorf("%s: missing address or TXT record", target)
		}
		entry := Entry{Name: name, Addr: net.JoinHostPort(ip, strconv.Itoa(int(srv.Port)))}
		if srv.Priority != 0 {
			entry.State = routing.Draining
		}
		number, err := strconv.Atoi(txtValue(txt, "cell"))
		if err != nil {
			return nil, fmt.Errorf("%s: cell: %w", target, err)
		}
		if entry.StartUnixMilli, err = strconv.ParseInt(txtValue(txt, "started"), 10, 64); err != nil {
			return nil, fmt.Errorf("%s: started: %w", target, err)
		}
		entry.Number = number
		entries = append(entries, entry)
	}
	return entries, nil
}

// txtValue returns the value of a "key=value" string of a TXT record, or "" if there is none.
func txtValue(txt []string, key string) string {
	for _, pair := range txt {
		if value, ok := strings.CutPrefix(pair, key+"="); ok {
			return value
		}
	}
	return ""
}
