// Package audit checks a capture against the five rules of call control. It depends
// only on the captured messages and the rules, not on the controller or the routing
// module.
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

// RuleTitles holds the titles of the rules, indexed by rule number from 1.
var RuleTitles = [6]string{"", "one final answer, in time", "never two attempts out", "nothing new past the drain grace",
	"no cold exchange pushed over", "no resend within the release time"}

// Breach is one violation of a rule.
type Breach struct {
	Rule        int           `json:"rule"`
	Time        time.Duration `json:"at"` // since the first record of the capture
	Controller  string        `json:"owner"`
	Call        string        `json:"call,omitempty"`
	Description string        `json:"what"`
}

// String formats the breach as one line of text.
func (b Breach) String() string {
	call := ""
	if b.Call != "" {
		call = " call " + b.Call
	}
	return fmt.Sprintf("rule %d at %.3fs by %s%s: %s", b.Rule, b.Time.Seconds(), b.Controller, call, b.Description)
}

// RuleResult is the result of one rule.
type RuleResult struct {
	Number   int    `json:"rule"`
	Title    string `json:"title"`
	Cases    int    `json:"cases"` // checked
	Breaches int    `json:"broken"`
}

// CallCounts counts the calls that controllers received and how they ended.
type CallCounts struct {
	Received    int `json:"taken"`
	NotAccepted int `json:"not_taken"` // of Answered: rejected before they were accepted
	Answered    int `json:"answered"`
	Abandoned   int `json:"left"`   // the caller abandoned the call or its connection was closed
	Killed      int `json:"killed"` // the controller was killed
}

// ControllerCalls counts the calls that one controller accepted.
type ControllerCalls struct {
	Controller string `json:"owner"`
	Accepted   int    `json:"taken"` // without the calls that it rejected as not accepted
	Killed     bool   `json:"killed,omitempty"`
}

// Report is the result of checking a capture.
type Report struct {
	Rules       []RuleResult      `json:"rules"` // the five rules, in order
	Calls       CallCounts        `json:"calls"`
	Controllers []ControllerCalls `json:"owners"`
	Messages    int               `json:"messages"`
	Breaches    []Breach          `json:"breaches,omitempty"` // the first maxReportedBreaches
	Notes       []string          `json:"notes,omitempty"`    // parts of the capture that could not be checked
	breachCount int
}

// OK reports whether no rule was broken.
func (r *Report) OK() bool { return r.breachCount == 0 }

// maxReportedBreaches limits the breaches that a report lists.
const maxReportedBreaches = 100

// record is one record of a capture with its decoded message and its connection.
type record struct {
	capture.Record
	file       int
	message    *signal.Message // nil if the record holds no readable message
	endpoint   capture.Endpoint
	connection connectionKey
}

// connectionKey identifies a connection of a capture.
type connectionKey struct {
	file int
	conn uint64
}

// CheckPath checks the capture at a path, which is one file or a directory of files.
func CheckPath(path string) (*Report, error) {
	files, err := capture.Files(path)
	if err != nil {
		return nil, err
	}
	records, notes, err := loadRecords(files)
	if err != nil {
		return nil, err
	}
	report := Check(records)
	report.Notes = append(notes, report.Notes...)
	return report, nil
}

// Records holds the records of a capture, ordered by time.
type Records []record

// loadRecords reads the files of a capture. An incomplete last record, as a killed
// process leaves it, results in a note.
func loadRecords(files []string) (Records, []string, error) {
	var all Records
	var notes []string
	for i, file := range files {
		add := Collector(&all, i)
		if err := capture.ReadFile(file, add); errors.Is(err, capture.ErrTruncated) {
			notes = append(notes, err.Error())
		} else if err != nil {
			return nil, nil, err
		}
	}
	all.sort()
	return all, notes, nil
}

// sort orders the records by time and keeps the order of records of equal time.
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

// Collector returns a function that appends the records of one file to all. It must
// be called with the records in the order of the file.
func Collector(all *Records, file int) func(capture.Record) {
	endpoints := map[uint64]capture.Endpoint{}
	fileOwner := ""
	return func(r capture.Record) {
		if r.Kind == capture.Header {
			fileOwner = r.Name
		}
		rec := record{Record: r, file: file, connection: connectionKey{file, r.Conn}}
		switch r.Kind {
		case capture.Opened:
			var endpoint capture.Endpoint
			if json.Unmarshal(r.Text, &endpoint) == nil {
				endpoints[r.Conn] = endpoint
			}
		case capture.Sent, capture.Received:
			message, err := signal.NewReader(strings.NewReader(string(r.Text)), signal.Limits{
				MaxLineBytes:    1 << 16,
				MaxMessageBytes: 1 << 20,
				MaxDescriptors:  1 << 16,
			}).Read()
			if err == nil {
				rec.message = message
			}
		}
		if rec.endpoint = endpoints[r.Conn]; r.Conn == 0 {
			rec.endpoint.Owner = fileOwner
		}
		*all = append(*all, rec)
	}
}

