// Package audit judges a capture by the five rules. It knows the commands and
// the rules, and nothing of the controller or the module.
package audit

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/signal"
)

// Titles of the rules, by number; the first is not used.
var Titles = [6]string{"", "one final answer, in time", "never two attempts out", "nothing new past the drain grace",
	"no cold exchange pushed over", "no resend within the release time"}

// Breach is one broken rule.
type Breach struct {
	Rule  int           `json:"rule"`
	At    time.Duration `json:"at"` // since the capture's first record
	Owner string        `json:"owner"`
	Call  string        `json:"call,omitempty"`
	What  string        `json:"what"`
}

func (b Breach) String() string {
	call := ""
	if b.Call != "" {
		call = " call " + b.Call
	}
	return fmt.Sprintf("rule %d at %.3fs by %s%s: %s", b.Rule, b.At.Seconds(), b.Owner, call, b.What)
}

// Rule is what was found of one.
type Rule struct {
	Rule   int    `json:"rule"`
	Title  string `json:"title"`
	Cases  int    `json:"cases"` // examined
	Broken int    `json:"broken"`
}

// Calls counts what controllers took and answered.
type Calls struct {
	Taken    int `json:"taken"`
	NotTaken int `json:"not_taken"` // of these answered, but refused before they were taken
	Answered int `json:"answered"`
	Left     int `json:"left"`   // their callers left first, or their connection broke
	Killed   int `json:"killed"` // their controller was killed
}

// Owner is what one controller took.
type Owner struct {
	Owner  string `json:"owner"`
	Taken  int    `json:"taken"` // without those that it said it did not take
	Killed bool   `json:"killed,omitempty"`
}

// Report is the judgement of a capture.
type Report struct {
	Rules    []Rule   `json:"rules"` // the five, in order
	Calls    Calls    `json:"calls"`
	Owners   []Owner  `json:"owners"`
	Messages int      `json:"messages"`
	Breaches []Breach `json:"breaches,omitempty"` // the first hundred
	Notes    []string `json:"notes,omitempty"`    // what could not be read or seen
	all      int
}

// OK tells whether no rule was broken.
func (r *Report) OK() bool { return r.all == 0 }

// mostBreaches is how many are kept word for word.
const mostBreaches = 100

type record struct {
	capture.Record
	file int
	msg  *signal.Message
	ends capture.Endpoint
	key  connKey
}

type connKey struct {
	file int
	conn uint64
}

// Path judges the capture at a path: a directory of files, or one file.
func Path(path string) (*Report, error) {
	files, err := capture.Files(path)
	if err != nil {
		return nil, err
	}
	recs, notes, err := load(files)
	if err != nil {
		return nil, err
	}
	r := Judge(recs)
	r.Notes = append(notes, r.Notes...)
	return r, nil
}

// Records are the records of a capture, by time.
type Records []record

// load reads files; a torn end is a note, as after a kill.
func load(files []string) (Records, []string, error) {
	var all Records
	var notes []string
	for i, f := range files {
		add := Collect(&all, i)
		if err := capture.ReadFile(f, add); errors.Is(err, capture.ErrTruncated) {
			notes = append(notes, err.Error())
		} else if err != nil {
			return nil, nil, err
		}
	}
	all.sort()
	return all, notes, nil
}

