// Package settings reads the XML files: what a controller starts with, and the
// scenarios that the demo plays. Reading is strict: what the schema
// (dahliaspindle.xsd) does not know is refused, and every fault is told with
// its line and element.
package settings

import (
	"cmp"
	_ "embed"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"time"
)

// Schema is the XSD of both kinds of file.
//
//go:embed dahliaspindle.xsd
var Schema string

// Controller is what one controller starts with.
type Controller struct {
	Self        int    `xml:"self,attr"`        // number of the own exchange
	Number      int    `xml:"number,attr"`      // of this controller, from 0
	Controllers int    `xml:"controllers,attr"` // how many there are
	Seed        uint64 `xml:"seed,attr"`
	Listen      string `xml:"listen,attr"` // host:port, or fd:N for a listener passed on by the parent
	ListAddress string `xml:"list,attr"`   // host:port of the exchange list

	Classes []Class `xml:"class"`
	Rules   Rules   `xml:"rules"`
	Limits  Limits  `xml:"limits,omitempty"`
	Peers   Peers   `xml:"peers,omitempty"`
	Log     Log     `xml:"log,omitempty"`
	Capture Capture `xml:"capture,omitempty"`
	Flows   Flows   `xml:"flows,omitempty"`
	Policy  string  `xml:"policy,attr,omitempty"` // brain, or a rule that it is held against
}

// Class is one class of calls.
type Class struct {
	Name        string        `xml:"name,attr"`
	Worth       float64       `xml:"worth,attr"`           // of a call that stands in time
	LateWorth   float64       `xml:"late-worth,attr"`      // share of it when it stands late
	SetUpTarget time.Duration `xml:"aim,attr"`             // wanted to stand within
	Patience    time.Duration `xml:"patience,attr"`        // of the caller, over all tries
	HoldingTime time.Duration `xml:"holding,attr"`         // mean holding time
	Circuits    int           `xml:"circuits,attr"`        // taken on each group
	Share       float64       `xml:"share,attr,omitempty"` // of all calls; scenarios only
}

// Rules are the figures of the network's rules.
type Rules struct {
	ReleaseTime        time.Duration `xml:"release,attr"`         // no resend within this after an unclear end
	DrainGrace         time.Duration `xml:"drain-grace,attr"`     // nothing new to a draining exchange after this
	AnswerSlack        time.Duration `xml:"answer-slack,attr"`    // a final answer may come so late
	ColdCapacity       float64       `xml:"cold-from,attr"`       // share of its capacity that a started processor has
	ColdDuration       time.Duration `xml:"cold-for,attr"`        // and until it has all
	OverloadFactor     float64       `xml:"overload-factor,attr"` // sent this multiple of what it can do ...
	OverloadDuration   time.Duration `xml:"overload-for,attr"`    // ... for so long, a cold one falls over
	MaxAttempts        int           `xml:"attempts,attr"`        // for one call, at the most
	ResendAfter        time.Duration `xml:"resend-after,attr,omitempty"`
	MaxBackoff         time.Duration `xml:"backoff-most,attr,omitempty"` // longest hint that callers honour; 0: none
	CallersMarkRetries bool          `xml:"marks-repeat,attr,omitempty"` // callers mark further tries
	RouteAdvice        bool          `xml:"advice,attr,omitempty"`       // calls carry a centre's advice
}

// Limits bound what a controller holds.
type Limits struct {
	Calls               int           `xml:"calls,attr,omitempty"`       // open and standing
	TransactionsPerPeer int           `xml:"per-peer,attr,omitempty"`    // open transactions of one connection
	Connections         int           `xml:"connections,attr,omitempty"` // of callers
	Exchanges           int           `xml:"exchanges,attr,omitempty"`
	Inbox               int           `xml:"inbox,attr,omitempty"`   // messages waiting for the core
	Outbox              int           `xml:"outbox,attr,omitempty"`  // messages waiting for one peer
	LineBytes           int           `xml:"line,attr,omitempty"`    // bytes
	MessageBytes        int           `xml:"block,attr,omitempty"`   // bytes of one message
	UnreadableMessages  int           `xml:"faults,attr,omitempty"`  // unreadable messages of one peer in a row
	ShutdownGrace       time.Duration `xml:"leave,attr,omitempty"`   // standing calls may go on so long when it ends
	MeasurementPeriod   time.Duration `xml:"measure,attr,omitempty"` // offered traffic is told of the last so long
}

