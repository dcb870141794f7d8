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
	HasReported       bool               // has reported to this leader
	Incarnation       ids.Incarnation    // the worker's incarnation
	Sequence          ids.SequenceNumber // sequence number of the newest report
	FencingToken      ids.Generation     // highest fencing token that the worker has seen
	LastReportAt      time.Time          // when the newest report came in
	LastAnsweredAt    time.Time          // when a heartbeat of its was last answered
	LeaseExpiresAt    time.Time          // lease expiry: from here on its worker has surely ended every task
	SpotTerminationAt time.Time          // when the spot instance is terminated; zero without a notice
	Tasks             []TaskStatus       // statuses of its tasks
}

// Reachability is what becomes of health probes and commands sent to a machine.
type Reachability struct {
	UnansweredProbes int       // unanswered health probes since its reports are overdue
	ProbeInFlight    bool      // a probe is under way
	SuspectSince     time.Time // when the first of those probes was sent
	LastProbeAt      time.Time // when the last probe was sent
	CommandsInFlight bool      // commands are under way
	// UnreachableSince is since when commands and probes to it go unanswered; zero while they are
	// answered. Its reports may arrive all the same, when only the way to it is cut: they do not
	// end this.
	UnreachableSince time.Time
	FailedCalls      int // unanswered calls since then
	// UnconfirmedStarts may yet be executed.
	UnconfirmedStarts []UnconfirmedStart
}

// UnconfirmedStart is a start sent straight to a worker that got no answer: it may yet be executed,
// minutes later, while incarnation and fencing token still match.
type UnconfirmedStart struct {
	Task         string
	Attempt      ids.Attempt
	FencingToken ids.Generation
	Incarnation  ids.Incarnation
}

// Provisioning is a machine's life as an instance of the cloud.
type Provisioning struct {
	DiscoveredAt    time.Time // when this leader first knew of it
	ProvisionedAt   time.Time // since when it is provisioned, as far as known
	ListedAt        time.Time // when the cloud's list last named it
	Booting         bool      // provisioned, has not reported yet
	Failed          bool      // the cloud says that it stopped by itself
	Deleting        bool
	DeleteReason    string    // why it is being deleted
	IdleSince       time.Time // when its last task ended, or when it came
	LastNeededAt    time.Time // when it was last needed, or when it came
	DeleteWhenEmpty bool      // to be deleted once it is empty
}

// Availability is what keeps new tasks off a machine beside its liveness.
type Availability struct {
	DrainReason  string // why it is drained; empty: in use
	Cordoned     bool   // by a rollout
	TaskFailures int    // tasks of good jobs that failed there since one last completed
}

// Hints is what the controllers tell one another of a machine beside its identity.
type Hints struct {
	Images            Images
	HintedIncarnation ids.Incarnation // the worker's incarnation, as an earlier leader knew it
	HintSequence      uint64          // sequence number of the last change of what others are told
}

// MayRestart tells whether clearing this attempt could let an unanswered start begin it anew.
func (m *Machine) MayRestart(task string, attempt ids.Attempt) bool {
	return slices.ContainsFunc(m.UnconfirmedStarts, func(start UnconfirmedStart) bool {
		return start.Task == task && start.Attempt == attempt
	})
}

// RecordCall notes whether the machine answered a probe or commands.
func (m *Machine) RecordCall(answered bool, now time.Time) {
	switch {
	case answered:
		m.UnreachableSince, m.FailedCalls = time.Time{}, 0
	case m.UnreachableSince.IsZero():
		m.UnreachableSince, m.FailedCalls = now, 1
	default:
		m.FailedCalls++
	}
}

// Suspect tells that it leaves calls unanswered: nothing more is sent to it until it answers or
// reports again.
func (m *Machine) Suspect() bool { return m.UnansweredProbes > 0 || !m.UnreachableSince.IsZero() }

// SilentFor is how long nothing has come from the machine.
func (m *Machine) SilentFor(now time.Time) time.Duration { return now.Sub(m.LastReportAt) }

// The time without a sign of life after which nothing new goes to a machine, as so many intervals
// between reports and a fixed part for delays.
const (
	usableReports      = 2
	usableReportDelay  = time.Second
	usableAnswers      = 4
	usableAnswersDelay = 2 * time.Second
)

// Schedulable tells whether new tasks may go there; reportInterval is the time between its heartbeats.
func (m *Machine) Schedulable(now time.Time, reportInterval ids.Seconds) bool {
	interval := reportInterval.Duration()
	// Answers to probes renew no lease: a machine whose heartbeats do not come through soon loses
	// whatever is started there.
	lastAnswered := m.LastAnsweredAt
	if lastAnswered.IsZero() {
		lastAnswered = m.DiscoveredAt
	}
	if now.Sub(lastAnswered) > usableAnswers*interval+usableAnswersDelay {
		return false
	}
	alive := m.HasReported && m.UnreachableSince.IsZero() && m.SilentFor(now) < usableReports*interval+usableReportDelay
	stays := !m.Failed && !m.Deleting && m.SpotTerminationAt.IsZero()
	return alive && stays && m.DrainReason == "" && !m.Cordoned
}