func (rs Records) sort() {
	slices.SortStableFunc(rs, func(a, b record) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
}

// Collect returns what takes the records of one file, in their order.
func Collect(all *Records, file int) func(capture.Record) {
	conns := map[uint64]capture.Endpoint{}
	who := ""
	return func(r capture.Record) {
		if r.Kind == capture.Header {
			who = r.Name
		}
		rec := record{Record: r, file: file, key: connKey{file, r.Conn}}
		switch r.Kind {
		case capture.Opened:
			var e capture.Endpoint
			if json.Unmarshal(r.Text, &e) == nil {
				conns[r.Conn] = e
			}
		case capture.Sent, capture.Received:
			m, err := signal.NewReader(strings.NewReader(string(r.Text)), signal.Limits{MaxLineBytes: 1 << 16, MaxMessageBytes: 1 << 20, MaxDescriptors: 1 << 16}).Read()
			if err == nil {
				rec.msg = m
			}
		}
		if rec.ends = conns[r.Conn]; r.Conn == 0 {
			rec.ends.Owner = who
		}
		*all = append(*all, rec)
	}
}

// call is one Add of a caller's connection.
type call struct {
	owner    *owner
	name     string
	conn     connKey
	at, due  int64
	answered int64
	left     bool
	leftAt   int64
	out      map[attempt]string // attempts that are out, by link and transaction; their number
	blocked  int64              // no send before
	why      string
}

type attempt struct {
	conn connKey
	tx   uint32
}

type tx struct {
	conn connKey
	id   uint32
}

// owner is one controller.
type owner struct {
	name    string
	byTx    map[tx]*call
	byName  map[string]*call
	byLink  map[connKey]map[uint32]*call // attempts that are out
	drained map[uint64]int64             // exchange to the time of the word
	listed  map[uint64]bool
	told    map[uint64]map[int64]int64 // exchange, start: when the list told of it

	taken, notTaken int
	killed          bool
}

func newOwner(name string) *owner {
	return &owner{name: name, byTx: map[tx]*call{}, byName: map[string]*call{}, byLink: map[connKey]map[uint32]*call{},
		drained: map[uint64]int64{}, listed: map[uint64]bool{}, told: map[uint64]map[int64]int64{}}
}

type setup struct {
	at    int64
	owner *owner
}

// judge is the state of one judgement.
type judge struct {
	rules  capture.Rules
	report *Report
	start  int64
	owners map[string]*owner
	order  []*owner
	to     map[uint64][]setup // set-ups sent to an exchange
	from   map[int][]setup    // and by the controller of a number, which pass its exchange
	starts []capture.Capacity
	began  []int64
}

// Judge looks at records in the order of their time.
func Judge(recs Records) *Report {
	recs.sort()
	j := &judge{report: &Report{}, owners: map[string]*owner{}, to: map[uint64][]setup{}, from: map[int][]setup{}}
	for n := 1; n <= 5; n++ {
		j.report.Rules = append(j.report.Rules, Rule{Rule: n, Title: Titles[n]})
	}
	ruled := false
	for i := range recs {
		if r := &recs[i]; r.Kind == capture.Fact && r.Name == "rules" {
			ruled = json.Unmarshal(r.Text, &j.rules) == nil
		}
	}
	if !ruled {
		j.report.Notes = append(j.report.Notes, "the capture does not tell the rules' figures: those of 0 were taken")
	}
	for i := range recs {
		if i == 0 {
			j.start = recs[0].At
		}
		j.record(&recs[i])
	}
	for _, o := range j.order {
		j.end(o)
		if j.owners[o.name] == o {
			j.report.Owners = append(j.report.Owners, Owner{o.name, o.taken - o.notTaken, o.killed})
		}
	}
	j.cold()
	return j.report
}

func (j *judge) breach(rule int, at int64, o *owner, call, what string) {
	j.report.all++
	j.report.Rules[rule-1].Broken++
	if len(j.report.Breaches) < mostBreaches {
		j.report.Breaches = append(j.report.Breaches, Breach{rule, time.Duration(at - j.start), o.name, call, what})
	}
}

func (j *judge) cases(rule int) { j.report.Rules[rule-1].Cases++ }

func (j *judge) owner(name string) *owner {
	o := j.owners[name]
	if o == nil {
		o = newOwner(name)
		j.owners[name] = o
		j.order = append(j.order, o)
	}
	return o
}

func (j *judge) record(r *record) {
	switch r.Kind {
	case capture.Fact:
		j.fact(r)
		return
	case capture.Sent, capture.Received, capture.Closed:
	default:
		return
	}
	if !strings.HasPrefix(r.ends.Owner, "controller") {
		return // the rules bind controllers; what they sent and heard stands in their own files
	}
	o := j.owner(r.ends.Owner)
	if r.Kind == capture.Closed {
		j.closed(o, r)
		return
	}
	j.report.Messages++
	if r.msg == nil {
		return
	}
	switch {
	case r.ends.Role == "caller" && r.Kind == capture.Received:
		j.fromCaller(o, r)
	case r.ends.Role == "caller":
		j.toCaller(o, r)
	case r.ends.Role == "exchange" && r.Kind == capture.Sent:
		j.toExchange(o, r)
	case r.ends.Role == "exchange":
		j.fromExchange(o, r)
	case r.ends.Role == "list" && r.Kind == capture.Received:
		j.fromList(o, r)
	}
}

func (j *judge) fact(r *record) {
	switch r.Name {
	case "capacity":
		var c capture.Capacity
		if json.Unmarshal(r.Text, &c) == nil {
			j.starts, j.began = append(j.starts, c), append(j.began, r.At)
		}
	case "killed":
		var k capture.Killed
		if json.Unmarshal(r.Text, &k) != nil {
			return
		}
		o := j.owner(k.Owner)
		for _, c := range o.open() {
			c.left = true
			j.report.Calls.Killed++
		}
		fresh := newOwner(o.name)
		fresh.killed = true
		j.owners[o.name] = fresh
		j.order = append(j.order, fresh)
	}
}

// open lists the calls that still want an answer, by time.
func (o *owner) open() []*call {
	var all []*call
	for _, c := range o.byTx {
		if c.answered == 0 && !c.left {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b *call) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return strings.Compare(a.name, b.name)
	})
	return all
}

