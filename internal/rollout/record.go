package rollout

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// storedVersion is the version of the stored format that this program writes, and the latest one it reads.
const storedVersion = 1

// Record is the stored state of a rollout. The leader derives all orders of the rollout from it.
type Record struct {
	Version int `json:"version"`
	// ID distinguishes the rollout from all others, including earlier ones of the same name.
	ID    string `json:"id"`
	Spec  Spec   `json:"spec"`
	State State  `json:"state"`
	// Reason explains the state to operators.
	Reason    string        `json:"why,omitempty"`
	StartedAt ids.Timestamp `json:"started"`
	// Total is the number of machines selected, Done the number of them that the rollout has completed.
	Total int `json:"total"`
	Done  int `json:"done"`
	// Parts is the number of parts in which the waiting machines are stored.
	Parts int `json:"parts"`
	// Waves is the number of waves started; the next one starts at NextWave at the earliest.
	Waves    int           `json:"waves"`
	NextWave ids.Timestamp `json:"nextWave,omitempty"`
	Wave     *Wave         `json:"wave,omitempty"`
	// Resumed reports whether an operator has resumed the rollout after a halt and the leader has not yet
	// prepared the wave for that.
	Resumed bool `json:"resumed,omitempty"`
	// Writer and Seq allow a writer that got no answer to recognize its own record in a later read.
	Writer string `json:"writer"`
	Seq    uint64 `json:"seq"`
}

// ErrNewerVersion reports that a newer version of the program stored a rollout.
var ErrNewerVersion = errors.New("stored by a newer version of the program")

// decodeRecord decodes a stored record. It returns an error for a newer format version and for an unknown
// state.
func decodeRecord(raw json.RawMessage) (*Record, error) {
	var version struct {
		Version int `json:"version"`
	}
	if err := exactjson.Unmarshal(raw, &version); err != nil {
		return nil, err
	}
	if version.Version > storedVersion {
		return nil, fmt.Errorf("%w: format version %d, latest supported version %d", ErrNewerVersion, version.Version, storedVersion)
	}
	record := &Record{}
	if err := exactjson.Unmarshal(raw, record); err != nil {
		return nil, err
	}
	if _, known := stateTransitions[record.State]; !known && record.State != Ended {
		return nil, fmt.Errorf("unknown rollout state %q", record.State)
	}
	return record, nil
}

// setWriter sets the writer of the record and increments its sequence number.
func (r *Record) setWriter(writer string) {
	r.Writer = writer
	r.Seq++
}

// clone returns a copy that shares no mutable data with the record.
func (r *Record) clone() *Record {
	copied := *r
	if r.Wave != nil {
		copied.Wave = r.Wave.clone()
	}
	return &copied
}

// setsPerMachine is the maximum number of stored sets that contain a machine of a wave or its replacement at
// the same time.
const setsPerMachine = 3

// checkWaveFits returns an error if the wave size is so large that the record might not fit into a value.
func (r *Record) checkWaveFits(valueBytes int) error {
	const otherBytes = 2048 // the specification, the requests and the prefixes of names
	maxMachines := int(float64(valueBytes-otherBytes) / (setsPerMachine * storedBytesPerMachine))
	if r.Spec.WaveSize > max(maxMachines, 1) && r.Total > maxMachines {
		return fmt.Errorf("%w: wave size: a record of %d bytes holds waves of at most %d machines, not %d", ErrInvalidSpec, valueBytes, maxMachines, r.Spec.WaveSize)
	}
	return nil
}

// machinesIn returns the machines of the wave in a state; the set is empty if there is no wave.
func (r *Record) machinesIn(state MachineState) *MachineSet {
	if r.Wave == nil {
		return &MachineSet{}
	}
	set := r.Wave.Machines[state]
	return &set
}

// Summary returns the state of the rollout in one line.
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
