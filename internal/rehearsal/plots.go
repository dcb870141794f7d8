package rehearsal

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// renderSVG renders a plot as SVG.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	_, svg, _ := bytes.Cut(out.Bytes(), []byte("?>"))
	return template.HTML(svg), nil // safe: drawn from numbers and names of this package only
}

// Line colors.
var (
	grayLine   = color.RGBA{R: 120, G: 120, B: 120, A: 255}
	silverLine = color.RGBA{R: 150, G: 150, B: 150, A: 255}
	redLine    = color.RGBA{R: 190, A: 255}
	orangeLine = color.RGBA{R: 200, G: 90, A: 255}
	purpleLine = color.RGBA{R: 140, G: 60, B: 160, A: 255}
	blueLine   = color.RGBA{R: 30, G: 90, B: 160, A: 255}
	greenLine  = color.RGBA{G: 130, A: 255}
)

// plotLine is one line of a plot.
type plotLine struct {
	name   string
	points plotter.XYs
	color  color.Color
	// stepped draws each value as constant until the next point.
	stepped bool
	dashed  bool
}

// newPlot returns a plot whose X axis is the time since the start of a run.
func newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "seconds since the run began", unit
	p.Legend.Top = true
	return p
}

// addPlotLine adds a line to a plot and its legend.
func addPlotLine(p *plot.Plot, c plotLine) error {
	line, err := plotter.NewLine(c.points)
	if err != nil {
		return fmt.Errorf("draw curve %q: %w", c.name, err)
	}
	line.Color = c.color
	if c.stepped {
		line.StepStyle = plotter.PostStep
	}
	if c.dashed {
		line.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	}
	p.Add(line)
	p.Legend.Add(c.name, line)
	return nil
}

// horizontalLine returns the points of a horizontal line that spans a run.
func horizontalLine(height float64, duration time.Duration) plotter.XYs {
	return plotter.XYs{{X: 0, Y: height}, {X: duration.Seconds(), Y: height}}
}

// formatSeconds formats a duration for reports.
func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }
