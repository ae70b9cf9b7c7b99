package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"dahliaspindle/internal/demo"
	"dahliaspindle/scenarios"
)

// The test binary is the program when this is set, for its children too.
const asProgram = "DAHLIASPINDLE_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program runs the command line and returns what it printed and its status.
func program(t *testing.T, args ...string) (out, errs string, status int) {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), asProgram+"=1")
	var o, e bytes.Buffer
	c.Stdout, c.Stderr = &o, &e
	err := c.Run()
	var x *exec.ExitError
	if err != nil && !errors.As(err, &x) {
		t.Fatal(err)
	}
	return o.String(), e.String(), c.ProcessState.ExitCode()
}

// shortDay is the bad day's fleet for five seconds, with a few of its troubles.
func shortDay(t *testing.T) string {
	t.Helper()
	text, _ := scenarios.XML("bad-day")
	text = strings.Replace(text, `length="28s"`, `length="5s"`, 1)
	text = strings.Replace(text, `exchanges="7"`, `exchanges="4"`, 1)
	i, j := strings.Index(text, "<trouble"), strings.LastIndex(text, "</scenario>")
	text = text[:i] + `<trouble kind="controllers-restart" at="1s" size="0.3"/>
  <trouble kind="crash" at="2s" for="1s" size="0.2"/>
  <trouble kind="links-reset" at="3500ms" size="0.5"/>
` + text[j:]
	file := filepath.Join(t.TempDir(), "short.xml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return file
}

// A short day with processes and sockets; then its capture by itself.
func TestDemoAuditTrace(t *testing.T) {
	file, dir := shortDay(t), t.TempDir()
	out, errs, status := program(t, "demo", "--scenario", file, "--seed", "3", "--json", "--dir", dir)
	var r demo.Result
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatalf("%v\n%s%s", err, out, errs)
	}
	// timing is the machine's here: what no noise can break is asked for
	for _, u := range r.Rules {
		if u.Breaches > 0 && u.Number != 1 || u.Cases == 0 && u.Number < 4 {
			t.Errorf("%+v", u)
		}
	}
	if (status == 0) != r.RulesKept() || r.Calls.Killed+r.Calls.Abandoned+r.Calls.Answered != r.Calls.Received || r.Calls.Received < 100 || r.CircuitsInUse != 0 {
		t.Errorf("status %d, %+v, %d circuits held\n%s", status, r.Calls, r.CircuitsInUse, errs)
	}
	if _, _, again := program(t, "audit", dir); again != status {
		t.Errorf("audit says %d, the demo %d", again, status)
	}
	out, _, status = program(t, "trace", dir, "c0-1")
	for call := 2; status != 0 && call < 50; call++ {
		out, _, status = program(t, "trace", dir, "c0-"+string(rune('0'+call%10)))
	}
	if status != 0 || !strings.Contains(out, "Add c0-") || !strings.Contains(out, "controller 0") {
		t.Errorf("trace: %d\n%s", status, out)
	}
	if _, errs, status = program(t, "trace", dir, "nobody"); status != 1 || !strings.Contains(errs, "nobody") {
		t.Errorf("trace of nobody: %d %s", status, errs)
	}
}

func TestFaultsAndStatus(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.xml")
	if err := os.WriteFile(bad, []byte("<controller self=\"x\">\n  <clas/>\n</controller>\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   []string
		status int
		say    []string
	}{
		{[]string{"check", bad}, 2, []string{"bad.xml:1: controller/@self", "bad.xml:2: controller/clas: unknown element", "@listen"}},
		{[]string{"run", bad}, 2, []string{"bad.xml:2"}},
		{[]string{"demo", "--scenario", bad}, 2, []string{"root element must be scenario"}},
		{[]string{"demo", "--scenario", "none"}, 2, []string{"none"}},
		{[]string{"audit", bad + ".not"}, 2, []string{"no such file"}},
		{[]string{"audit", bad}, 2, []string{"capture", "bad.xml"}},
		{[]string{"load", "127.0.0.1:1"}, 1, []string{"refused"}},
	} {
		_, errs, status := program(t, c.args...)
		if status != c.status || strings.Contains(errs, "goroutine ") {
			t.Errorf("%v: status %d, want %d\n%s", c.args, status, c.status, errs)
		}
		for _, s := range c.say {
			if !strings.Contains(errs, s) {
				t.Errorf("%v: %q is not said:\n%s", c.args, s, errs)
			}
		}
	}
	if out, _, status := program(t, "schema"); status != 0 || !strings.Contains(out, "xs:schema") {
		t.Errorf("schema: %d", status)
	}
}
