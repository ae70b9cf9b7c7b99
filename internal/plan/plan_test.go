package plan

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"testing"

	"dahliaspindle/internal/loss"
	"dahliaspindle/internal/network"
)

// drawn is a task over unequal pairs: a mesh without groups, two classes.
func drawn(n int, seed uint64) *Task {
	rnd := rand.New(rand.NewPCG(seed, 7))
	m := &network.Mesh{Classes: []network.Class{{Name: "one", Circuits: 1, HoldingTime: 90, Worth: 1}, {Name: "two", Circuits: 2, HoldingTime: 120, Worth: 2}},
		MaxTandems: 2, Reservation: network.Reservation{Base: 2, Window: 10}, MeanWait: 3}
	t := &Task{Mesh: m, TargetLoss: []float64{0.01, 0.03}, Growth: 1, ModuleSize: 1, MaxSolves: 200}
	for i := range n {
		m.Circuits = append(m.Circuits, make([]int, n))
		m.Offered = append(m.Offered, make([][]float64, n))
		t.Region = append(t.Region, i%2)
		for j := range n {
			m.Offered[i][j] = make([]float64, 2)
			if i != j {
				a := 100 / float64(n) * math.Exp(0.5*rnd.NormFloat64())
				m.Offered[i][j] = []float64{0.9 * a, 0.05 * a}
			}
		}
	}
	return t
}

