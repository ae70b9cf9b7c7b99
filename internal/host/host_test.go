package host

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// launchMessage starts a controller with one class of calls. It has keys that the host
// does not know and must ignore.
const launchMessage = `{"what":"Launch","controller":1,"entropy":9,"unknown":1,"settings":{"balancers":3,"me":1,"quantum_ns":5000000,"new_key":{"a":[1]},` +
	`"domain":{"call_length_ns":[10000000000],"circuits_by_class":[1],"release_ns":300000000,"self_no":0,"shape":"network"},` +
	`"policy_limits":{"attempts_cap":4,"max_retry_after_ns":2000000000,"retry_after":true},` +
	`"profiles":[{"name":"plain","worth":1,"late_worth":0.1,"objective_ns":1500000000,"give_up_ns":9000000000}],` +
	`"rules":{"cold_from":0.3,"cold_ns":13000000000,"overload_factor":2,"overload_for_ns":2000000000}}}`

// listMessages announces two exchanges and reports 5 free circuits to exchange 8.
const listMessages = `{"what":"Ledger","sheet":0,"rows":[{"exchange":7,"cell":0,"stage_state":"IN"},{"exchange":8,"cell":1,"stage_state":"IN"}]}
{"what":"Discovery","controller":1,"how":"restored","seq_no":1,"sheet":0}
{"what":"ProbeResult","controller":1,"exchange":8,"reason":200,"cost_time_ns":0,"load":{"idle":5,"circuits":9,"novel":-1}}`

// callMessage returns the event of a call to exchange number 1.
func callMessage(id string) string {
	return `{"what":"Ask","controller":1,"job":"` + id + `","priority":"plain","object":5,"time_left_ns":3000000000,"dest":1,"slots_needed":1,"through":-1}`
}

// batchMessages returns a batch of events at a time in nanoseconds.
func batchMessages(at int, events ...string) string {
	return fmt.Sprintf("{\"what\":\"Clock\",\"at_time_ns\":%d}\n", at) + strings.Join(append(events, `{"what":"End"}`), "\n") + "\n"
}

// runHost runs the host on the given input, checks that its output is JSON, and
// returns the output and the error of Run.
func runHost(t *testing.T, input string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Run(strings.NewReader(input), &out)
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if line != "" && !json.Valid([]byte(line)) {
			t.Fatalf("output line is not JSON: %q", line)
		}
	}
	return out.String(), err
}

func TestCallsBeforeAndAfterRestartAreSent(t *testing.T) {
	in := batchMessages(0) + batchMessages(1e9, launchMessage, listMessages) + batchMessages(2e9, callMessage("a")) +
		batchMessages(3e9, `{"what":"Started","controller":1,"job":"a","trial":0,"exchange":8,"cost_time_ns":100}`) +
		batchMessages(4e9, `{"what":"Reply","controller":1,"job":"a","trial":0,"exchange":8,"reason":200,"cost_time_ns":100,"final":true}`,
			`{"what":"Hangup","controller":1,"job":"a"}`) +
		batchMessages(5e9, `{"what":"Killed","controller":1}`, launchMessage, listMessages, callMessage("b"))
	out, err := runHost(t, in)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, `"Send"`); n != 2 {
		t.Fatalf("got %d Send actions, want one before and one after the restart:\n%s", n, out)
	}
	if n := strings.Count(out, `"Finished"`); n != 6 {
		t.Fatalf("got %d Finished actions for 6 batches", n)
	}
}

// An exchange list may reuse the number of an earlier one: the later list applies to
// the events after it.
func TestReusedListNumberReplacesList(t *testing.T) {
	second := `{"what":"Ledger","sheet":0,"rows":[{"exchange":8,"cell":1,"stage_state":"LAME"}]}
{"what":"Discovery","controller":1,"how":"update","seq_no":2,"sheet":0}`
	out, err := runHost(t, batchMessages(1e9, launchMessage, listMessages, second, callMessage("a")))
	if err != nil || strings.Contains(out, `"Send"`) {
		t.Fatalf("a call was sent to a draining exchange: %v\n%s", err, out)
	}
}

func TestInvalidInputIsRejected(t *testing.T) {
	started := func(event string) string { return batchMessages(1e9, launchMessage, listMessages, event) }
	for name, c := range map[string]struct{ in, want string }{
		"malformed":        {started(`{"what":"Ask"`), "not a message"},
		"unknown event":    {started(`{"what":"Dance","controller":1}`), `unknown event "Dance"`},
		"missing field":    {started(`{"what":"Ask","controller":1,"priority":"plain","time_left_ns":1,"dest":1}`), "Ask: field job is missing"},
		"wrong type":       {started(`{"what":"Bell","controller":1,"nonce":"x"}`), "Bell: field nonce"},
		"unknown instance": {started(`{"what":"Bell","controller":4,"nonce":1}`), "Bell: field controller: no instance 4"},
		"unknown class":    {started(strings.Replace(callMessage("a"), "plain", "odd", 1)), `Ask: field priority: unknown class "odd"`},
		"unknown list":     {started(`{"what":"Discovery","controller":1,"how":"update","sheet":9}`), "Discovery: field sheet: no list 9"},
		"no classes":       {batchMessages(1, strings.Replace(launchMessage, `"profiles":[`, `"profiles":[],"x":[`, 1)), "no classes"},
		"negative time":    {batchMessages(1, strings.Replace(launchMessage, `"release_ns":3`, `"release_ns":-3`, 1)), "release_ns is negative"},
		"outside a batch":  {launchMessage + "\n", "Launch outside a batch"},
		"cut short":        {`{"what":"Clock","at_time_ns":1}` + "\n", "input ends within a batch"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := runHost(t, c.in)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("got %v, want a single line with %q", err, c.want)
			}
		})
	}
}

// Input that is valid but unusual: an empty exchange list, events for unknown calls and
// timers, a group without circuits and a call without time left. Each call must get
// exactly one final answer.
func TestUnusualValidInputIsAccepted(t *testing.T) {
	in := batchMessages(0) + batchMessages(1e9, launchMessage) + // no exchange list yet
		batchMessages(2e9, callMessage("lonely"), `{"what":"Hangup","controller":1,"job":"never"}`,
			`{"what":"Reply","controller":1,"job":"never","trial":3,"exchange":99,"reason":503}`) +
		batchMessages(3e9, listMessages, `{"what":"ProbeResult","controller":1,"exchange":8,"reason":200,"load":{"idle":0,"circuits":0}}`,
			strings.Replace(callMessage("late"), "3000000000", "0", 1)) +
		batchMessages(9e9, `{"what":"Bell","controller":1,"nonce":77}`)
	out, err := runHost(t, in)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"lonely", "late"} {
		finalAnswers := 0
		for _, line := range strings.Split(out, "\n") {
			if strings.Contains(line, `"`+id+`"`) && (strings.Contains(line, "PushBack") || strings.Contains(line, "GiveUp")) {
				finalAnswers++
			}
		}
		if finalAnswers != 1 {
			t.Errorf("call %s: got %d final answers, want 1\n%s", id, finalAnswers, out)
		}
	}
}
