// Package wire is the JSON-lines codec between the simulator and the host: one
// object a line, events in, actions out. It carries no decision.
package wire

import (
	"encoding/json"
	"fmt"
)

// Event is any line that comes in; a field that is not there stays nil.
type Event struct {
	Type           string       `json:"what"`
	AtTime         *int64       `json:"at_time_ns"`
	Controller     *int         `json:"controller"`
	Seed           *uint64      `json:"entropy"`
	Settings       *Settings    `json:"settings"`
	ListNumber     *int         `json:"sheet"`
	ListEntries    *[]ListEntry `json:"rows"`
	UpdateKind     *string      `json:"how"`
	SequenceNumber *int64       `json:"seq_no"`
	CallID         *string      `json:"job"`
	Class          *string      `json:"priority"`
	CalledNumber   *uint64      `json:"object"`
	TimeLeft       *int64       `json:"time_left_ns"`
	Destination    *float64     `json:"dest"`
	Circuits       *float64     `json:"slots_needed"`
	Through        *float64     `json:"through"`
	Retry          bool         `json:"resent"`
	Transit        bool         `json:"transit"`
	AfterCut       bool         `json:"again"`
	Sender         *int         `json:"by"`
	Payload        *string      `json:"payload"`
	Exchange       *uint32      `json:"exchange"`
	Status         *int         `json:"reason"`
	Elapsed        *int64       `json:"cost_time_ns"`
	Load           LoadReport   `json:"load"`
	Attempt        *int         `json:"trial"`
	Final          bool         `json:"final"`
	Note           int          `json:"note"`
	Token          *uint64      `json:"nonce"`
}

// LoadReport is a load report, name to value; unknown names are kept and ignored.
type LoadReport map[string]*float64

// Get returns a named value, and whether the report tells it.
func (l LoadReport) Get(name string) (float64, bool) {
	if v := l[name]; v != nil && *v >= 0 {
		return *v, true
	}
	return 0, false
}

// ListEntry is one line of an exchange list.
type ListEntry struct {
	Exchange       *uint32 `json:"exchange"`
	ExchangeNumber *int    `json:"cell"`
	State          *string `json:"stage_state"`
	Since          int64   `json:"online_since_ns"`
}

// Settings are the figures that an instance starts with. Keys that are not
// named here are ignored.
type Settings struct {
	Controllers      int   `json:"balancers"`
	ControllerNumber int   `json:"me"`
	Tick             int64 `json:"quantum_ns"`
	Callers          struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	Network struct {
		HoldingTimes    []int64 `json:"call_length_ns"`
		CircuitsByClass []int   `json:"circuits_by_class"`
		PoolsByClass    [][]int `json:"pools_by_class"`
		ReleaseTime     int64   `json:"release_ns"`
		RouteAdvice     bool    `json:"route_advice"`
		OwnExchange     *int    `json:"self_no"`
		Shape           string  `json:"shape"`
		ResendAfter     int64   `json:"t1_ns"`
	} `json:"domain"`
	Limits struct {
		MaxAttempts    int   `json:"attempts_cap"`
		Cancelling     bool  `json:"cancelling"`
		MaxRetryAfter  int64 `json:"max_retry_after_ns"`
		RetryAfter     bool  `json:"retry_after"`
		Peers          bool  `json:"peers"`
		Probing        bool  `json:"probing"`
		ConnectTimeout int64 `json:"connect_timeout_ns"`
		IdleTimeout    int64 `json:"conn_idle_ns"`
	} `json:"policy_limits"`
	Classes []struct {
		Name        string  `json:"name"`
		Worth       float64 `json:"worth"`
		LateWorth   float64 `json:"late_worth"`
		SetUpTarget int64   `json:"objective_ns"`
		Patience    int64   `json:"give_up_ns"`
	} `json:"profiles"`
	Rules struct {
		AnswerSlack      int64   `json:"answer_slack_ns"`
		ColdCapacity     float64 `json:"cold_from"`
		ColdDuration     int64   `json:"cold_ns"`
		DrainGrace       int64   `json:"drain_grace_ns"`
		OverloadFactor   float64 `json:"overload_factor"`
		OverloadDuration int64   `json:"overload_for_ns"`
	} `json:"rules"`
}

// known names every event with the fields that it must carry.
var known = map[string]func(*Event) []field{
	"Clock": func(e *Event) []field { return []field{{"at_time_ns", e.AtTime != nil}} },
	"End":   func(e *Event) []field { return nil },
	"Launch": func(e *Event) []field {
		return with(e, field{"entropy", e.Seed != nil}, field{"settings", e.Settings != nil})
	},
	"Ledger":    func(e *Event) []field { return []field{{"sheet", e.ListNumber != nil}, {"rows", e.ListEntries != nil}} },
	"Discovery": func(e *Event) []field { return with(e, field{"how", e.UpdateKind != nil}) },
	"Killed":    func(e *Event) []field { return with(e) },
	"PeerData": func(e *Event) []field {
		return with(e, field{"by", e.Sender != nil}, field{"payload", e.Payload != nil})
	},
	"Bell":   func(e *Event) []field { return with(e, field{"nonce", e.Token != nil}) },
	"Hangup": func(e *Event) []field { return with(e, field{"job", e.CallID != nil}) },
	"ProbeResult": func(e *Event) []field {
		return with(e, field{"exchange", e.Exchange != nil}, field{"reason", e.Status != nil})
	},
	"Ask": func(e *Event) []field {
		return with(e, field{"job", e.CallID != nil}, field{"priority", e.Class != nil},
			field{"time_left_ns", e.TimeLeft != nil}, field{"dest", e.Destination != nil})
	},
	"Started": func(e *Event) []field {
		return with(e, field{"job", e.CallID != nil}, field{"trial", e.Attempt != nil}, field{"exchange", e.Exchange != nil})
	},
	"Reply": func(e *Event) []field {
		return with(e, field{"job", e.CallID != nil}, field{"trial", e.Attempt != nil},
			field{"exchange", e.Exchange != nil}, field{"reason", e.Status != nil})
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
		if t, ok := err.(*json.UnmarshalTypeError); ok && e.Type != "" {
			return nil, fmt.Errorf("%s: field %s: not a %s", e.Type, t.Field, t.Type)
		}
		return nil, fmt.Errorf("not a message: %v", err)
	}
	need, ok := known[e.Type]
	if !ok {
		return nil, fmt.Errorf("unknown event %q", e.Type)
	}
	for _, f := range need(e) {
		if !f.there {
			return nil, fmt.Errorf("%s: field %s is missing", e.Type, f.name)
		}
	}
	return e, nil
}

// Action is any line that goes out.
type Action struct {
	Type       string  `json:"what"`
	Controller *int    `json:"controller,omitempty"`
	CallID     string  `json:"job,omitempty"`
	Exchange   *uint32 `json:"exchange,omitempty"`
	Timeout    int64   `json:"allow_for_ns,omitempty"`
	Attempt    *int    `json:"trial,omitempty"`
	Backoff    int64   `json:"backoff_ns,omitempty"`
	Token      *uint64 `json:"nonce,omitempty"`
	Delay      *int64  `json:"delay_ns,omitempty"`
	Text       string  `json:"words,omitempty"`
}
