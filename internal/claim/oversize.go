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
func (b *Book) tooLarge(j *Job, limit int) {
	if !j.oversize {
		slog.Warn("record too large to store; fewer tasks at a time", "job", j.Rec.Spec.ID, "places", len(j.places))
	}
	j.oversize = true
	j.most = max(1, min(len(j.places), b.openLimit(j))/2)
	j.waiting = "its places do not fit into a record of the state service"
	if b.takeBackUnsent(j) {
		b.touch(j)
		return
	}
	j.unfit = j.version
	if len(j.places) == 0 {
		b.forgetScattered(j, limit)
	}
}

// takeBackUnsent drops the places whose start never went out; it tells whether there
// were any.
func (b *Book) takeBackUnsent(j *Job) bool {
	dropped := false
	for _, i := range sortedTasks(j.places) {
		if p := j.places[i]; !p.sent {
			b.dropPlace(p)
			dropped = true
		}
	}
	return dropped
}

// forgetScattered makes a record fit that has no places left and yet is too large: of
// the finished tasks only the longest runs are kept. The others start again; as their
// results are kept, they exit as done once they have their image.
func (b *Book) forgetScattered(j *Job, limit int) {
	for runs := j.Rec.Finished.Runs(); runs > 1; {
		runs /= 2
		j.Rec.Finished = j.Rec.Finished.Longest(runs)
		rec := j.Rec
		if _, fits := rec.Encode(limit); fits {
			b.note(j, "some finished tasks are asked for again: which ones were done no longer fits into its record")
			b.touch(j)
			return
		}
	}
}
