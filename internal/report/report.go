// Package report writes what a dimensioning found as one HTML page that needs
// nothing else: tables by template, plots as SVG.
package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// SimulatedLoss is a share of calls lost in simulation with its 95 % interval.
type SimulatedLoss struct {
	Calls int     `json:"calls"`
	Loss  float64 `json:"loss"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

// Pair is one group, both ways.
type Pair struct {
	A               int            `json:"a"`
	B               int            `json:"b"`
	Offered         float64        `json:"offered"` // circuits that its calls would take if none were lost
	Low             float64        `json:"low"`     // 95 % interval of it; the same as Offered where it is not measured
	High            float64        `json:"high"`
	CircuitsNow     int            `json:"now"` // circuits
	CircuitsAdvised int            `json:"advised"`
	LossNow         float64        `json:"loss_now"` // by the model
	PredictedLoss   float64        `json:"promise"`
	Simulated       *SimulatedLoss `json:"seen,omitempty"`
}

// Class is one class over the whole network.
type Class struct {
	Name          string         `json:"name"`
	Target        float64        `json:"target"`
	LossNow       float64        `json:"now"`
	PredictedLoss float64        `json:"promise"`
	Simulated     *SimulatedLoss `json:"seen,omitempty"`
}

// Move is one thing to do first.
type Move struct {
	Action      string  `json:"what"`
	LostTraffic float64 `json:"lost"` // circuits' worth of traffic lost after it
}

// Report is what a dimensioning found.
type Report struct {
	Name                 string  `json:"name"`
	Exchanges            int     `json:"exchanges"`
	Growth               float64 `json:"growth"`
	ModuleSize           int     `json:"module"`
	CircuitsNow          int     `json:"now"` // circuits
	CircuitsAdvised      int     `json:"advised"`
	CircuitsProportional int     `json:"proportional,omitempty"`
	CostBound            float64 `json:"bound"` // cost
	Cost                 float64 `json:"cost"`
	Gap                  float64 `json:"gap"`
	WorstFailureLoss     float64 `json:"worst,omitempty"`
	WorstFailure         string  `json:"worst_what,omitempty"`
	Stopped              bool    `json:"stopped,omitempty"` // the search was cut short
	Bistable             bool    `json:"two_states_now"`    // the network as it stands may stay in either of two states
	Unsettled            bool    `json:"unsettled_now"`     // no state was found for it
	Seeds                int     `json:"seeds,omitempty"`
	Classes              []Class `json:"classes"`
	Pairs                []Pair  `json:"pairs"`
	Moves                []Move  `json:"moves,omitempty"`
}

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"share": func(x float64) string { return fmt.Sprintf("%.2f %%", 100*x) },
	"erl":   func(x float64) string { return fmt.Sprintf("%.2f", x) },
}).Parse(pageSource))

// HTML writes the page.
func HTML(w io.Writer, r *Report) error {
	sizes, err := r.sizesPlot()
	if err != nil {
		return fmt.Errorf("drawing the groups: %w", err)
	}
	losses, err := r.lossesPlot()
	if err != nil {
		return fmt.Errorf("drawing the losses: %w", err)
	}
	if err := pageTemplate.Execute(w, struct {
		*Report
		Sizes, Losses template.HTML
	}{r, sizes, losses}); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

// svg renders a plot as SVG, without the XML head.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(16*vg.Centimeter, 9*vg.Centimeter)
	p.Draw(drawOn(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", err
	}
	document := buffer.Bytes()
	if i := bytes.Index(document, []byte("<svg")); i > 0 {
		document = document[i:]
	}
	return template.HTML(document), nil // made by the plot library of numbers and our own labels
}

// sizesPlot shows circuits over offered traffic, now and advised.
func (r *Report) sizesPlot() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Groups", "offered (erlang)", "circuits"
	var now, advised plotter.XYs
	for _, x := range r.Pairs {
		now = append(now, plotter.XY{X: x.Offered, Y: float64(x.CircuitsNow)})
		advised = append(advised, plotter.XY{X: x.Offered, Y: float64(x.CircuitsAdvised)})
	}
	if err := scatter(p, now, advised, "now", "advised"); err != nil {
		return "", err
	}
	return svg(p)
}

// lossesPlot shows the model's loss of each pair beside the simulated one.
func (r *Report) lossesPlot() (template.HTML, error) {
	var points, diagonal plotter.XYs
	maxLoss := 0.0
	for _, x := range r.Pairs {
		if x.Simulated != nil && x.Simulated.Calls > 0 {
			points = append(points, plotter.XY{X: x.PredictedLoss, Y: x.Simulated.Loss})
			maxLoss = math.Max(maxLoss, math.Max(x.PredictedLoss, x.Simulated.Loss))
		}
	}
	if len(points) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Loss by pair", "promised", "simulated"
	diagonal = plotter.XYs{{X: 0, Y: 0}, {X: maxLoss, Y: maxLoss}}
	l, err := plotter.NewLine(diagonal)
	if err != nil {
		return "", err
	}
	p.Add(l)
	if err := scatter(p, points, nil, "a pair", ""); err != nil {
		return "", err
	}
	return svg(p)
}