func plan(t testing.TB, task *Task) *Plan {
	t.Helper()
	p, err := Optimize(context.Background(), task)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A plan holds its targets, stands in whole modules between the bound and
// proportional sizing, and no group of it can give up a module.
func TestPlan(t *testing.T) {
	for _, module := range []int{1, 30} {
		task := drawn(6, 1)
		task.ModuleSize, task.MaxSolves = module, 400
		p := plan(t, task)
		prop, err := Proportional(context.Background(), task)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("modules of %d: %d circuits, proportional %d, bound %.0f (gap %.2f), promise %.4f, %d networks", module,
			p.TotalCircuits, prop.TotalCircuits, p.CostBound, p.Gap(), p.PredictedLoss, p.Solves)
		if p.Cost > prop.Cost || p.Cost < p.CostBound || p.CostBound <= 0 {
			t.Errorf("cost %v, proportional %v, bound %v", p.Cost, prop.Cost, p.CostBound)
		}
		for c, x := range p.PredictedLoss {
			if x > task.TargetLoss[c] {
				t.Errorf("class %d loses %v, %v was aimed at", c, x, task.TargetLoss[c])
			}
		}
		if p.Stopped {
			t.Fatal("the search was stopped")
		}
		s := newSearch(context.Background(), task)
		for i := range p.Circuits {
			for j := range i {
				if p.Circuits[i][j]%module != 0 || p.Circuits[i][j] != p.Circuits[j][i] {
					t.Fatalf("group %d-%d: %d circuits", i, j, p.Circuits[i][j])
				}
				if p.Circuits[i][j] == 0 {
					continue
				}
				add(p.Circuits, [2]int{i, j}, -module)
				if how, _, _, _, err := s.judge(p.Circuits); err != nil || how <= 1 {
					t.Errorf("group %d-%d could give up a module: %v, %v", i, j, how, err)
				}
				add(p.Circuits, [2]int{i, j}, module)
			}
		}
	}
}

// Where calls go direct or not at all, and where groups cost unlike, sizing by
// worth beats proportion. (With tandems and equal costs it does not: the tandem
// of most room evens groups out, so that only their sum counts.)
func TestPlanBeatsProportion(t *testing.T) {
	direct := drawn(6, 2)
	direct.Mesh.MaxTandems = 0
	unlike := drawn(6, 2)
	for i := range 6 {
		unlike.CircuitCost = append(unlike.CircuitCost, make([]float64, 6))
		for j := range 6 {
			unlike.CircuitCost[i][j] = 1 + 3*float64((i+j)%2) // between regions four times
		}
	}
	for name, task := range map[string]*Task{"direct only": direct, "unlike costs": unlike} {
		p := plan(t, task)
		prop, err := Proportional(context.Background(), task)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: cost %.0f, proportional %.0f, bound %.0f", name, p.Cost, prop.Cost, p.CostBound)
		if p.Cost >= prop.Cost || name == "unlike costs" && p.Cost > 0.985*prop.Cost || p.CostBound < 0.7*p.Cost || p.CostBound > p.Cost {
			t.Errorf("%s: cost %v, proportional %v", name, p.Cost, prop.Cost)
		}
	}
}

// Two exchanges: the plan is Erlang's table with waiting, and the bound meets it.
func TestPlanOfOnePair(t *testing.T) {
	task := drawn(2, 1)
	task.Mesh.Classes = task.Mesh.Classes[:1]
	for i := range 2 {
		for j := range 2 {
			task.Mesh.Offered[i][j] = []float64{12 * float64((i+j)%2)}
		}
	}
	task.TargetLoss, task.Region = task.TargetLoss[:1], nil
	p := plan(t, task)
	want := 0
	for ; ; want++ {
		if b, err := loss.ErlangA(24, want, 3.0/90); err != nil || b <= 0.01 {
			break
		}
	}
	if p.TotalCircuits != want || p.CostBound > float64(want) || p.CostBound < float64(want)-1 {
		t.Errorf("%d circuits, bound %.2f, want %d", p.TotalCircuits, p.CostBound, want)
	}
}

// Growth, a dearer group and an exchange or link that may be away ask for more.
func TestPlanAskedMore(t *testing.T) {
	base := drawn(5, 3)
	base.ModuleSize = 5
	p := plan(t, base)
	grown := drawn(5, 3)
	grown.ModuleSize, grown.Growth = 5, 1.3
	if g := plan(t, grown); float64(g.TotalCircuits) < 1.2*float64(p.TotalCircuits) || g.CostBound <= p.CostBound {
		t.Errorf("%d circuits for 1.3 times the traffic, %d for once", g.TotalCircuits, p.TotalCircuits)
	}
	dear := drawn(5, 3)
	dear.ModuleSize = 5
	for range 5 {
		dear.CircuitCost = append(dear.CircuitCost, []float64{1, 1, 1, 1, 1})
	}
	dear.CircuitCost[0][1], dear.CircuitCost[1][0] = 6, 6
	if d := plan(t, dear); d.Circuits[0][1] >= p.Circuits[0][1] {
		t.Errorf("a dear group has %d circuits, %d at the price of all", d.Circuits[0][1], p.Circuits[0][1])
	}
	safe := drawn(5, 3)
	safe.ModuleSize, safe.MaxFailureLoss, safe.LinkShare, safe.MaxSolves = 10, 0.03, 0.5, 150
	s := plan(t, safe)
	if s.TotalCircuits <= p.TotalCircuits || s.WorstFailureLoss > 0.03 || s.WorstFailureLoss <= 0 || s.WorstFailure == "" {
		t.Errorf("%d circuits, %d without; %v lost with %s away", s.TotalCircuits, p.TotalCircuits, s.WorstFailureLoss, s.WorstFailure)
	}
	t.Logf("%d circuits; to bear any exchange or half a region's groups away %d: %.4f with %s away", p.TotalCircuits, s.TotalCircuits, s.WorstFailureLoss, s.WorstFailure)
}

// With an exchange away neither its groups nor its traffic are there, and nothing
// else changes; with a link away half of the circuits between two regions are gone.
func TestHurts(t *testing.T) {
	task := drawn(4, 1)
	task.MaxFailureLoss, task.LinkShare = 0.05, 0.5
	s := newSearch(context.Background(), task)
	circuits := s.sized(func(i, j int) float64 { return 31 })
	all := s.hurts(circuits)
	if len(all) != 5 || all[2].what != "exchange 2" || all[4].what != "a link between regions 0 and 1" {
		t.Fatalf("%d things may be away", len(all))
	}
	for i := range 4 {
		for j := range 4 {
			if i == j {
				continue
			}
			m, want, offered := all[2].mesh, 31, s.grown.Offered[i][j][0]
			if i == 2 || j == 2 {
				want, offered = 0, 0
			}
			if m.Circuits[i][j] != want || m.Offered[i][j][0] != offered {
				t.Errorf("exchange 2 away, %d to %d: %d circuits, %v erlang", i, j, m.Circuits[i][j], m.Offered[i][j][0])
			}
			m, want = all[4].mesh, 31
			if i%2 != j%2 {
				want = 15
			}
			if m.Circuits[i][j] != want || m.Offered[i][j][0] != s.grown.Offered[i][j][0] {
				t.Errorf("a link away, %d to %d: %d circuits", i, j, m.Circuits[i][j])
			}
		}
	}
}

// With a group far too small and one far too large, the first move is between
// them, what is bought goes to the small one, and every step loses less.
func TestFirstMoves(t *testing.T) {
	task := drawn(5, 4)
	task.ModuleSize = 5
	task.Mesh.Circuits = plan(t, task).Circuits
	add(task.Mesh.Circuits, [2]int{3, 1}, 30)
	add(task.Mesh.Circuits, [2]int{4, 0}, -task.Mesh.Circuits[4][0]/2)
	task.MaxSolves = 400
	moves, err := FirstMoves(context.Background(), task, 1, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", moves)
	if len(moves) < 2 || moves[0].From != [2]int{-1, -1} || moves[0].To != [2]int{4, 0} || moves[1].From != [2]int{3, 1} {
		t.Fatal("other moves come first")
	}
	for i := range moves[1:] {
		if moves[i+1].LostTraffic >= moves[i].LostTraffic {
			t.Error("a step does not help")
		}
	}
}

func TestBadTasks(t *testing.T) {
	for name, spoil := range map[string]func(*Task){
		"target 0":   func(t *Task) { t.TargetLoss[0] = 0 },
		"target 1":   func(t *Task) { t.TargetLoss[1] = 1 },
		"targets":    func(t *Task) { t.TargetLoss = t.TargetLoss[:1] },
		"growth":     func(t *Task) { t.Growth = math.NaN() },
		"module":     func(t *Task) { t.ModuleSize = 0 },
		"hurt":       func(t *Task) { t.MaxFailureLoss = 1 },
		"cost":       func(t *Task) { t.CircuitCost = make([][]float64, 3) },
		"no traffic": func(t *Task) { t.Mesh.Offered = drawnNothing(4) },
	} {
		task := drawn(4, 1)
		spoil(task)
		if _, err := Optimize(context.Background(), task); !errors.Is(err, ErrNoPlan) {
			t.Errorf("%s: %v", name, err)
		}
	}
	// no circuits help where a processor is the limit
	task := drawn(4, 1)
	task.Mesh.Processors = &network.Processors{SetupsPerSecond: []float64{0.1, 100, 100, 100}, ExamineWork: 0.2, FollowUpWork: 0.3, MaxQueueWait: 2}
	if _, err := Optimize(context.Background(), task); !errors.Is(err, ErrNoPlan) {
		t.Errorf("processor: %v", err)
	}
}

func drawnNothing(n int) [][][]float64 {
	all := make([][][]float64, n)
	for i := range all {
		all[i] = make([][]float64, n)
		for j := range all[i] {
			all[i][j] = make([]float64, 2)
		}
	}
	return all
}

// The impatient formula against its chain, and at its ends.
func TestImpatient(t *testing.T) {
	for _, x := range []struct {
		a        float64
		n        int
		patience float64
	}{{9, 10, 0.1}, {30, 20, 0.03}, {2, 5, 2}, {1, 1, 1}} {
		p, sum, left := 1.0, 1.0, 0.0
		for n := 1; n < 400; n++ {
			out := float64(min(n, x.n))
			if n > x.n {
				out += float64(n-x.n) / x.patience
			}
			p *= x.a / out
			sum += p
			if n > x.n {
				left += p * float64(n-x.n) / x.patience
			}
		}
		got, err := loss.ErlangA(x.a, x.n, x.patience)
		if err != nil || math.Abs(got-left/sum/x.a) > 1e-9 {
			t.Errorf("%+v: %v, %v, want %v", x, got, err, left/sum/x.a)
		}
	}
	if _, err := loss.ErlangA(1, 1, -1); !errors.Is(err, loss.ErrDomain) {
		t.Error(err)
	}
}
