// Package settings reads and writes the XML files of the project: the settings of a
// controller and the scenarios of the demo. Reading is strict: elements and attributes
// that are not in the schema (dahliaspindle.xsd) are rejected, and every error is
// reported with its line and element.
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

// Schema is the XSD of settings and scenario files.
//
//go:embed dahliaspindle.xsd
var Schema string

// Controller holds the settings of one controller.
type Controller struct {
	Self        int    `xml:"self,attr"`        // number of the controller's own exchange
	Number      int    `xml:"number,attr"`      // number of this controller, from 0
	Controllers int    `xml:"controllers,attr"` // number of controllers
	Seed        uint64 `xml:"seed,attr"`
	Listen      string `xml:"listen,attr"` // host:port, or fd:N for a listener inherited from the parent process
	ListAddress string `xml:"list,attr"`   // host:port of the exchange list server

	Classes []Class `xml:"class"`
	Rules   Rules   `xml:"rules"`
	Limits  Limits  `xml:"limits,omitempty"`
	Peers   Peers   `xml:"peers,omitempty"`
	Log     Log     `xml:"log,omitempty"`
	Capture Capture `xml:"capture,omitempty"`
	Flows   Flows   `xml:"flows,omitempty"`
	Policy  string  `xml:"policy,attr,omitempty"` // one of Policies
}

// Class holds the settings of one class of calls.
type Class struct {
	Name        string        `xml:"name,attr"`
	Worth       float64       `xml:"worth,attr"`           // value of a call established within SetUpTarget
	LateWorth   float64       `xml:"late-worth,attr"`      // share of Worth that a call established later has
	SetUpTarget time.Duration `xml:"aim,attr"`             // target for the set-up time
	Patience    time.Duration `xml:"patience,attr"`        // time that a caller waits, over all attempts
	HoldingTime time.Duration `xml:"holding,attr"`         // mean holding time
	Circuits    int           `xml:"circuits,attr"`        // circuits that a call takes on each trunk group
	Share       float64       `xml:"share,attr,omitempty"` // share of all calls; scenarios only
}

// Rules holds the parameters of the network's rules.
type Rules struct {
	ReleaseTime        time.Duration `xml:"release,attr"`         // no new attempt within this time after an attempt that ended without a clear result
	DrainGrace         time.Duration `xml:"drain-grace,attr"`     // time after which a draining exchange gets no new calls
	AnswerSlack        time.Duration `xml:"answer-slack,attr"`    // delay allowed for a final answer
	ColdCapacity       float64       `xml:"cold-from,attr"`       // share of its capacity that a processor has at its start
	ColdDuration       time.Duration `xml:"cold-for,attr"`        // time until a processor has its full capacity
	OverloadFactor     float64       `xml:"overload-factor,attr"` // a cold processor fails when it is sent this multiple of its capacity
	OverloadDuration   time.Duration `xml:"overload-for,attr"`    // ... for this time
	MaxAttempts        int           `xml:"attempts,attr"`        // attempts for one call
	ResendAfter        time.Duration `xml:"resend-after,attr,omitempty"`
	MaxBackoff         time.Duration `xml:"backoff-most,attr,omitempty"` // longest retry hint that callers honour; 0: none
	CallersMarkRetries bool          `xml:"marks-repeat,attr,omitempty"` // callers mark repeated attempts
	RouteAdvice        bool          `xml:"advice,attr,omitempty"`       // calls carry route advice from a centre
}

// Limits holds the resource limits of a controller.
type Limits struct {
	Calls               int           `xml:"calls,attr,omitempty"`       // calls that are being set up or are established
	TransactionsPerPeer int           `xml:"per-peer,attr,omitempty"`    // pending transactions per connection
	Connections         int           `xml:"connections,attr,omitempty"` // connections of callers
	Exchanges           int           `xml:"exchanges,attr,omitempty"`
	Inbox               int           `xml:"inbox,attr,omitempty"`   // messages queued for the core
	Outbox              int           `xml:"outbox,attr,omitempty"`  // messages queued for one peer
	LineBytes           int           `xml:"line,attr,omitempty"`    // maximum length of a line
	MessageBytes        int           `xml:"block,attr,omitempty"`   // maximum length of a message
	UnreadableMessages  int           `xml:"faults,attr,omitempty"`  // consecutive unreadable messages allowed from one peer
	ShutdownGrace       time.Duration `xml:"leave,attr,omitempty"`   // time that established calls have to end at shutdown
	MeasurementPeriod   time.Duration `xml:"measure,attr,omitempty"` // period over which offered traffic is reported
}

