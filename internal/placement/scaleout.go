package placement

import (
	"cmp"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Demand is capacity that is wanted: for queued tasks, or as headroom for tasks that must start
// sooner than an instance boots.
type Demand struct {
	Request Request
	Count   int  // tasks
	Spread  bool // over zones
	// SameZone means all in one zone, whichever. Capacity in different zones does not add up for it.
	SameZone   bool
	Preempt    bool // may preempt the tasks of job arrays
	Headroom   bool // capacity to keep free: no task is queued yet
	NoScaleOut bool // keeps instances that there are, but is no reason to scale out
	// ReclaimableShare is the share of an instance's reclaimable capacity that will be free in time.
	ReclaimableShare float64
}

// Instance is a running or pending instance.
type Instance struct {
	Name        ids.Machine
	Type        *InstanceType
	Zone        string
	Spot        bool
	Free        Resources // not allocated
	Reclaimable Resources // allocated to tasks that end by themselves or may be preempted
	Pending     bool      // has been requested, or is booting
	Idle        bool      // has no task
	// Overdue means pending for so long that it may never come. It covers only demand for which nothing
	// can be provisioned.
	Overdue bool
}

// ProvisioningRequest is a request to provision instances.
type ProvisioningRequest struct {
	Type  string
	Zone  string
	Spot  bool
	Count int
}

// OfferFilter reports whether such an instance is worth requesting: the cloud has not refused it
// lately.
type OfferFilter func(instanceType, zone string, spot bool) bool

// PlanScaleOut decides which instances to provision for the demands that running and pending instances
// do not cover, and which idle instances are still needed. Demands come in order of importance. It
// uses the instances as its working copy and changes them.
func PlanScaleOut(demands []Demand, instances []Instance, types []*InstanceType, offered OfferFilter) (requests []ProvisioningRequest, needed map[ids.Machine]bool) {
	p := newPlan(instances, types, offered)
	var unmet []Demand
	for _, demand := range demands {
		if demand.SameZone {
			demand.Request.Zone = p.bestZone(&demand)
		}
		left := p.cover(&demand, demand.Count, false)
		left = p.provision(&demand, left)
		left = p.cover(&demand, left, true)
		if left > 0 && !demand.Headroom && demand.Request.Resources.Accels == 0 {
			demand.Count = left
			unmet = append(unmet, demand)
		}
	}
	for _, demand := range unmet {
		p.coverWithAccelerators(&demand)
	}
	return p.requests, p.needed
}

// plan is the state of one scale-out decision: the instances, as demands take capacity of them,
// and the requests so far.
type plan struct {
	types     []*InstanceType
	offered   OfferFilter
	instances []Instance // those that there are, then those requested, which have no name
	order     []int      // of instances: which to use first
	perZone   map[string]int
	requests  []ProvisioningRequest
	needed    map[ids.Machine]bool
}

// Instances are used in the order of their price and these additions to it, so that those left
// idle can be terminated: busy ones first, then pending ones, then idle ones.
const (
	idlePrice    = 1e6
	pendingPrice = 5e5
)

func newPlan(instances []Instance, types []*InstanceType, offered OfferFilter) *plan {
	p := &plan{
		types:     types,
		offered:   offered,
		instances: instances,
		perZone:   map[string]int{},
		needed:    map[ids.Machine]bool{},
	}
	for i, instance := range instances {
		p.perZone[instance.Zone]++
		p.order = append(p.order, i)
	}
	sortByKey(p.order, func(i int) float64 {
		instance := &instances[i]
		key := instance.Type.HourlyPrice(instance.Spot)
		if instance.Idle {
			key += idlePrice
		}
		if instance.Pending {
			key += pendingPrice
		}
		return key
	})
	return p
}

// sortByKey sorts indices by their keys. It is stable, so that decisions do not depend on chance.
// Order must be a permutation of its indices.
func sortByKey(order []int, key func(index int) float64) {
	keys := make([]float64, len(order))
	for _, i := range order {
		keys[i] = key(i)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(keys[x], keys[y]) })
}

