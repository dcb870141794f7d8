package intake

import (
	"context"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// standing is how a job stands that others await.
type standing struct {
	accepted bool
	told     answer
	cause    ids.Job        // the cancelled job that ends it, perhaps itself
	rec      *record.Record // nil if it is over and only its answer is remembered
}

func (s *standing) over() bool { return s.told.Status == "done" || s.told.Status == "cancelled" }

// survey reads, for one request, how the jobs of a pipeline stand; each is read once.
// Live records come from the node's copy, which must be as new as the request asks.
type survey struct {
	jobs    *JobService
	urgency state.Urgency
	seen    map[ids.Job]*standing
	// finals are final records read in pages; nil for a job that has none.
	finals map[ids.Job]*record.Record
}

func (d *JobService) newSurvey(u state.Urgency) *survey {
	return &survey{jobs: d, urgency: u, seen: map[ids.Job]*standing{}, finals: map[ids.Job]*record.Record{}}
}

// look reads how a job stands.
func (s *survey) look(ctx context.Context, id ids.Job) (*standing, error) {
	if at := s.seen[id]; at != nil {
		return at, nil
	}
	at, err := s.read(ctx, id)
	if err == nil {
		s.seen[id] = at
	}
	return at, err
}

func (s *survey) read(ctx context.Context, id ids.Job) (*standing, error) {
	if told, ok := s.jobs.remembered(id); ok {
		return ended(told, nil), nil
	}
	rec, read := s.finals[id]
	waits := false
	if !read {
		var e state.Entry
		var err error
		if rec, e, err = s.jobs.lookIn(ctx, id, s.urgency); err != nil {
			return nil, err
		}
		waits = rec != nil && e.Key == record.WaitKey(id)
	}
	switch {
	case rec == nil:
		return &standing{}, nil
	case rec.Status.Over():
		s.jobs.remember(rec)
		return ended(tell(rec), rec), nil
	}
	at := &standing{accepted: true, told: tell(rec), rec: rec}
	if rec.Status == record.Cancelling {
		at.cause = id
	}
	if waits {
		var err error
		if at.cause, err = s.causeOf(ctx, rec); err != nil {
			return nil, err
		}
	}
	if at.cause != "" {
		at.told.Status = "cancelled"
	}
	return at, nil
}

// ended is how a job stands that is over.
func ended(told answer, rec *record.Record) *standing {
	at := &standing{accepted: true, told: told, rec: rec}
	if told.Status != "cancelled" {
		return at
	}
	if at.cause = told.cause; at.cause == "" {
		at.cause = told.UID
	}
	return at
}

// causeOf finds a cancelled job among those that one awaits, directly or not.
func (s *survey) causeOf(ctx context.Context, r *record.Record) (ids.Job, error) {
	if err := s.prefetch(ctx, r.Spec.Awaits); err != nil {
		return "", err
	}
	for _, need := range r.Spec.Awaits {
		at, err := s.look(ctx, need)
		switch {
		case err != nil:
			return "", err
		case !at.accepted:
			return "", fmt.Errorf("%w: %s awaits %s, of which there is no record", errNotNow, r.Spec.ID, need)
		case at.cause != "":
			return at.cause, nil
		}
	}
	return "", nil
}

// From manyFinals jobs on, whose final records are not known, these are read in pages of
// at most finalsPage: a job may await hundreds, and a call for each would take longer
// than its user waits.
const (
	manyFinals = 4
	finalsPage = 500
)

// prefetch reads the final records of those jobs that are neither live nor remembered.
func (s *survey) prefetch(ctx context.Context, names []ids.Job) error {
	var missing []ids.Job
	for _, id := range names {
		if !s.known(id) {
			missing = append(missing, id)
		}
	}
	if len(missing) < manyFinals {
		return nil // one by one
	}
	slices.Sort(missing)
	for len(missing) > 0 {
		after := justBefore(record.EndKey(missing[0]))
		page, more, _, err := s.jobs.State.List(ctx, record.EndPrefix, after, finalsPage, s.urgency)
		if err != nil {
			return fmt.Errorf("%w: %v", errNotNow, err)
		}
		if missing, err = s.take(missing, page, more); err != nil {
			return err
		}
	}
	return nil
}

// known tells whether a job can be looked at without a call of its own.
func (s *survey) known(id ids.Job) bool {
	if _, read := s.finals[id]; read || s.seen[id] != nil {
		return true
	}
	if _, ok := s.jobs.remembered(id); ok {
		return true
	}
	_, live, _ := s.jobs.Jobs.First(record.JobKey(id), record.WaitKey(id))
	return live
}

// take sorts a page of final records by the jobs looked for, which are in order, and
// returns those beyond the page.
func (s *survey) take(missing []ids.Job, page []state.Entry, more bool) (beyond []ids.Job, err error) {
	wanted := map[string]ids.Job{}
	for _, id := range missing {
		wanted[record.EndKey(id)] = id
		s.finals[id] = nil
	}
	for _, e := range page {
		id, ok := wanted[e.Key]
		if !ok {
			continue
		}
		rec, err := record.Decode(e.Value)
		if err != nil {
			return nil, fmt.Errorf("%w: unreadable record %s", errNotNow, e.Key)
		}
		s.finals[id] = rec
	}
	if !more || len(page) == 0 {
		return nil, nil
	}
	last := page[len(page)-1].Key
	for k, id := range missing {
		if record.EndKey(id) > last {
			for _, later := range missing[k:] {
				delete(s.finals, later)
			}
			return missing[k:], nil
		}
	}
	return nil, nil
}

// justBefore is a text that comes before a key but after every other job's key that
// does: the last character one less, and one behind that comes after all digits.
func justBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}
