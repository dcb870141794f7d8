package provisioning

import (
	"math"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// usageHistory samples, for each job class, how many tasks are assigned and how many could run if there were
// machines for them.
type usageHistory struct {
	*State
	classes   map[string]*classUsage
	sampledAt time.Time
}

// classUsage is the recent usage of one job class.
type classUsage struct {
	// request, critical and jobType are those of the job of the class that was sampled last.
	request  placement.Request
	critical bool
	jobType  record.JobType
	// wanted and running are samples, oldest first, of the number of tasks that could run if there were
	// machines for them, and of the number of assigned tasks.
	wanted     []int
	running    []int
	wantedNow  int
	runningNow int
}

const (
	sampleInterval = time.Second
	// usageWindow is the number of samples that are kept.
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
		h.ensure(job.Record.Spec.Class).addJob(job, h.tasksWanted(job))
	}
	for class, usage := range h.classes {
		if usage.unused() {
			delete(h.classes, class) // users choose the class names, so the number of classes must be bounded
			continue
		}
		usage.wanted = appendSample(usage.wanted, usage.wantedNow)
		usage.running = appendSample(usage.running, usage.runningNow)
	}
	return true
}

// ensure returns the usage of a class, and adds it if it does not exist.
func (h *usageHistory) ensure(class string) *classUsage {
	usage := h.classes[class]
	if usage == nil {
		usage = &classUsage{}
		h.classes[class] = usage
	}
	return usage
}

// tasksWanted returns the number of tasks of a job that would run now if there were machines for them.
func (h *usageHistory) tasksWanted(job *workload.Job) int {
	if !job.Schedulable() || job.Failing() {
		return 0
	}
	spec := &job.Record.Spec
	wanted := job.Unfinished()
	if spec.JobType == record.Array {
		wanted = min(wanted, len(job.Assignments)+h.Scheduler.TasksWithinQuota(spec, wanted))
	}
	return wanted
}

// addJob adds a job of the class to the current sample.
func (u *classUsage) addJob(job *workload.Job, wanted int) {
	spec := &job.Record.Spec
	u.request, u.critical, u.jobType = spec.PlacementRequest(), spec.Priority == record.Critical, spec.JobType
	u.request.Zone = ""
	u.runningNow += len(job.Assignments)
	u.wantedNow += wanted
}

// unused reports whether the class has had no tasks for the whole usage window.
func (u *classUsage) unused() bool {
	return u.wantedNow == 0 && u.runningNow == 0 && len(u.running) == usageWindow &&
		!slices.ContainsFunc(u.running, func(tasks int) bool { return tasks > 0 })
}

// mayUse reports whether the class's request allows a machine type.
func (u *classUsage) mayUse(offer *placement.InstanceType) bool {
	return u.request.InstanceTypes == nil || u.request.Allows(offer.Label, u.request.Zone, false)
}

// wantedPercentile90 returns the 90th percentile of the wanted samples, or 0 if there are none.
func (u *classUsage) wantedPercentile90() int {
	if len(u.wanted) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(u.wanted))
	return sorted[len(sorted)*9/10]
}

const (
	// concurrencyMargin is the number of standard deviations that are added to the mean concurrency. It
	// assumes random arrivals, whose variance equals their mean.
	concurrencyMargin = 0.7
	// roundingAllowance keeps a result that is slightly above a whole number from being rounded up.
	roundingAllowance = 0.05
)

// expectedConcurrency returns the number of tasks of the class to keep capacity for: the mean of the running
// samples plus a margin for random arrivals. Queued tasks do not count, because each would be counted again
// in every second that it waits, and the queue has a demand of its own.
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