// Peers are the figures of the kept links.
type Peers struct {
	ConnectWait        time.Duration `xml:"connect,attr,omitempty"`    // a set-up waits so long for a link
	DialTimeout        time.Duration `xml:"dial,attr,omitempty"`       // one try to connect
	WriteTimeout       time.Duration `xml:"write,attr,omitempty"`      // one write
	ProbeAfter         time.Duration `xml:"sign-after,attr,omitempty"` // silence after which a sign of life is asked for
	LostAfter          time.Duration `xml:"lost-after,attr,omitempty"` // and after which the peer is lost
	MinRetryDelay      time.Duration `xml:"retry-from,attr,omitempty"` // gap between tries to connect
	MaxRetryDelay      time.Duration `xml:"retry-most,attr,omitempty"`
	ReleaseRetryAfter  time.Duration `xml:"release,attr,omitempty"` // a release is asked for again after this
	MaxReleaseAttempts int           `xml:"releases,attr,omitempty"`
}

// Log says how and what is logged.
type Log struct {
	Format string `xml:"format,attr,omitempty"` // text or json
	Level  string `xml:"level,attr,omitempty"`  // debug, info, warn or error
}

// Capture says where to keep what passes over the connections.
type Capture struct {
	File string `xml:"file,attr,omitempty"`
}

// Flows says where flow records of calls and attempts go; without a collector
// there are none.
type Flows struct {
	Collectors      []Collector   `xml:"collector,omitempty"`
	Mode            string        `xml:"mode,attr,omitempty"`     // failover or copies
	KeyFile         string        `xml:"key-file,attr,omitempty"` // called numbers are hashed with its bytes; else with a key of this life
	InterimInterval time.Duration `xml:"interim,attr,omitempty"`  // a call that stands is told of so often; 0: never
	SummaryInterval time.Duration `xml:"interval,attr,omitempty"` // of sums and counts
	ConfirmAfter    time.Duration `xml:"confirm,attr,omitempty"`  // what was written is made sure of after this
	QueueCapacity   int           `xml:"queue,attr,omitempty"`    // records that wait in memory
	RingCapacity    int           `xml:"ring,attr,omitempty"`     // records between the call path and the exporter
	ReplayRate      float64       `xml:"replay,attr,omitempty"`   // records a second from the spool
	SpoolDirectory  string        `xml:"spool,attr,omitempty"`    // directory; none: records wait in memory only
	MaxSpoolBytes   int64         `xml:"spool-most,attr,omitempty"`
	MaxSpoolAge     time.Duration `xml:"spool-age,attr,omitempty"`
}

// Collector is one that takes flow records.
type Collector struct {
	Address    string `xml:"address,attr"`
	Transport  string `xml:"transport,attr,omitempty"` // tcp, tls or udp
	Protocol   string `xml:"protocol,attr,omitempty"`  // ipfix or netflow9, which goes over udp only
	MTU        int    `xml:"mtu,attr,omitempty"`       // bytes of a datagram
	CA         string `xml:"ca,attr,omitempty"`        // with tls: PEM files
	Cert       string `xml:"cert,attr,omitempty"`
	Key        string `xml:"key,attr,omitempty"`
	ServerName string `xml:"name,attr,omitempty"` // in the collector's certificate; else the address's host
}

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// SetDefaults fills in what a file leaves open.
func (c *Controller) SetDefaults() {
	def(&c.Limits.Calls, 200000)
	def(&c.Limits.TransactionsPerPeer, 10000)
	def(&c.Limits.Connections, 1000)
	def(&c.Limits.Exchanges, 4096)
	def(&c.Limits.Inbox, 16384)
	def(&c.Limits.Outbox, 16384)
	def(&c.Limits.LineBytes, 1024)
	def(&c.Limits.MessageBytes, 16<<10)
	def(&c.Limits.UnreadableMessages, 100)
	def(&c.Limits.ShutdownGrace, 2*time.Second)
	def(&c.Limits.MeasurementPeriod, 15*time.Minute)
	def(&c.Peers.ConnectWait, 300*time.Millisecond)
	def(&c.Peers.DialTimeout, time.Second)
	def(&c.Peers.WriteTimeout, 2*time.Second)
	def(&c.Peers.ProbeAfter, time.Second)
	def(&c.Peers.LostAfter, 3*time.Second)
	def(&c.Peers.MinRetryDelay, 50*time.Millisecond)
	def(&c.Peers.MaxRetryDelay, 2*time.Second)
	def(&c.Peers.ReleaseRetryAfter, time.Second)
	def(&c.Peers.MaxReleaseAttempts, 4)
	def(&c.Log.Format, "text")
	def(&c.Log.Level, "info")
	def(&c.Policy, "brain")
	def(&c.Flows.Mode, "failover")
	def(&c.Flows.MaxSpoolBytes, 256<<20)
	def(&c.Flows.MaxSpoolAge, 72*time.Hour)
	for i := range c.Flows.Collectors {
		f := &c.Flows.Collectors[i]
		def(&f.Transport, "tcp")
		def(&f.Protocol, "ipfix")
		def(&f.MTU, 1400)
	}
}

