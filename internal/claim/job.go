package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dependency"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// Place is a task on, or perhaps on, a machine. It counts against quota and
// room from before its marker is written until it is proven gone.
type Place struct {
	Job     *Job
	Index   int
	Machine ids.Machine
	Session ids.Session
	Attempt ids.Attempt
	Token   ids.Generation // generation its start goes out under

	keptUntil time.Time // it is stopped for critical work only until then
	awaiting  bool      // counted among those that wait for an image
	version   uint64    // the job's version that first holds it
	sent      bool      // a start may have gone out
	beatOffer ids.Tick
	offered   bool // a start went out in a beat answer
	seen      bool // a report showed it
	status    string
	since     time.Time // placed
	ranSince  time.Time // first seen running

	evicted  bool // a rollout's permit to stop it was decided
	stopping bool
	leeway   ids.Seconds
	stopAt   time.Time
	stopSent time.Time
	why      string
}

// Task is the task's name.
func (p *Place) Task() ids.Task { return ids.Task{Job: p.Job.Rec.Spec.ID, Index: p.Index} }

type retry struct {
	fails int
	at    time.Time
	avoid map[ids.Machine]bool
}

type taskAttempt struct {
	task    ids.Task
	attempt ids.Attempt
	machine ids.Machine
}

// Job is a job in the leader's memory.
type Job struct {
	Rec    record.Record
	stamp  ids.Revision
	places map[int]*Place
	tries  map[int]*retry
	// version counts changes here; saved is the newest the store surely has.
	version, saved uint64
	settled        map[taskAttempt]uint64 // outcome -> version that holds it
	reread         time.Time              // its starts wait for a read of the records that began after this
	ended          bool                   // its final record is stored
	known          time.Time
	waiting        string // why tasks wait now
	logged         string // the same, as last logged
	maxClaimed     int    // tasks claimed at a time, once a marker did not fit; 0: no such bound
	slice          slice
	width          struct {
		places float64 // bytes that a place took when last stored
		rest   int     // and all the rest of the record
		first  int     // and the description alone
	}
	oversize             bool      // its record did not fit into a value when last encoded
	unfit                uint64    // the version that did not fit
	keptRuns             int       // runs of finished tasks that were kept to make it fit; 0: all
	lasted               bool      // a start of it was not undone at once, as far as this leader knows
	emptied              time.Time // when its last place was dropped
	finishedMayHavePlace bool      // a finished task may still have a place
	dirtySince           time.Time
	urgent               bool // what changed must be stored before anything can go on
	guaranteed           bool // lies within its team's guarantee
	failed               failures
	lost                 losses
	reservationSought    time.Time // when machines to set aside were last looked for
	// inherited is the urgency of the jobs that await this one.
	inherited dependency.Urgency
}

func (j *Job) left() int { return j.Rec.Spec.Tasks - j.Rec.Finished.Len() }

// claimable tells whether tasks of the job may be started.
func (j *Job) claimable() bool {
	return !j.ended && (j.Rec.Status == record.Queued || j.Rec.Status == record.Claimed) && j.left() > 0
}

// pending counts the tasks that have no place yet.
func (j *Job) pending() int {
	n := j.left() - len(j.places)
	if j.finishedMayHavePlace {
		for i := range j.places {
			if j.Rec.Finished.Has(i) {
				n++
			}
		}
	}
	return n
}

func (j *Job) cancelled() bool {
	return j.Rec.Status == record.Cancelling || j.Rec.Status == record.Cancelled
}
