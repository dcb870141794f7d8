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

// largestFleet is how many machines there may be without any limit being reached.
const largestFleet = 6000

func TestProbesBeforeReportsAreOverdueGoToTheLongestSilent(t *testing.T) {
	t.Parallel()
	now := time.Now()
	machines := worker.NewRegistry(20)
	for i := range largestFleet {
		machine := machines.Ensure(ids.Machine(fmt.Sprintf("host-%06d", i)), now, now)
		machine.HasReported, machine.Addr = true, "m:1"
		machine.LastReportAt = now.Add(-1100*time.Millisecond - time.Duration(i*7919%largestFleet)*time.Microsecond*10)
	}
	settings := &config.Settings{}
	settings.Params.Workers.ReportS = 2
	prober := NewProber(settings, machines, capacity.NewIndex(machines))
	prober.earlyTokens, prober.pickedAt = 5, now.Add(-100*time.Millisecond)
	probes := prober.Due(now, 1000, 7)
	if len(probes) != 8 {
		t.Fatalf("%d machines probed, not the 5 saved up and 3 more", len(probes))
	}
	for _, probe := range probes {
		if silent := now.Sub(machines.Machines[probe.Machine].LastReportAt); silent < 1100*time.Millisecond+(largestFleet-9)*10*time.Microsecond {
			t.Errorf("probed %s, silent for %v only", probe.Machine, silent)
		}
	}
}
