package rehearsal

import (
	"bytes"
	"html/template"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// drawn is a plot as an SVG.
func drawn(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	_, svg, _ := bytes.Cut(out.Bytes(), []byte("?>"))
	return template.HTML(svg), nil // drawn here
}

// steps is a line that keeps each value until the next point.
func steps(points plotter.XYs, c color.Color) (*plotter.Line, error) {
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	line.StepStyle, line.Color = plotter.PostStep, c
	return line, nil
}

// downPlot is how many of a team's replicas were down over time, beside its budget.
func downPlot(team drainTeam, samples []DownSample, took time.Duration) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = team.Name + ": replicas down"
	p.X.Label.Text, p.Y.Label.Text = "seconds since the run began", "replicas"
	down, byDrains := plotter.XYs{{}}, plotter.XYs{{}}
	most := team.Budget
	for _, s := range samples {
		down = append(down, plotter.XY{X: s.At.Seconds(), Y: float64(s.Down)})
		byDrains = append(byDrains, plotter.XY{X: s.At.Seconds(), Y: float64(s.ByDrains)})
		most = max(most, s.Down)
	}
	p.Y.Min, p.Y.Max = 0, float64(most)+1
	end := took.Seconds()
	for _, curve := range []struct {
		name   string
		points plotter.XYs
		color  color.Color
		dashed bool
	}{
		{"down, for whatever reason", down, color.RGBA{R: 150, G: 150, B: 150, A: 255}, false},
		{"down by drains", byDrains, color.RGBA{R: 30, G: 90, B: 160, A: 255}, false},
		{"budget", plotter.XYs{{X: 0, Y: float64(team.Budget)}, {X: end, Y: float64(team.Budget)}}, color.RGBA{R: 190, A: 255}, true},
	} {
		line, err := steps(curve.points, curve.color)
		if err != nil {
			return "", err
		}
		if curve.dashed {
			line.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
		}
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	p.Legend.Top = true
	return drawn(p)
}

// statePlot is the rollout's machines by state over time.
func statePlot(events []Event) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "machines by state"
	p.X.Label.Text, p.Y.Label.Text = "seconds since the run began", "machines"
	for i, curve := range []struct{ state, name string }{
		{string(rollout.Waiting), "wait their turn"}, {string(rollout.Draining), "being emptied"},
		{string(rollout.Returned), "returned"}, {string(rollout.Replaced), "replacement observed"}, {"through", "through"},
	} {
		points := plotter.XYs{}
		for _, event := range events {
			if event.Kind == RolloutStored {
				points = append(points, plotter.XY{X: event.At.Seconds(), Y: float64(event.Machines[curve.state])})
			}
		}
		if len(points) == 0 {
			continue
		}
		palette := []color.Color{color.RGBA{R: 120, G: 120, B: 120, A: 255}, color.RGBA{R: 200, G: 90, A: 255}, color.RGBA{R: 140, G: 60, B: 160, A: 255},
			color.RGBA{R: 30, G: 90, B: 160, A: 255}, color.RGBA{G: 130, A: 255}}
		line, err := steps(points, palette[i])
		if err != nil {
			return "", err
		}
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	p.Legend.Top = true
	return drawn(p)
}

// drainPage is what the report's template shows.
type drainPage struct {
	*DrainFindings
	Plots    []template.HTML
	Story    []Event // what the rollout became, and what was made to fail
	Verdict  string
	Given    int
	Refused  int
	Replicas int // moves of replicas
}

// mostMoves is how many moves the report lists; the record has all.
const mostMoves = 400

// ListedMoves are the first of all moves.
func (p *drainPage) ListedMoves() []Move { return p.Moves[:min(len(p.Moves), mostMoves)] }

var drainTemplate = template.Must(template.New("drain").Funcs(template.FuncMap{
	"seconds": secondsText,
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Rehearsal of a drain</title>
<style>body{font-family:sans-serif;max-width:62em;margin:2em auto;line-height:1.4}table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.25em .6em;text-align:left}.bad{color:#a00;font-weight:bold}.good{color:#060;font-weight:bold}</style></head><body>
<h1>Rehearsal of a drain</h1>
<p class="{{if .Failed}}bad{{else}}good{{end}}">{{.Verdict}}</p>
{{if .Midway}}<p class="bad">The run ended before its time: {{.Midway}}. What follows is what was recorded until then.</p>{{end}}
<p>All machines were replaced in waves while three teams' services and many low jobs ran on them, controllers were killed and paused, machines stopped by themselves, and one replacement never came up. The figures are from stand-in machines on one computer. Seed {{.Seed}}.</p>
<table>
<tr><th>What</th><th>Outcome</th></tr>
<tr><td>Stops that left a team with more down than its budget</td><td>{{len .Breaches}}</td></tr>
<tr><td>Tasks that ran on two machines at a time</td><td>{{len .Doubled}}</td></tr>
<tr><td>Machines left closed to new work</td><td>{{.Left}}</td></tr>
<tr><td>Low jobs accepted</td><td>{{.Fates.Accepted}}: {{.Fates.Done}} done, {{.Fates.Running}} running, {{.Fates.Waiting}} waiting; {{.Fates.Moved}} of them were moved</td></tr>
<tr><td>Tasks moved</td><td>{{len .Moves}}, of these {{.Replicas}} replicas of services</td></tr>
<tr><td>Work thrown away by moves</td><td>{{printf "%.0f" .Repeated}} core-seconds</td></tr>
<tr><td>Time of the rollout</td><td>{{seconds .Drain}}; at least {{seconds .Least}} under the same budgets, without renting, observing and failures</td></tr>
<tr><td>Permits</td><td>{{.Given}} given, {{.Refused}} refused for now, as far as the controllers that still run know</td></tr>
<tr><td>Changes made at the state service</td><td>{{.Changes}}</td></tr>
</table>
{{range .Breaches}}<p class="bad">{{.}}</p>{{end}}
{{range .Halts}}<p>The rollout halted: {{.}}. An operator resumed it.</p>{{end}}
<h2>What was down, and what may be</h2>
<p>Machines that stop by themselves use a budget up as well; drains then wait. The grey line may exceed the budget for that reason, the blue one never.</p>
{{range .Plots}}{{.}}{{end}}
<h2>What happened</h2>
<table><tr><th>When</th><th>What</th><th>How</th></tr>{{range .Story}}<tr><td>{{seconds .At}}</td><td>{{.Where}}</td><td>{{.Why}}</td></tr>{{end}}</table>
<h2>What was moved, and why</h2>
<table><tr><th>When</th><th>Task</th><th>From</th><th>To</th><th>Down for</th><th>Why</th></tr>{{range .ListedMoves}}<tr><td>{{seconds .At}}</td><td>{{.Task}}</td><td>{{.From}}</td><td>{{if .To}}{{.To}}{{else}}not started again{{end}}</td><td>{{seconds .Takes}}</td><td>{{.Why}}</td></tr>{{end}}</table>
</body></html>
`))

// Report is the run as an HTML page.
func (f *DrainFindings) Report() ([]byte, error) {
	view := drainPage{DrainFindings: f, Given: f.Asked[rollout.PermitsGiven], Refused: f.Asked[rollout.PermitsRefused],
		Verdict: "No drain took more of a team down than its budget, every job is accounted for, and nothing was left behind."}
	if f.Failed() {
		view.Verdict = "This run failed: see below."
	}
	for _, team := range f.Teams {
		svg, err := downPlot(team, f.Down[team.Name], f.Took)
		if err != nil {
			return nil, err
		}
		view.Plots = append(view.Plots, svg)
	}
	svg, err := statePlot(f.Events)
	if err != nil {
		return nil, err
	}
	view.Plots = append(view.Plots, svg)
	for _, move := range f.Moves {
		if isService(jobOf(move.Task)) {
			view.Replicas++
		}
	}
	for _, event := range f.Events {
		if event.Kind == Disturbed || event.Kind == RolloutStored || event.Kind == Commanded {
			view.Story = append(view.Story, event)
		}
	}
	var out bytes.Buffer
	err = drainTemplate.Execute(&out, &view)
	return out.Bytes(), err
}