// Peers holds the parameters of the connections to peers, which are kept open.
type Peers struct {
	ConnectWait        time.Duration `xml:"connect,attr,omitempty"`    // time that a set-up waits for a connection
	DialTimeout        time.Duration `xml:"dial,attr,omitempty"`       // limit for one connection attempt
	WriteTimeout       time.Duration `xml:"write,attr,omitempty"`      // limit for one write
	ProbeAfter         time.Duration `xml:"sign-after,attr,omitempty"` // silence after which a keep-alive is requested
	LostAfter          time.Duration `xml:"lost-after,attr,omitempty"` // silence after which the peer is considered lost
	MinRetryDelay      time.Duration `xml:"retry-from,attr,omitempty"` // minimum delay between connection attempts
	MaxRetryDelay      time.Duration `xml:"retry-most,attr,omitempty"` // maximum delay between connection attempts
	ReleaseRetryAfter  time.Duration `xml:"release,attr,omitempty"`    // time after which an unanswered release is repeated
	MaxReleaseAttempts int           `xml:"releases,attr,omitempty"`
}

// Log holds the format and the level of the log.
type Log struct {
	Format string `xml:"format,attr,omitempty"` // text or json
	Level  string `xml:"level,attr,omitempty"`  // debug, info, warn or error
}

// Capture holds the file in which the traffic of the connections is recorded.
type Capture struct {
	File string `xml:"file,attr,omitempty"`
}

// Flows holds the settings for the export of flow records of calls and attempts.
// Without a collector no records are made.
type Flows struct {
	Collectors      []Collector   `xml:"collector,omitempty"`
	Mode            string        `xml:"mode,attr,omitempty"`     // failover or copies
	KeyFile         string        `xml:"key-file,attr,omitempty"` // key for hashing called numbers; default: a new key at each start
	InterimInterval time.Duration `xml:"interim,attr,omitempty"`  // interval of the records of an established call; 0: none
	SummaryInterval time.Duration `xml:"interval,attr,omitempty"` // interval of sums and counts
	ConfirmAfter    time.Duration `xml:"confirm,attr,omitempty"`  // time after which the receipt of written records is confirmed
	QueueCapacity   int           `xml:"queue,attr,omitempty"`    // records queued in memory
	RingCapacity    int           `xml:"ring,attr,omitempty"`     // records buffered between call handling and the exporter
	ReplayRate      float64       `xml:"replay,attr,omitempty"`   // records per second sent from the spool
	SpoolDirectory  string        `xml:"spool,attr,omitempty"`    // directory; without one, records are queued in memory only
	MaxSpoolBytes   int64         `xml:"spool-most,attr,omitempty"`
	MaxSpoolAge     time.Duration `xml:"spool-age,attr,omitempty"`
}

// Collector holds the address and the transport of one collector of flow records.
type Collector struct {
	Address    string `xml:"address,attr"`
	Transport  string `xml:"transport,attr,omitempty"` // tcp, tls or udp
	Protocol   string `xml:"protocol,attr,omitempty"`  // ipfix or netflow9, which goes over udp only
	MTU        int    `xml:"mtu,attr,omitempty"`       // maximum size of a datagram, in bytes
	CA         string `xml:"ca,attr,omitempty"`        // PEM file; required with tls, as Cert and Key are
	Cert       string `xml:"cert,attr,omitempty"`
	Key        string `xml:"key,attr,omitempty"`
	ServerName string `xml:"name,attr,omitempty"` // name in the collector's certificate; default: the host of Address
}

