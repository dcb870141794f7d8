package claim

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// classUsage remembers how much a class of jobs used lately, so that room is kept
// for work that must start sooner than a machine boots.
type classUsage struct {
	request    placement.Request
	spread     bool
	critical   bool
	shape      record.Shape
	wanted     []int // tasks wanted at once, one sample a second
	running    []int // tasks placed at once
	wantedNow  int
	runningNow int
}

const usageWindow = 120

// sampleUsage notes once a second how much each class wants.
func (c *ClusterState) sampleUsage(now time.Time) {
	if !c.usageSampledAt.IsZero() && now.Sub(c.usageSampledAt) < time.Second {
		return
	}
	c.usageSampledAt = now
	c.accrueCosts(now)
	for _, usage := range c.usage {
		usage.wantedNow, usage.runningNow = 0, 0
	}
	for _, job := range c.jobs.All() {
		spec := &job.Record.Spec
		usage := c.usage[spec.Class]
		if usage == nil {
			usage = &classUsage{}
			c.usage[spec.Class] = usage
		}
		usage.request, usage.spread, usage.critical, usage.shape = spec.PlacementRequest(), spec.Spread, spec.Priority == record.Critical, spec.Shape
		usage.request.InstanceTypes, usage.request.Zone = spec.InstanceTypes, ""
		usage.runningNow += len(job.Assignments)
		if job.Schedulable() && !job.Failing() {
			n := job.Unfinished()
			if spec.Shape == record.Array {
				n = min(n, len(job.Assignments)+c.scheduler.QuotaLeft(spec, n))
			}
			usage.wantedNow += n
		}
	}
	for class, usage := range c.usage {
		// Users name the classes: one not seen for a window is forgotten.
		if usage.wantedNow == 0 && usage.runningNow == 0 && len(usage.running) == usageWindow && !slices.ContainsFunc(usage.running, func(n int) bool { return n > 0 }) {
			delete(c.usage, class)
			continue
		}
		if usage.wanted = append(usage.wanted, usage.wantedNow); len(usage.wanted) > usageWindow {
			usage.wanted = usage.wanted[1:]
		}
		if usage.running = append(usage.running, usage.runningNow); len(usage.running) > usageWindow {
			usage.running = usage.running[1:]
		}
	}
}

// CapacityDemands is what the fleet should provide, most important first, and what is
// there.
func (c *ClusterState) CapacityDemands(now time.Time) (demands []placement.Demand, ups []placement.Instance, types []*placement.InstanceType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer measure.Process.Took("weighing the fleet", time.Now())
	for _, machineType := range c.capacity.Types() {
		types = append(types, machineType)
	}
	sort.Slice(types, func(x, y int) bool { return types[x].Label < types[y].Label })
	demands = append(c.queueDemands(now), c.surgeDemands()...)
	if !c.otherShardsShort {
		demands = append(demands, c.headroomDemands()...)
	}
	late := c.replacedBoots(now)
	for _, machine := range c.machines.Sorted() {
		machineType := c.capacity.Type(machine.Type)
		if machineType == nil || machine.Failed || machine.Deleting || machine.DrainReason != "" || !machine.SpotTerminationAt.IsZero() {
			continue
		}
		if machine.HasReported && !machine.Schedulable(now, c.settings.Params.Workers.ReportS) || machine.Name == c.consolidating {
			continue
		}
		u := placement.Instance{Name: machine.Name, Type: machineType, Zone: machine.Zone, Spot: machine.Spot, Pending: !machine.HasReported, Overdue: late[machine.Name], Free: machineType.Capacity(), Idle: machine.HasReported}
		if node := c.capacity.Node(machine.Name); node != nil {
			u.Free, u.Reclaimable, u.Idle = u.Free.Minus(node.Used), node.Reclaimable, machine.HasReported && len(node.Assignments) == 0
		}
		ups = append(ups, u)
	}
	return demands, ups, types
}

