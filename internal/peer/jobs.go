package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// errNoKnownLeader is returned if this controller knows of no leader. Its text is shown to users.
var errNoKnownLeader = errors.New("no controller owns the machine pool now, as far as this one knows: nothing starts until one does")

// Learn applies a job record written by another controller, or the removal of one, to this node's state.
func (s *Service) Learn(in *Wrote, _ *Empty) error {
	elector := s.link.shards.ForJob(in.Job)
	if len(in.Raw) == 0 {
		elector.HandleRecord(in.Job, in.Stamp, nil)
		return nil
	}
	rec, err := record.Decode(json.RawMessage(in.Raw))
	if err != nil {
		return err
	}
	elector.HandleRecord(in.Job, in.Stamp, rec)
	return nil
}

// Explain returns the reasons why a job's tasks wait, if this node leads the job's shard.
func (s *Service) Explain(in *Asked, out *Lines) error {
	lines, err := s.link.shards.ForJob(in.Job).Explain(in.Job)
	out.Lines = lines
	return err
}

// NotifyLeader notifies the leader of the job's shard, which may be this node, that the job's record was
// written. The returned channel closes once the leader has acknowledged, or if no leader is known or the
// call failed. The goroutine that makes the call ends within the timeouts of one call.
func (l *Link) NotifyLeader(id ids.Job, stamp ids.Revision, rec *record.Record, raw json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	elector := l.shards.ForJob(id)
	if elector.Cluster() != nil {
		elector.HandleRecord(id, stamp, rec)
		close(done)
		return done
	}
	leader, known := elector.Leader()
	if !known {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		err := l.connections.call(context.Background(), leader, "Learn", &Wrote{id, stamp, raw}, &Empty{})
		if err != nil {
			slog.Debug("failed to notify the leader of a job record", "job", id, "err", err)
		}
	}()
	return done
}

// Explain returns the reasons why a job's tasks wait according to the leader of the job's shard, and that
// leader's name. The texts of its errors are shown to users.
func (l *Link) Explain(ctx context.Context, id ids.Job) (lines []string, leader ids.Node, err error) {
	elector := l.shards.ForJob(id)
	if lines, err := elector.Explain(id); err == nil {
		return lines, l.settings.HostName, nil
	}
	leader, known := elector.Leader()
	if !known {
		return nil, "", errNoKnownLeader
	}
	var answer Lines
	if err := l.connections.call(ctx, leader, "Explain", &Asked{id}, &answer); err != nil {
		return nil, leader, fmt.Errorf("the pool's leader, %s, could not be asked: %w", leader, err)
	}
	return answer.Lines, leader, nil
}