// auditedCall is one call that a controller received with an Add from a caller.
type auditedCall struct {
	controller *auditedController
	name       string
	connection connectionKey

	receivedAt, deadline int64 // nanoseconds, as all times here; a deadline of 0 is unknown

	answeredAt   int64 // 0 if not answered
	abandoned    bool  // the caller abandoned the call
	abandonedAt  int64
	inFlight     map[attempt]string // attempts in flight, with their numbers
	blockedUntil int64              // end of the release time: no set-up is allowed before
	blockedBy    string             // what started the release time
}

// attempt identifies a set-up by its link and transaction.
type attempt struct {
	connection    connectionKey
	transactionID uint32
}

// transaction identifies a transaction of a connection.
type transaction struct {
	connection connectionKey
	id         uint32
}

// auditedController is the state of one incarnation of a controller.
type auditedController struct {
	name          string
	byTransaction map[transaction]*auditedCall
	byName        map[string]*auditedCall
	byLink        map[connectionKey]map[uint32]*auditedCall // calls with an attempt in flight, by transaction
	draining      map[uint64]int64                          // by exchange: when the list reported it as draining or out
	listed        map[uint64]bool                           // exchanges that the list has reported
	startReported map[uint64]map[int64]int64                // by exchange and start time: when the list reported the start

	accepted, notAccepted int
	killed                bool
}

// newAuditedController returns a controller without calls.
func newAuditedController(name string) *auditedController {
	return &auditedController{
		name:          name,
		byTransaction: map[transaction]*auditedCall{},
		byName:        map[string]*auditedCall{},
		byLink:        map[connectionKey]map[uint32]*auditedCall{},
		draining:      map[uint64]int64{},
		listed:        map[uint64]bool{},
		startReported: map[uint64]map[int64]int64{},
	}
}

// setup is one set-up that a controller sent.
type setup struct {
	sentAt     int64
	controller *auditedController
}

// checker is the state of checking one capture.
type checker struct {
	rules            capture.Rules
	report           *Report
	start            int64 // time of the first record
	controllers      map[string]*auditedController
	incarnations     []*auditedController // all incarnations, in the order of their first record
	setupsToExchange map[uint64][]setup   // set-ups sent to an exchange, by its ID
	setupsFromNumber map[int][]setup      // set-ups of the controller of an exchange, by exchange number; they load its processor too
	starts           []capture.Capacity   // starts of exchanges
	startTimes       []int64              // time of each start
}

// Check checks the records of a capture against the five rules.
func Check(records Records) *Report {
	records.sort()
	c := &checker{
		report:           &Report{},
		controllers:      map[string]*auditedController{},
		setupsToExchange: map[uint64][]setup{},
		setupsFromNumber: map[int][]setup{},
	}
	for n := 1; n <= 5; n++ {
		c.report.Rules = append(c.report.Rules, RuleResult{Number: n, Title: RuleTitles[n]})
	}
	hasRules := false
	for i := range records {
		if r := &records[i]; r.Kind == capture.Fact && r.Name == "rules" {
			hasRules = json.Unmarshal(r.Text, &c.rules) == nil
		}
	}
	if !hasRules {
		c.report.Notes = append(c.report.Notes, "the capture does not tell the rules' figures: those of 0 were taken")
	}
	for i := range records {
		if i == 0 {
			c.start = records[0].At
		}
		c.record(&records[i])
	}
	for _, controller := range c.incarnations {
		c.checkUnanswered(controller)
		if c.controllers[controller.name] == controller {
			c.report.Controllers = append(c.report.Controllers, ControllerCalls{controller.name, controller.accepted - controller.notAccepted, controller.killed})
		}
	}
	c.checkColdExchanges()
	return c.report
}

// breach counts a breach of a rule and reports it if the limit is not reached.
func (c *checker) breach(rule int, at int64, controller *auditedController, call, description string) {
	c.report.breachCount++
	c.report.Rules[rule-1].Breaches++
	if len(c.report.Breaches) < maxReportedBreaches {
		c.report.Breaches = append(c.report.Breaches, Breach{rule, time.Duration(at - c.start), controller.name, call, description})
	}
}