// unmetSlots is how many machines' places a job's queued tasks call for, as a
// fraction of each, and the share of the room in use now that will be free for
// them in time: that hangs on how long what runs there takes (runs, by class),
// not only on how short the waiting job is.
func (c *ClusterState) unmetSlots(job *workload.Job, runs map[string]float64, now time.Time) (slots, turn float64) {
	spec := &job.Record.Spec
	if job.Failing() {
		return 0, 0
	}
	n := job.Unfinished() - len(job.Assignments) - job.CountBackingOff(now)
	n = min(n, c.scheduler.QuotaLeft(spec, max(n, 0)))
	if n <= 0 {
		return 0, 0
	}
	turn = 1
	slots = float64(n)
	if spec.EstimatedDuration > 0 && (spec.Shape == record.Array || spec.Shape == record.Gang && spec.Tasks == 1) {
		takes := float64(spec.EstimatedDuration)
		if spec.Shape == record.Gang {
			takes += c.estimates.ImagePullSeconds(spec) / 2 // about every second one has to fetch
		}
		share := min(1, takes/c.estimates.QueueHorizon(job))
		slots *= share
	}
	if spec.EstimatedDuration > 0 {
		turn = min(1, c.estimates.QueueHorizon(job)/max(runs[spec.Class], float64(spec.EstimatedDuration)))
	}
	return slots, turn
}

// meanEstimates is the mean estimate of the tasks that each class has on machines.
func (c *ClusterState) meanEstimates() map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, job := range c.jobs.Ordered() {
		if k := float64(len(job.Assignments)); k > 0 {
			sum[job.Record.Spec.Class] += k * float64(job.Record.Spec.EstimatedDuration)
			n[job.Record.Spec.Class] += k
		}
	}
	for class := range sum {
		sum[class] /= n[class]
	}
	return sum
}

// queueDemands adds up what the jobs of a class want: rounding each job up would
// rent a machine for every small one.
func (c *ClusterState) queueDemands(now time.Time) []placement.Demand {
	type group struct {
		class      string
		guaranteed bool
		need       placement.Resources
		zone       string
		types      string
		job        ids.Job // of those that need a zone of their own choice
	}
	sums := map[group]float64{}
	at := map[group]int{}
	var demands []placement.Demand
	runs := c.meanEstimates()
	for _, job := range c.scheduler.Ranked(now) {
		slots, turn := c.unmetSlots(job, runs, now)
		if slots <= 0 {
			continue
		}
		spec := &job.Record.Spec
		request := spec.PlacementRequest()
		g := group{class: spec.Class, guaranteed: job.Guaranteed, need: spec.Resources, types: strings.Join(spec.InstanceTypes, ",")}
		if spec.SingleZone && spec.Tasks > 1 {
			g.job = spec.ID
			for _, assignment := range job.Assignments {
				if machine := c.machines.Machines[assignment.Machine]; machine != nil && machine.Zone != "" {
					request.Zone = machine.Zone // where the rest is
				}
			}
		}
		g.zone = request.Zone
		if _, ok := at[g]; !ok {
			at[g] = len(demands)
			demands = append(demands, placement.Demand{Request: request, Spread: spec.Spread, SameZone: g.job != "" && request.Zone == "", Preempt: job.EffectivePriority() >= record.High, ReclaimableShare: turn})
		}
		sums[g] += slots
	}
	for g, i := range at {
		demands[i].Count = int(math.Ceil(sums[g] - 0.01))
	}
	return demands
}

