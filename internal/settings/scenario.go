package settings

import (
	"encoding/xml"
	"fmt"
	"io"
	"reflect"
	"slices"
	"time"
)

// Scenario describes a run of the demo: the exchanges, their calls and the troubles
// that occur.
type Scenario struct {
	Name   string        `xml:"name,attr"`
	Seed   uint64        `xml:"seed,attr"`
	Length time.Duration `xml:"length,attr"` // time during which calls arrive

	Classes   []Class   `xml:"class"`
	Rules     Rules     `xml:"rules"`
	Fleet     Fleet     `xml:"fleet"`
	Processor Processor `xml:"processor"`
	Load      Load      `xml:"load"`
	Callers   Callers   `xml:"callers"`
	List      ListWord  `xml:"list"`
	Troubles  []Trouble `xml:"trouble,omitempty"`
}

// Fleet describes the exchanges and the trunk groups between them.
type Fleet struct {
	Exchanges         int           `xml:"exchanges,attr"`
	Regions           int           `xml:"regions,attr"`
	IntraRegionDelay  time.Duration `xml:"near,attr"`               // one-way delay within a region
	InterRegionDelay  time.Duration `xml:"far,attr"`                // one-way delay between regions
	ErlangPerExchange float64       `xml:"erlang,attr"`             // mean number of circuits that the calls of one exchange occupy at load 1
	PairVariation     float64       `xml:"spread,attr"`             // coefficient of variation of the traffic of pairs of exchanges
	ForecastError     float64       `xml:"missed,attr"`             // coefficient of variation of traffic relative to the plan
	SpareFactor       float64       `xml:"spare,attr"`              // circuits beyond the planned load, in multiples of its square root
	UnlinkedShare     float64       `xml:"unlinked,attr,omitempty"` // share of pairs without a trunk group; those with the least traffic
	DriftPeriod       time.Duration `xml:"drift,attr,omitempty"`    // interval at which the destinations of calls change; 0: never
}

// Processor describes the processor of each exchange. It serves one queue; the work of
// a message is the time that it occupies the processor.
type Processor struct {
	Utilization      float64       `xml:"use,attr"`              // utilization at load 1 if all calls are direct
	MaxQueueWait     time.Duration `xml:"queue,attr"`            // set-ups that would wait longer are rejected
	ExamineWork      float64       `xml:"look,attr"`             // work of examining a set-up, in set-ups; also for one that is refused
	RejectWork       float64       `xml:"reject,attr"`           // work of rejecting a set-up, in set-ups
	FollowUpWork     float64       `xml:"follow,attr"`           // work of an answer and of a release, in set-ups
	ResendWork       float64       `xml:"repeat,attr,omitempty"` // work of a set-up that is sent again, in set-ups
	ResendAfter      time.Duration `xml:"resend,attr,omitempty"` // time after which a waiting set-up is sent again; 0: never
	FinishFirst      bool          `xml:"finish-first,attr,omitempty"`
	ReportsWait      bool          `xml:"gives-wait,attr,omitempty"`
	ReportsReduction bool          `xml:"reduce,attr,omitempty"` // answers carry the share of set-ups to hold back
}

// Load describes the volume of calls.
type Load struct {
	Level float64 `xml:"level,attr"`           // calls relative to the plan; 1: as planned
	Swing float64 `xml:"swing,attr,omitempty"` // amplitude of the slow variation of the load, as a share
}

// Callers describes the behaviour of the subscribers.
type Callers struct {
	Connections     int           `xml:"connections,attr"` // connections from the subscribers to one controller
	MaxRedials      int           `xml:"redials,attr"`
	MeanRedialDelay time.Duration `xml:"redial-after,attr"`        // mean delay before a redial
	AttemptShare    float64       `xml:"try-share,attr"`           // share of the caller's patience after which an attempt is abandoned
	ImpatientShare  float64       `xml:"impatient,attr,omitempty"` // share of callers that leave earlier than their patience
	HonourShare     float64       `xml:"honour,attr,omitempty"`    // share of callers that honour a retry hint
}

// ListWord describes the notifications of the exchange list.
type ListWord struct {
	MeanDelay time.Duration `xml:"notice,attr"`           // mean delay of a notification
	AdviceAge time.Duration `xml:"advice,attr,omitempty"` // age of the route advice that calls carry; 0: no advice
}

// Trouble is one disturbance of the network during a scenario.
type Trouble struct {
	Kind     string        `xml:"kind,attr"`
	At       time.Duration `xml:"at,attr"`
	Duration time.Duration `xml:"for,attr,omitempty"`
	Size     float64       `xml:"size,attr,omitempty"` // a share or a factor, depending on the kind
}