// setDefault sets a value that is zero to its default.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// SetDefaults sets all optional settings that a file leaves out to their defaults.
func (c *Controller) SetDefaults() {
	setDefault(&c.Limits.Calls, 200000)
	setDefault(&c.Limits.TransactionsPerPeer, 10000)
	setDefault(&c.Limits.Connections, 1000)
	setDefault(&c.Limits.Exchanges, 4096)
	setDefault(&c.Limits.Inbox, 16384)
	setDefault(&c.Limits.Outbox, 16384)
	setDefault(&c.Limits.LineBytes, 1024)
	setDefault(&c.Limits.MessageBytes, 16<<10)
	setDefault(&c.Limits.UnreadableMessages, 100)
	setDefault(&c.Limits.ShutdownGrace, 2*time.Second)
	setDefault(&c.Limits.MeasurementPeriod, 15*time.Minute)
	setDefault(&c.Peers.ConnectWait, 300*time.Millisecond)
	setDefault(&c.Peers.DialTimeout, time.Second)
	setDefault(&c.Peers.WriteTimeout, 2*time.Second)
	setDefault(&c.Peers.ProbeAfter, time.Second)
	setDefault(&c.Peers.LostAfter, 3*time.Second)
	setDefault(&c.Peers.MinRetryDelay, 50*time.Millisecond)
	setDefault(&c.Peers.MaxRetryDelay, 2*time.Second)
	setDefault(&c.Peers.ReleaseRetryAfter, time.Second)
	setDefault(&c.Peers.MaxReleaseAttempts, 4)
	setDefault(&c.Log.Format, "text")
	setDefault(&c.Log.Level, "info")
	setDefault(&c.Policy, "brain")
	setDefault(&c.Flows.Mode, "failover")
	setDefault(&c.Flows.MaxSpoolBytes, 256<<20)
	setDefault(&c.Flows.MaxSpoolAge, 72*time.Hour)
	for i := range c.Flows.Collectors {
		collector := &c.Flows.Collectors[i]
		setDefault(&collector.Transport, "tcp")
		setDefault(&collector.Protocol, "ipfix")
		setDefault(&collector.MTU, 1400)
	}
}

// Policies lists the routing policies: the routing module (brain) and simple rules
// that it is compared with.
var Policies = []string{"brain", "direct-only", "any-tandem"}

// ReadController reads the settings of a controller from a file.
func ReadController(path string) (*Controller, error) {
	c := &Controller{}
	d, err := readFile(path, "controller", c)
	if err != nil {
		return nil, err
	}
	c.SetDefaults()
	d.require(c, c.Self >= 0, "@self", "is negative")
	d.require(c, c.Number >= 0 && c.Number < c.Controllers, "@number", "must be at least 0 and less than controllers")
	d.require(c, c.Listen != "", "@listen", "is empty")
	d.require(c, c.ListAddress != "", "@list", "is empty")
	d.require(c, slices.Contains(Policies, c.Policy), "@policy", fmt.Sprintf("must be one of %v", Policies))
	d.checkClasses(c.Classes)
	d.checkRules(&c.Rules)
	for name, v := range map[string]int{"calls": c.Limits.Calls, "per-peer": c.Limits.TransactionsPerPeer, "connections": c.Limits.Connections,
		"exchanges": c.Limits.Exchanges, "inbox": c.Limits.Inbox, "outbox": c.Limits.Outbox, "line": c.Limits.LineBytes,
		"block": c.Limits.MessageBytes, "faults": c.Limits.UnreadableMessages} {
		d.require(&c.Limits, v > 0, "@"+name, "must be greater than 0")
	}
	d.require(&c.Limits, c.Limits.MeasurementPeriod > 0, "@measure", "must be greater than 0")
	d.require(&c.Limits, c.Limits.Inbox >= 16 && c.Limits.Outbox >= 16, "@inbox", "inbox and outbox must be at least 16")
	peers := &c.Peers
	for name, duration := range map[string]time.Duration{"connect": peers.ConnectWait, "dial": peers.DialTimeout, "write": peers.WriteTimeout, "sign-after": peers.ProbeAfter,
		"lost-after": peers.LostAfter, "retry-from": peers.MinRetryDelay, "retry-most": peers.MaxRetryDelay, "release": peers.ReleaseRetryAfter} {
		d.require(peers, duration > 0, "@"+name, "must be greater than 0")
	}
	d.require(peers, peers.LostAfter > peers.ProbeAfter, "@lost-after", "must be greater than sign-after")
	d.require(peers, peers.MaxReleaseAttempts > 0, "@releases", "must be greater than 0")
	d.require(&c.Log, slices.Contains([]string{"text", "json"}, c.Log.Format), "@format", "must be text or json")
	d.require(&c.Log, slices.Contains([]string{"debug", "info", "warn", "error"}, c.Log.Level), "@level", "must be debug, info, warn or error")
	d.checkFlows(&c.Flows)
	return c, d.validationError()
}

