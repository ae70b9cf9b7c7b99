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

// runAsProgram is the environment variable that makes the test binary, and its child
// processes, run as the program.
const runAsProgram = "DAHLIASPINDLE_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// runProgram runs a command line and returns its output and exit status.
func runProgram(t *testing.T, args ...string) (stdout, stderr string, status int) {
	t.Helper()
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), runAsProgram+"=1")
	var outBuffer, errBuffer bytes.Buffer
	command.Stdout, command.Stderr = &outBuffer, &errBuffer
	err := command.Run()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		t.Fatal(err)
	}
	return outBuffer.String(), errBuffer.String(), command.ProcessState.ExitCode()
}

// shortScenario writes a scenario file: the exchanges of bad-day for five seconds, with
// a few of its troubles.
func shortScenario(t *testing.T) string {
	t.Helper()
	text, _ := scenarios.XML("bad-day")
	text = strings.Replace(text, `length="28s"`, `length="5s"`, 1)
	text = strings.Replace(text, `exchanges="7"`, `exchanges="4"`, 1)
	firstTrouble, end := strings.Index(text, "<trouble"), strings.LastIndex(text, "</scenario>")
	text = text[:firstTrouble] + `<trouble kind="controllers-restart" at="1s" size="0.3"/>
  <trouble kind="crash" at="2s" for="1s" size="0.2"/>
  <trouble kind="links-reset" at="3500ms" size="0.5"/>
` + text[end:]
	file := filepath.Join(t.TempDir(), "short.xml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return file
}

// Runs a short scenario with processes and sockets, then audits and traces its capture.
func TestDemoAuditTrace(t *testing.T) {
	file, dir := shortScenario(t), t.TempDir()
	stdout, stderr, status := runProgram(t, "demo", "--scenario", file, "--seed", "3", "--json", "--dir", dir)
	var result demo.Result
	if err := json.Unmarshal([]byte(stdout), &result); err != nil {
		t.Fatalf("%v\n%s%s", err, stdout, stderr)
	}
	// timing depends on the machine: only what a slow machine can't break is checked
	for _, rule := range result.Rules {
		if rule.Breaches > 0 && rule.Number != 1 || rule.Cases == 0 && rule.Number < 4 {
			t.Errorf("unexpected result of a rule: %+v", rule)
		}
	}
	if (status == 0) != result.RulesKept() || result.Calls.Killed+result.Calls.Abandoned+result.Calls.Answered != result.Calls.Received || result.Calls.Received < 100 || result.CircuitsInUse != 0 {
		t.Errorf("status %d, %+v, %d circuits held\n%s", status, result.Calls, result.CircuitsInUse, stderr)
	}
	if _, _, auditStatus := runProgram(t, "audit", dir); auditStatus != status {
		t.Errorf("audit exits with status %d, demo with %d", auditStatus, status)
	}
	stdout, _, status = runProgram(t, "trace", dir, "c0-1")
	for call := 2; status != 0 && call < 50; call++ {
		stdout, _, status = runProgram(t, "trace", dir, "c0-"+string(rune('0'+call%10)))
	}
	if status != 0 || !strings.Contains(stdout, "Add c0-") || !strings.Contains(stdout, "controller 0") {
		t.Errorf("trace: status %d\n%s", status, stdout)
	}
	if _, stderr, status = runProgram(t, "trace", dir, "nobody"); status != 1 || !strings.Contains(stderr, "nobody") {
		t.Errorf("trace of an unknown call: status %d, %s", status, stderr)
	}
}

// Invalid input exits with status 2, a failed connection with status 1; the message
// names the cause.
func TestErrorMessagesAndExitStatus(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "bad.xml")
	if err := os.WriteFile(invalid, []byte("<controller self=\"x\">\n  <clas/>\n</controller>\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args     []string
		status   int
		messages []string
	}{
		{[]string{"check", invalid}, 2, []string{"bad.xml:1: controller/@self", "bad.xml:2: controller/clas: unknown element", "@listen"}},
		{[]string{"run", invalid}, 2, []string{"bad.xml:2"}},
		{[]string{"demo", "--scenario", invalid}, 2, []string{"root element must be scenario"}},
		{[]string{"demo", "--scenario", "none"}, 2, []string{"none"}},
		{[]string{"audit", invalid + ".not"}, 2, []string{"no such file"}},
		{[]string{"audit", invalid}, 2, []string{"capture", "bad.xml"}},
		{[]string{"load", "127.0.0.1:1"}, 1, []string{"refused"}},
	} {
		_, stderr, status := runProgram(t, test.args...)
		if status != test.status || strings.Contains(stderr, "goroutine ") {
			t.Errorf("%v: status %d, want %d\n%s", test.args, status, test.status, stderr)
		}
		for _, message := range test.messages {
			if !strings.Contains(stderr, message) {
				t.Errorf("%v: %q is missing in the output:\n%s", test.args, message, stderr)
			}
		}
	}
	if stdout, _, status := runProgram(t, "schema"); status != 0 || !strings.Contains(stdout, "xs:schema") {
		t.Errorf("schema: status %d", status)
	}
}