// Controller returns the settings of the controller of an exchange.
func (s *Scenario) Controller(exchangeNumber int, listAddress string) *Controller {
	c := &Controller{Self: exchangeNumber, Number: exchangeNumber, Controllers: s.Fleet.Exchanges, Seed: s.Seed*1000 + uint64(exchangeNumber),
		ListAddress: listAddress, Classes: s.Classes, Rules: s.Rules, Log: Log{Format: "json"}}
	c.Rules.ResendAfter = s.Processor.ResendAfter
	return c
}

// troubleKind describes a kind of trouble and the meaning and range of its size.
type troubleKind struct {
	name, sizeMeaning string
	minSize, maxSize  float64
	hasDuration       bool // whether the trouble needs a duration
}

// troubleKinds lists the kinds of trouble. docs/operators/demo.md describes each.
var troubleKinds = []troubleKind{
	{"burst", "factor by which calls increase", 1, 10, true},
	{"flood", "share of all calls that goes to one controller", 0.01, 0.9, true},
	{"hot-number", "share of all calls that goes to one number", 0.01, 0.9, true},
	{"crash", "share of the processors that crash and restart cold", 0.01, 0.9, true},
	{"hang", "share of the processors that accept set-ups and answer none", 0.01, 0.9, true},
	{"pauses", "share of the processors that pause repeatedly", 0.01, 1, true},
	{"slow", "factor by which half of the processors are slower", 1, 10, true},
	{"ageing", "factor by which processors gradually become slower", 1, 10, true},
	{"answers-lost", "share of set-ups that receive no answer", 0.01, 0.9, true},
	{"answers-reset", "share of set-ups that are cut before the answer", 0.01, 0.9, true},
	{"circuits-lost", "share of the circuits between regions that are lost", 0.01, 1, true},
	{"cut-again", "share of the established calls that are cut and placed again", 0.01, 1, false},
	{"deploy", "share of the exchanges that are replaced, one after the other", 0.01, 1, true},
	{"controllers-restart", "share of the controllers that are killed and started again", 0.01, 1, false},
	{"links-reset", "share of the connections that are reset", 0.01, 1, false},
	{"half-open", "share of the exchanges whose connections become unresponsive", 0.01, 0.9, true},
	{"stalled-reader", "share of the exchanges that stop reading", 0.01, 0.9, true},
	{"fragments", "share of the exchanges that send in small fragments", 0.01, 1, true},
	{"garbage", "unreadable messages per second to each controller", 1, 1000, true},
	{"list-away", "", 0, 1, true},
}

// checkTrouble checks one trouble of a scenario of the given length.
func (d *decoder) checkTrouble(trouble *Trouble, length time.Duration) {
	i := slices.IndexFunc(troubleKinds, func(k troubleKind) bool { return k.name == trouble.Kind })
	if i < 0 {
		d.require(trouble, false, "trouble["+trouble.Kind+"]@kind", "is not a known kind of trouble")
		return
	}
	kind, at := troubleKinds[i], fmt.Sprintf("trouble[%s at %v]", trouble.Kind, trouble.At)
	d.require(trouble, trouble.At >= 0 && trouble.At < length, at+"@at", "is not within the scenario's length")
	d.require(trouble, trouble.Duration >= 0, at+"@for", "is negative")
	d.require(trouble, !kind.hasDuration || trouble.Duration > 0, at+"@for", "must be greater than 0")
	d.require(trouble, kind.sizeMeaning == "" || trouble.Size >= kind.minSize && trouble.Size <= kind.maxSize, at+"@size",
		fmt.Sprintf("(%s) must be from %g to %g", kind.sizeMeaning, kind.minSize, kind.maxSize))
}

// ReadScenario reads a scenario from a file.
func ReadScenario(path string) (*Scenario, error) {
	s := &Scenario{}
	d, err := readFile(path, "scenario", s)
	if err != nil {
		return nil, err
	}
	return s, d.checkScenario(s)
}

// ParseScenario reads a scenario from a stream. Errors contain the given name of the
// stream.
func ParseScenario(name string, in io.Reader) (*Scenario, error) {
	s := &Scenario{}
	d, err := readDocument(name, in, "scenario", s)
	if err != nil {
		return nil, err
	}
	return s, d.checkScenario(s)
}

