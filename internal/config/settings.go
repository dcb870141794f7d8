// Package config reads and checks the platform's settings file, the operators' settings file and the
// features file. Struct tags and the generated types determine the names of settings in these files.
// Errors name a setting as it appears in its file.
package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Settings holds the platform's settings file, together with the operators' settings and the features.
// Unknown fields in the platform's file are ignored.
type Settings struct {
	HostName      ids.Node `toml:"host_name"`
	Area          string   `toml:"area"` // the zone of this node
	ClientListen  string   `toml:"client_listen"`
	ClusterListen string   `toml:"cluster_listen"`
	Peers         []Peer   `toml:"others"`
	Services      struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"services"`
	Params struct {
		InitialSize  int             `toml:"initial_size"`
		Zones        []string        `toml:"zones"`
		ClockErrorMs float64         `toml:"clock_error_ms"`
		Teams        []Team          `toml:"teams"`
		Objectives   []Objective     `toml:"objectives"`
		Workers      WorkerIntervals `toml:"workers"`
		State        StateLimits     `toml:"state"`
		Cloud        CloudLimits     `toml:"cloud"`
		Limits       MachineLimits   `toml:"machine_limits"`
	} `toml:"params"`

	Operator *Operator `toml:"-"` // the operators' settings
	Features *Features `toml:"-"` // nil without a features file
}

// Peer is one of the other controllers.
type Peer struct {
	HostName ids.Node `toml:"host_name"`
	Area     string   `toml:"area"`
	PeerAddr string   `toml:"peer_addr"`
}

// Team holds a team's guaranteed quota (CPUs, GPUs) and its limits (CPUsMax, GPUsMax); 0 means no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs: the share of these jobs that must reach a
// stage within a time.
type Objective struct {
	Kind    string      `toml:"kind"` // the stage
	Class   string      `toml:"class"`
	WithinS ids.Seconds `toml:"within_s"`
	Share   float64     `toml:"share"`
}

// The kinds of objectives that affect scheduling decisions.
const (
	ObjectiveFinished  = "finished"  // the job's last task is done
	ObjectiveWait      = "wait"      // the job's first task runs
	ObjectiveGuarantee = "guarantee" // the team has its guaranteed quota
)

// WorkerIntervals holds the intervals and timeouts of workers.
type WorkerIntervals struct {
	ReportS   ids.Seconds `toml:"report_s"` // between heartbeats
	LeaseS    ids.Seconds `toml:"lease_s"`
	GangWaitS ids.Seconds `toml:"gang_wait_s"`
	GangPeerS ids.Seconds `toml:"gang_peer_s"`
	CancelS   ids.Seconds `toml:"cancel_s"` // maximum time until a cancelled task must have ended
}

// CloudLimits holds the cloud's limits.
type CloudLimits struct {
	RPS      float64     `toml:"rps"`
	ListLagS ids.Seconds `toml:"list_lag_s"`
}

// MachineLimits holds the resources that this process may use on its machine.
type MachineLimits struct {
	Cores      float64 `toml:"cores"`
	RAMMB      float64 `toml:"ram_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Load reads and checks the platform's file and the operators' settings. If operatorPath is empty, the
// default operators' settings apply.
func Load(path, operatorPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings file: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	if operatorPath == "" {
		return s, nil
	}
	raw, err = os.ReadFile(operatorPath)
	if err != nil {
		return nil, fmt.Errorf("read operators' settings file: %w", err)
	}
	if s.Operator, err = ParseOperator(raw); err != nil {
		return nil, fmt.Errorf("operators' settings file %s: %w", operatorPath, err)
	}
	return s, nil
}

// Parse parses and checks the platform's file, and sets the default operators' settings.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(raw, s); err != nil {
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			line, _ := decodeError.Position()
			return nil, fmt.Errorf("line %d: %s", line, decodeError.Error())
		}
		return nil, err
	}
	s.Operator = DefaultOperator()
	if err := s.check(); err != nil {
		return s, err
	}
	s.Params.State.applyNext()
	return s, nil
}

// Team returns the team with the given name, and whether there is one.
func (s *Settings) Team(name string) (Team, bool) {
	for _, team := range s.Params.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}