func (j *judge) fromCaller(o *owner, r *record) {
	m := r.msg
	if m.Kind != signal.Request {
		return
	}
	switch m.Command {
	case signal.Add:
		key := tx{r.key, m.ID}
		if o.byTx[key] != nil {
			return // the id was used before: no new call
		}
		j.cases(1)
		j.report.Calls.Taken++
		o.taken++
		c := &call{owner: o, name: m.Termination, conn: r.key, at: r.At, out: map[attempt]string{}}
		if left, err := m.Duration("Left"); err == nil {
			c.due = r.At + int64(left)
		}
		o.byTx[key] = c
		if was := o.byName[m.Termination]; was == nil || was.answered != 0 || was.left {
			o.byName[m.Termination] = c
		}
	case signal.Subtract:
		if c := o.byName[m.Termination]; c != nil && c.conn == r.key && c.answered == 0 && !c.left {
			c.left, c.leftAt = true, r.At
			j.report.Calls.Left++
		}
	}
}

func (j *judge) toCaller(o *owner, r *record) {
	m := r.msg
	c := o.byTx[tx{r.key, m.ID}]
	switch {
	case c == nil || m.Kind == signal.Request || m.Kind == signal.ErrorMessage:
	case m.Kind == signal.Pending:
		if c.answered != 0 {
			j.breach(1, r.At, o, c.name, "Pending after the final answer")
		}
	case m.Kind == signal.Reply && m.Command == signal.Add:
		if c.answered != 0 {
			j.breach(1, r.At, o, c.name, "a second final answer")
			return
		}
		c.answered = r.At
		if m.Get("Taken") == "no" {
			j.report.Calls.NotTaken++
			o.notTaken++
		}
		if !c.left {
			j.report.Calls.Answered++
		}
		if late := r.At + r.SendDuration - c.due - int64(j.rules.AnswerSlack); c.due > 0 && late > 0 && !c.left {
			j.breach(1, r.At, o, c.name, fmt.Sprintf("answered %v past the caller's patience and the slack", time.Duration(late)))
		}
	}
}

func (j *judge) toExchange(o *owner, r *record) {
	m := r.msg
	if m.Kind != signal.Request {
		return
	}
	c := o.byName[m.Termination]
	switch m.Command {
	case signal.Add:
		j.cases(2)
		j.cases(3)
		exchange := r.ends.Peer
		if word, ok := o.drained[exchange]; ok {
			if late := r.At + r.SendDuration - word - int64(j.rules.DrainGrace); late > 0 {
				j.breach(3, r.At, o, m.Termination, fmt.Sprintf("set up at exchange %d, %v after the grace", exchange, time.Duration(late)))
			}
		}
		j.to[exchange] = append(j.to[exchange], setup{r.At, o})
		if from, err := m.Int("From", 0, 1<<20); err == nil {
			j.from[from] = append(j.from[from], setup{r.At, o})
		}
		if c == nil {
			j.breach(1, r.At, o, m.Termination, "set up without a caller who asked")
			return
		}
		switch {
		case c.answered != 0:
			j.breach(1, r.At, o, c.name, "set up after the final answer")
		case c.left && r.At > c.leftAt+int64(j.rules.AnswerSlack):
			j.breach(1, r.At, o, c.name, "set up after the caller left")
		}
		if len(c.out) > 0 {
			j.breach(2, r.At, o, c.name, fmt.Sprintf("set up while %d attempts are out", len(c.out)))
		}
		if c.blocked > 0 {
			j.cases(5)
			if early := c.blocked - r.At; early > 0 {
				j.breach(5, r.At, o, c.name, fmt.Sprintf("set up %v before the release time after it was %s", time.Duration(early), c.why))
			}
		}
		c.out[attempt{r.key, m.ID}] = m.Get("Attempt")
		if o.byLink[r.key] == nil {
			o.byLink[r.key] = map[uint32]*call{}
		}
		o.byLink[r.key][m.ID] = c
	case signal.Subtract:
		if c == nil {
			return
		}
		for a, n := range c.out { // one at the most, unless the second rule is broken
			if a.conn == r.key && n == m.Get("Attempt") {
				j.ended(o, c, a, r.At, "withdrawn")
			}
		}
	}
}

