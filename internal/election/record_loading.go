package election

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// loadRetryDelay is the wait after a reading that failed.
const loadRetryDelay = 100 * time.Millisecond

// recordLoader reads what is stored into the cluster state of a new term. The takeover's commit
// keeps older leaders from changing any of it.
type recordLoader struct {
	settings *config.Settings
	store    *state.Client
	jobs     *state.WatchCache
	keys     record.ShardKeys
	shard    ids.Shard
}

// storedJobs are the live records by job.
type storedJobs struct {
	records   map[ids.Job]*record.Record // of the leader's shard
	waiting   map[ids.Job]*record.Record // of jobs that await others, of all shards
	revisions map[ids.Job]ids.Revision
}

// load reads everything, again until it succeeds. It is false if the term ends first.
func (l *recordLoader) load(ctx context.Context, term *Term) bool {
	for ctx.Err() == nil {
		entries, epoch, err := l.read(ctx, term)
		if err != nil {
			wait.For(ctx, loadRetryDelay)
			continue
		}
		jobs := l.decode(entries, term.Cluster)
		term.Cluster.Load(jobs.records, jobs.revisions, ids.Revision(epoch), time.Now())
		term.Cluster.LoadWaitingJobs(jobs.waiting, jobs.revisions, time.Now())
		close(term.loaded)
		slog.Info("records loaded", "shard", l.shard, "term", term.Generation, "jobs", len(jobs.records), "waiting", len(jobs.waiting),
			"requests", len(term.OpenProvisioningRequests))
		return true
	}
	return false
}

// read lists the live records, and reads the provisioning requests and the allowances into the
// term.
func (l *recordLoader) read(ctx context.Context, term *Term) (jobs []state.Entry, epoch ids.StoreRevision, err error) {
	// The copy is warm; what it lacks is read after the takeover's commit.
	if err := l.jobs.Sync(ctx); err != nil {
		return nil, 0, fmt.Errorf("read records: %w", err)
	}
	jobs, epoch = l.jobs.Entries()
	if term.OpenProvisioningRequests, _, err = l.store.ListAll(ctx, l.keys.ProvisioningRequests(), state.Urgent); err != nil {
		return nil, 0, fmt.Errorf("read provisioning requests: %w", err)
	}
	if l.settings.ShardCount() > 1 {
		if err := l.loadAllowances(ctx, term.Cluster); err != nil {
			return nil, 0, err
		}
	}
	return jobs, epoch, nil
}

// loadAllowances reads the ledgers after the takeover's commit. Their changes have been followed
// since before it.
func (l *recordLoader) loadAllowances(ctx context.Context, cluster *clusterstate.State) error {
	entries, _, err := l.store.ListAll(ctx, quota.Prefix, state.Urgent)
	if err != nil {
		return fmt.Errorf("read allowances: %w", err)
	}
	cluster.LoadAllowances(entries)
	return nil
}

// decode decodes the records, and tells the cluster state of the cancellations that are stored
// apart from them. One that can't be decoded is logged and passed over.
func (l *recordLoader) decode(entries []state.Entry, cluster *clusterstate.State) storedJobs {
	jobs := storedJobs{
		records:   map[ids.Job]*record.Record{},
		waiting:   map[ids.Job]*record.Record{},
		revisions: map[ids.Job]ids.Revision{},
	}
	for _, entry := range entries {
		into, decode := jobs.records, record.Decode
		id, kind := record.ParseKey(entry.Key)
		switch {
		case kind == record.WaitingRecord:
			into, decode = jobs.waiting, record.DecodeWaiting
		case ids.ShardOf(id, l.settings.ShardCount()) != l.shard:
			continue
		case kind == record.StoredCancellation:
			cluster.HandleCancellation(id, entry.Revision, false)
			continue
		}
		rec, err := decode(entry.Value)
		if err != nil {
			slog.Error("unreadable record", "key", entry.Key, "err", err)
			continue
		}
		into[rec.Spec.ID], jobs.revisions[rec.Spec.ID] = rec, entry.Revision
	}
	return jobs
}
