// Package wire is the JSON-lines codec between the simulator and the host: one
// object a line, events in, actions out. It carries no decision.
package wire

import (
	"encoding/json"
	"fmt"
)

// Event is any line that comes in; a field that is not there stays nil.
type Event struct {
	What       string    `json:"what"`
	AtTime     *int64    `json:"at_time_ns"`
	Controller *int      `json:"controller"`
	Entropy    *uint64   `json:"entropy"`
	Settings   *Settings `json:"settings"`
	Sheet      *int      `json:"sheet"`
	Rows       *[]Row    `json:"rows"`
	How        *string   `json:"how"`
	SeqNo      *int64    `json:"seq_no"`
	Job        *string   `json:"job"`
	Priority   *string   `json:"priority"`
	Object     *uint64   `json:"object"`
	TimeLeft   *int64    `json:"time_left_ns"`
	Dest       *float64  `json:"dest"`
	Slots      *float64  `json:"slots_needed"`
	Through    *float64  `json:"through"`
	Resent     bool      `json:"resent"`
	Transit    bool      `json:"transit"`
	Again      bool      `json:"again"`
	By         *int      `json:"by"`
	Payload    *string   `json:"payload"`
	Exchange   *uint32   `json:"exchange"`
	Reason     *int      `json:"reason"`
	CostTime   *int64    `json:"cost_time_ns"`
	Load       Load      `json:"load"`
	Trial      *int      `json:"trial"`
	Final      bool      `json:"final"`
	Note       int       `json:"note"`
	Nonce      *uint64   `json:"nonce"`
}

// Load is a load report, name to value; unknown names are kept and ignored.
type Load map[string]*float64

// Get returns a named value, and whether the report tells it.
func (l Load) Get(name string) (float64, bool) {
	if v := l[name]; v != nil && *v >= 0 {
		return *v, true
	}
	return 0, false
}

// Row is one line of an exchange list.
type Row struct {
	Exchange *uint32 `json:"exchange"`
	Cell     *int    `json:"cell"`
	State    *string `json:"stage_state"`
	Since    int64   `json:"online_since_ns"`
}

// Settings are the figures that an instance starts with. Keys that are not
// named here are ignored.
type Settings struct {
	Balancers int   `json:"balancers"`
	Me        int   `json:"me"`
	Quantum   int64 `json:"quantum_ns"`
	Clients   struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	Domain struct {
		CallLength []int64 `json:"call_length_ns"`
		Circuits   []int   `json:"circuits_by_class"`
		Pools      [][]int `json:"pools_by_class"`
		Release    int64   `json:"release_ns"`
		Advice     bool    `json:"route_advice"`
		Self       *int    `json:"self_no"`
		Shape      string  `json:"shape"`
		T1         int64   `json:"t1_ns"`
	} `json:"domain"`
	Limits struct {
		Attempts   int   `json:"attempts_cap"`
		Cancelling bool  `json:"cancelling"`
		RetryMax   int64 `json:"max_retry_after_ns"`
		RetryAfter bool  `json:"retry_after"`
		Peers      bool  `json:"peers"`
		Probing    bool  `json:"probing"`
		Connect    int64 `json:"connect_timeout_ns"`
		Idle       int64 `json:"conn_idle_ns"`
	} `json:"policy_limits"`
	Profiles []struct {
		Name      string  `json:"name"`
		Worth     float64 `json:"worth"`
		LateWorth float64 `json:"late_worth"`
		Objective int64   `json:"objective_ns"`
		GiveUp    int64   `json:"give_up_ns"`
	} `json:"profiles"`
	Rules struct {
		AnswerSlack    int64   `json:"answer_slack_ns"`
		ColdFrom       float64 `json:"cold_from"`
		Cold           int64   `json:"cold_ns"`
		DrainGrace     int64   `json:"drain_grace_ns"`
		OverloadFactor float64 `json:"overload_factor"`
		OverloadFor    int64   `json:"overload_for_ns"`
	} `json:"rules"`
}

// known names every event with the fields that it must carry.
var known = map[string]func(*Event) []field{
	"Clock": func(e *Event) []field { return []field{{"at_time_ns", e.AtTime != nil}} },
	"End":   func(e *Event) []field { return nil },
	"Launch": func(e *Event) []field {
		return with(e, field{"entropy", e.Entropy != nil}, field{"settings", e.Settings != nil})
	},
	"Ledger":    func(e *Event) []field { return []field{{"sheet", e.Sheet != nil}, {"rows", e.Rows != nil}} },
	"Discovery": func(e *Event) []field { return with(e, field{"how", e.How != nil}) },
	"Killed":    func(e *Event) []field { return with(e) },
	"PeerData":  func(e *Event) []field { return with(e, field{"by", e.By != nil}, field{"payload", e.Payload != nil}) },
	"Bell":      func(e *Event) []field { return with(e, field{"nonce", e.Nonce != nil}) },
	"Hangup":    func(e *Event) []field { return with(e, field{"job", e.Job != nil}) },
	"ProbeResult": func(e *Event) []field {
		return with(e, field{"exchange", e.Exchange != nil}, field{"reason", e.Reason != nil})
	},
	"Ask": func(e *Event) []field {
		return with(e, field{"job", e.Job != nil}, field{"priority", e.Priority != nil},
			field{"time_left_ns", e.TimeLeft != nil}, field{"dest", e.Dest != nil})
	},
	"Started": func(e *Event) []field {
		return with(e, field{"job", e.Job != nil}, field{"trial", e.Trial != nil}, field{"exchange", e.Exchange != nil})
	},
	"Reply": func(e *Event) []field {
		return with(e, field{"job", e.Job != nil}, field{"trial", e.Trial != nil},
			field{"exchange", e.Exchange != nil}, field{"reason", e.Reason != nil})
	},
}

type field struct {
	name  string
	there bool
}

func with(e *Event, fs ...field) []field {
	return append([]field{{"controller", e.Controller != nil}}, fs...)
}

// Decode reads one line. The error is one plain line that names what is wrong.
func Decode(line []byte) (*Event, error) {
	e := &Event{}
	if err := json.Unmarshal(line, e); err != nil {
		if t, ok := err.(*json.UnmarshalTypeError); ok && e.What != "" {
			return nil, fmt.Errorf("%s: field %s: not a %s", e.What, t.Field, t.Type)
		}
		return nil, fmt.Errorf("not a message: %v", err)
	}
	need, ok := known[e.What]
	if !ok {
		return nil, fmt.Errorf("unknown event %q", e.What)
	}
	for _, f := range need(e) {
		if !f.there {
			return nil, fmt.Errorf("%s: field %s is missing", e.What, f.name)
		}
	}
	return e, nil
}

// Action is any line that goes out.
type Action struct {
	What       string  `json:"what"`
	Controller *int    `json:"controller,omitempty"`
	Job        string  `json:"job,omitempty"`
	Exchange   *uint32 `json:"exchange,omitempty"`
	AllowFor   int64   `json:"allow_for_ns,omitempty"`
	Trial      *int    `json:"trial,omitempty"`
	Backoff    int64   `json:"backoff_ns,omitempty"`
	Nonce      *uint64 `json:"nonce,omitempty"`
	Delay      *int64  `json:"delay_ns,omitempty"`
	Words      string  `json:"words,omitempty"`
}
