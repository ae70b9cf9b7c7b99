package report

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

func newCanvas(canvas vg.CanvasSizer) draw.Canvas { return draw.New(canvas) }

var (
	grey = color.RGBA{R: 140, G: 140, B: 140, A: 255}
	blue = color.RGBA{R: 30, G: 90, B: 180, A: 255}
)

// scatter adds one or two sets of points and their legends to a plot.
func scatter(p *plot.Plot, first, second plotter.XYs, firstName, secondName string) error {
	for _, set := range []struct {
		xy    plotter.XYs
		name  string
		color color.RGBA
	}{{first, firstName, grey}, {second, secondName, blue}} {
		if len(set.xy) == 0 {
			continue
		}
		points, err := plotter.NewScatter(set.xy)
		if err != nil {
			return err
		}
		points.GlyphStyle = draw.GlyphStyle{Color: set.color, Radius: vg.Points(2.5), Shape: draw.CircleGlyph{}}
		p.Add(points)
		p.Legend.Add(set.name, points)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return nil
}
