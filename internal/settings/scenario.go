package settings

import (
	"encoding/xml"
	"fmt"
	"io"
	"reflect"
	"slices"
	"time"
)

// Scenario is a day for the demo: a fleet, its calls and its troubles.
type Scenario struct {
	Name   string        `xml:"name,attr"`
	Seed   uint64        `xml:"seed,attr"`
	Length time.Duration `xml:"length,attr"` // of the time in which calls come

	Classes   []Class   `xml:"class"`
	Rules     Rules     `xml:"rules"`
	Fleet     Fleet     `xml:"fleet"`
	Processor Processor `xml:"processor"`
	Load      Load      `xml:"load"`
	Callers   Callers   `xml:"callers"`
	List      ListWord  `xml:"list"`
	Troubles  []Trouble `xml:"trouble,omitempty"`
}

// Fleet is the exchanges and their groups.
type Fleet struct {
	Exchanges         int           `xml:"exchanges,attr"`
	Regions           int           `xml:"regions,attr"`
	IntraRegionDelay  time.Duration `xml:"near,attr"`               // one way within a region
	InterRegionDelay  time.Duration `xml:"far,attr"`                // one way between regions
	ErlangPerExchange float64       `xml:"erlang,attr"`             // circuits that one exchange's calls keep busy at load 1
	PairVariation     float64       `xml:"spread,attr"`             // how much pairs differ, as a coefficient of variation
	ForecastError     float64       `xml:"missed,attr"`             // how much traffic differs from the plan, the same
	SpareFactor       float64       `xml:"spare,attr"`              // circuits beyond the planned load, in square roots of it
	UnlinkedShare     float64       `xml:"unlinked,attr,omitempty"` // share of the pairs without a group, the thinnest
	DriftPeriod       time.Duration `xml:"drift,attr,omitempty"`    // where calls go moves so often; 0: never
}

// Processor is each exchange's processor: one line, work is time on it.
type Processor struct {
	Utilization      float64       `xml:"use,attr"`              // busy at load 1, all calls direct
	MaxQueueWait     time.Duration `xml:"queue,attr"`            // longer waits turn set-ups away
	ExamineWork      float64       `xml:"look,attr"`             // work in set-ups, also for one refused
	RejectWork       float64       `xml:"reject,attr"`           // of turning a set-up away
	FollowUpWork     float64       `xml:"follow,attr"`           // of an answer, and of a release
	ResendWork       float64       `xml:"repeat,attr,omitempty"` // of a set-up sent again
	ResendAfter      time.Duration `xml:"resend,attr,omitempty"` // a waiting set-up is sent again after this; 0: never
	FinishFirst      bool          `xml:"finish-first,attr,omitempty"`
	ReportsWait      bool          `xml:"gives-wait,attr,omitempty"`
	ReportsReduction bool          `xml:"reduce,attr,omitempty"` // answers carry a hold-back share
}

// Load is how many calls come.
type Load struct {
	Level float64 `xml:"level,attr"`           // 1: as planned
	Swing float64 `xml:"swing,attr,omitempty"` // slow waves up and down by this share
}

// Callers are the subscribers.
type Callers struct {
	Connections     int           `xml:"connections,attr"` // from the subscribers to one controller
	MaxRedials      int           `xml:"redials,attr"`
	MeanRedialDelay time.Duration `xml:"redial-after,attr"`        // mean
	AttemptShare    float64       `xml:"try-share,attr"`           // a try is given up after this share of the patience
	ImpatientShare  float64       `xml:"impatient,attr,omitempty"` // share that leave at some earlier moment
	HonourShare     float64       `xml:"honour,attr,omitempty"`    // share that heed a hint when to come back
}

// ListWord is how the exchange list tells of changes.
type ListWord struct {
	MeanDelay time.Duration `xml:"notice,attr"`           // late by so much, on average
	AdviceAge time.Duration `xml:"advice,attr,omitempty"` // age of the centre's advice in calls; 0: none
}

// Trouble is one that befalls the fleet.
type Trouble struct {
	Kind     string        `xml:"kind,attr"`
	At       time.Duration `xml:"at,attr"`
	Duration time.Duration `xml:"for,attr,omitempty"`
	Size     float64       `xml:"size,attr,omitempty"` // a share or a factor, by kind
}

