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

// loadRetryDelay is the delay after a failed read.
const loadRetryDelay = 100 * time.Millisecond

// recordLoader loads the stored records into the cluster state of a new term. Earlier leaders can't change
// them meanwhile, since the commit of the takeover incremented the generation.
type recordLoader struct {
	settings *config.Settings
	store    *state.Client
	jobs     *state.WatchCache
	keys     record.ShardKeys
	shard    ids.Shard
}

// storedJobs contains the live records, by job.
type storedJobs struct {
	records   map[ids.Job]*record.Record // of the leader's shard
	waiting   map[ids.Job]*record.Record // of jobs that wait for the jobs they depend on, of all shards
	revisions map[ids.Job]ids.Revision
}

// load loads all records, and retries until it succeeds. It returns false if the term ends first.
func (l *recordLoader) load(ctx context.Context, term *Term) bool {
	for ctx.Err() == nil {
		entries, storeRevision, err := l.read(ctx, term)
		if err != nil {
			wait.For(ctx, loadRetryDelay)
			continue
		}
		jobs := l.decode(entries, term.Cluster)
		term.Cluster.Load(jobs.records, jobs.revisions, ids.Revision(storeRevision), time.Now())
		term.Cluster.LoadWaitingJobs(jobs.waiting, jobs.revisions, time.Now())
		close(term.loaded)
		slog.Info("records loaded", "shard", l.shard, "term", term.Generation, "jobs", len(jobs.records), "waiting", len(jobs.waiting),
			"requests", len(term.OpenProvisioningRequests), "revision", storeRevision)
		return true
	}
	return false
}

// read returns the live records and their store revision, and reads the provisioning requests and the
// allowances into the term.
func (l *recordLoader) read(ctx context.Context, term *Term) (jobs []state.Entry, storeRevision ids.StoreRevision, err error) {
	// The cache is already filled; Sync reads only the changes that it lacks, after the takeover's commit.
	if err := l.jobs.Sync(ctx); err != nil {
		return nil, 0, fmt.Errorf("refresh cached job records: %w", err)
	}
	jobs, storeRevision = l.jobs.Entries()
	if term.OpenProvisioningRequests, _, err = l.store.ListAll(ctx, l.keys.ProvisioningRequests(), state.Urgent); err != nil {
		return nil, 0, fmt.Errorf("list provisioning requests: %w", err)
	}
	if l.settings.ShardCount() > 1 {
		if err := l.loadAllowances(ctx, term.Cluster); err != nil {
			return nil, 0, err
		}
	}
	return jobs, storeRevision, nil
}

// loadAllowances loads the allowance ledgers. They are read after the takeover's commit, and changes of them
// have been watched since before it.
func (l *recordLoader) loadAllowances(ctx context.Context, cluster *clusterstate.State) error {
	entries, _, err := l.store.ListAll(ctx, quota.Prefix, state.Urgent)
	if err != nil {
		return fmt.Errorf("read allowance ledgers: %w", err)
	}
	cluster.LoadAllowances(entries)
	return nil
}

// decode decodes the records, and reports to the cluster state the cancellations that are stored under keys
// of their own. A record that can't be decoded is logged and skipped.
func (l *recordLoader) decode(entries []state.Entry, cluster *clusterstate.State) storedJobs {
	jobs := storedJobs{
		records:   map[ids.Job]*record.Record{},
		waiting:   map[ids.Job]*record.Record{},
		revisions: map[ids.Job]ids.Revision{},
	}
	for _, entry := range entries {
		target, decode := jobs.records, record.Decode
		id, kind := record.ParseKey(entry.Key)
		switch {
		case kind == record.WaitingRecord:
			target, decode = jobs.waiting, record.DecodeWaiting
		case ids.ShardOf(id, l.settings.ShardCount()) != l.shard:
			continue
		case kind == record.StoredCancellation:
			cluster.HandleCancellation(id, entry.Revision, false)
			continue
		}
		rec, err := decode(entry.Value)
		if err != nil {
			slog.Error("decoding of stored job record failed; job skipped", "key", entry.Key, "err", err)
			continue
		}
		target[rec.Spec.ID], jobs.revisions[rec.Spec.ID] = rec, entry.Revision
	}
	return jobs
}