// Policies that decide: the module, and plain rules that it is held against.
var Policies = []string{"brain", "direct-only", "any-tandem"}

// ReadController reads a controller's file.
func ReadController(path string) (*Controller, error) {
	c := &Controller{}
	r, err := readFile(path, "controller", c)
	if err != nil {
		return nil, err
	}
	c.SetDefaults()
	r.check(c, c.Self >= 0, "@self", "is negative")
	r.check(c, c.Number >= 0 && c.Number < c.Controllers, "@number", "is not below controllers")
	r.check(c, c.Listen != "", "@listen", "is empty")
	r.check(c, c.ListAddress != "", "@list", "is empty")
	r.check(c, slices.Contains(Policies, c.Policy), "@policy", fmt.Sprintf("is none of %v", Policies))
	r.classes(c.Classes)
	r.rules(&c.Rules)
	for name, v := range map[string]int{"calls": c.Limits.Calls, "per-peer": c.Limits.TransactionsPerPeer, "connections": c.Limits.Connections,
		"exchanges": c.Limits.Exchanges, "inbox": c.Limits.Inbox, "outbox": c.Limits.Outbox, "line": c.Limits.LineBytes,
		"block": c.Limits.MessageBytes, "faults": c.Limits.UnreadableMessages} {
		r.check(&c.Limits, v > 0, "@"+name, "must be above 0")
	}
	r.check(&c.Limits, c.Limits.MeasurementPeriod > 0, "@measure", "must be above 0")
	r.check(&c.Limits, c.Limits.Inbox >= 16 && c.Limits.Outbox >= 16, "@inbox", "inbox and outbox hold 16 at the least")
	p := &c.Peers
	for name, d := range map[string]time.Duration{"connect": p.ConnectWait, "dial": p.DialTimeout, "write": p.WriteTimeout, "sign-after": p.ProbeAfter,
		"lost-after": p.LostAfter, "retry-from": p.MinRetryDelay, "retry-most": p.MaxRetryDelay, "release": p.ReleaseRetryAfter} {
		r.check(p, d > 0, "@"+name, "must be above 0")
	}
	r.check(p, p.LostAfter > p.ProbeAfter, "@lost-after", "must be above sign-after")
	r.check(p, p.MaxReleaseAttempts > 0, "@releases", "must be above 0")
	r.check(&c.Log, slices.Contains([]string{"text", "json"}, c.Log.Format), "@format", "is neither text nor json")
	r.check(&c.Log, slices.Contains([]string{"debug", "info", "warn", "error"}, c.Log.Level), "@level", "is none of debug, info, warn, error")
	r.flows(&c.Flows)
	return c, r.err()
}

