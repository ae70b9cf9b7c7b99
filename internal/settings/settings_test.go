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

func shipped(t *testing.T) []string {
	files, err := filepath.Glob("../../scenarios/*.xml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no shipped scenario: %v", err)
	}
	return files
}

func TestShippedScenariosReadBackTheSame(t *testing.T) {
	for _, file := range shipped(t) {
		s, err := ReadScenario(file)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := Write(&b, "scenario", s); err != nil {
			t.Fatal(err)
		}
		again, err := ParseScenario(file, &b)
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Errorf("%s does not read back the same: %v", file, err)
		}
	}
}

func TestFaultsNameTheirPlace(t *testing.T) {
	good, err := os.ReadFile(shipped(t)[0])
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, from, to, path, what string }{
		{"unknown element", "<load ", "<lod/><load ", "scenario/lod", "unknown element"},
		{"unknown attribute", "<load ", `<load lvl="1" `, "@lvl", "unknown attribute"},
		{"no duration", `near="`, `near="x`, "@near", "no duration"},
		{"no number", `level="`, `level="x`, "@level", "no number"},
		{"element twice", "<load ", `<load level="1"/><load `, "scenario/load", "stands twice"},
		{"missing", "<load ", "<lead ", "scenario/load", "is missing"},
		{"out of range", `level="`, `level="-`, "load@level", "above 0"},
		{"unknown trouble", `kind="crash"`, `kind="crush"`, "@kind", "not a kind"},
		{"words", "<load ", "some words <load ", "scenario", "holds words"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := string(good)
			if !strings.Contains(text, c.from) {
				t.Skipf("the file has no %q", c.from)
			}
			i := strings.Index(text, c.from)
			text = text[:i] + c.to + text[i+len(c.from):]
			_, err := ParseScenario("f.xml", strings.NewReader(text))
			var all ValidationErrors
			if !errors.As(err, &all) {
				t.Fatalf("%v", err)
			}
			for _, f := range all {
				if strings.Contains(f.Path, c.path) && strings.Contains(f.Reason, c.what) {
					if f.Line < 1 || f.Line > strings.Count(text, "\n")+1 {
						t.Errorf("line %d", f.Line)
					}
					return
				}
			}
			t.Errorf("no fault at %s saying %q among:\n%v", c.path, c.what, err)
		})
	}
}

func TestEveryFaultIsTold(t *testing.T) {
	_, err := ParseScenario("f.xml", strings.NewReader("<scenario>\n<load level=\"x\"/>\n<nothing/>\n</scenario>"))
	var all ValidationErrors
	if !errors.As(err, &all) || len(all) < 8 {
		t.Fatalf("%v", err)
	}
	for i := 1; i < len(all); i++ {
		if all[i].Line < all[i-1].Line {
			t.Fatalf("not in the file's order:\n%v", err)
		}
	}
}

func TestNotXML(t *testing.T) {
	for _, text := range []string{"", "<scenario>", "hello", "<controller/>", strings.Repeat("<a>", 100)} {
		if _, err := ParseScenario("f.xml", strings.NewReader(text)); err == nil || !strings.HasPrefix(err.Error(), "f.xml:") {
			t.Errorf("%.20q: %v", text, err)
		}
	}
}

func TestFaultsOfAController(t *testing.T) {
	const good = `<controller self="3" number="3" controllers="7" seed="42" listen="127.0.0.1:0" list="127.0.0.1:1">
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
	if err := read(good); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, say string }{
		{`number="3"`, `number="7"`, "c.xml:1: @number: is not below controllers"},
		{`listen="127.0.0.1:0"`, `listen=""`, "c.xml:1: @listen: is empty"},
		{`worth="1"`, `worth="0"`, "c.xml:2: class[fetch]@worth: must be above 0"},
		{`patience="9s"`, `patience="1ms"`, "c.xml:2: class[fetch]@patience: is below the aim"},
		{`attempts="6"`, `attempts="0"`, "c.xml:3: rules@attempts: must be above 0"},
		{`release="300ms"`, `release="-1s"`, "c.xml:3: rules@release: is negative"},
		{`calls="10"`, `calls="-1"`, "c.xml:4: @calls: must be above 0"},
		{`mode="failover"`, `mode="both"`, "c.xml:5: flows@mode"},
		{`address="127.0.0.1:4739"`, `address="x" transport="tls"`, "c.xml:5: collector[x]@transport: tls needs ca, cert and key"},
		{`address="127.0.0.1:4739"`, `address="x" protocol="netflow9"`, "netflow9 goes over udp only"},
		{`seed="42"`, `seed="42" policy="mine"`, "c.xml:1: @policy"},
	} {
		if !strings.Contains(good, c.from) {
			t.Fatalf("no %q", c.from)
		}
		if err := read(strings.Replace(good, c.from, c.to, 1)); err == nil || !strings.Contains(err.Error(), c.say) {
			t.Errorf("%s: %v, want %q", c.to, err, c.say)
		}
	}
}
