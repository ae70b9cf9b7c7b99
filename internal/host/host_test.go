package host

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

const launchMessage = `{"what":"Launch","controller":1,"entropy":9,"unknown":1,"settings":{"balancers":3,"me":1,"quantum_ns":5000000,"new_key":{"a":[1]},` +
	`"domain":{"call_length_ns":[10000000000],"circuits_by_class":[1],"release_ns":300000000,"self_no":0,"shape":"network"},` +
	`"policy_limits":{"attempts_cap":4,"max_retry_after_ns":2000000000,"retry_after":true},` +
	`"profiles":[{"name":"plain","worth":1,"late_worth":0.1,"objective_ns":1500000000,"give_up_ns":9000000000}],` +
	`"rules":{"cold_from":0.3,"cold_ns":13000000000,"overload_factor":2,"overload_for_ns":2000000000}}}`

const listMessages = `{"what":"Ledger","sheet":0,"rows":[{"exchange":7,"cell":0,"stage_state":"IN"},{"exchange":8,"cell":1,"stage_state":"IN"}]}
{"what":"Discovery","controller":1,"how":"restored","seq_no":1,"sheet":0}
{"what":"ProbeResult","controller":1,"exchange":8,"reason":200,"cost_time_ns":0,"load":{"idle":5,"circuits":9,"novel":-1}}`

func callMessage(job string) string {
	return `{"what":"Ask","controller":1,"job":"` + job + `","priority":"plain","object":5,"time_left_ns":3000000000,"dest":1,"slots_needed":1,"through":-1}`
}

func batchMessages(at int, lines ...string) string {
	return fmt.Sprintf("{\"what\":\"Clock\",\"at_time_ns\":%d}\n", at) + strings.Join(append(lines, `{"what":"End"}`), "\n") + "\n"
}

func runHost(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Run(strings.NewReader(in), &out)
	for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if l != "" && !json.Valid([]byte(l)) {
			t.Fatalf("not a reply: %q", l)
		}
	}
	return out.String(), err
}

func TestCallIsSentAndEnds(t *testing.T) {
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
		t.Fatalf("%d sends, want one before and one after the restart:\n%s", n, out)
	}
	if n := strings.Count(out, `"Finished"`); n != 6 {
		t.Fatalf("%d replies for 6 batches", n)
	}
}

func TestListNumberIsReusedInOrder(t *testing.T) {
	second := `{"what":"Ledger","sheet":0,"rows":[{"exchange":8,"cell":1,"stage_state":"LAME"}]}
{"what":"Discovery","controller":1,"how":"update","seq_no":2,"sheet":0}`
	out, err := runHost(t, batchMessages(1e9, launchMessage, listMessages, second, callMessage("a")))
	if err != nil || strings.Contains(out, `"Send"`) {
		t.Fatalf("a draining exchange was sent to: %v\n%s", err, out)
	}
}

func TestBadInput(t *testing.T) {
	ok := func(l string) string { return batchMessages(1e9, launchMessage, listMessages, l) }
	for name, c := range map[string]struct{ in, want string }{
		"malformed":        {ok(`{"what":"Ask"`), "not a message"},
		"unknown event":    {ok(`{"what":"Dance","controller":1}`), `unknown event "Dance"`},
		"missing field":    {ok(`{"what":"Ask","controller":1,"priority":"plain","time_left_ns":1,"dest":1}`), "Ask: field job is missing"},
		"wrong type":       {ok(`{"what":"Bell","controller":1,"nonce":"x"}`), "Bell: field nonce"},
		"unknown instance": {ok(`{"what":"Bell","controller":4,"nonce":1}`), "Bell: field controller: no instance 4"},
		"unknown class":    {ok(strings.Replace(callMessage("a"), "plain", "odd", 1)), `Ask: field priority: unknown class "odd"`},
		"unknown list":     {ok(`{"what":"Discovery","controller":1,"how":"update","sheet":9}`), "Discovery: field sheet: no list 9"},
		"no classes":       {batchMessages(1, strings.Replace(launchMessage, `"profiles":[`, `"profiles":[],"x":[`, 1)), "no classes"},
		"negative time":    {batchMessages(1, strings.Replace(launchMessage, `"release_ns":3`, `"release_ns":-3`, 1)), "release_ns is negative"},
		"outside a batch":  {launchMessage + "\n", "Launch outside a batch"},
		"cut short":        {`{"what":"Clock","at_time_ns":1}` + "\n", "input ends within a batch"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := runHost(t, c.in)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("got %v, want one line with %q", err, c.want)
			}
		})
	}
}

func TestOddButLegal(t *testing.T) {
	in := batchMessages(0) + batchMessages(1e9, launchMessage) + // no exchange known
		batchMessages(2e9, callMessage("lonely"), `{"what":"Hangup","controller":1,"job":"never"}`,
			`{"what":"Reply","controller":1,"job":"never","trial":3,"exchange":99,"reason":503}`) +
		batchMessages(3e9, listMessages, `{"what":"ProbeResult","controller":1,"exchange":8,"reason":200,"load":{"idle":0,"circuits":0}}`,
			strings.Replace(callMessage("late"), "3000000000", "0", 1)) +
		batchMessages(9e9, `{"what":"Bell","controller":1,"nonce":77}`)
	out, err := runHost(t, in)
	if err != nil {
		t.Fatal(err)
	}
	for _, job := range []string{"lonely", "late"} {
		finals := 0
		for _, l := range strings.Split(out, "\n") {
			if strings.Contains(l, `"`+job+`"`) && (strings.Contains(l, "PushBack") || strings.Contains(l, "GiveUp")) {
				finals++
			}
		}
		if finals != 1 {
			t.Errorf("%s: %d final answers\n%s", job, finals, out)
		}
	}
}
