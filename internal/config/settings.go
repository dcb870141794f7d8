// Package config reads and checks the platform's settings file, the operators' settings and the
// features' file. Names in those files are given by tags and by the generated types; the texts of
// errors name the setting as it is in its file.
package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Settings is the platform's file. Fields it does not name are ignored.
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
	Features *Features `toml:"-"` // nil without a features' file
}

// Peer is one of the other controllers.
type Peer struct {
	HostName ids.Node `toml:"host_name"`
	Area     string   `toml:"area"`
	PeerAddr string   `toml:"peer_addr"`
}

// Team has a quota that it is guaranteed and a limit; a limit of 0 is none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs: what share of them must reach a stage
// in time.
type Objective struct {
	Kind    string      `toml:"kind"` // the stage
	Class   string      `toml:"class"`
	WithinS ids.Seconds `toml:"within_s"`
	Share   float64     `toml:"share"`
}

// The kinds of objectives that decisions look at.
const (
	ObjectiveFinished  = "finished"  // a job's last task is done
	ObjectiveWait      = "wait"      // a job's first task runs
	ObjectiveGuarantee = "guarantee" // a team gets its guarantee
)

// WorkerIntervals holds the workers' intervals.
type WorkerIntervals struct {
	ReportS   ids.Seconds `toml:"report_s"` // between heartbeats
	LeaseS    ids.Seconds `toml:"lease_s"`
	GangWaitS ids.Seconds `toml:"gang_wait_s"`
	GangPeerS ids.Seconds `toml:"gang_peer_s"`
	CancelS   ids.Seconds `toml:"cancel_s"` // within which a cancelled task must be gone
}

// CloudLimits holds the cloud's limits.
type CloudLimits struct {
	RPS      float64     `toml:"rps"`
	ListLagS ids.Seconds `toml:"list_lag_s"`
}

// MachineLimits is what the machine gives this process.
type MachineLimits struct {
	Cores      float64 `toml:"cores"`
	RAMMB      float64 `toml:"ram_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Load reads and checks the platform's file and the operators' settings; operatorPath may be empty.
func Load(path, operatorPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if operatorPath == "" {
		return s, nil
	}
	raw, err = os.ReadFile(operatorPath)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	if s.Operator, err = ParseOperator(raw); err != nil {
		return nil, fmt.Errorf("operator settings %s: %w", operatorPath, err)
	}
	return s, nil
}

// Parse reads and checks the platform's file, with the default operators' settings.
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

// Team finds a team by name.
func (s *Settings) Team(name string) (Team, bool) {
	for _, team := range s.Params.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}