// Controller is the settings of one of its controllers.
func (s *Scenario) Controller(cell int, list string) *Controller {
	c := &Controller{Self: cell, Number: cell, Controllers: s.Fleet.Exchanges, Seed: s.Seed*1000 + uint64(cell),
		ListAddress: list, Classes: s.Classes, Rules: s.Rules, Log: Log{Format: "json"}}
	c.Rules.ResendAfter = s.Processor.ResendAfter
	return c
}

// Kind of trouble and what its size means.
type kind struct {
	name, size  string
	least, most float64
	long        bool // lasts
}

// Kinds lists the troubles. docs/operators/demo.md tells of each.
var kinds = []kind{
	{"burst", "calls become so many times the usual", 1, 10, true},
	{"flood", "share of all calls that goes to one controller", 0.01, 0.9, true},
	{"hot-number", "share of all calls that goes to one number", 0.01, 0.9, true},
	{"crash", "share of the processors that die and come back cold", 0.01, 0.9, true},
	{"hang", "share of the processors that take set-ups and answer none", 0.01, 0.9, true},
	{"pauses", "share of the processors that stand still again and again", 0.01, 1, true},
	{"slow", "times that half of the processors are slower", 1, 10, true},
	{"ageing", "times that processors become slower, bit by bit", 1, 10, true},
	{"answers-lost", "share of set-ups that get no answer", 0.01, 0.9, true},
	{"answers-reset", "share of set-ups that are cut before the answer", 0.01, 0.9, true},
	{"circuits-lost", "share of the circuits between regions that is lost", 0.01, 1, true},
	{"cut-again", "share of the standing calls that is cut and comes again", 0.01, 1, false},
	{"deploy", "share of the exchanges that are replaced, one after the other", 0.01, 1, true},
	{"controllers-restart", "share of the controllers that are killed and started again", 0.01, 1, false},
	{"links-reset", "share of the connections that are reset", 0.01, 1, false},
	{"half-open", "share of the exchanges whose connections go silent", 0.01, 0.9, true},
	{"stalled-reader", "share of the exchanges that stop reading", 0.01, 0.9, true},
	{"fragments", "share of the exchanges that send in small pieces", 0.01, 1, true},
	{"garbage", "unreadable messages a second to each controller", 1, 1000, true},
	{"list-away", "", 0, 1, true},
}

func (r *reader) trouble(t *Trouble, length time.Duration) {
	i := slices.IndexFunc(kinds, func(k kind) bool { return k.name == t.Kind })
	if i < 0 {
		r.check(t, false, "trouble["+t.Kind+"]@kind", "is not a kind of trouble")
		return
	}
	k, at := kinds[i], fmt.Sprintf("trouble[%s at %v]", t.Kind, t.At)
	r.check(t, t.At >= 0 && t.At < length, at+"@at", "is not within the day")
	r.check(t, t.Duration >= 0, at+"@for", "is negative")
	r.check(t, !k.long || t.Duration > 0, at+"@for", "must be above 0")
	r.check(t, k.size == "" || t.Size >= k.least && t.Size <= k.most, at+"@size",
		fmt.Sprintf("(%s) must be from %g to %g", k.size, k.least, k.most))
}

// ReadScenario reads a scenario's file.
func ReadScenario(path string) (*Scenario, error) {
	s := &Scenario{}
	r, err := readFile(path, "scenario", s)
	if err != nil {
		return nil, err
	}
	return s, r.scenario(s)
}

// ParseScenario reads a scenario from a stream.
func ParseScenario(name string, in io.Reader) (*Scenario, error) {
	s := &Scenario{}
	r, err := read(name, in, "scenario", s)
	if err != nil {
		return nil, err
	}
	return s, r.scenario(s)
}

