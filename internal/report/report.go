// Package report writes the result of dimensioning a network as a self-contained HTML
// page, with tables from a template and plots in SVG.
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

// SimulatedLoss is the share of calls lost in simulation with its 95 % confidence
// interval.
type SimulatedLoss struct {
	Calls int     `json:"calls"`
	Loss  float64 `json:"loss"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

// Pair describes the group between two exchanges, in both directions.
type Pair struct {
	A               int            `json:"a"`
	B               int            `json:"b"`
	Offered         float64        `json:"offered"` // in erlang of circuits
	Low             float64        `json:"low"`     // 95 % confidence interval of Offered; equal to it if not measured
	High            float64        `json:"high"`
	CircuitsNow     int            `json:"now"`
	CircuitsAdvised int            `json:"advised"`
	LossNow         float64        `json:"loss_now"` // by the network model
	PredictedLoss   float64        `json:"promise"`
	Simulated       *SimulatedLoss `json:"seen,omitempty"`
}

// Class describes one class in the whole network.
type Class struct {
	Name          string         `json:"name"`
	Target        float64        `json:"target"`
	LossNow       float64        `json:"now"`
	PredictedLoss float64        `json:"promise"`
	Simulated     *SimulatedLoss `json:"seen,omitempty"`
}

// Move is one recommended change.
type Move struct {
	Action      string  `json:"what"`
	LostTraffic float64 `json:"lost"` // after the change, in erlang of circuits
}

// Report is the result of dimensioning a network.
type Report struct {
	Name                 string  `json:"name"`
	Exchanges            int     `json:"exchanges"`
	Growth               float64 `json:"growth"`
	ModuleSize           int     `json:"module"`
	CircuitsNow          int     `json:"now"`
	CircuitsAdvised      int     `json:"advised"`
	CircuitsProportional int     `json:"proportional,omitempty"`
	CostBound            float64 `json:"bound"` // lower bound of the cost
	Cost                 float64 `json:"cost"`
	Gap                  float64 `json:"gap"`
	WorstFailureLoss     float64 `json:"worst,omitempty"`
	WorstFailure         string  `json:"worst_what,omitempty"`
	Stopped              bool    `json:"stopped,omitempty"` // the search reached its limit; a better plan may exist
	Bistable             bool    `json:"two_states_now"`    // the present network may stay in either of two states
	Unsettled            bool    `json:"unsettled_now"`     // the model did not converge for the present network
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

// HTML writes the report as an HTML page.
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

// svg renders a plot as SVG, without the XML declaration.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(16*vg.Centimeter, 9*vg.Centimeter)
	p.Draw(newCanvas(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", err
	}
	document := buffer.Bytes()
	if i := bytes.Index(document, []byte("<svg")); i > 0 {
		document = document[i:]
	}
	return template.HTML(document), nil // safe: made by the plot library from numbers and fixed labels
}

// sizesPlot plots the present and the advised circuits over the offered traffic.
func (r *Report) sizesPlot() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Groups", "offered (erlang)", "circuits"
	var now, advised plotter.XYs
	for _, pair := range r.Pairs {
		now = append(now, plotter.XY{X: pair.Offered, Y: float64(pair.CircuitsNow)})
		advised = append(advised, plotter.XY{X: pair.Offered, Y: float64(pair.CircuitsAdvised)})
	}
	if err := scatter(p, now, advised, "now", "advised"); err != nil {
		return "", err
	}
	return svg(p)
}

// lossesPlot plots the simulated loss of each pair over the predicted loss.
func (r *Report) lossesPlot() (template.HTML, error) {
	var points, diagonal plotter.XYs
	maxLoss := 0.0
	for _, pair := range r.Pairs {
		if pair.Simulated != nil && pair.Simulated.Calls > 0 {
			points = append(points, plotter.XY{X: pair.PredictedLoss, Y: pair.Simulated.Loss})
			maxLoss = math.Max(maxLoss, math.Max(pair.PredictedLoss, pair.Simulated.Loss))
		}
	}
	if len(points) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Loss by pair", "promised", "simulated"
	diagonal = plotter.XYs{{X: 0, Y: 0}, {X: maxLoss, Y: maxLoss}}
	line, err := plotter.NewLine(diagonal)
	if err != nil {
		return "", err
	}
	p.Add(line)
	if err := scatter(p, points, nil, "a pair", ""); err != nil {
		return "", err
	}
	return svg(p)
}
