package rollout

import (
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func TestWaveStartsAfterAllMachinesOfOneNameSeriesAreDeleted(t *testing.T) {
	// A MachineSet groups names by series and removes a series with its last machine. This happens here
	// while the machines of the next wave are chosen.
	fleet := newFakeFleet(0)
	for _, name := range []ids.Machine{"host-000007", "spare-1"} {
		fleet.machines[name] = &fakeMachine{MachineInfo: MachineInfo{Known: true, Ready: true, TaskCount: 1}, cost: DrainCost{Steps: 1}}
	}
	record := &Record{Spec: *allMachinesSpec("spring"), State: Running, Total: 4, Parts: 1}
	waiting := []MachineSet{NewMachineSet("gateway-1", "gateway-2", "host-000007", "spare-1")}
	change, err := reconcile(record, waiting, fleet, time.Now(), 1, false)
	if err != nil {
		t.Fatal(err)
	}
	cordoned := change.record.machinesIn(Cordoned)
	if change.record.Done != 2 || cordoned.Len() != 2 || !cordoned.Has("host-000007") || !cordoned.Has("spare-1") {
		t.Errorf("%d machines done, %d cordoned; want the 2 deleted ones done and the 2 others cordoned", change.record.Done, cordoned.Len())
	}
}
