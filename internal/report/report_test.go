package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
)

// The page contains each pair, is well-formed, and escapes names.
func TestHTML(t *testing.T) {
	report := &Report{
		Name:            "<script>alert(1)</script>",
		Exchanges:       3,
		Growth:          1,
		ModuleSize:      30,
		CircuitsNow:     90,
		CircuitsAdvised: 120,
		Seeds:           20,
		Bistable:        true,
		Classes:         []Class{{Name: "urgent & premium", Target: 0.01, Simulated: &SimulatedLoss{Calls: 10, Loss: 0.004}}},
		Pairs:           []Pair{{A: 0, B: 1, Offered: 12.5, CircuitsNow: 30, CircuitsAdvised: 30, PredictedLoss: 0.0031, Simulated: &SimulatedLoss{Calls: 900, Loss: 0.0025}}, {A: 0, B: 2, Offered: 40, CircuitsNow: 60, CircuitsAdvised: 90, PredictedLoss: 0.0123, Simulated: &SimulatedLoss{Calls: 800, Loss: 0.02}}},
		Moves:           []Move{{Action: "buy 30 circuits between 0 and 2", LostTraffic: 1.5}},
	}
	var buffer bytes.Buffer
	if err := HTML(&buffer, report); err != nil {
		t.Fatal(err)
	}
	page := buffer.String()
	for _, want := range []string{"0 and 2", "12.50", "1.23 %", "urgent &amp; premium", "either of two states", "buy 30 circuits", "&lt;script&gt;"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	if strings.Contains(page, "<script>") || strings.Count(page, "<svg") != 2 {
		t.Errorf("the page contains a script, or %d plots instead of 2", strings.Count(page, "<svg"))
	}
	decoder := xml.NewDecoder(strings.NewReader(page))
	decoder.Strict, decoder.AutoClose, decoder.Entity = false, []string{"meta"}, xml.HTMLEntity
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	buffer.Reset()
	if err := HTML(&buffer, &Report{}); err != nil { // an empty report
		t.Error(err)
	}
}