// countCase counts one case in which a rule was checked.
func (c *checker) countCase(rule int) { c.report.Rules[rule-1].Cases++ }

// controller returns the current incarnation of a controller.
func (c *checker) controller(name string) *auditedController {
	controller := c.controllers[name]
	if controller == nil {
		controller = newAuditedController(name)
		c.controllers[name] = controller
		c.incarnations = append(c.incarnations, controller)
	}
	return controller
}

// record checks one record.
func (c *checker) record(r *record) {
	switch r.Kind {
	case capture.Fact:
		c.fact(r)
		return
	case capture.Sent, capture.Received, capture.Closed:
	default:
		return
	}
	if !strings.HasPrefix(r.endpoint.Owner, "controller") {
		return // the rules bind controllers; the messages of a controller are in its own file
	}
	controller := c.controller(r.endpoint.Owner)
	if r.Kind == capture.Closed {
		c.connectionClosed(controller, r)
		return
	}
	c.report.Messages++
	if r.message == nil {
		return
	}
	switch {
	case r.endpoint.Role == "caller" && r.Kind == capture.Received:
		c.fromCaller(controller, r)
	case r.endpoint.Role == "caller":
		c.toCaller(controller, r)
	case r.endpoint.Role == "exchange" && r.Kind == capture.Sent:
		c.toExchange(controller, r)
	case r.endpoint.Role == "exchange":
		c.fromExchange(controller, r)
	case r.endpoint.Role == "list" && r.Kind == capture.Received:
		c.fromList(controller, r)
	}
}

// fact handles the start of an exchange and the kill of a controller.
func (c *checker) fact(r *record) {
	switch r.Name {
	case "capacity":
		var capacity capture.Capacity
		if json.Unmarshal(r.Text, &capacity) == nil {
			c.starts, c.startTimes = append(c.starts, capacity), append(c.startTimes, r.At)
		}
	case "killed":
		var killed capture.Killed
		if json.Unmarshal(r.Text, &killed) != nil {
			return
		}
		controller := c.controller(killed.Owner)
		for _, call := range controller.pendingCalls() {
			call.abandoned = true
			c.report.Calls.Killed++
		}
		restarted := newAuditedController(controller.name)
		restarted.killed = true
		c.controllers[controller.name] = restarted
		c.incarnations = append(c.incarnations, restarted)
	}
}

// pendingCalls returns the calls that still expect a final answer, ordered by time.
func (controller *auditedController) pendingCalls() []*auditedCall {
	var pending []*auditedCall
	for _, call := range controller.byTransaction {
		if call.answeredAt == 0 && !call.abandoned {
			pending = append(pending, call)
		}
	}
	slices.SortFunc(pending, func(a, b *auditedCall) int {
		if a.receivedAt != b.receivedAt {
			return int(a.receivedAt - b.receivedAt)
		}
		return strings.Compare(a.name, b.name)
	})
	return pending
}

// fromCaller handles a message that a controller received from a caller.
func (c *checker) fromCaller(controller *auditedController, r *record) {
	message := r.message
	if message.Kind != signal.Request {
		return
	}
	switch message.Command {
	case signal.Add:
		key := transaction{r.connection, message.ID}
		if controller.byTransaction[key] != nil {
			return // the transaction ID was used before: not a new call
		}
		c.countCase(1)
		c.report.Calls.Received++
		controller.accepted++
		call := &auditedCall{controller: controller, name: message.Termination, connection: r.connection, receivedAt: r.At, inFlight: map[attempt]string{}}
		if left, err := message.Duration("Left"); err == nil {
			call.deadline = r.At + int64(left)
		}
		controller.byTransaction[key] = call
		if earlier := controller.byName[message.Termination]; earlier == nil || earlier.answeredAt != 0 || earlier.abandoned {
			controller.byName[message.Termination] = call
		}
	case signal.Subtract:
		if call := controller.byName[message.Termination]; call != nil && call.connection == r.connection && call.answeredAt == 0 && !call.abandoned {
			call.abandoned, call.abandonedAt = true, r.At
			c.report.Calls.Abandoned++
		}
	}
}

