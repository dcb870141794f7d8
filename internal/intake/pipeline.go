package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// await decides where the record of a job that awaits others goes. What it awaits
// was read after the request began. It may be cancelled from the start; and if all it
// awaits is done, it awaits nothing any more, since that never changes.
func (d *Desk) await(ctx context.Context, rec *claim.Record, limit int) (key string, raw json.RawMessage, err error) {
	id, open := rec.Spec.ID, false
	var by ids.Job
	for _, need := range rec.Spec.Awaits {
		r, cause, err := d.stands(ctx, need, state.Spare, map[ids.Job]ids.Job{})
		switch {
		case err != nil:
			return "", nil, err
		case r == nil:
			return "", nil, errNever{"awaits " + string(need) + ", which was never accepted"}
		case r.Spec.Shape == claim.Service:
			return "", nil, errNever{"awaits " + string(need) + ", a service: it is never done"}
		case cause != "" && by == "":
			by = cause
		case r.Status != claim.Done:
			open = true
		}
	}
	key = claim.JobKey(id)
	switch {
	case by != "":
		rec.EndedBy(by)
		key = claim.EndKey(id)
	case open:
		key = claim.WaitKey(id)
		if raw, ok := rec.EncodeWaiting(limit); ok {
			return key, raw, nil
		}
		return "", nil, errNever{"its description is too large to store"}
	default:
		rec.Ready = ids.WallOf(time.Now())
	}
	raw, ok := rec.Encode(limit)
	if !ok {
		return "", nil, errNever{"its description is too large to store"}
	}
	return key, raw, nil
}

// stands reads how a job stands, and the cancelled job that ends it, which may be
// itself. The copy of the records is as new as the caller needs it.
func (d *Desk) stands(ctx context.Context, id ids.Job, u state.Urgency, seen map[ids.Job]ids.Job) (*claim.Record, ids.Job, error) {
	r, e, err := d.lookIn(ctx, id, u)
	if err != nil || r == nil {
		return nil, "", err
	}
	switch {
	case r.Status == claim.Cancelled || r.Status == claim.Cancelling:
		return r, id, nil
	case e.Key != claim.WaitKey(id):
		return r, "", nil
	}
	by, err := d.among(ctx, r, u, seen)
	return r, by, err
}

// cancelledBy is the cancelled job that ends one that waits; none if it still waits.
func (d *Desk) cancelledBy(ctx context.Context, r *claim.Record, u state.Urgency) (ids.Job, error) {
	return d.among(ctx, r, u, map[ids.Job]ids.Job{})
}

// among looks for a cancelled job among those that one awaits, directly or not. What
// is final is remembered, so that it is read once.
func (d *Desk) among(ctx context.Context, r *claim.Record, u state.Urgency, seen map[ids.Job]ids.Job) (ids.Job, error) {
	for _, need := range r.Spec.Awaits {
		by, known := seen[need]
		if a, ok := d.remembered(need); !known && ok {
			if by = ""; a.Status == "cancelled" {
				by = need
			}
			known = true
		}
		if !known {
			var n *claim.Record
			var err error
			n, by, err = d.stands(ctx, need, u, seen)
			switch {
			case err != nil:
				return "", err
			case n == nil:
				return "", fmt.Errorf("%w: %s awaits %s, of which there is no record", errNotNow, r.Spec.ID, need)
			case n.Status.Over():
				d.remember(n)
			}
		}
		seen[need] = by
		if by != "" {
			return by, nil
		}
	}
	return "", nil
}

// waits tells whether a job still waits for others, as this node knows.
func (d *Desk) waits(id ids.Job) bool {
	e, found, _ := d.Jobs.First(claim.JobKey(id), claim.WaitKey(id))
	return found && e.Key == claim.WaitKey(id)
}

// steps is how far the records of a pipeline are followed for an explanation.
const steps = 200

// chain tells what a job that waits waits for, and whether the deadline of the whole
// is at risk, and by which job.
func (d *Desk) chain(ctx context.Context, r *claim.Record) ([]string, error) {
	if r.Status.Over() {
		return nil, nil
	}
	var lines []string
	type part struct {
		left time.Duration // until it is done, if all goes by the estimates
		slow ids.Job       // the unfinished job on whose end that hangs first
	}
	parts := map[ids.Job]part{}
	var follow func(r *claim.Record, top bool) (part, error)
	follow = func(r *claim.Record, top bool) (part, error) {
		id := r.Spec.ID
		if p, ok := parts[id]; ok || len(parts) > steps {
			return p, nil
		}
		parts[id] = part{}
		var longest part
		for _, need := range r.Spec.Awaits {
			n, by, err := d.stands(ctx, need, state.Spare, map[ids.Job]ids.Job{})
			if err != nil {
				return part{}, err
			}
			if n == nil {
				return part{}, errors.New("no record of " + string(need))
			}
			a := tell(n)
			if by != "" {
				a.Status = "cancelled"
			}
			if top {
				lines = append(lines, fmt.Sprintf("awaits %s: %s, %d of %d tasks done", need, a.Status, a.Done, n.Spec.Tasks))
			}
			if n.Status.Over() {
				continue
			}
			p, err := follow(n, false)
			if err != nil {
				return part{}, err
			}
			if p.left > longest.left || longest.slow == "" {
				longest = p
			}
		}
		if longest.slow == "" {
			longest.slow = id
		}
		longest.left += r.Spec.Estimate.Duration()
		parts[id] = longest
		return longest, nil
	}
	p, err := follow(r, true)
	if err != nil {
		return lines, err
	}
	if r.Spec.Due > 0 {
		slack := time.Until(r.Submitted.Time().Add(r.Spec.Due.Duration())) - p.left
		switch {
		case slack < 0:
			lines = append(lines, fmt.Sprintf("the pipeline is at risk: by the estimates it ends %.0fs after its deadline; it hangs on %s first", -slack.Seconds(), p.slow))
		default:
			lines = append(lines, fmt.Sprintf("the pipeline is in time: by the estimates it ends %.0fs before its deadline; it hangs on %s first", slack.Seconds(), p.slow))
		}
	}
	return lines, nil
}
