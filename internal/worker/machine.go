package worker

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Machine is what the leader knows of one machine. It is guarded by the lock of the cluster state
// that it belongs to: assignments, quotas and machines need one view.
type Machine struct {
	Identity
	Liveness
	Reachability
	Provisioning
	Availability
	Hints
}

// Identity names a machine and what it is, by its last report or, before the first one, by the
// cloud's list or an earlier leader.
type Identity struct {
	Name ids.Machine
	Addr string // host:port of its worker
	Type string // instance type
	Zone string
	Spot bool // a spot instance
}

// Liveness is what a machine's reports tell.
type Liveness struct {
	Heard       bool               // has reported to this leader
	Session     ids.Incarnation    // the worker's incarnation
	Tick        ids.SequenceNumber // sequence number of the newest report
	Token       ids.Generation     // highest fencing token that the worker has seen
	Seen        time.Time          // when the newest report came in
	HeartbeatAt time.Time          // when a heartbeat of its was last answered
	LapseAt     time.Time          // lease expiry: from here on its worker has surely ended every task
	TakenAt     time.Time          // when the spot instance is terminated; zero without a notice
	Pieces      []Piece            // statuses of its tasks
}

// Reachability is what becomes of health probes and commands sent to a machine.
type Reachability struct {
	Probes  int       // unanswered health probes since its reports are overdue
	Probing bool      // a probe is under way
	Doubted time.Time // when the first of those probes was sent
	Asked   time.Time // when the last probe was sent
	Sending bool      // commands are under way
	// Unreached is since when commands and probes to it go unanswered; zero while they are
	// answered. Its reports may arrive all the same, when only the way to it is cut: they do not
	// end this.
	Unreached time.Time
	Failures  int // unanswered calls since then
	// LateStarts may yet be executed.
	LateStarts []LateStart
}

// LateStart is a start sent straight to a worker that got no answer: it may yet be executed,
// minutes later, while incarnation and fencing token still match.
type LateStart struct {
	Task    string
	Attempt ids.Attempt
	Token   ids.Generation
	Session ids.Incarnation
}

// Provisioning is a machine's life as an instance of the cloud.
type Provisioning struct {
	Born      time.Time // when this leader first knew of it
	HeldSince time.Time // since when it is provisioned, as far as known
	ListedAt  time.Time // when the cloud's list last named it
	Booting   bool      // provisioned, has not reported yet
	Failed    bool      // the cloud says that it stopped by itself
	Deleting  bool
	ReturnWhy string    // why it is being deleted
	IdleSince time.Time // when its last task ended, or when it came
	NeededAt  time.Time // when it was last needed, or when it came
	Going     bool      // to be deleted once it is empty
}

// Availability is what keeps new tasks off a machine beside its liveness.
type Availability struct {
	Draining string // why it is drained; empty: in use
	Cordoned bool   // by a rollout
	Faults   int    // tasks of good jobs that failed there since one last completed
}

// Hints is what the controllers tell one another of a machine beside its identity.
type Hints struct {
	Images  Images
	Hinted  ids.Incarnation // the worker's incarnation, as an earlier leader knew it
	HintSeq uint64          // sequence number of the last change of what others are told
}

// MayRevive tells whether clearing this attempt could let an unanswered start begin it anew.
func (m *Machine) MayRevive(task string, attempt ids.Attempt) bool {
	return slices.ContainsFunc(m.LateStarts, func(start LateStart) bool {
		return start.Task == task && start.Attempt == attempt
	})
}

// Reached notes whether the machine answered a probe or commands.
func (m *Machine) Reached(answered bool, now time.Time) {
	switch {
	case answered:
		m.Unreached, m.Failures = time.Time{}, 0
	case m.Unreached.IsZero():
		m.Unreached, m.Failures = now, 1
	default:
		m.Failures++
	}
}

// Doubtful tells that it leaves calls unanswered: nothing more is sent to it until it answers or
// reports again.
func (m *Machine) Doubtful() bool { return m.Probes > 0 || !m.Unreached.IsZero() }

// Silent is how long nothing has come from the machine.
func (m *Machine) Silent(now time.Time) time.Duration { return now.Sub(m.Seen) }

// The time without a sign of life after which nothing new goes to a machine, as so many intervals
// between reports and a fixed part for delays.
const (
	usableReports      = 2
	usableReportDelay  = time.Second
	usableAnswers      = 4
	usableAnswersDelay = 2 * time.Second
)

// Usable tells whether new tasks may go there; reportInterval is the time between its heartbeats.
func (m *Machine) Usable(now time.Time, reportInterval ids.Seconds) bool {
	interval := reportInterval.Duration()
	// Answers to probes renew no lease: a machine whose heartbeats do not come through soon loses
	// whatever is started there.
	lastAnswered := m.HeartbeatAt
	if lastAnswered.IsZero() {
		lastAnswered = m.Born
	}
	if now.Sub(lastAnswered) > usableAnswers*interval+usableAnswersDelay {
		return false
	}
	alive := m.Heard && m.Unreached.IsZero() && m.Silent(now) < usableReports*interval+usableReportDelay
	stays := !m.Failed && !m.Deleting && m.TakenAt.IsZero()
	return alive && stays && m.Draining == "" && !m.Cordoned
}
