package rehearsal

import (
	"bytes"
	_ "embed" // for the template
	"html/template"
	"time"

	"gonum.org/v1/plot/plotter"
)

// usagePlot plots the cores or accelerators that a team used over time, with its limit and guarantee.
func usagePlot(team Team, samples []UsageSample, duration time.Duration, accelerators bool) (template.HTML, error) {
	unit, limit, guarantee := "cores", team.Limit, team.Guarantee
	if accelerators {
		unit, limit, guarantee = "accelerators", team.LimitAccelerators, team.GuaranteeAccelerators
	}
	p := newPlot(team.Name+": "+unit+" in use", unit)
	p.Y.Min, p.Y.Max = 0, limit*1.15+1
	p.Add(plotter.NewGrid())
	curves := []plotLine{{name: "in use", points: usagePoints(samples, duration, accelerators), color: blueLine, stepped: true}}
	if limit > 0 {
		curves = append(curves, plotLine{name: "limit", points: horizontalLine(limit, duration), color: redLine, dashed: true})
	}
	if guarantee > 0 {
		curves = append(curves, plotLine{name: "guarantee", points: horizontalLine(guarantee, duration), color: greenLine, dashed: true})
	}
	for _, c := range curves {
		if err := addPlotLine(p, c); err != nil {
			return "", err
		}
	}
	return renderSVG(p)
}

// usagePoints returns the cores or accelerators of a team's samples, from the start of the run to its end.
func usagePoints(samples []UsageSample, duration time.Duration, accelerators bool) plotter.XYs {
	points := plotter.XYs{{}}
	for _, sample := range samples {
		value := sample.Cores
		if accelerators {
			value = sample.Accelerators
		}
		points = append(points, plotter.XY{X: sample.At.Seconds(), Y: value})
	}
	return append(points, plotter.XY{X: duration.Seconds(), Y: points[len(points)-1].Y})
}

// quotaReportData is the data of the report template.
type quotaReportData struct {
	*QuotaFindings
	Plots          []template.HTML
	RefusalReasons []refusalReason
	Faults         []Event
	// LedgerChanges holds the first changes of ledgers, maxListedTransfers at most.
	LedgerChanges    []Event
	TransferRate     float64 // per minute
	SlowestGuarantee time.Duration
	Verdict          string
}

// maxListedTransfers is the maximum number of ledger changes in the report; the record contains all of them.
const maxListedTransfers = 200

// refusalReason is a reason for refused submissions and the number of refusals.
type refusalReason struct {
	Why   string
	Count int
}

//go:embed quota_report.html
var quotaTemplateText string

var quotaTemplate = template.Must(template.New("quota").Funcs(template.FuncMap{"seconds": formatSeconds}).Parse(quotaTemplateText))

// report renders the findings as an HTML page.
func (f *QuotaFindings) report() ([]byte, error) {
	data := quotaReportData{QuotaFindings: f, SlowestGuarantee: f.longestGuaranteeWait(), RefusalReasons: refusalReasons(f.Events),
		Verdict: "No team used more than its limit at any moment, and every guarantee was reached in time."}
	if f.Failed() {
		data.Verdict = "This run failed: see below."
	}
	for _, team := range f.Teams {
		for _, accelerators := range []bool{false, true} {
			svg, err := usagePlot(team, f.Samples[team.Name], f.Duration, accelerators)
			if err != nil {
				return nil, err
			}
			data.Plots = append(data.Plots, svg)
		}
	}
	for _, event := range f.Events {
		switch {
		case event.Kind == FaultInjected:
			data.Faults = append(data.Faults, event)
		case event.Kind == LedgerChanged && len(data.LedgerChanges) < maxListedTransfers:
			data.LedgerChanges = append(data.LedgerChanges, event)
		}
	}
	data.TransferRate = float64(f.Transfers) / max(f.Duration.Minutes(), 1e-9)
	var out bytes.Buffer
	err := quotaTemplate.Execute(&out, &data)
	return out.Bytes(), err
}

// refusalReasons counts refusals by reason, in the order in which the reasons first occurred.
func refusalReasons(events []Event) (reasons []refusalReason) {
	positions := map[string]int{}
	for _, event := range events {
		if event.Kind != JobRefused {
			continue
		}
		position, known := positions[event.Why]
		if !known {
			position = len(reasons)
			positions[event.Why] = position
			reasons = append(reasons, refusalReason{Why: event.Why})
		}
		reasons[position].Count++
	}
	return reasons
}
