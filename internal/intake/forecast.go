package intake

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

const (
	// forecastJobs bounds how many jobs one explanation follows.
	forecastJobs = 500
	// forecastLines bounds how many awaited jobs an explanation lists.
	forecastLines = 100
	// forecastLast bounds how many last jobs of pipelines it names.
	forecastLast = 5
)

// path is the longest way, by the estimates, to the end of a job.
type path struct {
	left  time.Duration
	first ids.Job // the unfinished job on whose end it hangs first
}

// forecast estimates when the jobs of a pipeline are over.
type forecast struct {
	survey *survey
	paths  map[ids.Job]path
	cut    bool // there are more jobs than it follows
}

// explainPipeline tells what a job waits for, and whether the deadline of the pipeline
// that it belongs to is at risk, and by which job.
func (d *JobService) explainPipeline(ctx context.Context, r *record.Record) ([]string, error) {
	switch {
	case r.Status == record.Cancelled && r.CancelledBy != "":
		return d.explainCause(ctx, r)
	case r.Status.Over() || r.Status == record.Cancelling:
		return nil, nil
	}
	f := &forecast{survey: d.newSurvey(state.Spare), paths: map[ids.Job]path{}}
	lines, err := f.awaited(ctx, r)
	if err != nil {
		return lines, err
	}
	own, err := f.risk(ctx, r)
	if err != nil {
		return lines, err
	}
	lines = append(lines, own...)
	for _, last := range d.deadlinesBehind(r.Spec.ID) {
		at, err := f.survey.look(ctx, last.Spec.ID)
		if err != nil {
			return lines, err
		}
		if at.over() {
			continue
		}
		risk, err := f.risk(ctx, last)
		if err != nil {
			return lines, err
		}
		for _, line := range risk {
			lines = append(lines, fmt.Sprintf("needed by %s: %s", last.Spec.ID, line))
		}
	}
	if f.cut {
		lines = append(lines, fmt.Sprintf("the estimates are too low: more than %d jobs come before it", forecastJobs))
	}
	return lines, nil
}

// explainCause names the job whose user's cancellation ended one that needs it. The
// record may name one in between, which was cancelled with it.
func (d *JobService) explainCause(ctx context.Context, r *record.Record) ([]string, error) {
	cause, between := r.CancelledBy, []string{}
	for range forecastJobs {
		rec, _, err := d.lookIn(ctx, cause, state.Spare)
		if err != nil {
			return nil, err
		}
		if rec == nil || rec.CancelledBy == "" {
			break
		}
		between = append(between, string(cause))
		cause = rec.CancelledBy
	}
	line := fmt.Sprintf("cancelled with %s, whose user cancelled it", cause)
	if len(between) > 0 {
		line += ", through " + strings.Join(between, ", ")
	}
	return []string{line}, nil
}

// awaited lists how the jobs stand that one awaits, those that are not done first.
func (f *forecast) awaited(ctx context.Context, r *record.Record) ([]string, error) {
	if err := f.survey.prefetch(ctx, r.Spec.Awaits); err != nil {
		return nil, err
	}
	var open, done []string
	for _, need := range r.Spec.Awaits {
		at, err := f.survey.look(ctx, need)
		if err != nil {
			return nil, err
		}
		line := fmt.Sprintf("awaits %s: %s, %d of %d tasks done", need, at.told.Status, at.told.Done, at.told.tasks)
		if at.told.Status == "done" {
			done = append(done, line)
		} else {
			open = append(open, line)
		}
	}
	lines := append(open, done...)
	if more := len(lines) - forecastLines; more > 0 {
		lines = append(lines[:forecastLines], fmt.Sprintf("awaits %d more", more))
	}
	return lines, nil
}

// risk words whether a job's deadline, if it has one, is at risk.
func (f *forecast) risk(ctx context.Context, r *record.Record) ([]string, error) {
	if r.Spec.Due <= 0 {
		return nil, nil
	}
	p, err := f.follow(ctx, r)
	if err != nil {
		return nil, err
	}
	slack := time.Until(due(r)) - p.left
	if slack < 0 {
		return []string{fmt.Sprintf("the pipeline is at risk: by the estimates it ends %.0fs after its deadline; it hangs on %s first", -slack.Seconds(), p.first)}, nil
	}
	return []string{fmt.Sprintf("the pipeline is in time: by the estimates it ends %.0fs before its deadline; it hangs on %s first", slack.Seconds(), p.first)}, nil
}

// follow finds the longest path to the end of a job that is not over.
func (f *forecast) follow(ctx context.Context, r *record.Record) (path, error) {
	id := r.Spec.ID
	if p, ok := f.paths[id]; ok {
		return p, nil
	}
	if len(f.paths) >= forecastJobs {
		f.cut = true
		return path{left: r.Spec.Estimate.Duration(), first: id}, nil
	}
	f.paths[id] = path{first: id}
	if err := f.survey.prefetch(ctx, r.Spec.Awaits); err != nil {
		return path{}, err
	}
	longest := path{first: id}
	for _, need := range r.Spec.Awaits {
		at, err := f.survey.look(ctx, need)
		if err != nil {
			return path{}, err
		}
		if at.over() || at.rec == nil {
			continue
		}
		p, err := f.follow(ctx, at.rec)
		if err != nil {
			return path{}, err
		}
		if longest.first == id || p.left > longest.left {
			longest = p
		}
	}
	longest.left += r.Spec.Estimate.Duration()
	f.paths[id] = longest
	return longest, nil
}

// deadlinesBehind lists the waiting jobs with a deadline that need a job, directly or
// not, soonest due first, as this node's copy has them.
func (d *JobService) deadlinesBehind(id ids.Job) []*record.Record {
	needers := d.needers()
	found := map[ids.Job]bool{id: true}
	var last []*record.Record
	for next := []ids.Job{id}; len(next) > 0; next = next[1:] {
		for _, r := range needers[next[0]] {
			if found[r.Spec.ID] {
				continue
			}
			found[r.Spec.ID] = true
			next = append(next, r.Spec.ID)
			if r.Spec.Due > 0 {
				last = append(last, r)
			}
		}
	}
	slices.SortFunc(last, func(a, z *record.Record) int { return due(a).Compare(due(z)) })
	return last[:min(len(last), forecastLast)]
}

func due(r *record.Record) time.Time { return r.Submitted.Time().Add(r.Spec.Due.Duration()) }

// needers indexes the waiting jobs by what they await.
func (d *JobService) needers() map[ids.Job][]*record.Record {
	entries, _ := d.Jobs.All()
	index := map[ids.Job][]*record.Record{}
	for _, e := range entries {
		r, err := record.DecodeWaiting(e.Value)
		if err != nil || e.Key != record.WaitKey(r.Spec.ID) {
			continue
		}
		for _, need := range r.Spec.Awaits {
			index[need] = append(index[need], r)
		}
	}
	return index
}