// ended takes an attempt that is out no more; unclear ones start the release time.
func (j *judge) ended(o *owner, c *call, a attempt, at int64, why string) {
	delete(c.out, a)
	delete(o.byLink[a.conn], a.tx)
	if why != "" {
		c.blocked, c.why = at+int64(j.rules.ReleaseTime), why
	}
}

func (j *judge) fromExchange(o *owner, r *record) {
	m := r.msg
	if m.Kind != signal.Reply || m.Command != signal.Add {
		return
	}
	c := o.byLink[r.key][m.ID]
	if c == nil {
		return
	}
	why := ""
	if note := m.Get("Note"); m.Code != 0 && (note == "cut" || note == "withdrawn") {
		why = note
	}
	j.ended(o, c, attempt{r.key, m.ID}, r.At, why)
}

func (j *judge) closed(o *owner, r *record) {
	if r.ends.Role == "exchange" {
		for id, c := range o.byLink[r.key] { // each by itself: the order does not matter
			j.ended(o, c, attempt{r.key, id}, r.At, "reset with the connection")
		}
	}
	if r.ends.Role == "caller" {
		for _, c := range o.open() {
			if c.conn == r.key {
				c.left, c.leftAt = true, r.At
				j.report.Calls.Left++
			}
		}
	}
}

func (j *judge) fromList(o *owner, r *record) {
	m := r.msg
	if m.Kind != signal.Request || m.Command != signal.Notify {
		return
	}
	named := map[uint64]bool{}
	for _, line := range m.All("Exchange") {
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		id, err := strconv.ParseUint(f[0], 10, 32)
		if err != nil {
			continue
		}
		named[id] = true
		o.listed[id] = true
		for _, p := range f[1:] {
			switch name, v, _ := strings.Cut(p, "="); name {
			case "state":
				if v == "in" {
					delete(o.drained, id)
				} else if _, known := o.drained[id]; !known {
					o.drained[id] = r.At
				}
			case "since":
				since, _ := strconv.ParseInt(v, 10, 64)
				if o.told[id] == nil {
					o.told[id] = map[int64]int64{}
				}
				if _, known := o.told[id][since]; !known {
					o.told[id][since] = r.At
				}
			}
		}
	}
	if m.Flag("Complete") {
		for id := range o.listed {
			if _, known := o.drained[id]; !named[id] && !known {
				o.drained[id] = r.At
			}
		}
	}
}

// end looks for calls that were never answered.
func (j *judge) end(o *owner) {
	for _, c := range o.open() {
		j.breach(1, c.at, o, c.name, "no final answer")
	}
}

// cold holds what was sent to each started processor against what it could do:
// in every window of the stated length, no more than the stated multiple of it,
// and a root of that for chance. Work that mostly came from controllers that had
// not been told of the start is nobody's breach.
func (j *judge) cold() {
	w := int64(j.rules.OverloadDuration)
	for i, s := range j.starts {
		if s.WarmUpTime <= 0 || w <= 0 {
			continue
		}
		j.cases(4)
		until := j.began[i] + int64(s.WarmUpTime)
		for k := i + 1; k < len(j.starts); k++ {
			if j.starts[k].ExchangeID == s.ExchangeID {
				until = min(until, j.began[k])
			}
		}
		var all []setup
		for _, group := range [][]setup{j.to[uint64(s.ExchangeID)], j.from[s.ExchangeNumber]} {
			for _, u := range group {
				if u.at >= j.began[i] && u.at <= until {
					all = append(all, u)
				}
			}
		}
		slices.SortStableFunc(all, func(a, b setup) int { return int(a.at - b.at) })
		first, informed := 0, 0
		knows := func(u setup) bool {
			at, ok := u.owner.told[uint64(s.ExchangeID)][s.Since]
			return ok && at <= u.at
		}
		for n, u := range all {
			if knows(u) {
				informed++
			}
			for ; all[first].at <= u.at-w; first++ {
				if knows(all[first]) {
					informed--
				}
			}
			count := n - first + 1
			budget := j.rules.OverloadFactor * between(s, float64(u.at-w-j.began[i])/1e9, float64(u.at-j.began[i])/1e9)
			if float64(count) > budget+math.Sqrt(budget)+1 && 3*informed >= 2*count {
				j.breach(4, u.at, u.owner, "", fmt.Sprintf("exchange %d, started %.1fs before, was sent %d set-ups within %v and could do %.0f",
					s.ExchangeID, float64(u.at-j.began[i])/1e9, count, j.rules.OverloadDuration, budget/j.rules.OverloadFactor))
				break
			}
		}
	}
}
