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

// randomTask returns a task with unequal pairs and two classes, and a mesh without groups.
func randomTask(exchanges int, seed uint64) *Task {
	random := rand.New(rand.NewPCG(seed, 7))
	mesh := &network.Mesh{
		Classes:     []network.Class{{Name: "one", Circuits: 1, HoldingTime: 90, Worth: 1}, {Name: "two", Circuits: 2, HoldingTime: 120, Worth: 2}},
		MaxTandems:  2,
		Reservation: network.Reservation{Base: 2, Window: 10},
		MeanWait:    3,
	}
	task := &Task{Mesh: mesh, TargetLoss: []float64{0.01, 0.03}, Growth: 1, ModuleSize: 1, MaxSolves: 200}
	for i := range exchanges {
		mesh.Circuits = append(mesh.Circuits, make([]int, exchanges))
		mesh.Offered = append(mesh.Offered, make([][]float64, exchanges))
		task.Region = append(task.Region, i%2)
		for j := range exchanges {
			mesh.Offered[i][j] = make([]float64, 2)
			if i != j {
				demand := 100 / float64(exchanges) * math.Exp(0.5*random.NormFloat64())
				mesh.Offered[i][j] = []float64{0.9 * demand, 0.05 * demand}
			}
		}
	}
	return task
}

