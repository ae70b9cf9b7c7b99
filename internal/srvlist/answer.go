package srvlist

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"dahliaspindle/routing"
)

// NewQuery returns a packed query for the exchange list with the given message ID.
func NewQuery(id uint16) ([]byte, error) {
	msg := new(dns.Msg)
	msg.SetQuestion(Service, dns.TypeSRV)
	msg.Id, msg.RecursionDesired = id, false
	return msg.Pack()
}

// answer is the list that an answer holds.
type answer struct {
	serial  uint64
	entries []Entry
}

// parseAnswer parses the answer to the query with the given message ID.
func parseAnswer(id uint16, packet []byte) (answer, error) {
	var msg dns.Msg
	if err := msg.Unpack(packet); err != nil {
		return answer{}, err
	}
	switch {
	case msg.Id != id || !msg.Response:
		return answer{}, fmt.Errorf("message id %d or type does not match query %d", msg.Id, id)
	case msg.Rcode != dns.RcodeSuccess:
		return answer{}, errors.New(dns.RcodeToString[msg.Rcode])
	case msg.Truncated:
		return answer{}, errors.New("truncated")
	}
	serial, found := uint64(0), false
	for _, rr := range msg.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			serial, found = uint64(soa.Serial), true
		}
	}
	if !found {
		return answer{}, errors.New("missing SOA record")
	}
	entries, err := parseEntries(&msg)
	return answer{serial, entries}, err
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
