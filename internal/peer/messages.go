package peer

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// The messages between controllers. encoding/gob transmits the names of their fields, and net/rpc the
// names of the methods, to controllers of other versions. These names and the types of the fields must
// not change. convert.go copies the program's own types into the messages, so that those types can change.

// Wrote notifies the leader that a job record was written, or removed if Raw is empty.
type Wrote struct {
	Job   ids.Job
	Stamp ids.Revision
	Raw   []byte
}

// Asked requests an explanation of one job.
type Asked struct{ Job ids.Job }

// Lines is a text response.
type Lines struct{ Lines []string }

// Took announces the takeover of the only shard under a new generation.
type Took struct{ Generation ids.Generation }

// ShardTook announces the takeover of one of several shards under a new generation.
type ShardTook struct {
	Shard      ids.Shard
	Generation ids.Generation
}

// Confirmed is the response to Took and ShardTook. Stopped reports whether the node no longer answers
// heartbeats under older generations.
type Confirmed struct{ Stopped bool }

// Hello is a health report; controllers exchange it once a second. With several shards it is part of
// a ShardsHello, and the fields that concern a single shard are empty.
type Hello struct {
	Node    ids.Node
	StateOK bool // whether the node's calls to the state service succeed
	Owner   bool // whether the node leads the shard
	// Have is the sender's position in the leader's hint sequence. The leader responds with the hints
	// after that position and with its own position.
	Have  HintMark
	Hints []Hint
	// Want is the rate of state service changes, per second, that the sender requests from the recipient's
	// unused share. Lent in the response is the rate that the recipient grants.
	Want, Lent float64
	// Stranded lists workers that were redirected to the leader and came back to the sender.
	Stranded []Strand
}

// ShardHello is the part of a health report for one of several shards. Fields named as in Hello have the
// same meaning.
type ShardHello struct {
	Owner    bool
	Have     HintMark
	Hints    []Hint
	Stranded []Strand
	// Lack is the shard's unmet demand for machines; only its leader sets it.
	Lack Lack
}

// ShardsHello is a health report with an entry for each shard.
type ShardsHello struct {
	Hello  Hello
	Shards []ShardHello
}

// Hint describes a machine. A leader sends hints to the other controllers, so that the next leader
// already knows the machines when it starts.
type Hint struct {
	Name    ids.Machine
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Session ids.Incarnation // incarnation of the machine's agent
	Images  Images
	// Coming reports whether the machine is provisioned but not up yet. Held is the time since it was
	// provisioned.
	Coming bool
	Held   time.Duration
}

// Images lists the container images present on a machine, and their sizes in GB.
type Images struct {
	Names []string
	Sizes []float64
}

// HintMark is a position in a leader's hint sequence.
type HintMark struct {
	Gen   ids.Generation
	Seq   uint64
	Whole bool // whether the accompanying hints are complete, and not only those after an earlier position
	At    time.Time
}

// Strand is a worker that was redirected to the leader and came back to the node that redirected it.
type Strand struct {
	Machine ids.Machine
	Ago     time.Duration // time since the worker was first redirected
}

// Lack is a shard's unmet demand for machines.
type Lack struct {
	For      time.Duration // how long the cloud has refused to provision machines; 0 if it does not
	Machines int           // number of machines that the shard has
}

// TransferRequest asks another controller to give up a number of state service changes, which the sender
// uses at once.
type TransferRequest struct{ Changes int }

// TransferReply is the number of changes that the other controller gives up.
type TransferReply struct{ Changes int }

// DrainRequest asks the leader for the plan of a rollout.
type DrainRequest struct{ Spec RolloutSpec }

// DrainPlan is the response to DrainRequest. Refused is the reason why the rollout's description is
// invalid, or empty if it is valid.
type DrainPlan struct {
	Plan    RolloutPlan
	Refused string
}

// RolloutSpec describes a rollout. Durations are in seconds.
type RolloutSpec struct {
	Name       rollout.Name
	Select     RolloutSelection
	Replace    bool
	Surge      bool
	WaveSize   int
	Pause      ids.Seconds
	Deadline   ids.Seconds
	AtDeadline rollout.DeadlineAction
	Observe    ids.Seconds
}

// RolloutSelection selects the machines of a rollout.
type RolloutSelection struct {
	Machines []ids.Machine
	Digest   string
	Zone     string
	Type     string
	Older    bool
}

// RolloutPlan is the plan of a rollout, computed from the current cluster state.
type RolloutPlan struct {
	Machines []ids.Machine
	Waves    [][]ids.Machine
	Takes    ids.Seconds
	Blocked  []BlockedMachine
}

// BlockedMachine is a machine that can't be drained now, with the reasons.
type BlockedMachine struct {
	Name ids.Machine
	Why  []string
}

// DrainWaits lists, for each machine being drained, the reasons that block its drain.
type DrainWaits struct{ Waits map[ids.Machine][]string }

// Empty is a request or response without content.
type Empty struct{}