func optimize(t testing.TB, task *Task) *Plan {
	t.Helper()
	plan, err := Optimize(context.Background(), task)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// A plan meets its targets in whole modules, its cost lies between the bound and
// proportional sizing, and no group can spare a module.
func TestPlan(t *testing.T) {
	for _, module := range []int{1, 30} {
		task := randomTask(6, 1)
		task.ModuleSize, task.MaxSolves = module, 400
		plan := optimize(t, task)
		proportional, err := Proportional(context.Background(), task)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("modules of %d: %d circuits, proportional %d, bound %.0f (gap %.2f), predicted loss %.4f, %d networks solved", module,
			plan.TotalCircuits, proportional.TotalCircuits, plan.CostBound, plan.Gap(), plan.PredictedLoss, plan.Solves)
		if plan.Cost > proportional.Cost || plan.Cost < plan.CostBound || plan.CostBound <= 0 {
			t.Errorf("cost %v, proportional %v, bound %v", plan.Cost, proportional.Cost, plan.CostBound)
		}
		for c, loss := range plan.PredictedLoss {
			if loss > task.TargetLoss[c] {
				t.Errorf("class %d has a loss of %v, target %v", c, loss, task.TargetLoss[c])
			}
		}
		if plan.Stopped {
			t.Fatal("the search was stopped")
		}
		s := newSearch(context.Background(), task)
		for i := range plan.Circuits {
			for j := range i {
				if plan.Circuits[i][j]%module != 0 || plan.Circuits[i][j] != plan.Circuits[j][i] {
					t.Fatalf("group %d-%d: %d circuits", i, j, plan.Circuits[i][j])
				}
				if plan.Circuits[i][j] == 0 {
					continue
				}
				addCircuits(plan.Circuits, [2]int{i, j}, -module)
				if lossRatio, _, _, _, err := s.evaluate(plan.Circuits); err != nil || lossRatio <= 1 {
					t.Errorf("group %d-%d can spare a module: loss ratio %v, error %v", i, j, lossRatio, err)
				}
				addCircuits(plan.Circuits, [2]int{i, j}, module)
			}
		}
	}
}

// Without tandems, and with unequal costs, sizing by marginal value costs less than
// proportional sizing. With tandems and equal costs it does not: choosing the tandem
// with the most free circuits balances the groups, so that only their sum counts.
func TestPlanCostsLessThanProportional(t *testing.T) {
	direct := randomTask(6, 2)
	direct.Mesh.MaxTandems = 0
	unequal := randomTask(6, 2)
	for i := range 6 {
		unequal.CircuitCost = append(unequal.CircuitCost, make([]float64, 6))
		for j := range 6 {
			unequal.CircuitCost[i][j] = 1 + 3*float64((i+j)%2) // four times as expensive between regions
		}
	}
	for name, task := range map[string]*Task{"direct only": direct, "unequal costs": unequal} {
		plan := optimize(t, task)
		proportional, err := Proportional(context.Background(), task)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: cost %.0f, proportional %.0f, bound %.0f", name, plan.Cost, proportional.Cost, plan.CostBound)
		if plan.Cost >= proportional.Cost || name == "unequal costs" && plan.Cost > 0.985*proportional.Cost || plan.CostBound < 0.7*plan.Cost || plan.CostBound > plan.Cost {
			t.Errorf("%s: cost %v, proportional %v", name, plan.Cost, proportional.Cost)
		}
	}
}

// With two exchanges the plan equals Erlang A, and the bound is within one circuit of it.
func TestPlanOfOnePair(t *testing.T) {
	task := randomTask(2, 1)
	task.Mesh.Classes = task.Mesh.Classes[:1]
	for i := range 2 {
		for j := range 2 {
			task.Mesh.Offered[i][j] = []float64{12 * float64((i+j)%2)}
		}
	}
	task.TargetLoss, task.Region = task.TargetLoss[:1], nil
	plan := optimize(t, task)
	want := 0
	for ; ; want++ {
		if b, err := loss.ErlangA(24, want, 3.0/90); err != nil || b <= 0.01 {
			break
		}
	}
	if plan.TotalCircuits != want || plan.CostBound > float64(want) || plan.CostBound < float64(want)-1 {
		t.Errorf("%d circuits, bound %.2f, want %d", plan.TotalCircuits, plan.CostBound, want)
	}
}

// Growth and resilience against a failed exchange or link need more circuits; a more
// expensive group gets fewer.
func TestPlanGrowsWithRequirements(t *testing.T) {
	base := randomTask(5, 3)
	base.ModuleSize = 5
	plan := optimize(t, base)
	grown := randomTask(5, 3)
	grown.ModuleSize, grown.Growth = 5, 1.3
	if grownPlan := optimize(t, grown); float64(grownPlan.TotalCircuits) < 1.2*float64(plan.TotalCircuits) || grownPlan.CostBound <= plan.CostBound {
		t.Errorf("%d circuits for 1.3 times the traffic, %d without growth", grownPlan.TotalCircuits, plan.TotalCircuits)
	}
	expensive := randomTask(5, 3)
	expensive.ModuleSize = 5
	for range 5 {
		expensive.CircuitCost = append(expensive.CircuitCost, []float64{1, 1, 1, 1, 1})
	}
	expensive.CircuitCost[0][1], expensive.CircuitCost[1][0] = 6, 6
	if expensivePlan := optimize(t, expensive); expensivePlan.Circuits[0][1] >= plan.Circuits[0][1] {
		t.Errorf("an expensive group has %d circuits, %d at the common cost", expensivePlan.Circuits[0][1], plan.Circuits[0][1])
	}
	resilient := randomTask(5, 3)
	resilient.ModuleSize, resilient.MaxFailureLoss, resilient.LinkShare, resilient.MaxSolves = 10, 0.03, 0.5, 150
	resilientPlan := optimize(t, resilient)
	if resilientPlan.TotalCircuits <= plan.TotalCircuits || resilientPlan.WorstFailureLoss > 0.03 || resilientPlan.WorstFailureLoss <= 0 || resilientPlan.WorstFailure == "" {
		t.Errorf("%d circuits, %d without resilience; loss %v with %s failed", resilientPlan.TotalCircuits, plan.TotalCircuits, resilientPlan.WorstFailureLoss, resilientPlan.WorstFailure)
	}
	t.Logf("%d circuits; with any exchange or half the circuits between regions failed %d: loss %.4f with %s failed", plan.TotalCircuits, resilientPlan.TotalCircuits, resilientPlan.WorstFailureLoss, resilientPlan.WorstFailure)
}

// The failure of an exchange removes its groups and its traffic and nothing else; the
// failure of a link removes half of the circuits between two regions.
func TestFailures(t *testing.T) {
	task := randomTask(4, 1)
	task.MaxFailureLoss, task.LinkShare = 0.05, 0.5
	search := newSearch(context.Background(), task)
	circuits := search.sizeGroups(func(i, j int) float64 { return 31 })
	failures := search.failures(circuits)
	if len(failures) != 5 || failures[2].name != "exchange 2" || failures[4].name != "a link between regions 0 and 1" {
		t.Fatalf("%d failures with unexpected names, want 4 exchanges and 1 link", len(failures))
	}
	for i := range 4 {
		for j := range 4 {
			if i == j {
				continue
			}
			mesh, want, offered := failures[2].mesh, 31, search.mesh.Offered[i][j][0]
			if i == 2 || j == 2 {
				want, offered = 0, 0
			}
			if mesh.Circuits[i][j] != want || mesh.Offered[i][j][0] != offered {
				t.Errorf("exchange 2 failed, %d to %d: %d circuits, %v erlang", i, j, mesh.Circuits[i][j], mesh.Offered[i][j][0])
			}
			mesh, want = failures[4].mesh, 31
			if i%2 != j%2 {
				want = 15
			}
			if mesh.Circuits[i][j] != want || mesh.Offered[i][j][0] != search.mesh.Offered[i][j][0] {
				t.Errorf("link failed, %d to %d: %d circuits", i, j, mesh.Circuits[i][j])
			}
		}
	}
}

// With a group far too small and one far too large, the bought module goes to the
// small group, the first move takes from the large one, and every step reduces the
// lost traffic.
func TestFirstMoves(t *testing.T) {
	task := randomTask(5, 4)
	task.ModuleSize = 5
	task.Mesh.Circuits = optimize(t, task).Circuits
	addCircuits(task.Mesh.Circuits, [2]int{3, 1}, 30)
	addCircuits(task.Mesh.Circuits, [2]int{4, 0}, -task.Mesh.Circuits[4][0]/2)
	task.MaxSolves = 400
	moves, err := FirstMoves(context.Background(), task, 1, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", moves)
	if len(moves) < 2 || moves[0].From != [2]int{-1, -1} || moves[0].To != [2]int{4, 0} || moves[1].From != [2]int{3, 1} {
		t.Fatal("unexpected first moves")
	}
	for i := range moves[1:] {
		if moves[i+1].LostTraffic >= moves[i].LostTraffic {
			t.Error("a move does not reduce the lost traffic")
		}
	}
}

func TestInvalidTasks(t *testing.T) {
	for name, invalidate := range map[string]func(*Task){
		"target 0":   func(t *Task) { t.TargetLoss[0] = 0 },
		"target 1":   func(t *Task) { t.TargetLoss[1] = 1 },
		"targets":    func(t *Task) { t.TargetLoss = t.TargetLoss[:1] },
		"growth":     func(t *Task) { t.Growth = math.NaN() },
		"module":     func(t *Task) { t.ModuleSize = 0 },
		"failure":    func(t *Task) { t.MaxFailureLoss = 1 },
		"cost":       func(t *Task) { t.CircuitCost = make([][]float64, 3) },
		"no traffic": func(t *Task) { t.Mesh.Offered = noTraffic(4) },
	} {
		task := randomTask(4, 1)
		invalidate(task)
		if _, err := Optimize(context.Background(), task); !errors.Is(err, ErrNoPlan) {
			t.Errorf("%s: %v", name, err)
		}
	}
	// No number of circuits reaches the targets where a processor is the limit.
	task := randomTask(4, 1)
	task.Mesh.Processors = &network.Processors{SetupsPerSecond: []float64{0.1, 100, 100, 100}, ExamineWork: 0.2, FollowUpWork: 0.3, MaxQueueWait: 2}
	if _, err := Optimize(context.Background(), task); !errors.Is(err, ErrNoPlan) {
		t.Errorf("processor: %v", err)
	}
}

func noTraffic(exchanges int) [][][]float64 {
	offered := make([][][]float64, exchanges)
	for i := range offered {
		offered[i] = make([][]float64, exchanges)
		for j := range offered[i] {
			offered[i][j] = make([]float64, 2)
		}
	}
	return offered
}

// Compares Erlang A with its Markov chain, and checks its domain.
func TestErlangA(t *testing.T) {
	for _, test := range []struct {
		traffic  float64
		circuits int
		patience float64
	}{{9, 10, 0.1}, {30, 20, 0.03}, {2, 5, 2}, {1, 1, 1}} {
		probability, sum, abandoned := 1.0, 1.0, 0.0
		for n := 1; n < 400; n++ {
			departureRate := float64(min(n, test.circuits))
			if n > test.circuits {
				departureRate += float64(n-test.circuits) / test.patience
			}
			probability *= test.traffic / departureRate
			sum += probability
			if n > test.circuits {
				abandoned += probability * float64(n-test.circuits) / test.patience
			}
		}
		got, err := loss.ErlangA(test.traffic, test.circuits, test.patience)
		if err != nil || math.Abs(got-abandoned/sum/test.traffic) > 1e-9 {
			t.Errorf("%+v: %v, %v, want %v", test, got, err, abandoned/sum/test.traffic)
		}
	}
	if _, err := loss.ErlangA(1, 1, -1); !errors.Is(err, loss.ErrDomain) {
		t.Error(err)
	}
}