// toCaller checks rule 1 for a message that a controller sent to a caller.
func (c *checker) toCaller(controller *auditedController, r *record) {
	message := r.message
	call := controller.byTransaction[transaction{r.connection, message.ID}]
	switch {
	case call == nil || message.Kind == signal.Request || message.Kind == signal.ErrorMessage:
	case message.Kind == signal.Pending:
		if call.answeredAt != 0 {
			c.breach(1, r.At, controller, call.name, "Pending after the final answer")
		}
	case message.Kind == signal.Reply && message.Command == signal.Add:
		if call.answeredAt != 0 {
			c.breach(1, r.At, controller, call.name, "a second final answer")
			return
		}
		call.answeredAt = r.At
		if message.Get("Taken") == "no" {
			c.report.Calls.NotAccepted++
			controller.notAccepted++
		}
		if !call.abandoned {
			c.report.Calls.Answered++
		}
		if late := r.At + r.SendDuration - call.deadline - int64(c.rules.AnswerSlack); call.deadline > 0 && late > 0 && !call.abandoned {
			c.breach(1, r.At, controller, call.name, fmt.Sprintf("answered %v past the caller's patience and the slack", time.Duration(late)))
		}
	}
}

// toExchange checks rules 1, 2, 3 and 5 for a message that a controller sent to an exchange.
func (c *checker) toExchange(controller *auditedController, r *record) {
	message := r.message
	if message.Kind != signal.Request {
		return
	}
	call := controller.byName[message.Termination]
	switch message.Command {
	case signal.Add:
		c.countCase(2)
		c.countCase(3)
		exchange := r.endpoint.Peer
		if drainingSince, ok := controller.draining[exchange]; ok {
			if late := r.At + r.SendDuration - drainingSince - int64(c.rules.DrainGrace); late > 0 {
				c.breach(3, r.At, controller, message.Termination, fmt.Sprintf("set up at exchange %d, %v after the grace", exchange, time.Duration(late)))
			}
		}
		c.setupsToExchange[exchange] = append(c.setupsToExchange[exchange], setup{r.At, controller})
		if from, err := message.Int("From", 0, 1<<20); err == nil {
			c.setupsFromNumber[from] = append(c.setupsFromNumber[from], setup{r.At, controller})
		}
		if call == nil {
			c.breach(1, r.At, controller, message.Termination, "set up without a caller who asked")
			return
		}
		switch {
		case call.answeredAt != 0:
			c.breach(1, r.At, controller, call.name, "set up after the final answer")
		case call.abandoned && r.At > call.abandonedAt+int64(c.rules.AnswerSlack):
			c.breach(1, r.At, controller, call.name, "set up after the caller left")
		}
		if len(call.inFlight) > 0 {
			c.breach(2, r.At, controller, call.name, fmt.Sprintf("set up while %d attempts are out", len(call.inFlight)))
		}
		if call.blockedUntil > 0 {
			c.countCase(5)
			if early := call.blockedUntil - r.At; early > 0 {
				c.breach(5, r.At, controller, call.name, fmt.Sprintf("set up %v before the release time after it was %s", time.Duration(early), call.blockedBy))
			}
		}
		call.inFlight[attempt{r.connection, message.ID}] = message.Get("Attempt")
		if controller.byLink[r.connection] == nil {
			controller.byLink[r.connection] = map[uint32]*auditedCall{}
		}
		controller.byLink[r.connection][message.ID] = call
	case signal.Subtract:
		if call == nil {
			return
		}
		for attempt, number := range call.inFlight { // at most one, unless rule 2 is broken
			if attempt.connection == r.connection && number == message.Get("Attempt") {
				c.attemptEnded(controller, call, attempt, r.At, "withdrawn")
			}
		}
	}
}

// attemptEnded removes an attempt from those in flight. If its outcome at the
// exchange is uncertain, cause is set and the release time starts.
func (c *checker) attemptEnded(controller *auditedController, call *auditedCall, ended attempt, at int64, cause string) {
	delete(call.inFlight, ended)
	delete(controller.byLink[ended.connection], ended.transactionID)
	if cause != "" {
		call.blockedUntil, call.blockedBy = at+int64(c.rules.ReleaseTime), cause
	}
}

// fromExchange handles a message that a controller received from an exchange.
func (c *checker) fromExchange(controller *auditedController, r *record) {
	message := r.message
	if message.Kind != signal.Reply || message.Command != signal.Add {
		return
	}
	call := controller.byLink[r.connection][message.ID]
	if call == nil {
		return
	}
	cause := ""
	if note := message.Get("Note"); message.Code != 0 && (note == "cut" || note == "withdrawn") {
		cause = note
	}
	c.attemptEnded(controller, call, attempt{r.connection, message.ID}, r.At, cause)
}

