package claim

import (
	"log/slog"
)

// tooLarge deals with a job's record that does not fit into a value: written by an older
// version under a larger limit, or with more places than the estimate allowed for. What
// has not been started yet is taken back, since nothing of it may start without a stored
// place and it must not hold room for ever; from then on fewer tasks of the job are
// claimed at a time. Tasks that may be on machines stay: the record becomes smaller as
// they end, and is not tried again before it has changed.
func (b *ClusterState) tooLarge(j *Job, limit int) {
	if !j.oversize {
		slog.Warn("record too large to store; fewer tasks at a time", "job", j.Rec.Spec.ID, "places", len(j.places))
	}
	j.oversize = true
	j.waiting = "its places do not fit into a record of the state service"
	j.unfit = j.version
	single := len(j.places) <= 1
	if claimed := min(len(j.places), b.openLimit(j)); b.takeBackUnsent(j) {
		j.maxClaimed = max(1, claimed/2)
		b.touch(j)
	}
	if single && len(j.places) == 0 {
		b.forgetScattered(j, limit)
	}
}

// takeBackUnsent drops the places whose start never went out; it tells whether there
// were any.
func (b *ClusterState) takeBackUnsent(j *Job) bool {
	dropped := false
	for _, i := range sortedTasks(j.places) {
		if p := j.places[i]; !p.sent {
			b.dropPlace(p)
			dropped = true
		}
	}
	return dropped
}

// forgetScattered makes a record fit that has no places left and yet is too large, or
// has no room for a single place: of the finished tasks only the longest runs are kept,
// so that half of the value is free again for places. The others start again; as their
// results are kept, they exit as done once they have their image.
func (b *ClusterState) forgetScattered(j *Job, limit int) {
	if j.Rec.Finished.Runs() < 2 {
		return // that is not what makes it large
	}
	for runs := j.Rec.Finished.Runs(); runs > 1; {
		runs /= 2
		j.Rec.Finished = j.Rec.Finished.Longest(runs)
		j.keptRuns = runs
		rec := j.Rec
		rec.Trail = nil
		if _, fits := rec.Encode(limit / 2); fits {
			break
		}
	}
	j.maxClaimed = 0
	b.note(j, "some finished tasks are asked for again: which ones were done does not fit into its record")
	b.touch(j)
}

// mayKeep tells whether one more task may be noted as finished that no place accounts
// for: not if forgetting such tasks was what made the record fit.
func (j *Job) mayKeep() bool {
	return j.keptRuns == 0 || j.Rec.Finished.Runs() < j.keptRuns
}
