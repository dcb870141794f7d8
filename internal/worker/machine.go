package worker

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Machine is the leader's state of one machine. It is guarded by the mutex of the cluster state that it
// belongs to, because assignments, quotas and machines have to be read consistently.
type Machine struct {
	Identity
	Liveness
	Reachability
	Fencing
	Provisioning
	Availability
	Hints
}

// Identity is the name, address and kind of a machine, from its last report or, before its first report,
// from the cloud's list of machines or from an earlier leader.
type Identity struct {
	Name ids.Machine
	Addr string // host:port of its worker
	Type string // instance type
	Zone string
	Spot bool // a spot instance
}

// Liveness is the part of a machine's state that comes from its reports.
type Liveness struct {
	HasReported       bool               // whether it has reported to this leader
	Incarnation       ids.Incarnation    // the worker's incarnation
	Sequence          ids.SequenceNumber // sequence number of the newest report
	FencingToken      ids.Generation     // highest fencing token that the worker has seen
	LastReportAt      time.Time          // when the newest report arrived
	LastAnsweredAt    time.Time          // when this leader last answered one of its heartbeats
	LeaseExpiresAt    time.Time          // when the worker's lease has certainly expired and all of its tasks have ended
	SpotTerminationAt time.Time          // when the cloud terminates the spot instance; zero without a notice
	Tasks             []TaskStatus       // statuses of its tasks
}

// Reachability is the state of the health probes and commands sent to a machine.
type Reachability struct {
	UnansweredProbes int       // unanswered health probes since its reports became overdue
	ProbeInFlight    bool      // whether a probe is in flight
	SuspectSince     time.Time // when the first of the unanswered probes was sent
	LastProbeAt      time.Time // when the last probe was sent
	CommandsInFlight bool      // whether commands are in flight
	// UnreachableSince is the time of the first of the latest consecutive commands and probes
	// without a response; zero if the last one was answered. Reports do not reset it: they may
	// still arrive when only connections to the machine fail.
	UnreachableSince time.Time
	FailedCalls      int // unanswered commands and probes since UnreachableSince
	// UnconfirmedStarts are start commands that may still be executed.
	UnconfirmedStarts []UnconfirmedStart
}

// UnconfirmedStart is a start command that was sent directly to a worker and got no response. The worker
// may still execute it, even minutes later, while its incarnation and fencing token match.
type UnconfirmedStart struct {
	Task         string
	Attempt      ids.Attempt
	FencingToken ids.Generation
	Incarnation  ids.Incarnation
}

// Fencing is the state of the fencing tokens of this leader's commands to a machine. A worker executes a copy
// of direct commands, however late it arrives, until it has seen a higher token.
type Fencing struct {
	raisedToken     ids.Generation // token of commands, if it was raised for this machine
	lastDirectToken ids.Generation // highest token of direct commands sent to it
}

// CommandToken returns the fencing token of commands to the machine; tokens are the leader's.
func (f *Fencing) CommandToken(tokens ids.TokenRange) ids.Generation {
	return max(f.raisedToken, tokens.First)
}

// RecordDirectCommands records that direct commands are sent to the machine with a fencing token.
func (f *Fencing) RecordDirectCommands(token ids.Generation) {
	f.lastDirectToken = max(f.lastDirectToken, token)
}

// RaiseToken makes CommandToken return a token higher than that of every direct command sent to the machine,
// and reports whether the leader has such a token. The caller must send the token in the response to a
// heartbeat: since a worker awaits one response at a time, it never gets a response with a lower token
// later, which it would drop without renewing its lease.
func (f *Fencing) RaiseToken(tokens ids.TokenRange) bool {
	if f.lastDirectToken >= tokens.Last {
		return false
	}
	if f.lastDirectToken >= f.CommandToken(tokens) {
		f.raisedToken = f.lastDirectToken + 1
	}
	return true
}

// RejectsDirectCommands reports whether a worker that has seen a fencing token rejects every copy of the
// direct commands that this leader has sent to it.
func (f *Fencing) RejectsDirectCommands(seen ids.Generation) bool { return seen > f.lastDirectToken }

// Provisioning is the state of a machine as an instance of the cloud.
type Provisioning struct {
	DiscoveredAt    time.Time // when this leader first learned of it
	ProvisionedAt   time.Time // when it was provisioned, as far as known
	ListedAt        time.Time // when the cloud's list last contained it
	Booting         bool      // whether it is provisioned but has not reported yet
	Failed          bool      // whether the cloud reports that it stopped without a request
	Deleting        bool
	DeleteReason    string    // why it is being deleted
	IdleSince       time.Time // when its last task ended, or when it was added
	LastNeededAt    time.Time // when it was last needed, or when it was added
	DeleteWhenEmpty bool      // whether it is to be deleted once no task runs there
}

// Availability holds the reasons, apart from its liveness, to place no new tasks on a machine.
type Availability struct {
	DrainReason  string // why it is drained; empty if it is not
	Cordoned     bool   // whether a rollout has closed it to new tasks
	TaskFailures int    // task failures there not caused by a job, since a task last completed there
}

// Hints is the state of a machine that controllers send one another in addition to its identity.
type Hints struct {
	Images            Images
	HintedIncarnation ids.Incarnation // the worker's incarnation, as an earlier leader knew it
	HintSequence      uint64          // sequence number of the last change of the hint about it
}

// MayRestart reports whether an unconfirmed start could start this attempt again after the worker has
// cleared it.
func (m *Machine) MayRestart(task string, attempt ids.Attempt) bool {
	return slices.ContainsFunc(m.UnconfirmedStarts, func(start UnconfirmedStart) bool {
		return start.Task == task && start.Attempt == attempt
	})
}

// RecordCall records whether the machine answered a probe or commands.
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

// IsSuspect reports whether the machine left probes or commands unanswered. A suspect
// machine is still probed, but gets no commands until it is no longer suspect.
func (m *Machine) IsSuspect() bool { return m.UnansweredProbes > 0 || !m.UnreachableSince.IsZero() }

// SilentFor returns the time since the machine's last report.
func (m *Machine) SilentFor(now time.Time) time.Duration { return now.Sub(m.LastReportAt) }

// A machine gets no new tasks if its last report is older than maxReportIntervals report intervals plus
// reportDelayAllowance, or its last answered heartbeat older than maxAnswerIntervals report intervals plus
// answerDelayAllowance.
const (
	maxReportIntervals   = 2
	reportDelayAllowance = time.Second
	maxAnswerIntervals   = 4
	answerDelayAllowance = 2 * time.Second
)

// Schedulable reports whether new tasks may be placed on the machine; reportInterval is the time between
// its heartbeats.
func (m *Machine) Schedulable(now time.Time, reportInterval ids.Seconds) bool {
	interval := reportInterval.Duration()
	// The worker's lease is renewed only when a heartbeat is answered, not when the worker answers
	// a probe. A machine whose heartbeats do not arrive loses all tasks that are started there once
	// its lease expires.
	lastAnswered := m.LastAnsweredAt
	if lastAnswered.IsZero() {
		lastAnswered = m.DiscoveredAt
	}
	if now.Sub(lastAnswered) > maxAnswerIntervals*interval+answerDelayAllowance {
		return false
	}
	reporting := m.HasReported && m.UnreachableSince.IsZero() && m.SilentFor(now) < maxReportIntervals*interval+reportDelayAllowance
	notLeaving := !m.Failed && !m.Deleting && m.SpotTerminationAt.IsZero()
	return reporting && notLeaving && m.DrainReason == "" && !m.Cordoned
}