func (r *reader) flows(f *Flows) {
	r.check(f, slices.Contains(FlowModes, f.Mode), "flows@mode", fmt.Sprintf("is none of %v", FlowModes))
	for name, v := range map[string]float64{"interim": float64(f.InterimInterval), "interval": float64(f.SummaryInterval), "confirm": float64(f.ConfirmAfter),
		"queue": float64(f.QueueCapacity), "ring": float64(f.RingCapacity), "replay": f.ReplayRate, "spool-most": float64(f.MaxSpoolBytes), "spool-age": float64(f.MaxSpoolAge)} {
		r.check(f, v >= 0, "flows@"+name, "is negative")
	}
	for i := range f.Collectors {
		c := &f.Collectors[i]
		at := "collector[" + c.Address + "]"
		r.check(c, c.Address != "", at+"@address", "is empty")
		r.check(c, slices.Contains(Transports, c.Transport), at+"@transport", fmt.Sprintf("is none of %v", Transports))
		r.check(c, slices.Contains(FlowProtocols, c.Protocol), at+"@protocol", fmt.Sprintf("is none of %v", FlowProtocols))
		r.check(c, c.Protocol != "netflow9" || c.Transport == "udp", at+"@protocol", "netflow9 goes over udp only")
		r.check(c, c.MTU >= 256 && c.MTU <= 65507, at+"@mtu", "must be from 256 to 65507")
		r.check(c, c.Transport != "tls" || c.CA != "" && c.Cert != "" && c.Key != "", at+"@transport", "tls needs ca, cert and key")
	}
}

// The words of the flows element.
var (
	FlowModes     = []string{"failover", "copies"}
	Transports    = []string{"tcp", "tls", "udp"}
	FlowProtocols = []string{"ipfix", "netflow9"}
)

func readFile(path, root string, v any) (*reader, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	defer f.Close()
	return read(path, f, root, v)
}

// read fills v; its error is only for a document that is none of ours.
func read(file string, in io.Reader, root string, v any) (*reader, error) {
	n, err := parse(file, in)
	if err != nil {
		return nil, err
	}
	if n.name != root {
		return nil, ValidationErrors{{file, n.line, n.name, fmt.Sprintf("the root element must be %s", root)}}
	}
	r := &reader{file: file, lines: map[any]int{}}
	r.fill(n, root, reflect.ValueOf(v).Elem())
	return r, nil
}

func (r *reader) check(at any, ok bool, path, what string) {
	if ok {
		return
	}
	if slices.ContainsFunc(r.faults, func(f ValidationError) bool { return f.Path == path }) {
		return
	}
	r.faults = append(r.faults, ValidationError{r.file, r.lines[at], path, what})
}

func (r *reader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(a, b ValidationError) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return cmp.Compare(a.Path, b.Path)
	})
	return r.faults
}

func (r *reader) classes(all []Class) {
	names := map[string]bool{}
	for i := range all {
		c := &all[i]
		at := "class[" + c.Name + "]"
		r.check(c, c.Name != "" && !names[c.Name], at+"@name", "is empty or stands twice")
		names[c.Name] = true
		r.check(c, c.Worth > 0, at+"@worth", "must be above 0")
		r.check(c, c.LateWorth >= 0 && c.LateWorth <= 1, at+"@late-worth", "must be from 0 to 1")
		r.check(c, c.SetUpTarget > 0, at+"@aim", "must be above 0")
		r.check(c, c.Patience >= c.SetUpTarget, at+"@patience", "is below the aim")
		r.check(c, c.HoldingTime > 0, at+"@holding", "must be above 0")
		r.check(c, c.Circuits > 0 && c.Circuits <= 1024, at+"@circuits", "must be from 1 to 1024")
		r.check(c, c.Share >= 0, at+"@share", "is negative")
	}
}

func (r *reader) rules(u *Rules) {
	for name, d := range map[string]time.Duration{"release": u.ReleaseTime, "drain-grace": u.DrainGrace, "cold-for": u.ColdDuration,
		"overload-for": u.OverloadDuration, "answer-slack": u.AnswerSlack, "resend-after": u.ResendAfter, "backoff-most": u.MaxBackoff} {
		r.check(u, d >= 0, "rules@"+name, "is negative")
	}
	r.check(u, u.ColdCapacity > 0 && u.ColdCapacity <= 1, "rules@cold-from", "must be above 0, 1 at the most")
	r.check(u, u.OverloadFactor >= 1, "rules@overload-factor", "must be 1 or more")
	r.check(u, u.MaxAttempts > 0, "rules@attempts", "must be above 0")
}
