package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// largestFleet is the largest number of machines that the service must support.
const largestFleet = 6000

func TestEarlyProbesGoToLongestSilentMachines(t *testing.T) {
	t.Parallel()
	now := time.Now()
	machines := worker.NewRegistry(20)
	for i := range largestFleet {
		machine := machines.Ensure(ids.Machine(fmt.Sprintf("host-%06d", i)), now, now)
		machine.HasReported, machine.Addr = true, "m:1"
		silence := 1100*time.Millisecond + time.Duration(i*7919%largestFleet)*time.Microsecond*10
		machine.LastReportAt = now.Add(-silence)
	}
	settings := &config.Settings{}
	settings.Params.Workers.ReportS = 2
	prober := NewProber(settings, machines, capacity.NewIndex(machines))
	prober.earlyTokens, prober.selectedAt = 5, now.Add(-100*time.Millisecond)
	probes := prober.SelectProbes(now, 1000, ids.TokenRange{First: 7, Last: 7})
	if len(probes) != 8 {
		t.Fatalf("%d machines probed, want 8: 5 saved tokens and 3 new ones", len(probes))
	}
	for _, probe := range probes {
		silent := now.Sub(machines.Machines[probe.Machine].LastReportAt)
		if silent < 1100*time.Millisecond+(largestFleet-9)*10*time.Microsecond {
			t.Errorf("probed %s, which has been silent for only %v", probe.Machine, silent)
		}
	}
}

func TestProbesPreferReplicasAndRotateAmongSilentMachines(t *testing.T) {
	began := time.Now()
	machines := worker.NewRegistry(20)
	index := capacity.NewIndex(machines)
	for i := range 5 {
		machine := machines.Ensure(ids.Machine(fmt.Sprintf("m%d", i)), began, began)
		machine.HasReported, machine.Addr, machine.LastReportAt = true, "m:1", began.Add(-time.Minute)
		machine.LastProbeAt = began.Add(time.Duration(i-10) * time.Second)
	}
	index.Ensure("m4").Replicas = 1
	machines.Machines["m0"].Deleting = true
	settings := &config.Settings{}
	settings.Params.Workers.ReportS = 2
	prober := NewProber(settings, machines, index)
	for i, want := range []string{"[m4 m1]", "[m2]", "[m4 m3]", "[m4 m1 m2]"} {
		now := began.Add(time.Duration(i) * 1100 * time.Millisecond)
		var names []ids.Machine
		for _, probe := range prober.SelectProbes(now, 2+i%2, ids.TokenRange{First: leaderToken, Last: leaderToken}) {
			names = append(names, probe.Machine)
		}
		if fmt.Sprint(names) != want {
			t.Errorf("pass %d: probed %v, want %s", i, names, want)
		}
		if i == 0 {
			continue // the probes are not answered in time
		}
		for _, machine := range machines.Machines {
			if machine.ProbeInFlight {
				prober.RecordAnswer(machine.Name, false)
			}
		}
	}
	if machine := machines.Machines["m4"]; machine.UnansweredProbes != 3 || !machine.SuspectSince.Equal(began) {
		t.Errorf("m4 has %d unanswered probes, the first sent after %v", machine.UnansweredProbes, machine.SuspectSince.Sub(began))
	}
}
