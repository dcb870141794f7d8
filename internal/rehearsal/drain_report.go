package rehearsal

import (
	"bytes"
	_ "embed" // for the template
	"html/template"
	"image/color"
	"time"

	"gonum.org/v1/plot/plotter"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// replicasDownPlot plots the number of a team's replicas that were down over time, and its budget.
func replicasDownPlot(team drainTeam, samples []DownSample, duration time.Duration) (template.HTML, error) {
	down, byDrains := plotter.XYs{{}}, plotter.XYs{{}}
	highest := team.ReplicasDown
	for _, sample := range samples {
		down = append(down, plotter.XY{X: sample.At.Seconds(), Y: float64(sample.Down)})
		byDrains = append(byDrains, plotter.XY{X: sample.At.Seconds(), Y: float64(sample.ByDrains)})
		highest = max(highest, sample.Down)
	}
	p := newPlot(team.Name+": replicas down", "replicas")
	p.Y.Min, p.Y.Max = 0, float64(highest)+1
	for _, c := range []plotLine{
		{name: "down, for whatever reason", points: down, color: silverLine, stepped: true},
		{name: "down by drains", points: byDrains, color: blueLine, stepped: true},
		{name: "budget", points: horizontalLine(float64(team.ReplicasDown), duration), color: redLine, stepped: true, dashed: true},
	} {
		if err := addPlotLine(p, c); err != nil {
			return "", err
		}
	}
	return renderSVG(p)
}

// machineStatesPlot plots the number of the rollout's machines in each state over time.
func machineStatesPlot(events []Event) (template.HTML, error) {
	p := newPlot("machines by state", "machines")
	for _, c := range []struct {
		state, name string
		color       color.Color
	}{
		{string(rollout.Waiting), "wait their turn", grayLine},
		{string(rollout.Draining), "being emptied", orangeLine},
		{string(rollout.Returned), "returned", purpleLine},
		{string(rollout.Replaced), "replacement observed", blueLine},
		{stateCompleted, "through", greenLine},
	} {
		points := statePoints(events, c.state)
		if len(points) == 0 {
			continue
		}
		if err := addPlotLine(p, plotLine{name: c.name, points: points, color: c.color, stepped: true}); err != nil {
			return "", err
		}
	}
	return renderSVG(p)
}

// statePoints returns the number of the rollout's machines in a state at each stored change of the rollout.
func statePoints(events []Event, state string) (points plotter.XYs) {
	for _, event := range events {
		if event.Kind == RolloutStored {
			points = append(points, plotter.XY{X: event.At.Seconds(), Y: float64(event.Machines[state])})
		}
	}
	return points
}

// drainReportData is the data of the report template.
type drainReportData struct {
	*DrainFindings
	Plots          []template.HTML
	Timeline       []Event // changes of the rollout, commands and faults
	Verdict        string
	PermitsGiven   int
	PermitsRefused int
	ReplicaMoves   int
}

// maxListedMoves is the maximum number of moves in the report; the record contains all of them.
const maxListedMoves = 400

// ListedMoves returns the moves that the report lists, the earliest first.
func (d *drainReportData) ListedMoves() []Relocation {
	return d.Moves[:min(len(d.Moves), maxListedMoves)]
}

//go:embed drain_report.html
var drainTemplateText string

var drainTemplate = template.Must(template.New("drain").Funcs(template.FuncMap{"seconds": formatSeconds}).Parse(drainTemplateText))

// report renders the findings as an HTML page.
func (f *DrainFindings) report() ([]byte, error) {
	data := drainReportData{DrainFindings: f, PermitsGiven: f.PermitCounts[rollout.CounterPermitsGranted], PermitsRefused: f.PermitCounts[rollout.CounterPermitsRefused],
		Verdict: "No drain took more of a team down than its budget, every job is accounted for, and nothing was left behind."}
	if f.Failed() {
		data.Verdict = "This run failed: see below."
	}
	var err error
	if data.Plots, err = f.plots(); err != nil {
		return nil, err
	}
	for _, move := range f.Moves {
		if isService(jobOfTask(move.Task)) {
			data.ReplicaMoves++
		}
	}
	for _, event := range f.Events {
		if event.Kind == FaultInjected || event.Kind == RolloutStored || event.Kind == CommandAccepted {
			data.Timeline = append(data.Timeline, event)
		}
	}
	var out bytes.Buffer
	err = drainTemplate.Execute(&out, &data)
	return out.Bytes(), err
}

// plots renders the plots of the report as SVG.
func (f *DrainFindings) plots() (plots []template.HTML, err error) {
	for _, team := range f.Teams {
		svg, err := replicasDownPlot(team, f.Down[team.Name], f.Duration)
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	svg, err := machineStatesPlot(f.Events)
	if err != nil {
		return nil, err
	}
	return append(plots, svg), nil
}
