package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dahliaspindle/internal/report"
)

// The commands plan, advise and prove report the same plan; the HTML page is written;
// the simulated loss stays within the targets.
func TestPlanAdviseProve(t *testing.T) {
	var reports [3]report.Report
	page := filepath.Join(t.TempDir(), "report.html")
	common := []string{"quiet-day", "--exchanges", "4", "--module", "10", "--networks", "60", "--json"}
	for i, args := range [][]string{{"plan"}, {"advise", "--buy", "1", "--move", "0"}, {"prove", "--seeds", "4", "--length", "15m", "--html", page}} {
		stdout, stderr, status := runProgram(t, append(append([]string{"dimension", args[0]}, common...), args[1:]...)...)
		if status != 0 {
			t.Fatalf("%v: status %d, %s", args, status, stderr)
		}
		if err := json.Unmarshal([]byte(stdout), &reports[i]); err != nil {
			t.Fatalf("%v: %v", args, err)
		}
	}
	plan, advice, proof := reports[0], reports[1], reports[2]
	if plan.CircuitsAdvised == 0 || plan.CircuitsAdvised%10 != 0 || plan.CircuitsAdvised != advice.CircuitsAdvised || plan.CircuitsAdvised != proof.CircuitsAdvised || plan.CircuitsProportional < plan.CircuitsAdvised || plan.CostBound > plan.Cost {
		t.Errorf("advised %d, %d, %d; proportional %d; cost %v, bound %v", plan.CircuitsAdvised, advice.CircuitsAdvised, proof.CircuitsAdvised, plan.CircuitsProportional, plan.Cost, plan.CostBound)
	}
	if len(advice.Pairs) != 6 || len(advice.Moves) > 1 {
		t.Errorf("%d pairs, moves %v", len(advice.Pairs), advice.Moves)
	}
	for _, class := range proof.Classes {
		if class.Simulated == nil || class.Simulated.Loss > class.Target || class.PredictedLoss > class.Target {
			t.Errorf("loss above the target: %+v", class)
		}
	}
	if content, err := os.ReadFile(page); err != nil || strings.Count(string(content), "<svg") != 2 {
		t.Errorf("HTML page: %v", err)
	}
}

// A file of flow records is added to a curve only once. Invalid arguments are reported
// and exit with status 2.
func TestCurveAndInvalidArguments(t *testing.T) {
	dir := t.TempDir()
	if _, stderr, status := runProgram(t, "demo", "--scenario", shortScenario(t), "--flows", "--dir", dir, "--json"); status != 0 {
		t.Fatal(stderr)
	}
	flows, store := filepath.Join(dir, "flows.ipfix"), filepath.Join(dir, "curve")
	for i := range 2 {
		stdout, stderr, status := runProgram(t, "dimension", "curve", store, "--add", flows, "--step", "15m", "--json")
		var output struct {
			Lines []struct {
				Slots []struct{ Tries int }
			}
		}
		if err := json.Unmarshal([]byte(stdout), &output); err != nil || status != 0 || len(output.Lines) < 12 {
			t.Fatalf("status %d, %d lines, %v, %s", status, len(output.Lines), err, stderr)
		}
		if reported := strings.Contains(stderr, "in the curve already"); reported != (i == 1) {
			t.Errorf("addition %d: %q", i+1, stderr)
		}
	}
	for _, test := range []struct{ args, want string }{
		{"plan quiet-day --loss 0", "a loss of 0"},
		{"plan quiet-day --loss 1", "a loss of 1"},
		{"plan quiet-day --target nobody=0.1", `no class "nobody"`},
		{"plan quiet-day --exchanges 2", "--exchanges"},
		{"plan quiet-day --module 0", "modules of 0"},
		{"prove quiet-day --length 1m", "is over before"},
		{"prove quiet-day --growth 2", "--growth"},
		{"curve " + dir, "curve"},
	} {
		_, stderr, status := runProgram(t, append([]string{"dimension"}, strings.Fields(test.args)...)...)
		if status != 2 || !strings.Contains(stderr, test.want) {
			t.Errorf("%s: status %d, %s", test.args, status, stderr)
		}
	}
}
