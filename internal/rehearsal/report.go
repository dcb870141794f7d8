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
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// teamPlot is what a team used over time, beside its limit and guarantee, as an SVG.
func teamPlot(team Team, samples []Sample, took time.Duration, accelerators bool) (template.HTML, error) {
	p := plot.New()
	what, limit, guarantee := "cores", team.Limit, team.Guarantee
	if accelerators {
		what, limit, guarantee = "accelerators", team.LimitAccelerators, team.GuaranteeAccelerators
	}
	p.Title.Text = team.Name + ": " + what + " in use"
	p.X.Label.Text, p.Y.Label.Text = "seconds since the run began", what
	p.Y.Min, p.Y.Max = 0, limit*1.15+1
	points := plotter.XYs{{}}
	for _, sample := range samples {
		value := sample.Cores
		if accelerators {
			value = sample.Accelerators
		}
		points = append(points, plotter.XY{X: sample.At.Seconds(), Y: value})
	}
	points = append(points, plotter.XY{X: took.Seconds(), Y: points[len(points)-1].Y})
	used, err := plotter.NewLine(points)
	if err != nil {
		return "", err
	}
	used.StepStyle = plotter.PostStep
	used.Color = color.RGBA{R: 30, G: 90, B: 160, A: 255}
	p.Add(plotter.NewGrid(), used)
	p.Legend.Add("in use", used)
	for _, mark := range []struct {
		name  string
		at    float64
		color color.Color
	}{{"limit", limit, color.RGBA{R: 190, A: 255}}, {"guarantee", guarantee, color.RGBA{G: 130, A: 255}}} {
		if mark.at <= 0 {
			continue
		}
		line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: mark.at}, {X: took.Seconds(), Y: mark.at}})
		if err != nil {
			return "", err
		}
		line.Color = mark.color
		line.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
		p.Add(line)
		p.Legend.Add(mark.name, line)
	}
	p.Legend.Top = true
	return drawn(p)
}

// secondsText is how reports write durations.
func secondsText(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

// page is what the report's template shows.
type page struct {
	*Findings
	Plots    []template.HTML
	Refused  []reason
	Troubles []Event
	// Split are the first of all changes of ledgers.
	Split        []Event
	TransferRate float64 // a minute
	Slowest      time.Duration
	Verdict      string
}

// mostTransfers is how many of them the report shows; the record has all.
const mostTransfers = 200

// reason is why submissions were refused, and how often.
type reason struct {
	Why   string
	Count int
}

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"seconds": secondsText,
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Rehearsal of the teams' limits</title>
<style>body{font-family:sans-serif;max-width:62em;margin:2em auto;line-height:1.4}table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.25em .6em;text-align:left}.bad{color:#a00;font-weight:bold}.good{color:#060;font-weight:bold}</style></head><body>
<h1>Rehearsal of the teams' limits</h1>
<p class="{{if .Failed}}bad{{else}}good{{end}}">{{.Verdict}}</p>
{{if .Midway}}<p class="bad">The run ended before its time: {{.Midway}}. What follows is what was recorded until then.</p>{{end}}
<p>{{.Jobs}} jobs were submitted at the controllers within {{seconds .Took}}, most of them at the same two moments, while controllers were paused and killed and the state service failed. The figures are from stand-in machines on one computer. Seed {{.Seed}}.</p>
<table>
<tr><th>What</th><th>Outcome</th></tr>
<tr><td>Moments at which a team used more than its limit</td><td>{{len .Breaches}}</td></tr>
<tr><td>Moments looked at: each start and end of a task, as the machines saw it</td><td>{{len .Events}} entries, {{.Starts}} starts</td></tr>
<tr><td>Tasks that ran on two machines at a time</td><td>{{len .Doubled}}</td></tr>
<tr><td>Jobs accepted</td><td>{{.Accepted}}</td></tr>
<tr><td>Accepted jobs that never started</td><td>{{len .Unserved}}</td></tr>
<tr><td>Longest wait of a job within its team's guarantee, refusals included</td><td>{{seconds .Slowest}}, of at most {{seconds .Within}}</td></tr>
<tr><td>Changes made at the state service</td><td>{{.Changes}}</td></tr>
</table>
{{range .Breaches}}<p class="bad">{{.}}</p>{{end}}
{{range .Unserved}}<p class="bad">{{.}} was accepted and never started.</p>{{end}}
<h2>What each team used</h2>
{{range .Plots}}{{.}}{{end}}
<h2>Why submissions were turned away</h2>
<p>A job that is turned away is told when to come back, and does; refusals lose nothing.</p>
<table><tr><th>Answer</th><th>How often</th></tr>{{range .Refused}}<tr><td>{{.Why}}</td><td>{{.Count}}</td></tr>{{else}}<tr><td colspan="2">none</td></tr>{{end}}</table>
{{if .Split}}<h2>How the limits were split among the leaders</h2>
<p>{{printf "%.0f" .TransferRate}} changes a minute. Each row is one transaction; the parts and the reserve always add up to the team's limit.</p>
<table><tr><th>When</th><th>Team</th><th>Split</th></tr>{{range .Split}}<tr><td>{{seconds .At}}</td><td>{{.Team}}</td><td>{{.Why}}</td></tr>{{end}}</table>{{end}}
<h2>What was made to fail</h2>
<table><tr><th>When</th><th>What</th><th>How</th></tr>{{range .Troubles}}<tr><td>{{seconds .At}}</td><td>{{.Where}}</td><td>{{.Why}}</td></tr>{{end}}</table>
</body></html>
`))

// Report is the run as an HTML page.
func (f *Findings) Report() ([]byte, error) {
	view := page{Findings: f, Slowest: f.slowestGuarantee(), Verdict: "No team used more than its limit at any moment, and every guarantee was reached in time."}
	if f.Failed() {
		view.Verdict = "This run failed: see below."
	}
	for _, team := range f.Teams {
		for _, accelerators := range []bool{false, true} {
			svg, err := teamPlot(team, f.Samples[team.Name], f.Took, accelerators)
			if err != nil {
				return nil, err
			}
			view.Plots = append(view.Plots, svg)
		}
	}
	at := map[string]int{}
	for _, event := range f.Events {
		switch event.Kind {
		case Disturbed:
			view.Troubles = append(view.Troubles, event)
		case Transferred:
			if len(view.Split) < mostTransfers {
				view.Split = append(view.Split, event)
			}
		case Refused:
			if _, known := at[event.Why]; !known {
				at[event.Why] = len(view.Refused)
				view.Refused = append(view.Refused, reason{Why: event.Why})
			}
			view.Refused[at[event.Why]].Count++
		}
	}
	view.TransferRate = float64(f.Transfers) / max(f.Took.Minutes(), 1e-9)
	var out bytes.Buffer
	err := reportTemplate.Execute(&out, &view)
	return out.Bytes(), err
}
