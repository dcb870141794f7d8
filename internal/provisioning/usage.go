package provisioning

import (
	"math"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// classUsages is how much each class of jobs used lately.
type classUsages struct {
	classes   map[string]*classUsage
	sampledAt time.Time
}

// classUsage remembers how much a class of jobs used lately, so that room is kept for work that must
// start sooner than a machine boots.
type classUsage struct {
	request    placement.Request
	critical   bool
	shape      record.Shape
	wanted     []int // tasks wanted at once, one sample a second
	running    []int // tasks assigned at once
	wantedNow  int
	runningNow int
}

const (
	sampleInterval = time.Second
	// usageWindow is how many samples are looked back on.
	usageWindow = 120
)

// SampleUsage notes once a second how much each class wants; it tells whether it did.
func (p *Planner) SampleUsage(now time.Time) bool {
	if !p.usage.sampledAt.IsZero() && now.Sub(p.usage.sampledAt) < sampleInterval {
		return false
	}
	p.usage.sampledAt = now
	for _, usage := range p.usage.classes {
		usage.wantedNow, usage.runningNow = 0, 0
	}
	for _, job := range p.Jobs.All() {
		p.usage.of(job.Record.Spec.Class).count(job, p.tasksWanted(job))
	}
	for class, usage := range p.usage.classes {
		if usage.unused() {
			delete(p.usage.classes, class) // users name the classes: one not seen for a window is forgotten
			continue
		}
		usage.wanted = appendSample(usage.wanted, usage.wantedNow)
		usage.running = appendSample(usage.running, usage.runningNow)
	}
	return true
}

// of finds or adds a class.
func (u *classUsages) of(class string) *classUsage {
	usage := u.classes[class]
	if usage == nil {
		usage = &classUsage{}
		u.classes[class] = usage
	}
	return usage
}

// tasksWanted is how many tasks of a job would run now if there were machines.
func (p *Planner) tasksWanted(job *workload.Job) int {
	if !job.Schedulable() || job.Failing() {
		return 0
	}
	spec := &job.Record.Spec
	wanted := job.Unfinished()
	if spec.Shape == record.Array {
		wanted = min(wanted, len(job.Assignments)+p.Scheduler.QuotaLeft(spec, wanted))
	}
	return wanted
}

// count adds a job of the class to the sample.
func (u *classUsage) count(job *workload.Job, wanted int) {
	spec := &job.Record.Spec
	u.request, u.critical, u.shape = spec.PlacementRequest(), spec.Priority == record.Critical, spec.Shape
	u.request.Zone = ""
	u.runningNow += len(job.Assignments)
	u.wantedNow += wanted
}

// unused tells that nothing of the class was there for a whole window.
func (u *classUsage) unused() bool {
	return u.wantedNow == 0 && u.runningNow == 0 && len(u.running) == usageWindow &&
		!slices.ContainsFunc(u.running, func(tasks int) bool { return tasks > 0 })
}

func appendSample(samples []int, sample int) []int {
	samples = append(samples, sample)
	if len(samples) > usageWindow {
		samples = samples[1:]
	}
	return samples
}

// highWatermark is what the class rarely wants more of: nine of ten samples stayed below.
func (u *classUsage) highWatermark() int {
	if len(u.wanted) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(u.wanted))
	return sorted[len(sorted)*9/10]
}

// Of the square root of the mean, what is kept beside it, and what rounding may take off.
const (
	concurrencyMargin = 0.7
	roundingAllowance = 0.05
)

// expectedConcurrency is how many tasks of the class to have room for: the mean assigned and most of its
// square root, a margin for work that comes at random. Assigned ones only: a queue counts itself again
// for every second that it waits, and has a demand of its own.
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
