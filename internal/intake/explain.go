package intake

import (
	"context"
	"fmt"

	"github.com/labstack/echo/v4"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Explanation is the response body of GET /v2/runs/{id}/explain.
type Explanation struct {
	Job    ids.Job `json:"uid"`
	Status string  `json:"status"`
	// Events lists the job's events, oldest first.
	Events []record.Event `json:"trail"`
	// Outlook describes what the job waits for, and whether its pipeline will meet its deadlines.
	Outlook []string `json:"now,omitempty"`
	// Leader is the leader that was queried; empty if none was.
	Leader ids.Node `json:"owner,omitempty"`
	// Note states why the explanation is incomplete; empty if it is complete.
	Note string `json:"note,omitempty"`
}

// statusUnknown is the status in an explanation if the store could not be read.
const statusUnknown = "unknown"

func (s *Server) explain(c echo.Context) error {
	return s.respondForJob(c, requestTimeout, s.explainJob)
}

// explainJob explains a job from its record. While the store does not respond, which is when operators need
// explanations most, it returns the last state that this controller read, and says so in the note.
func (s *Server) explainJob(ctx context.Context, id ids.Job) (explanation any, found bool, err error) {
	records := s.Jobs.records()
	stored, err := records.currentRecord(ctx, id, state.Sheddable)
	if err != nil {
		lastKnownRecord := records.lastKnownRecord(id)
		if lastKnownRecord == nil {
			return nil, false, err
		}
		return Explanation{Job: id, Status: statusUnknown, Events: lastKnownRecord.Events,
			Note: "the state service does not answer this controller, which tells what it knew last; ask another one"}, true, nil
	}
	if !stored.exists() {
		return nil, false, nil
	}
	return s.explainRecord(ctx, records, stored.record), true, nil
}

// describeOversize returns why a job that waits for its dependencies can't become schedulable, if its record,
// accepted under a larger limit, does not fit into a value any more.
func (s *JobService) describeOversize(rec *record.Record) []string {
	size, err := rec.MinSize()
	if err != nil || size <= s.valueLimit() {
		return nil
	}
	return []string{fmt.Sprintf("its record takes at least %d bytes, and a value of the state service holds %d: it can't become schedulable", size, s.valueLimit())}
}

// explainRecord returns a job's events and the forecast of its pipeline. Unless the job has ended or
// waits for its dependencies, it adds the leader's explanation of the job's tasks.
func (s *Server) explainRecord(ctx context.Context, records *recordReader, rec *record.Record) Explanation {
	id := rec.Spec.ID
	explanation := Explanation{Job: id, Status: string(summarize(rec).status), Events: rec.Events}
	pipeline, err := newForecast(records).explain(ctx, rec)
	if err != nil {
		explanation.Note = err.Error()
	}
	if rec.Status.IsTerminal() {
		explanation.Outlook = pipeline
		return explanation
	}
	if records.isBlocked(id) {
		explanation.Outlook = append(s.Jobs.describeOversize(rec), pipeline...)
		return explanation
	}
	explanation.Outlook, explanation.Leader, err = s.ExplainByLeader(ctx, id)
	if err != nil {
		explanation.Note = err.Error()
	}
	explanation.Outlook = append(explanation.Outlook, pipeline...)
	return explanation
}