func (r *reader) scenario(s *Scenario) error {
	r.check(s, s.Length >= time.Second && s.Length <= time.Hour, "@length", "must be from 1s to 1h")
	r.classes(s.Classes)
	r.rules(&s.Rules)
	share := 0.0
	for _, c := range s.Classes {
		share += c.Share
	}
	r.check(s, share > 0, "class@share", "no class has a share of the calls")
	f := &s.Fleet
	r.check(f, f.Exchanges >= 3 && f.Exchanges <= 1000, "fleet@exchanges", "must be from 3 to 1000")
	r.check(f, f.Regions >= 1 && f.Regions <= f.Exchanges, "fleet@regions", "must be from 1 to the exchanges")
	r.check(f, f.IntraRegionDelay >= 0 && f.InterRegionDelay >= 0, "fleet@near", "delays can't be negative")
	r.check(f, f.ErlangPerExchange > 0 && f.ErlangPerExchange <= 10000, "fleet@erlang", "must be above 0, 10000 at the most")
	for name, v := range map[string]float64{"spread": f.PairVariation, "missed": f.ForecastError, "spare": f.SpareFactor} {
		r.check(f, v >= 0 && v <= 10, "fleet@"+name, "must be from 0 to 10")
	}
	r.check(f, f.UnlinkedShare >= 0 && f.UnlinkedShare <= 0.6, "fleet@unlinked", "must be from 0 to 0.6")
	r.check(f, f.DriftPeriod >= 0, "fleet@drift", "is negative")
	p := &s.Processor
	r.check(p, p.Utilization > 0 && p.Utilization < 2, "processor@use", "must be above 0 and below 2")
	r.check(p, p.MaxQueueWait > 0, "processor@queue", "must be above 0")
	for name, v := range map[string]float64{"look": p.ExamineWork, "reject": p.RejectWork, "follow": p.FollowUpWork, "repeat": p.ResendWork} {
		r.check(p, v >= 0 && v <= 10, "processor@"+name, "must be from 0 to 10")
	}
	r.check(p, p.ResendAfter >= 0, "processor@resend", "is negative")
	r.check(&s.Load, s.Load.Level > 0 && s.Load.Level <= 10, "load@level", "must be above 0, 10 at the most")
	r.check(&s.Load, s.Load.Swing >= 0 && s.Load.Swing < 1, "load@swing", "must be from 0, below 1")
	c := &s.Callers
	r.check(c, c.Connections > 0 && c.Connections <= 100, "callers@connections", "must be from 1 to 100")
	r.check(c, c.MaxRedials >= 0 && c.MaxRedials <= 20, "callers@redials", "must be from 0 to 20")
	r.check(c, c.MeanRedialDelay > 0, "callers@redial-after", "must be above 0")
	r.check(c, c.AttemptShare > 0 && c.AttemptShare <= 1, "callers@try-share", "must be above 0, 1 at the most")
	r.check(c, c.ImpatientShare >= 0 && c.ImpatientShare <= 1, "callers@impatient", "must be from 0 to 1")
	r.check(c, c.HonourShare >= 0 && c.HonourShare <= 1, "callers@honour", "must be from 0 to 1")
	r.check(&s.List, s.List.MeanDelay >= 0 && s.List.AdviceAge >= 0, "list@notice", "is negative")
	for i := range s.Troubles {
		r.trouble(&s.Troubles[i], s.Length)
	}
	return r.err()
}

// Check reads a file of either kind and returns all that is wrong with it.
func Check(path string) error {
	n, err := rootOf(path)
	if err != nil {
		return err
	}
	if n == "scenario" {
		_, err = ReadScenario(path)
	} else {
		_, err = ReadController(path)
	}
	return err
}

// Write writes settings as a file that reads back the same.
func Write(w io.Writer, root string, v any) error {
	if _, err := io.WriteString(w, xml.Header); err != nil {
		return fmt.Errorf("writing settings: %w", err)
	}
	e := xml.NewEncoder(w)
	e.Indent("", "  ")
	if err := writeElement(e, root, reflect.ValueOf(v).Elem()); err != nil {
		return fmt.Errorf("writing settings: %w", err)
	}
	if err := e.Close(); err != nil {
		return fmt.Errorf("writing settings: %w", err)
	}
	return nil
}

func writeElement(e *xml.Encoder, name string, v reflect.Value) error {
	start := xml.StartElement{Name: xml.Name{Local: name}}
	t := v.Type()
	for i := range t.NumField() {
		name, isAttr, optional := tag(t.Field(i))
		if f := v.Field(i); isAttr && !(optional && f.IsZero()) {
			start.Attr = append(start.Attr, xml.Attr{Name: xml.Name{Local: name}, Value: fmt.Sprint(f.Interface())})
		}
	}
	if err := e.EncodeToken(start); err != nil {
		return err
	}
	for i := range t.NumField() {
		name, isAttr, optional := tag(t.Field(i))
		f := v.Field(i)
		if isAttr || name == "" || optional && f.IsZero() {
			continue
		}
		if f.Kind() != reflect.Slice {
			if err := writeElement(e, name, f); err != nil {
				return err
			}
			continue
		}
		for j := range f.Len() {
			if err := writeElement(e, name, f.Index(j)); err != nil {
				return err
			}
		}
	}
	return e.EncodeToken(start.End())
}