// checkFlows checks the settings of the flow export.
func (d *decoder) checkFlows(f *Flows) {
	d.require(f, slices.Contains(FlowModes, f.Mode), "flows@mode", fmt.Sprintf("must be one of %v", FlowModes))
	for name, v := range map[string]float64{"interim": float64(f.InterimInterval), "interval": float64(f.SummaryInterval), "confirm": float64(f.ConfirmAfter),
		"queue": float64(f.QueueCapacity), "ring": float64(f.RingCapacity), "replay": f.ReplayRate, "spool-most": float64(f.MaxSpoolBytes), "spool-age": float64(f.MaxSpoolAge)} {
		d.require(f, v >= 0, "flows@"+name, "is negative")
	}
	for i := range f.Collectors {
		c := &f.Collectors[i]
		at := "collector[" + c.Address + "]"
		d.require(c, c.Address != "", at+"@address", "is empty")
		d.require(c, slices.Contains(Transports, c.Transport), at+"@transport", fmt.Sprintf("must be one of %v", Transports))
		d.require(c, slices.Contains(FlowProtocols, c.Protocol), at+"@protocol", fmt.Sprintf("must be one of %v", FlowProtocols))
		d.require(c, c.Protocol != "netflow9" || c.Transport == "udp", at+"@protocol", "netflow9 requires transport udp")
		d.require(c, c.MTU >= 256 && c.MTU <= 65507, at+"@mtu", "must be from 256 to 65507")
		d.require(c, c.Transport != "tls" || c.CA != "" && c.Cert != "" && c.Key != "", at+"@transport", "tls requires ca, cert and key")
	}
}

// The values of enumerated attributes of the flows element and its collectors.
var (
	FlowModes     = []string{"failover", "copies"}
	Transports    = []string{"tcp", "tls", "udp"}
	FlowProtocols = []string{"ipfix", "netflow9"}
)

// readFile reads a file with the given root element into the struct value.
func readFile(path, root string, value any) (*decoder, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	defer file.Close()
	return readDocument(path, file, root, value)
}

// readDocument reads a document into the struct value. It returns an error only if
// the document is not XML or has another root element; all other errors are collected
// in the decoder.
func readDocument(file string, in io.Reader, root string, value any) (*decoder, error) {
	elem, err := parseDocument(file, in)
	if err != nil {
		return nil, err
	}
	if elem.name != root {
		return nil, ValidationErrors{{file, elem.line, elem.name, fmt.Sprintf("the root element must be %s", root)}}
	}
	d := &decoder{file: file, lines: map[any]int{}}
	d.decodeElement(elem, root, reflect.ValueOf(value).Elem())
	return d, nil
}

// require records an error at the element of a struct unless ok is true. Only the
// first error at a path is kept.
func (d *decoder) require(at any, ok bool, path, reason string) {
	if ok {
		return
	}
	if slices.ContainsFunc(d.errors, func(e ValidationError) bool { return e.Path == path }) {
		return
	}
	d.errors = append(d.errors, ValidationError{d.file, d.lines[at], path, reason})
}

// validationError returns the collected errors in the order of their lines, or nil.
func (d *decoder) validationError() error {
	if len(d.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errors, func(a, b ValidationError) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return cmp.Compare(a.Path, b.Path)
	})
	return d.errors
}

// checkClasses checks the values of all classes of calls.
func (d *decoder) checkClasses(classes []Class) {
	names := map[string]bool{}
	for i := range classes {
		c := &classes[i]
		at := "class[" + c.Name + "]"
		d.require(c, c.Name != "" && !names[c.Name], at+"@name", "is empty or not unique")
		names[c.Name] = true
		d.require(c, c.Worth > 0, at+"@worth", "must be greater than 0")
		d.require(c, c.LateWorth >= 0 && c.LateWorth <= 1, at+"@late-worth", "must be from 0 to 1")
		d.require(c, c.SetUpTarget > 0, at+"@aim", "must be greater than 0")
		d.require(c, c.Patience >= c.SetUpTarget, at+"@patience", "must be at least the aim")
		d.require(c, c.HoldingTime > 0, at+"@holding", "must be greater than 0")
		d.require(c, c.Circuits > 0 && c.Circuits <= 1024, at+"@circuits", "must be from 1 to 1024")
		d.require(c, c.Share >= 0, at+"@share", "is negative")
	}
}

// checkRules checks the parameters of the network's rules.
func (d *decoder) checkRules(rules *Rules) {
	for name, duration := range map[string]time.Duration{"release": rules.ReleaseTime, "drain-grace": rules.DrainGrace, "cold-for": rules.ColdDuration,
		"overload-for": rules.OverloadDuration, "answer-slack": rules.AnswerSlack, "resend-after": rules.ResendAfter, "backoff-most": rules.MaxBackoff} {
		d.require(rules, duration >= 0, "rules@"+name, "is negative")
	}
	d.require(rules, rules.ColdCapacity > 0 && rules.ColdCapacity <= 1, "rules@cold-from", "must be greater than 0 and at most 1")
	d.require(rules, rules.OverloadFactor >= 1, "rules@overload-factor", "must be at least 1")
	d.require(rules, rules.MaxAttempts > 0, "rules@attempts", "must be greater than 0")
}
