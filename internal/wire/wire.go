// Package wire defines the JSON lines of the bench adapter: a simulator sends events
// to the host and the host answers with actions, one object per line. It also
// converts the settings in the adapter's first message for the routing module.
package wire

import (
	"encoding/json"
	"fmt"
)

// Event is an incoming line of any type. Fields absent from the line are nil or zero.
// The fields that each type requires are listed in requiredFields.
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
	Via            *float64     `json:"through"`
	Retry          bool         `json:"resent"`
	Transit        bool         `json:"transit"`
	Reconnect      bool         `json:"again"`
	Sender         *int         `json:"by"`
	Payload        *string      `json:"payload"`
	ExchangeID     *uint32      `json:"exchange"`
	Status         *int         `json:"reason"`
	Elapsed        *int64       `json:"cost_time_ns"`
	Load           LoadReport   `json:"load"`
	Attempt        *int         `json:"trial"`
	Final          bool         `json:"final"`
	Note           int          `json:"note"`
	Token          *uint64      `json:"nonce"`
}

// LoadReport maps the names of load figures to their values. Unknown names are
// allowed.
type LoadReport map[string]*float64

// Get returns a value by name and reports whether it is present and not negative.
func (r LoadReport) Get(name string) (float64, bool) {
	if value := r[name]; value != nil && *value >= 0 {
		return *value, true
	}
	return 0, false
}

// ListEntry is one entry of an exchange list. State is IN, LAME (draining) or OUT.
type ListEntry struct {
	ExchangeID     *uint32 `json:"exchange"`
	ExchangeNumber *int    `json:"cell"`
	State          *string `json:"stage_state"`
	Since          int64   `json:"online_since_ns"`
}

// Settings holds the settings that an instance starts with. Keys without a field are
// ignored. Fields for times are in nanoseconds.
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

// requiredFields gives, by event type, the fields that an event must have.
var requiredFields = map[string]func(*Event) []requiredField{
	"Clock": func(e *Event) []requiredField { return []requiredField{{"at_time_ns", e.AtTime != nil}} },
	"End":   func(e *Event) []requiredField { return nil },
	"Launch": func(e *Event) []requiredField {
		return withController(e, requiredField{"entropy", e.Seed != nil}, requiredField{"settings", e.Settings != nil})
	},
	"Ledger": func(e *Event) []requiredField {
		return []requiredField{{"sheet", e.ListNumber != nil}, {"rows", e.ListEntries != nil}}
	},
	"Discovery": func(e *Event) []requiredField { return withController(e, requiredField{"how", e.UpdateKind != nil}) },
	"Killed":    func(e *Event) []requiredField { return withController(e) },
	"PeerData": func(e *Event) []requiredField {
		return withController(e, requiredField{"by", e.Sender != nil}, requiredField{"payload", e.Payload != nil})
	},
	"Bell":   func(e *Event) []requiredField { return withController(e, requiredField{"nonce", e.Token != nil}) },
	"Hangup": func(e *Event) []requiredField { return withController(e, requiredField{"job", e.CallID != nil}) },
	"ProbeResult": func(e *Event) []requiredField {
		return withController(e, requiredField{"exchange", e.ExchangeID != nil}, requiredField{"reason", e.Status != nil})
	},
	"Ask": func(e *Event) []requiredField {
		return withController(e, requiredField{"job", e.CallID != nil}, requiredField{"priority", e.Class != nil},
			requiredField{"time_left_ns", e.TimeLeft != nil}, requiredField{"dest", e.Destination != nil})
	},
	"Started": func(e *Event) []requiredField {
		return withController(e, requiredField{"job", e.CallID != nil}, requiredField{"trial", e.Attempt != nil}, requiredField{"exchange", e.ExchangeID != nil})
	},
	"Reply": func(e *Event) []requiredField {
		return withController(e, requiredField{"job", e.CallID != nil}, requiredField{"trial", e.Attempt != nil},
			requiredField{"exchange", e.ExchangeID != nil}, requiredField{"reason", e.Status != nil})
	},
}

// requiredField is a field that an event must have, with whether it has it.
type requiredField struct {
	name    string
	present bool
}

// withController adds the controller number to the required fields of an event.
func withController(e *Event, fields ...requiredField) []requiredField {
	return append([]requiredField{{"controller", e.Controller != nil}}, fields...)
}

// Decode parses one line and checks that it has all required fields. The text of an
// error is a single line.
func Decode(line []byte) (*Event, error) {
	e := &Event{}
	if err := json.Unmarshal(line, e); err != nil {
		if typeErr, ok := err.(*json.UnmarshalTypeError); ok && e.Type != "" {
			return nil, fmt.Errorf("%s: field %s: not a %s", e.Type, typeErr.Field, typeErr.Type)
		}
		return nil, fmt.Errorf("not a message: %v", err)
	}
	required, ok := requiredFields[e.Type]
	if !ok {
		return nil, fmt.Errorf("unknown event %q", e.Type)
	}
	for _, f := range required(e) {
		if !f.present {
			return nil, fmt.Errorf("%s: field %s is missing", e.Type, f.name)
		}
	}
	return e, nil
}

// Action is an outgoing line of any type. Zero fields are not written, except Type.
type Action struct {
	Type       string  `json:"what"`
	Controller *int    `json:"controller,omitempty"`
	CallID     string  `json:"job,omitempty"`
	ExchangeID *uint32 `json:"exchange,omitempty"`
	Timeout    int64   `json:"allow_for_ns,omitempty"`
	Attempt    *int    `json:"trial,omitempty"`
	Backoff    int64   `json:"backoff_ns,omitempty"`
	Token      *uint64 `json:"nonce,omitempty"`
	Delay      *int64  `json:"delay_ns,omitempty"`
	Text       string  `json:"words,omitempty"`
}
