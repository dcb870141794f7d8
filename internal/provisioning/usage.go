package provisioning

import (
	"math"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// usageHistory samples how many tasks of each class of jobs run or could run.
type usageHistory struct {
	*State
	classes   map[string]*classUsage
	sampledAt time.Time
}

// classUsage is the recent usage of one class of jobs.
type classUsage struct {
	// request, critical and shape are those of some job of the class.
	request  placement.Request
	critical bool
	shape    record.Shape
	// wanted and running are samples, oldest first, of how many tasks could run if there were machines,
	// and of how many were assigned.
	wanted     []int
	running    []int
	wantedNow  int
	runningNow int
}

const (
	sampleInterval = time.Second
	// usageWindow is how many samples are kept.
	usageWindow = 120
)

// sample implements Planner.SampleUsage.
func (h *usageHistory) sample(now time.Time) bool {
	if !h.sampledAt.IsZero() && now.Sub(h.sampledAt) < sampleInterval {
		return false
	}
	h.sampledAt = now
	for _, usage := range h.classes {
		usage.wantedNow, usage.runningNow = 0, 0
	}
	for _, job := range h.Jobs.All() {
		h.ensure(job.Record.Spec.Class).count(job, h.tasksWanted(job))
	}
	for class, usage := range h.classes {
		if usage.unused() {
			delete(h.classes, class) // users name the classes, so their number has to be bounded
			continue
		}
		usage.wanted = appendSample(usage.wanted, usage.wantedNow)
		usage.running = appendSample(usage.running, usage.runningNow)
	}
	return true
}

// ensure returns the usage of a class and adds it if there is none.
func (h *usageHistory) ensure(class string) *classUsage {
	usage := h.classes[class]
	if usage == nil {
		usage = &classUsage{}
		h.classes[class] = usage
	}
	return usage
}

// tasksWanted returns how many tasks of a job would run now if there were machines for them.
func (h *usageHistory) tasksWanted(job *workload.Job) int {
	if !job.Schedulable() || job.Failing() {
		return 0
	}
	spec := &job.Record.Spec
	wanted := job.Unfinished()
	if spec.Shape == record.Array {
		wanted = min(wanted, len(job.Assignments)+h.Scheduler.QuotaLeft(spec, wanted))
	}
	return wanted
}

// count adds a job of the class to the current sample.
func (u *classUsage) count(job *workload.Job, wanted int) {
	spec := &job.Record.Spec
	u.request, u.critical, u.shape = spec.PlacementRequest(), spec.Priority == record.Critical, spec.Shape
	u.request.Zone = ""
	u.runningNow += len(job.Assignments)
	u.wantedNow += wanted
}

// unused reports whether the class has had no tasks for a whole window.
func (u *classUsage) unused() bool {
	return u.wantedNow == 0 && u.runningNow == 0 && len(u.running) == usageWindow &&
		!slices.ContainsFunc(u.running, func(tasks int) bool { return tasks > 0 })
}

// mayUse reports whether the class may use a machine type.
func (u *classUsage) mayUse(offer *placement.InstanceType) bool {
	return u.request.InstanceTypes == nil || u.request.Allows(offer.Label, u.request.Zone, false)
}

// highWatermark returns the 90th percentile of the tasks that the class wanted.
func (u *classUsage) highWatermark() int {
	if len(u.wanted) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(u.wanted))
	return sorted[len(sorted)*9/10]
}

const (
	// concurrencyMargin is how many standard deviations of a random arrival process, whose variance is
	// its mean, are added to the mean.
	concurrencyMargin = 0.7
	// roundingAllowance keeps a result that is hardly above a whole number from being rounded up.
	roundingAllowance = 0.05
)

// expectedConcurrency returns for how many tasks of the class to have room: the mean of those that were
// assigned and a margin for random arrivals. Queued tasks do not count: a queue would be counted again
// for every second that it waits, and it has a demand of its own.
func (u *classUsage) expectedConcurrency() int {
	if len(u.running) == 0 {
		return 0
	}
	sum := 0
	for _, tasks := range u.running {
		sum += tasks
	}
	mean := float64(sum) / float64(len(u.running))
	return int(math.Ceil(mean + concurrencyMargin*math.Sqrt(mean) - roundingAllowance))
}

// appendSample appends a sample and drops the oldest one beyond the window.
func appendSample(samples []int, sample int) []int {
	samples = append(samples, sample)
	if len(samples) > usageWindow {
		samples = samples[1:]
	}
	return samples
}
