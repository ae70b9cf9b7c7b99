package settings

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// shippedScenarios returns the paths of the scenario files of the project.
func shippedScenarios(t *testing.T) []string {
	files, err := filepath.Glob("../../scenarios/*.xml")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no shipped scenario: %v", err)
	}
	return files
}

func TestShippedScenariosRoundTrip(t *testing.T) {
	for _, file := range shippedScenarios(t) {
		s, err := ReadScenario(file)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := Write(&b, "scenario", s); err != nil {
			t.Fatal(err)
		}
		reread, err := ParseScenario(file, &b)
		if err != nil || !reflect.DeepEqual(s, reread) {
			t.Errorf("%s is not read back the same: %v", file, err)
		}
	}
}

func TestScenarioErrorsNameLineAndPath(t *testing.T) {
	valid, err := os.ReadFile(shippedScenarios(t)[0])
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, from, to, path, reason string }{
		{"unknown element", "<load ", "<lod/><load ", "scenario/lod", "unknown element"},
		{"unknown attribute", "<load ", `<load lvl="1" `, "@lvl", "unknown attribute"},
		{"not a duration", `near="`, `near="x`, "@near", "not a duration"},
		{"not a number", `level="`, `level="x`, "@level", "not a number"},
		{"element twice", "<load ", `<load level="1"/><load `, "scenario/load", "appears more than once"},
		{"missing", "<load ", "<lead ", "scenario/load", "is missing"},
		{"out of range", `level="`, `level="-`, "load@level", "greater than 0"},
		{"unknown trouble", `kind="crash"`, `kind="crush"`, "@kind", "not a known kind"},
		{"text", "<load ", "some words <load ", "scenario", "contains text"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := string(valid)
			if !strings.Contains(text, c.from) {
				t.Skipf("the scenario has no %q", c.from)
			}
			i := strings.Index(text, c.from)
			text = text[:i] + c.to + text[i+len(c.from):]
			_, err := ParseScenario("f.xml", strings.NewReader(text))
			var faults ValidationErrors
			if !errors.As(err, &faults) {
				t.Fatalf("got %v, want ValidationErrors", err)
			}
			for _, fault := range faults {
				if strings.Contains(fault.Path, c.path) && strings.Contains(fault.Reason, c.reason) {
					if fault.Line < 1 || fault.Line > strings.Count(text, "\n")+1 {
						t.Errorf("line %d is not in the file", fault.Line)
					}
					return
				}
			}
			t.Errorf("no error at %s with %q among:\n%v", c.path, c.reason, err)
		})
	}
}

func TestAllErrorsAreReportedInOrder(t *testing.T) {
	_, err := ParseScenario("f.xml", strings.NewReader("<scenario>\n<load level=\"x\"/>\n<nothing/>\n</scenario>"))
	var faults ValidationErrors
	if !errors.As(err, &faults) || len(faults) < 8 {
		t.Fatalf("got %v, want at least 8 errors", err)
	}
	for i := 1; i < len(faults); i++ {
		if faults[i].Line < faults[i-1].Line {
			t.Fatalf("errors are not in the order of their lines:\n%v", err)
		}
	}
}

func TestOtherDocumentsAreRejected(t *testing.T) {
	for _, text := range []string{"", "<scenario>", "hello", "<controller/>", strings.Repeat("<a>", 100)} {
		if _, err := ParseScenario("f.xml", strings.NewReader(text)); err == nil || !strings.HasPrefix(err.Error(), "f.xml:") {
			t.Errorf("%.20q: got %v, want an error that names the file", text, err)
		}
	}
}

func TestControllerErrorsNameLineAndPath(t *testing.T) {
	const valid = `<controller self="3" number="3" controllers="7" seed="42" listen="127.0.0.1:0" list="127.0.0.1:1">
  <class name="fetch" worth="1" late-worth="0.1" aim="1s" patience="9s" holding="6s" circuits="1"/>
  <rules release="300ms" drain-grace="250ms" answer-slack="20ms" cold-from="0.3" cold-for="10s" overload-factor="2.5" overload-for="3s" attempts="6"/>
  <limits calls="10"/>
  <flows mode="failover"><collector address="127.0.0.1:4739"/></flows>
</controller>`
	read := func(text string) error {
		file := filepath.Join(t.TempDir(), "c.xml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadController(file)
		return err
	}
	if err := read(valid); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`number="3"`, `number="7"`, "c.xml:1: @number: must be at least 0 and less than controllers"},
		{`listen="127.0.0.1:0"`, `listen=""`, "c.xml:1: @listen: is empty"},
		{`worth="1"`, `worth="0"`, "c.xml:2: class[fetch]@worth: must be greater than 0"},
		{`patience="9s"`, `patience="1ms"`, "c.xml:2: class[fetch]@patience: must be at least the aim"},
		{`attempts="6"`, `attempts="0"`, "c.xml:3: rules@attempts: must be greater than 0"},
		{`release="300ms"`, `release="-1s"`, "c.xml:3: rules@release: is negative"},
		{`calls="10"`, `calls="-1"`, "c.xml:4: @calls: must be greater than 0"},
		{`mode="failover"`, `mode="both"`, "c.xml:5: flows@mode"},
		{`address="127.0.0.1:4739"`, `address="x" transport="tls"`, "c.xml:5: collector[x]@transport: tls requires ca, cert and key"},
		{`address="127.0.0.1:4739"`, `address="x" protocol="netflow9"`, "netflow9 requires transport udp"},
		{`seed="42"`, `seed="42" policy="mine"`, "c.xml:1: @policy"},
	} {
		if !strings.Contains(valid, c.from) {
			t.Fatalf("the valid settings do not contain %q", c.from)
		}
		if err := read(strings.Replace(valid, c.from, c.to, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.to, err, c.want)
		}
	}
}