// headroomDemands is the room to hold free: some for critical work, and as much as they
// lately wanted for classes that are to start sooner than a machine boots.
func (c *ClusterState) headroomDemands() []placement.Demand {
	var demands []placement.Demand
	classes := make([]string, 0, len(c.usage))
	for class := range c.usage {
		classes = append(classes, class)
	}
	sort.Strings(classes)
	for _, class := range classes {
		usage := c.usage[class]
		if usage.critical {
			n := max(1, int(math.Ceil(c.settings.Operator.SpareShare*float64(usage.runningNow))))
			demands = append(demands, placement.Demand{Request: usage.request, Count: n, Spread: true, Headroom: true, Preempt: true, ReclaimableShare: 1})
			continue
		}
		if usage.shape == record.Array && c.hasObjective(class) {
			if n := min(usage.highWatermark()-max(usage.runningNow, usage.wantedNow), c.affordableHeadroom(usage)); n > 0 {
				demands = append(demands, placement.Demand{Request: usage.request, Count: n, Headroom: true})
			}
			continue
		}
		if !c.startsBeforeProvisioning(class, usage) {
			continue
		}
		// Too little is known right after a takeover to hire by it.
		young := len(usage.wanted) < 60
		n := usage.expectedConcurrency() - max(usage.runningNow, usage.wantedNow)
		if young {
			n = 2 * (usage.wantedNow + 1)
		}
		if n > 0 {
			demands = append(demands, placement.Demand{Request: usage.request, Count: n, Headroom: true, NoScaleOut: young, Preempt: usage.shape == record.Gang, ReclaimableShare: 1})
		}
	}
	return demands
}

// highWatermark is what the class rarely wants more of.
func (u *classUsage) highWatermark() int {
	if len(u.wanted) == 0 {
		return 0
	}
	v := append([]int(nil), u.wanted...)
	sort.Ints(v)
	return v[len(v)*9/10]
}

// hasObjective tells whether the settings expect anything of the class.
func (c *ClusterState) hasObjective(class string) bool {
	for _, o := range c.settings.Params.Objectives {
		if o.Class == class || o.Kind == config.ObjectiveGuarantee {
			return true
		}
	}
	return false
}

// affordableHeadroom is how many tasks of a class room may be kept for, at a small
// share of what the fleet costs.
func (c *ClusterState) affordableHeadroom(usage *classUsage) int {
	fleet := 0.0
	for _, machine := range c.machines.Machines {
		if machineType := c.capacity.Type(machine.Type); machineType != nil {
			fleet += machineType.HourlyPrice(machine.Spot)
		}
	}
	each := math.Inf(1)
	for _, machineType := range c.capacity.Types() {
		if n := machineType.Capacity().CountFitting(usage.request.Resources, 1000); n > 0 && (usage.request.InstanceTypes == nil || usage.request.Allows(machineType.Label, usage.request.Zone, false)) {
			each = min(each, machineType.Price/float64(n))
		}
	}
	return int(c.settings.Operator.BurstCostShare * fleet / each)
}

// expectedConcurrency is how many tasks of the class to have room for: the mean placed and
// most of its square root, a margin for work that comes at random.
func (u *classUsage) expectedConcurrency() int {
	if len(u.running) == 0 {
		return 0
	}
	// Placed ones only: a queue counts itself again for every second that it
	// waits, and has a demand of its own.
	sum := 0
	for _, n := range u.running {
		sum += n
	}
	a := float64(sum) / float64(len(u.running))
	return int(math.Ceil(a + 0.7*math.Sqrt(a) - 0.05))
}

// startsBeforeProvisioning tells whether a class is to start before a hired machine could be
// up with its image.
func (c *ClusterState) startsBeforeProvisioning(class string, usage *classUsage) bool {
	slowest := math.Inf(1)
	for _, machineType := range c.capacity.Types() {
		if machineType.Capacity().Holds(usage.request.Resources) && (usage.request.InstanceTypes == nil || usage.request.Allows(machineType.Label, usage.request.Zone, false)) {
			slowest = min(slowest, float64(machineType.BootS)+usage.request.ImageGB/max(machineType.PullGBPerS, 0.01))
		}
	}
	for _, o := range c.settings.Params.Objectives {
		if o.Kind == config.ObjectiveWait && o.Class == class && float64(o.WithinS) < slowest {
			return true
		}
	}
	return false
}
