package rehearsal

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// observeChange records each stored state of the rollout and each stored eviction.
func (r *drainRun) observeChange(key string, value json.RawMessage) {
	if value == nil {
		return
	}
	if job, isJob := strings.CutPrefix(key, record.JobPrefix); isJob {
		if stored, err := record.Decode(value); err == nil {
			r.recordEvictions(job, stored)
		}
		return
	}
	var stored rollout.Record
	if !strings.HasPrefix(key, rollout.Prefix+"run/") || exactjson.Unmarshal(value, &stored) != nil {
		return
	}
	r.mu.Lock()
	r.rollout = stored
	r.mu.Unlock()
	r.cluster.record(Event{Kind: RolloutStored, Where: string(stored.Spec.Name), Why: stored.Summary(), Machines: machinesByState(&stored)})
}

// recordEvictions records the rollout and wave that evict each task of a job, once per task and reason.
func (r *drainRun) recordEvictions(job string, stored *record.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range stored.Evictions {
		eviction := &stored.Evictions[i]
		eviction.Tasks.Each(func(task int) {
			name := fmt.Sprintf("%s/%d", job, task)
			why := fmt.Sprintf("rollout %s, wave %d", eviction.Rollout, eviction.Wave)
			if r.evictions[name] != why {
				r.evictions[name] = why
				r.cluster.record(Event{Kind: EvictionStored, Job: job, Task: name, Why: why})
			}
		})
	}
}

// stateCompleted is the key under which machinesByState counts the machines that a rollout has completed.
const stateCompleted = "through"

// machinesByState counts a rollout's machines by their state.
func machinesByState(stored *rollout.Record) map[string]int {
	counts := map[string]int{stateCompleted: stored.Done}
	inWave := 0
	if stored.Wave != nil {
		for state, machines := range stored.Wave.Machines {
			counts[string(state)] = machines.Len()
			inWave += machines.Len()
		}
	}
	counts[string(rollout.Waiting)] = stored.Total - stored.Done - inWave
	return counts
}

// storedRollout returns the rollout record that was stored last.
func (r *drainRun) storedRollout() rollout.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rollout
}
