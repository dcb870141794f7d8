package peer

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// The messages between controllers. encoding/gob sends the names of their fields, and net/rpc those
// of the calls, to controllers of other versions: none of these names may change, nor the type that a
// field holds. The program's own types are copied into them in convert.go, so that those may change.

// Wrote tells the leader of a job's record just written; Raw is empty when it was removed.
type Wrote struct {
	Job   ids.Job
	Stamp ids.Revision
	Raw   []byte
}

// Asked is a question about one job.
type Asked struct{ Job ids.Job }

// Lines is a text answer.
type Lines struct{ Lines []string }

// Took announces the takeover of the only shard, under a new generation.
type Took struct{ Generation ids.Generation }

// ShardTook announces the takeover of one of several shards.
type ShardTook struct {
	Shard      ids.Shard
	Generation ids.Generation
}

// Confirmed answers either: Stopped tells that no heartbeats are answered under older generations.
type Confirmed struct{ Stopped bool }

// Hello is a health report; controllers exchange it once a second. With several shards it is part of
// a ShardsHello, and its fields on the shard are empty.
type Hello struct {
	Node    ids.Node
	StateOK bool // the state service serves the node
	Owner   bool // the node leads the shard
	// Have is how far in the leader's hints this node is; the leader answers with
	// what came since and how far that goes.
	Have  HintMark
	Hints []Hint
	// Want asks for changes of the state service that the other does not use,
	// per second; Lent answers.
	Want, Lent float64
	// Stranded are workers that came back from being redirected to the leader.
	Stranded []Strand
}

// ShardHello tells how a node stands to one shard; the fields are those of Hello.
type ShardHello struct {
	Owner    bool
	Have     HintMark
	Hints    []Hint
	Stranded []Strand
	// Lack is the shard's unmet demand for machines, told by its leader.
	Lack Lack
}

// ShardsHello is a Hello with how the node stands to each shard.
type ShardsHello struct {
	Hello  Hello
	Shards []ShardHello
}

// Hint is what a leader tells the others of a machine, so that the next leader starts with it.
type Hint struct {
	Name    ids.Machine
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Session ids.Incarnation // incarnation of the machine's agent
	Images  Images
	// Coming tells that the machine is pending: provisioned, and not up yet, since Held ago.
	Coming bool
	Held   time.Duration
}

// Images are the container images that a machine has, and their sizes in GB.
type Images struct {
	Names []string
	Sizes []float64
}

// HintMark is how far in a leader's hints a node is.
type HintMark struct {
	Gen   ids.Generation
	Seq   uint64
	Whole bool // the hints that come with it are all there are
	At    time.Time
}

// Strand is a worker that was redirected to the leader and came back.
type Strand struct {
	Machine ids.Machine
	Ago     time.Duration // since it was first redirected
}

// Lack is a shard's unmet demand for machines.
type Lack struct {
	For      time.Duration // how long the cloud has refused it; 0: it has not
	Machines int           // that the shard has
}

// TransferRequest asks for changes of the state service to make at once.
type TransferRequest struct{ Changes int }

// TransferReply tells how many the other controller will not make itself.
type TransferReply struct{ Changes int }

// DrainRequest asks the leader for the plan of a rollout.
type DrainRequest struct{ Spec RolloutSpec }

// DrainPlan answers it. Refused says why the description can't be carried out; empty: it can.
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
	AtDeadline rollout.AtDeadline
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

// RolloutPlan is what a rollout would do as things are now.
type RolloutPlan struct {
	Machines []ids.Machine
	Waves    [][]ids.Machine
	Takes    ids.Seconds
	Blocked  []BlockedMachine
}

// BlockedMachine is a machine that can't be drained now, and why.
type BlockedMachine struct {
	Name ids.Machine
	Why  []string
}

// DrainWaits is what the machines being drained wait for.
type DrainWaits struct{ Waits map[ids.Machine][]string }

// Empty is no answer.
type Empty struct{}
