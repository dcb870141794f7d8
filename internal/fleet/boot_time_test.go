package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// bootingFleet simulates machines that boot after they are provisioned and then send heartbeats.
type bootingFleet struct {
	cluster  *clusterstate.State
	cloud    *fake.Cloud
	start    time.Time
	seenAt   map[string]time.Time // when a machine was first seen among the provisioned ones
	sequence ids.SequenceNumber
}

// bootTime returns the boot time of a machine that was provisioned at the given time after the start; 0
// if it never comes up.
type bootTime func(machine string, provisioned time.Duration) time.Duration

// sendHeartbeats delivers a heartbeat of each machine that has booted and was not deleted.
func (f *bootingFleet) sendHeartbeats(boot bootTime) {
	f.sequence++
	deleted := map[string]bool{}
	for _, machine := range f.cloud.DeletedMachines() {
		deleted[machine] = true
	}
	for _, machines := range f.cloud.ProvisioningRequests() {
		for _, machine := range machines {
			if _, known := f.seenAt[machine]; !known {
				f.seenAt[machine] = time.Now()
			}
			firstSeen := f.seenAt[machine]
			duration := boot(machine, firstSeen.Sub(f.start))
			if !deleted[machine] && duration > 0 && time.Since(firstSeen) >= duration {
				f.cluster.ReconcileHeartbeat(heartbeat(ids.Machine(machine), f.sequence))
			}
		}
	}
}

// provisioned returns the number of machines provisioned in total.
func (f *bootingFleet) provisioned() int { return countProvisioned(f.cloud) }

// remaining returns the number of provisioned machines that were not deleted.
func (f *bootingFleet) remaining() int { return f.provisioned() - len(f.cloud.DeletedMachines()) }

// simulateBoots runs a job of 12 tasks, each of which needs a machine, for the given number of seconds,
// and calls check after every second.
func simulateBoots(t *testing.T, seconds int, boot bootTime, check func(second int, fleet *bootingFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		_, cloud, cluster, _, provisioner := newTestProvisioner(500)
		cluster.HandleRecord("job-1", 1, newJob("job-1", 12), time.Now())
		fleet := &bootingFleet{cluster: cluster, cloud: cloud, start: time.Now(), seenAt: map[string]time.Time{}}
		for second := range seconds {
			provisioner.Step(context.Background())
			cluster.Plan(time.Now())
			fleet.sendHeartbeats(boot)
			check(second, fleet)
			time.Sleep(time.Second)
		}
	})
}

func TestSlowBootsDoNotProvisionTheSameDemandAgain(t *testing.T) {
	// Guards against an endless cycle of deleting and provisioning when all boots are slow. Machines were
	// deleted at an age based on the nominal boot time of their type. All took many times as long, so none
	// came up before it was deleted. Later boots take their usual time.
	slow := func(_ string, provisioned time.Duration) time.Duration {
		if provisioned < 100*time.Second {
			return 200 * time.Second
		}
		return 30 * time.Second
	}
	simulateBoots(t, 400, slow, func(second int, fleet *bootingFleet) {
		switch second {
		case 150:
			if n := fleet.provisioned(); n > 14 || len(fleet.cloud.DeletedMachines()) > 0 {
				t.Errorf("%d machines provisioned for 12 tasks, %d deleted while all boots are slow", n, len(fleet.cloud.DeletedMachines()))
			}
		case 230:
			if n := fleet.cluster.Summary()["placed"]; n != 12 {
				t.Errorf("%v of 12 tasks placed after the machines came up", n)
			}
		case 399:
			if n := fleet.provisioned(); n > 30 {
				t.Errorf("%d machines provisioned in total for 12 tasks, want at most 30", n)
			}
			if count := fleet.remaining(); count != 12 {
				t.Errorf("%d machines not deleted, want 12 for 12 tasks", count)
			}
		}
	})
}

func TestMachineThatNeverComesUpIsReplacedThenDeleted(t *testing.T) {
	// Two of the first machines never come up, nor does one of those provisioned in their place.
	broken := map[string]bool{"host-000003": true, "host-000007": true, "host-000013": true}
	simulateBoots(t, 400, func(machine string, _ time.Duration) time.Duration {
		if broken[machine] {
			return 0
		}
		return 30 * time.Second
	}, func(second int, fleet *bootingFleet) {
		switch second {
		case 55:
			if n := fleet.provisioned(); n != 12 {
				t.Errorf("%d machines provisioned for 12 tasks before any boot is late, want 12", n)
			}
		case 110:
			if n := fleet.cluster.Summary()["placed"]; n.(int) < 11 {
				t.Errorf("%v of 12 tasks placed after late machines should be replaced, want at least 11", n)
			}
		case 399:
			if n := fleet.provisioned(); n > 12+len(broken)+1 {
				t.Errorf("%d machines provisioned in total for 12 tasks, want one more per broken machine and at most one besides", n)
			}
			if deleted := fleet.cloud.DeletedMachines(); len(deleted) != len(broken) {
				t.Errorf("deleted machines %v, want only as many as are broken", deleted)
			}
		}
	})
}

func TestMachineThatBootsLateIsUsedOrDeleted(t *testing.T) {
	// The late machine comes up after the one provisioned in its place, when it is no longer needed.
	simulateBoots(t, 330, func(machine string, _ time.Duration) time.Duration {
		if machine == "host-000003" {
			return 100 * time.Second
		}
		return 45 * time.Second
	}, func(second int, fleet *bootingFleet) {
		if second == 329 {
			if count := fleet.remaining(); count != 12 {
				t.Errorf("%d machines not deleted, want 12 for 12 tasks; deleted %v of %d", count, fleet.cloud.DeletedMachines(), fleet.provisioned())
			}
		}
	})
}
