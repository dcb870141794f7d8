// Package config reads the platform's settings file and the operators' own.
package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/prototext"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Settings is the platform's file. Fields it does not name are ignored.
type Settings struct {
	HostName      ids.Node `toml:"host_name"`
	Area          string   `toml:"area"`
	ClientListen  string   `toml:"client_listen"`
	ClusterListen string   `toml:"cluster_listen"`
	Others        []Other  `toml:"others"`
	Services      struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"services"`
	Params struct {
		InitialSize  int         `toml:"initial_size"`
		Zones        []string    `toml:"zones"`
		ClockErrorMs float64     `toml:"clock_error_ms"`
		Teams        []Team      `toml:"teams"`
		Objectives   []Objective `toml:"objectives"`
		Workers      Workers     `toml:"workers"`
		State        State       `toml:"state"`
		Cloud        Cloud       `toml:"cloud"`
		Limits       Limits      `toml:"machine_limits"`
	} `toml:"params"`

	Own      *Operator `toml:"-"`
	Features *Features `toml:"-"`
}

// Other is one of the other controllers.
type Other struct {
	HostName ids.Node `toml:"host_name"`
	Area     string   `toml:"area"`
	PeerAddr string   `toml:"peer_addr"`
}

// Team has a guarantee and a limit; a limit of 0 is none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective says what is expected of a class of jobs.
type Objective struct {
	Kind    string      `toml:"kind"`
	Class   string      `toml:"class"`
	WithinS ids.Seconds `toml:"within_s"`
	Share   float64     `toml:"share"`
}

// Workers holds the workers' intervals.
type Workers struct {
	ReportS   ids.Seconds `toml:"report_s"`
	LeaseS    ids.Seconds `toml:"lease_s"`
	GangWaitS ids.Seconds `toml:"gang_wait_s"`
	GangPeerS ids.Seconds `toml:"gang_peer_s"`
	CancelS   ids.Seconds `toml:"cancel_s"`
}

// State holds the state service's limits.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next is what the limits will be from some moment on, without notice.
	Next *State `toml:"next"`
	// NowKB is the limit of values until then.
	NowKB float64 `toml:"-"`
}

// maxValueKB is the largest value that is used, whatever the service takes: a transaction
// carries 64 KiB in all, conditions and keys included, and a larger value would never be sent.
const maxValueKB = 56

// settle makes the limits hold now and later: whatever is written fits both before
// the moment can come. Next's own fields may be missing.
func (s *State) settle() {
	s.ValueKB = min(s.ValueKB, maxValueKB)
	s.NowKB = s.ValueKB
	n := s.Next
	if n == nil {
		return
	}
	lower := func(v *float64, next float64) {
		if next > 0 {
			*v = min(*v, next)
		}
	}
	lower(&s.RPS, n.RPS)
	lower(&s.WriteRPS, n.WriteRPS)
	lower(&s.ValueKB, n.ValueKB)
	if n.TxnOps > 0 {
		s.TxnOps = min(s.TxnOps, n.TxnOps)
	}
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64     `toml:"rps"`
	ListLagS ids.Seconds `toml:"list_lag_s"`
}

// Limits is what the machine gives this process.
type Limits struct {
	Cores      float64 `toml:"cores"`
	RAMMB      float64 `toml:"ram_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Sockets is how the sockets are split.
type Sockets struct {
	// Callers is for users, workers and health checks.
	Callers int
	// Direct is for calls to machines: a quarter each for commands and for
	// questions under way, the rest for connections kept open.
	Direct int
}

// Sockets splits what the machine allows. Every worker keeps a connection at the
// pool's owner, so callers have the most; the calls to the services and to the
// other controllers come off first.
func (s *Settings) Sockets() Sockets {
	own := 40 + 18*len(s.Others)
	rest := max(s.Params.Limits.MaxSockets-own, s.Params.Limits.MaxSockets/2)
	direct := max(16, rest/4)
	return Sockets{Callers: max(16, rest-direct), Direct: direct}
}

// Grace is how long an owner answers heartbeats after its last good renewal. Cut off
// together with a zone, it may keep tasks there alive that a user has cancelled
// through another node meanwhile: they must be gone, by the lease that its last
// answer gave them, within cancel_s of that.
func (s *Settings) Grace() ids.Seconds {
	w := &s.Params.Workers
	hold := ids.Seconds(float64(s.Own.PoolHoldMs) / 1000)
	most := w.CancelS - ids.Seconds(w.LeaseS.Drifted().Seconds()) - 2*hold
	return max(hold, min(ids.Seconds(s.Own.BeatGraceS), most))
}

// Load reads and checks both files; ownPath may be empty.
func Load(path, ownPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	s.Own = Defaults()
	if ownPath != "" {
		raw, err := os.ReadFile(ownPath)
		if err != nil {
			return nil, fmt.Errorf("operator settings: %w", err)
		}
		if s.Own, err = ParseOwn(raw); err != nil {
			return nil, fmt.Errorf("operator settings %s: %w", ownPath, err)
		}
	}
	return s, nil
}

// Parse reads and checks the platform's file.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(raw, s); err != nil {
		var d *toml.DecodeError
		if errors.As(err, &d) {
			row, _ := d.Position()
			return nil, fmt.Errorf("line %d: %s", row, d.Error())
		}
		return nil, err
	}
	s.Own = Defaults()
	if err := s.check(); err != nil {
		return s, err
	}
	s.Params.State.settle()
	return s, nil
}

