package prove

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/network"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/virtual"
	"dahliaspindle/scenarios"
)

func quiet(t testing.TB, level float64) *settings.Scenario {
	t.Helper()
	text, ok := scenarios.Text("quiet-day")
	if !ok {
		t.Fatal("no quiet day")
	}
	scn, err := settings.ParseScenario("quiet-day", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	scn.Load.Level = level
	return scn
}

// The network model against the same module in simulated days, with groups that
// are ample, as planned and too small.
func TestModelAgainstSimulation(t *testing.T) {
	for _, x := range []struct{ level, by float64 }{{0.85, 0.002}, {1, 0.025}, {1.2, 0.03}} {
		scn := quiet(t, x.level)
		m, err := Mesh(scn)
		if err != nil {
			t.Fatal(err)
		}
		s, err := network.Once(m, false)
		if err != nil {
			t.Fatal(err)
		}
		o, err := Simulate(context.Background(), scn, m.Circuits, 4)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("load %.2f: model %.4f, simulated %.4f", x.level, s.ByClass, o.ByClass)
		if d := math.Abs(s.ByClass[0] - o.ByClass[0].Mean); !s.Converged || d > x.by {
			t.Errorf("load %.2f: model %.4f (converged %v), simulated %.4f", x.level, s.ByClass[0], s.Converged, o.ByClass[0])
		}
	}
}

// records is a sink that keeps the calls of one controller as tries.
type records struct {
	all  *[]measure.Try
	life uint64
}

func (s records) Put(r *flow.Record) {
	if r.Kind == flow.Call && r.Route != flow.Transit {
		*s.all = append(*s.all, measure.Try{At: r.Start, Source: r.Source, Dest: r.Dest, Via: r.Via, Class: r.Class, Circuits: int(r.Circuits),
			Number: r.Number, Repeat: r.Repeat, Lost: r.Outcome != flow.Ended && r.Outcome != flow.Cut, Cut: r.Outcome == flow.Cut,
			Stood: r.Stood, Life: s.life})
	}
}

// Known traffic through the real controllers, at a load at which calls are lost and
// dialled again, one controller killed on the way: what their records tell is what
// was offered.
func TestKnownTrafficIsRecovered(t *testing.T) {
	scn := quiet(t, 1.15)
	scn.Rules.CallersMarkRetries = false // redials are to be told from first tries by their numbers
	scn.Length = 50 * time.Minute
	scn.Troubles = []settings.Trouble{{Kind: "controllers-restart", At: 25 * time.Minute, Size: 0.15}}
	m, err := Mesh(scn)
	if err != nil {
		t.Fatal(err)
	}
	var tries []measure.Try
	lives := uint64(0)
	if _, err := virtual.Run(scn, virtual.Options{Flows: func(int) flow.Sink {
		lives++
		return records{&tries, lives}
	}}); err != nil {
		t.Fatal(err)
	}
	r := measure.Batch(tries, measure.Options{Patience: 9 * time.Second})
	in, all, sum, naive, want := 0, 0, 0.0, 0.0, 0.0
	for _, p := range r.Pairs {
		offered := m.Offered[p.Source][p.Dest][p.Class]
		width := float64(m.Classes[p.Class].Width)
		want, sum, naive = want+offered*width, sum+p.Erlang*width, naive+p.Naive*width
		if p.Known {
			all++
			if p.Low <= offered && offered <= p.High {
				in++
			}
		}
	}
	direct, transit := 0.0, 0.0
	for _, g := range r.Groups {
		direct, transit = direct+g.Direct, transit+g.Transit
		if size := float64(m.Circuits[g.A][g.B]); g.Direct+g.Transit > size {
			t.Errorf("group %d-%d of %v circuits carries %.1f and %.1f", g.A, g.B, size, g.Direct, g.Transit)
		}
	}
	if transit < 20 || direct < 500 {
		t.Errorf("%.1f circuits carry direct calls, %.1f those over tandems", direct, transit)
	}
	t.Logf("%.1f circuits carry direct calls, %.1f those over tandems", direct, transit)
	t.Logf("%.1f circuits asked for, %.1f read, %.1f with each try a call of its own; %d of %d intervals hold", want, sum, naive, in, all)
	if math.Abs(sum-want) > 0.03*want || in < all*88/100 || naive < 1.05*want || r.Lives != 8 {
		t.Errorf("%d lives", r.Lives)
	}
}

// The mesh offers what the scenario says, and other seeds meet the same fleet.
func TestMeshOfAScenario(t *testing.T) {
	scn := quiet(t, 1)
	m, err := Mesh(scn)
	if err != nil {
		t.Fatal(err)
	}
	all := 0.0
	for i := range m.Offered {
		for j := range m.Offered {
			for c, cl := range m.Classes {
				all += m.Offered[i][j][c] * float64(cl.Width)
			}
		}
	}
	if want := scn.Fleet.ErlangPerExchange * float64(scn.Fleet.Exchanges); math.Abs(all-want) > 1e-6*want {
		t.Errorf("%v circuits are asked for, the scenario says %v", all, want)
	}
	scn.Length = 7 * time.Minute
	o, err := Simulate(context.Background(), scn, m.Circuits, 2)
	if err != nil {
		t.Fatal(err)
	}
	// a minute counts: 700 circuits over 100.5 circuit-seconds a call
	if want := 2 * 60 * 700 / 100.5; math.Abs(float64(o.Calls)-want) > 4*math.Sqrt(want) {
		t.Errorf("%d calls count, about %.0f were to", o.Calls, want)
	}
	scn.Length = 5 * time.Minute
	if _, err := Simulate(context.Background(), scn, m.Circuits, 1); err == nil {
		t.Error("a day that is over before it counts")
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if _, err := Simulate(ctx, quiet(t, 1), m.Circuits, 3); err == nil {
		t.Error("a stopped simulation tells no error")
	}
}