// cover takes capacity of the instances that are late, or of those that are not, for up to left
// of the demand's tasks, and returns how many find none.
func (p *plan) cover(demand *Demand, left int, late bool) int {
	for _, i := range p.order {
		instance := &p.instances[i]
		if left == 0 || instance.Overdue != late {
			continue
		}
		count := demand.tasksOn(instance, left)
		if count == 0 {
			continue
		}
		left -= count
		p.needed[instance.Name] = true
		instance.take(demand.Request.Resources.Times(float64(count)))
	}
	return left
}

// take allocates capacity: what is free first, then what will be.
func (i *Instance) take(amount Resources) {
	i.Free = i.Free.Minus(amount)
	if short := (Resources{}).Minus(i.Free).positive(); short != (Resources{}) {
		i.Free = i.Free.Plus(short)
		i.Reclaimable = i.Reclaimable.Minus(short)
	}
}

// provision requests instances for up to left of the demand's tasks, and returns for how many it
// cannot.
func (p *plan) provision(demand *Demand, left int) int {
	for left > 0 && !demand.NoScaleOut {
		best := p.cheapestOffer(demand, left, p.perZone)
		if best.tasks == 0 {
			break
		}
		left -= best.tasks
		p.perZone[best.zone]++
		p.addRequest(best)
		p.instances = append(p.instances, Instance{
			Type:    best.instanceType,
			Zone:    best.zone,
			Spot:    best.spot,
			Pending: true,
			Free:    best.instanceType.Capacity().Minus(demand.Request.Resources.Times(float64(best.tasks))),
		})
		p.order = append(p.order, len(p.instances)-1)
	}
	return left
}

// addRequest requests one more instance of an offer.
func (p *plan) addRequest(chosen offer) {
	for i := range p.requests {
		request := &p.requests[i]
		if request.Type == chosen.instanceType.Label && request.Zone == chosen.zone && request.Spot == chosen.spot {
			request.Count++
			return
		}
	}
	p.requests = append(p.requests, ProvisioningRequest{Type: chosen.instanceType.Label, Zone: chosen.zone, Spot: chosen.spot, Count: 1})
}

// anyNumber is a limit that no count of tasks on an instance reaches.
const anyNumber = 1 << 20

// coverWithAccelerators puts tasks for which no other instance can be had on instances with
// accelerators: those that are needed anyhow, and only then others, which stay for as long as the
// tasks are queued.
func (p *plan) coverWithAccelerators(demand *Demand) {
	left := demand.Count
	for _, neededAnyhow := range []bool{true, false} {
		for _, i := range p.order {
			instance := &p.instances[i]
			requested := instance.Name == ""
			if left == 0 || requested || instance.Type.Accels == 0 || p.needed[instance.Name] != neededAnyhow ||
				!demand.Request.Allows(instance.Type.Label, instance.Zone, instance.Spot) {
				continue
			}
			count := instance.Free.Plus(instance.Reclaimable).CountFitting(demand.Request.Resources, left)
			if !neededAnyhow && 2*count < instance.Type.Capacity().CountFitting(demand.Request.Resources, anyNumber) {
				continue // less than half full is not worth it
			}
			left -= count
			instance.Free = instance.Free.Minus(demand.Request.Resources.Times(float64(count)))
			p.needed[instance.Name] = p.needed[instance.Name] || count > 0
		}
	}
}

// tasksOn returns how many of the demand's tasks, at most limit, an instance has capacity for.
func (d *Demand) tasksOn(instance *Instance, limit int) int {
	// Accelerators cost so much more than cores that tasks without them may run on instances that
	// have them while those are there anyhow, but are no reason to have them, nor to be counted
	// on to find capacity.
	if !d.Request.Allows(instance.Type.Label, instance.Zone, instance.Spot) || d.Request.Resources.Accels == 0 && instance.Type.Accels > 0 {
		return 0
	}
	capacity := instance.Free
	if !d.Headroom || d.Preempt {
		capacity = capacity.Plus(instance.Reclaimable.Times(d.ReclaimableShare))
	}
	return capacity.CountFitting(d.Request.Resources, limit)
}