// Defaults are the operators' settings when they name none.
func Defaults() *Operator {
	return &Operator{
		PoolHoldMs: 1500, BeatGraceS: 40, SampleMachines: 5, BackoffS: 5, BackoffMaxS: 60,
		TrailEvents: 12, IdleReturnS: 25, StuckBootFactor: 2, OwnerShare: 0.45, FaultyAfter: 2,
		SpareShare: 0.15, BurstCostShare: 0.05,
	}
}

// ParseOwn reads the operators' file over the defaults.
func ParseOwn(raw []byte) (*Operator, error) {
	in := &Operator{}
	if err := prototext.Unmarshal(raw, in); err != nil {
		return nil, err
	}
	o := Defaults()
	set := func(to *float64, v float64) {
		if v != 0 {
			*to = v
		}
	}
	setN := func(to *uint32, v uint32) {
		if v != 0 {
			*to = v
		}
	}
	setN(&o.PoolHoldMs, in.PoolHoldMs)
	setN(&o.SampleMachines, in.SampleMachines)
	setN(&o.TrailEvents, in.TrailEvents)
	setN(&o.FaultyAfter, in.FaultyAfter)
	set(&o.BeatGraceS, in.BeatGraceS)
	set(&o.BackoffS, in.BackoffS)
	set(&o.BackoffMaxS, in.BackoffMaxS)
	set(&o.IdleReturnS, in.IdleReturnS)
	set(&o.StuckBootFactor, in.StuckBootFactor)
	set(&o.OwnerShare, in.OwnerShare)
	set(&o.SpareShare, in.SpareShare)
	set(&o.BurstCostShare, in.BurstCostShare)
	switch {
	case o.PoolHoldMs < 500 || o.PoolHoldMs > 600000:
		return nil, fmt.Errorf("pool_hold_ms: must be 500 to 600000: %d", o.PoolHoldMs)
	case !(o.BeatGraceS*1000 >= float64(o.PoolHoldMs)):
		return nil, fmt.Errorf("beat_grace_s: must be at least the hold: %v", o.BeatGraceS)
	case !(o.OwnerShare > 0 && o.OwnerShare < 1):
		return nil, fmt.Errorf("owner_share: must lie between 0 and 1: %v", o.OwnerShare)
	case !(o.BackoffS > 0 && o.BackoffMaxS >= o.BackoffS):
		return nil, fmt.Errorf("backoff_max_s: must be at least backoff_s, both above 0: %v", o.BackoffMaxS)
	case !(o.IdleReturnS > 0):
		return nil, fmt.Errorf("idle_return_s: must be above 0: %v", o.IdleReturnS)
	case !(o.StuckBootFactor >= 1):
		return nil, fmt.Errorf("stuck_boot_factor: must be at least 1: %v", o.StuckBootFactor)
	case !(o.SpareShare > 0 && o.SpareShare <= 1):
		return nil, fmt.Errorf("spare_share: must lie between 0 and 1: %v", o.SpareShare)
	case !(o.BurstCostShare > 0 && o.BurstCostShare <= 1):
		return nil, fmt.Errorf("burst_cost_share: must lie between 0 and 1: %v", o.BurstCostShare)
	case o.TrailEvents > 64:
		return nil, fmt.Errorf("trail_events: at most 64: %d", o.TrailEvents)
	}
	return o, nil
}

// Team finds a team by name.
func (s *Settings) Team(name string) (Team, bool) {
	for _, t := range s.Params.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