// connectionClosed ends the attempts of a closed link, or abandons the calls of a
// closed caller's connection.
func (c *checker) connectionClosed(controller *auditedController, r *record) {
	if r.endpoint.Role == "exchange" {
		for id, call := range controller.byLink[r.connection] { // independent of each other: the order does not matter
			c.attemptEnded(controller, call, attempt{r.connection, id}, r.At, "reset with the connection")
		}
	}
	if r.endpoint.Role == "caller" {
		for _, call := range controller.pendingCalls() {
			if call.connection == r.connection {
				call.abandoned, call.abandonedAt = true, r.At
				c.report.Calls.Abandoned++
			}
		}
	}
}

// fromList handles a notification of the exchange list. An exchange that a complete
// list no longer names counts as draining.
func (c *checker) fromList(controller *auditedController, r *record) {
	message := r.message
	if message.Kind != signal.Request || message.Command != signal.Notify {
		return
	}
	named := map[uint64]bool{}
	for _, line := range message.All("Exchange") {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		id, err := strconv.ParseUint(fields[0], 10, 32)
		if err != nil {
			continue
		}
		named[id] = true
		controller.listed[id] = true
		for _, parameter := range fields[1:] {
			switch name, value, _ := strings.Cut(parameter, "="); name {
			case "state":
				if value == "in" {
					delete(controller.draining, id)
				} else if _, known := controller.draining[id]; !known {
					controller.draining[id] = r.At
				}
			case "since":
				since, _ := strconv.ParseInt(value, 10, 64)
				if controller.startReported[id] == nil {
					controller.startReported[id] = map[int64]int64{}
				}
				if _, known := controller.startReported[id][since]; !known {
					controller.startReported[id][since] = r.At
				}
			}
		}
	}
	if message.Flag("Complete") {
		for id := range controller.listed {
			if _, known := controller.draining[id]; !named[id] && !known {
				controller.draining[id] = r.At
			}
		}
	}
}

// checkUnanswered reports the calls that were never answered.
func (c *checker) checkUnanswered(controller *auditedController) {
	for _, call := range controller.pendingCalls() {
		c.breach(1, call.receivedAt, controller, call.name, "no final answer")
	}
}

// checkColdExchanges checks rule 4. It compares the set-ups sent to each started
// processor with its capacity: in every window of OverloadDuration, at most
// OverloadFactor times the capacity, plus the square root of that for random
// variation. It is no breach if more than a third of the set-ups came from
// controllers to which the list had not yet reported the start.
func (c *checker) checkColdExchanges() {
	window := int64(c.rules.OverloadDuration)
	for i, start := range c.starts {
		if start.WarmUpTime <= 0 || window <= 0 {
			continue
		}
		c.countCase(4)
		until := c.startTimes[i] + int64(start.WarmUpTime)
		for later := i + 1; later < len(c.starts); later++ {
			if c.starts[later].ExchangeID == start.ExchangeID {
				until = min(until, c.startTimes[later])
			}
		}
		var setups []setup
		for _, group := range [][]setup{c.setupsToExchange[uint64(start.ExchangeID)], c.setupsFromNumber[start.ExchangeNumber]} {
			for _, s := range group {
				if s.sentAt >= c.startTimes[i] && s.sentAt <= until {
					setups = append(setups, s)
				}
			}
		}
		slices.SortStableFunc(setups, func(a, b setup) int { return int(a.sentAt - b.sentAt) })
		first, informed := 0, 0
		isInformed := func(s setup) bool {
			at, ok := s.controller.startReported[uint64(start.ExchangeID)][start.Since]
			return ok && at <= s.sentAt
		}
		for n, s := range setups {
			if isInformed(s) {
				informed++
			}
			for ; setups[first].sentAt <= s.sentAt-window; first++ {
				if isInformed(setups[first]) {
					informed--
				}
			}
			count := n - first + 1
			budget := c.rules.OverloadFactor * setupCapacity(start, float64(s.sentAt-window-c.startTimes[i])/1e9, float64(s.sentAt-c.startTimes[i])/1e9)
			if float64(count) > budget+math.Sqrt(budget)+1 && 3*informed >= 2*count {
				c.breach(4, s.sentAt, s.controller, "", fmt.Sprintf("exchange %d, started %.1fs before, was sent %d set-ups within %v and could do %.0f",
					start.ExchangeID, float64(s.sentAt-c.startTimes[i])/1e9, count, c.rules.OverloadDuration, budget/c.rules.OverloadFactor))
				break
			}
		}
	}
}
