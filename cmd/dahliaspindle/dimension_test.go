package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dahliaspindle/internal/report"
)

// A plan, its advice and its proof on the command line: the numbers of each agree,
// the page is written, a target is held in simulation.
func TestPlanAdviseProve(t *testing.T) {
	var all [3]report.Report
	page := filepath.Join(t.TempDir(), "report.html")
	common := []string{"quiet-day", "--exchanges", "4", "--module", "10", "--networks", "60", "--json"}
	for i, args := range [][]string{{"plan"}, {"advise", "--buy", "1", "--move", "0"}, {"prove", "--seeds", "4", "--length", "15m", "--html", page}} {
		out, errs, status := program(t, append(append([]string{"dimension", args[0]}, common...), args[1:]...)...)
		if status != 0 {
			t.Fatalf("%v: status %d, %s", args, status, errs)
		}
		if err := json.Unmarshal([]byte(out), &all[i]); err != nil {
			t.Fatalf("%v: %v", args, err)
		}
	}
	p, a, v := all[0], all[1], all[2]
	if p.CircuitsAdvised == 0 || p.CircuitsAdvised%10 != 0 || p.CircuitsAdvised != a.CircuitsAdvised || p.CircuitsAdvised != v.CircuitsAdvised || p.CircuitsProportional < p.CircuitsAdvised || p.CostBound > p.Cost {
		t.Errorf("advised %d, %d, %d; in proportion %d; cost %v, bound %v", p.CircuitsAdvised, a.CircuitsAdvised, v.CircuitsAdvised, p.CircuitsProportional, p.Cost, p.CostBound)
	}
	if len(a.Pairs) != 6 || len(a.Moves) > 1 {
		t.Errorf("%d pairs, moves %v", len(a.Pairs), a.Moves)
	}
	for _, c := range v.Classes {
		if c.Simulated == nil || c.Simulated.Loss > c.Target || c.PredictedLoss > c.Target {
			t.Errorf("%+v", c)
		}
	}
	if b, err := os.ReadFile(page); err != nil || strings.Count(string(b), "<svg") != 2 {
		t.Errorf("the page: %v", err)
	}
}

// A day of records becomes a curve, once; what can't be done is told with its place and status 2.
func TestCurveAndFaults(t *testing.T) {
	dir := t.TempDir()
	if _, errs, status := program(t, "demo", "--scenario", shortDay(t), "--flows", "--dir", dir, "--json"); status != 0 {
		t.Fatal(errs)
	}
	flows, store := filepath.Join(dir, "flows.ipfix"), filepath.Join(dir, "curve")
	for i := range 2 {
		out, errs, status := program(t, "dimension", "curve", store, "--add", flows, "--step", "15m", "--json")
		var got struct {
			Lines []struct {
				Slots []struct{ Tries int }
			}
		}
		if err := json.Unmarshal([]byte(out), &got); err != nil || status != 0 || len(got.Lines) < 12 {
			t.Fatalf("status %d, %d lines, %v, %s", status, len(got.Lines), err, errs)
		}
		if told := strings.Contains(errs, "in the curve already"); told != (i == 1) {
			t.Errorf("time %d: %q", i+1, errs)
		}
	}
	for _, x := range []struct{ args, want string }{
		{"plan quiet-day --loss 0", "a loss of 0"},
		{"plan quiet-day --loss 1", "a loss of 1"},
		{"plan quiet-day --target nobody=0.1", `no class "nobody"`},
		{"plan quiet-day --exchanges 2", "--exchanges"},
		{"plan quiet-day --module 0", "modules of 0"},
		{"prove quiet-day --length 1m", "is over before"},
		{"prove quiet-day --growth 2", "--growth"},
		{"curve " + dir, "curve"},
	} {
		_, errs, status := program(t, append([]string{"dimension"}, strings.Fields(x.args)...)...)
		if status != 2 || !strings.Contains(errs, x.want) {
			t.Errorf("%s: status %d, %s", x.args, status, errs)
		}
	}
}
