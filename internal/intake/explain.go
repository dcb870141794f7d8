package intake

import (
	"context"

	"github.com/labstack/echo/v4"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Explanation is the answer of GET /v2/runs/{id}/explain.
type Explanation struct {
	Job    ids.Job `json:"uid"`
	Status string  `json:"status"`
	// Trail is what happened to the job, oldest first.
	Trail []record.Event `json:"trail"`
	// Now is what the job waits for, and how the deadlines of its pipeline stand.
	Now []string `json:"now,omitempty"`
	// Leader is the leader that was asked; empty if none was.
	Leader ids.Node `json:"owner,omitempty"`
	// Note says what is missing in the explanation, and why.
	Note string `json:"note,omitempty"`
}

// statusUnknown is the status in an explanation that the store could not confirm.
const statusUnknown = "unknown"

func (s *Server) explain(c echo.Context) error {
	return s.answerForJob(c, requestTimeout, s.explainJob)
}

// explainJob explains a job by its record. While the store does not answer, which is when operators
// ask most, it tells what this controller knew last, and says so.
func (s *Server) explainJob(ctx context.Context, id ids.Job) (explanation any, found bool, err error) {
	records := s.Jobs.records()
	stored, err := records.current(ctx, id, state.Sheddable)
	if err != nil {
		lastKnown := records.lastKnown(id)
		if lastKnown == nil {
			return nil, false, err
		}
		return Explanation{Job: id, Status: statusUnknown, Trail: lastKnown.Events,
			Note: "the state service does not answer this controller, which tells what it knew last; ask another one"}, true, nil
	}
	if !stored.exists() {
		return nil, false, nil
	}
	return s.explainRecord(ctx, records, stored.record), true, nil
}

// explainRecord tells a job's events, the forecast of its pipeline, and, unless it is over or waits
// for its dependencies, what the leader says of its tasks.
func (s *Server) explainRecord(ctx context.Context, records *recordReader, rec *record.Record) Explanation {
	id := rec.Spec.ID
	explanation := Explanation{Job: id, Status: string(summarize(rec).status), Trail: rec.Events}
	pipeline, err := newForecast(records).explain(ctx, rec)
	if err != nil {
		explanation.Note = err.Error()
	}
	if rec.Status.IsTerminal() || records.blocked(id) {
		explanation.Now = pipeline
		return explanation
	}
	explanation.Now, explanation.Leader, err = s.ExplainByLeader(ctx, id)
	if err != nil {
		explanation.Note = err.Error()
	}
	explanation.Now = append(explanation.Now, pipeline...)
	return explanation
}