// checkScenario checks the values of a scenario and returns the collected errors.
func (d *decoder) checkScenario(s *Scenario) error {
	d.require(s, s.Length >= time.Second && s.Length <= time.Hour, "@length", "must be from 1s to 1h")
	d.checkClasses(s.Classes)
	d.checkRules(&s.Rules)
	share := 0.0
	for _, c := range s.Classes {
		share += c.Share
	}
	d.require(s, share > 0, "class@share", "no class has a share of the calls")
	fleet := &s.Fleet
	d.require(fleet, fleet.Exchanges >= 3 && fleet.Exchanges <= 1000, "fleet@exchanges", "must be from 3 to 1000")
	d.require(fleet, fleet.Regions >= 1 && fleet.Regions <= fleet.Exchanges, "fleet@regions", "must be from 1 to the number of exchanges")
	d.require(fleet, fleet.IntraRegionDelay >= 0 && fleet.InterRegionDelay >= 0, "fleet@near", "delays must not be negative")
	d.require(fleet, fleet.ErlangPerExchange > 0 && fleet.ErlangPerExchange <= 10000, "fleet@erlang", "must be greater than 0 and at most 10000")
	for name, v := range map[string]float64{"spread": fleet.PairVariation, "missed": fleet.ForecastError, "spare": fleet.SpareFactor} {
		d.require(fleet, v >= 0 && v <= 10, "fleet@"+name, "must be from 0 to 10")
	}
	d.require(fleet, fleet.UnlinkedShare >= 0 && fleet.UnlinkedShare <= 0.6, "fleet@unlinked", "must be from 0 to 0.6")
	d.require(fleet, fleet.DriftPeriod >= 0, "fleet@drift", "is negative")
	processor := &s.Processor
	d.require(processor, processor.Utilization > 0 && processor.Utilization < 2, "processor@use", "must be greater than 0 and less than 2")
	d.require(processor, processor.MaxQueueWait > 0, "processor@queue", "must be greater than 0")
	for name, v := range map[string]float64{"look": processor.ExamineWork, "reject": processor.RejectWork, "follow": processor.FollowUpWork, "repeat": processor.ResendWork} {
		d.require(processor, v >= 0 && v <= 10, "processor@"+name, "must be from 0 to 10")
	}
	d.require(processor, processor.ResendAfter >= 0, "processor@resend", "is negative")
	d.require(&s.Load, s.Load.Level > 0 && s.Load.Level <= 10, "load@level", "must be greater than 0 and at most 10")
	d.require(&s.Load, s.Load.Swing >= 0 && s.Load.Swing < 1, "load@swing", "must be at least 0 and less than 1")
	callers := &s.Callers
	d.require(callers, callers.Connections > 0 && callers.Connections <= 100, "callers@connections", "must be from 1 to 100")
	d.require(callers, callers.MaxRedials >= 0 && callers.MaxRedials <= 20, "callers@redials", "must be from 0 to 20")
	d.require(callers, callers.MeanRedialDelay > 0, "callers@redial-after", "must be greater than 0")
	d.require(callers, callers.AttemptShare > 0 && callers.AttemptShare <= 1, "callers@try-share", "must be greater than 0 and at most 1")
	d.require(callers, callers.ImpatientShare >= 0 && callers.ImpatientShare <= 1, "callers@impatient", "must be from 0 to 1")
	d.require(callers, callers.HonourShare >= 0 && callers.HonourShare <= 1, "callers@honour", "must be from 0 to 1")
	d.require(&s.List, s.List.MeanDelay >= 0 && s.List.AdviceAge >= 0, "list@notice", "is negative")
	for i := range s.Troubles {
		d.checkTrouble(&s.Troubles[i], s.Length)
	}
	return d.validationError()
}

// Check reads a settings or scenario file and returns all errors in it.
func Check(path string) error {
	root, err := rootElementName(path)
	if err != nil {
		return err
	}
	if root == "scenario" {
		_, err = ReadScenario(path)
	} else {
		_, err = ReadController(path)
	}
	return err
}

// Write writes settings as an XML document from which the same settings are read.
func Write(w io.Writer, root string, settings any) error {
	if _, err := io.WriteString(w, xml.Header); err != nil {
		return fmt.Errorf("writing settings: %w", err)
	}
	encoder := xml.NewEncoder(w)
	encoder.Indent("", "  ")
	if err := writeElement(encoder, root, reflect.ValueOf(settings).Elem()); err != nil {
		return fmt.Errorf("writing settings: %w", err)
	}
	if err := encoder.Close(); err != nil {
		return fmt.Errorf("writing settings: %w", err)
	}
	return nil
}

// writeElement writes a struct value as an element. Optional fields that are zero are
// left out.
func writeElement(encoder *xml.Encoder, name string, value reflect.Value) error {
	start := xml.StartElement{Name: xml.Name{Local: name}}
	t := value.Type()
	for i := range t.NumField() {
		name, isAttr, optional := parseTag(t.Field(i))
		if field := value.Field(i); isAttr && !(optional && field.IsZero()) {
			start.Attr = append(start.Attr, xml.Attr{Name: xml.Name{Local: name}, Value: fmt.Sprint(field.Interface())})
		}
	}
	if err := encoder.EncodeToken(start); err != nil {
		return err
	}
	for i := range t.NumField() {
		name, isAttr, optional := parseTag(t.Field(i))
		field := value.Field(i)
		if isAttr || name == "" || optional && field.IsZero() {
			continue
		}
		if field.Kind() != reflect.Slice {
			if err := writeElement(encoder, name, field); err != nil {
				return err
			}
			continue
		}
		for j := range field.Len() {
			if err := writeElement(encoder, name, field.Index(j)); err != nil {
				return err
			}
		}
	}
	return encoder.EncodeToken(start.End())
}
