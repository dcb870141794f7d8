package rollout

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// storedVersion is the version of the stored form that this program writes and reads.
const storedVersion = 1

// Record is a rollout as the state service stores it. What is done follows from it alone.
type Record struct {
	Version int `json:"version"`
	// ID tells it from every other rollout, also an earlier one of the same name.
	ID    string `json:"id"`
	Spec  Spec   `json:"spec"`
	State State  `json:"state"`
	// Reason is the reason for the state, for operators.
	Reason    string        `json:"why,omitempty"`
	StartedAt ids.Timestamp `json:"started"`
	// Total is how many machines were selected, Done how many of them are through.
	Total int `json:"total"`
	Done  int `json:"done"`
	// Parts is in how many parts the waiting machines are stored.
	Parts int `json:"parts"`
	// Waves counts the waves started; the next one starts at NextWave at the earliest.
	Waves    int           `json:"waves"`
	NextWave ids.Timestamp `json:"nextWave,omitempty"`
	Wave     *Wave         `json:"wave,omitempty"`
	// Resumed tells that an operator has resumed it after a halt and the leader has not gone on
	// yet.
	Resumed bool `json:"resumed,omitempty"`
	// Writer and Seq tell a writer that lost an answer whether what it finds is its own.
	Writer string `json:"writer"`
	Seq    uint64 `json:"seq"`
}

// ErrNewerVersion tells that a newer version of the program stored a rollout.
var ErrNewerVersion = errors.New("stored by a newer version")

// decodeRecord reads a stored rollout.
func decodeRecord(raw json.RawMessage) (*Record, error) {
	var version struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(raw, &version); err != nil {
		return nil, err
	}
	if version.Version > storedVersion {
		return nil, fmt.Errorf("%w: %d, this one reads %d", ErrNewerVersion, version.Version, storedVersion)
	}
	record := &Record{}
	if err := json.Unmarshal(raw, record); err != nil {
		return nil, err
	}
	if _, known := stateTransitions[record.State]; !known && record.State != Ended {
		return nil, fmt.Errorf("unknown state %q", record.State)
	}
	return record, nil
}

// signBy marks the record as the next one of a writer.
func (r *Record) signBy(writer string) {
	r.Writer = writer
	r.Seq++
}

// clone is a copy that shares nothing that changes.
func (r *Record) clone() *Record {
	copied := *r
	if r.Wave != nil {
		copied.Wave = r.Wave.clone()
	}
	return &copied
}

// setsPerMachine is in how many sets a machine of a wave, or its replacement, may be at a time.
const setsPerMachine = 3

// checkWaveFits refuses a wave so large that the record would not fit into a value.
func (r *Record) checkWaveFits(valueBytes int) error {
	const besidesMachines = 2048 // the description, requests and the common parts of names
	maximum := int(float64(valueBytes-besidesMachines) / (setsPerMachine * storedBytesPerMachine))
	if r.Spec.WaveSize > max(maximum, 1) && r.Total > maximum {
		return fmt.Errorf("%w: wave size: a record of %d bytes holds waves of %d machines at most: %d", ErrInvalidSpec, valueBytes, maximum, r.Spec.WaveSize)
	}
	return nil
}

// machinesIn lists the wave's machines in a state; none without a wave.
func (r *Record) machinesIn(state MachineState) *MachineSet {
	if r.Wave == nil {
		return &MachineSet{}
	}
	set := r.Wave.Machines[state]
	return &set
}

// Summary is the state of a rollout, in a line.
func (r *Record) Summary() string {
	text := fmt.Sprintf("%s, %d of %d machines through", r.State, r.Done, r.Total)
	if r.Wave != nil {
		text += fmt.Sprintf(", wave %d", r.Wave.Number)
		for _, state := range waveStates {
			if n := r.Wave.count(state); n > 0 {
				text += fmt.Sprintf(", %d %s", n, state)
			}
		}
	}
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	return text
}
