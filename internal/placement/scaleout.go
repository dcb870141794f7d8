package placement

import (
	"cmp"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Demand is a demand for capacity: for queued tasks, or as headroom for future tasks that must start
// sooner than a new instance can boot.
type Demand struct {
	Request Request
	Count   int  // number of tasks
	Spread  bool // the tasks must be spread over zones
	// SameZone requires all tasks to be in one zone, which may be any. Capacity in different zones must not
	// be added up for such a demand.
	SameZone   bool
	Preempt    bool // the tasks may preempt tasks of job arrays
	Headroom   bool // the capacity is kept free for tasks that are not queued yet
	NoScaleOut bool // existing instances are kept for the demand, but none are provisioned
	// ReclaimableShare is the fraction of an instance's reclaimable capacity that will be free in time.
	ReclaimableShare float64
}

// Instance is a running or pending instance.
type Instance struct {
	Name        ids.Machine
	Type        *InstanceType
	Zone        string
	Spot        bool
	Free        Resources // not allocated
	Reclaimable Resources // allocated to tasks that will complete or may be preempted
	Pending     bool      // has been requested or is booting
	Idle        bool      // has no tasks
	// Overdue is set if the instance has been pending for so long that it may never come up. Its capacity
	// is counted only for demand for which no instance can be provisioned.
	Overdue bool
}

// ProvisioningRequest is a request to provision instances.
type ProvisioningRequest struct {
	Type  string
	Zone  string
	Spot  bool
	Count int
}

// OfferFilter reports whether an instance of a type, zone and market should be requested, which is the
// case unless the cloud has refused such a request recently.
type OfferFilter func(instanceType, zone string, spot bool) bool

// PlanScaleOut decides which instances to provision for demands that the running and pending instances do
// not cover. needed contains the existing instances that the demands use; other idle ones may be
// terminated. Demands must be sorted by importance, most important first. PlanScaleOut modifies the
// elements of instances.
func PlanScaleOut(demands []Demand, instances []Instance, types []*InstanceType, offered OfferFilter) (requests []ProvisioningRequest, needed map[ids.Machine]bool) {
	p := newPlan(instances, types, offered)
	var unmet []Demand
	for _, demand := range demands {
		if demand.SameZone {
			demand.Request.Zone = p.bestZone(&demand)
		}
		remaining := p.cover(&demand, demand.Count, false)
		remaining = p.provision(&demand, remaining)
		remaining = p.cover(&demand, remaining, true)
		if remaining > 0 && !demand.Headroom && demand.Request.Resources.Accels == 0 {
			demand.Count = remaining
			unmet = append(unmet, demand)
		}
	}
	for _, demand := range unmet {
		p.coverWithAccelerators(&demand)
	}
	return p.requests, p.needed
}

// plan is the state of one call of PlanScaleOut: the instances, with the capacity that the demands so far
// leave on them, and the provisioning requests so far.
type plan struct {
	types     []*InstanceType
	offered   OfferFilter
	instances []Instance // the existing ones, then those that the plan requests, which have no name
	order     []int      // indices of instances, in the order in which to use them
	perZone   map[string]int
	requests  []ProvisioningRequest
	needed    map[ids.Machine]bool
}

// Surcharges on the price of an instance, by which instances are sorted before demands are allocated to
// them: busy instances come first, then pending ones, then idle ones, so that instances which stay idle can
// be terminated.
const (
	idleSurcharge    = 1e6
	pendingSurcharge = 5e5
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
			key += idleSurcharge
		}
		if instance.Pending {
			key += pendingSurcharge
		}
		return key
	})
	return p
}

// sortByKey sorts indices by their keys. The sort is stable, so that the plan is deterministic. order must
// contain each index from 0 to len(order)-1 exactly once.
func sortByKey(order []int, key func(index int) float64) {
	keys := make([]float64, len(order))
	for _, i := range order {
		keys[i] = key(i)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(keys[x], keys[y]) })
}

// cover allocates capacity for up to remaining tasks of a demand, on overdue instances if overdue is set and
// on all other instances if it is not. It returns the number of tasks that remain without capacity.
func (p *plan) cover(demand *Demand, remaining int, overdue bool) int {
	for _, i := range p.order {
		instance := &p.instances[i]
		if remaining == 0 || instance.Overdue != overdue {
			continue
		}
		count := demand.tasksOn(instance, remaining)
		if count == 0 {
			continue
		}
		remaining -= count
		p.needed[instance.Name] = true
		instance.allocate(demand.Request.Resources.Times(float64(count)))
	}
	return remaining
}

// allocate allocates capacity of an instance: first free capacity, then reclaimable capacity.
func (i *Instance) allocate(amount Resources) {
	i.Free = i.Free.Minus(amount)
	if shortfall := (Resources{}).Minus(i.Free).clampedToZero(); shortfall != (Resources{}) {
		i.Free = i.Free.Plus(shortfall)
		i.Reclaimable = i.Reclaimable.Minus(shortfall)
	}
}

// provision requests instances for up to remaining tasks of a demand and returns the number of tasks for
// which no instance can be provisioned.
func (p *plan) provision(demand *Demand, remaining int) int {
	for remaining > 0 && !demand.NoScaleOut {
		best := p.cheapestOffer(demand, remaining, p.perZone)
		if best.tasks == 0 {
			break
		}
		remaining -= best.tasks
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
	return remaining
}

// addRequest adds one instance of an offer to the requests.
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

// unlimitedTasks is a limit for CountFitting that is higher than the number of tasks on any instance.
const unlimitedTasks = 1 << 20

// coverWithAccelerators allocates capacity on existing instances with accelerators for tasks that need no
// accelerators and for which no other instance is available. It uses instances that are needed by other
// demands first. Other instances that it uses are kept only for as long as the tasks are queued.
func (p *plan) coverWithAccelerators(demand *Demand) {
	remaining := demand.Count
	for _, alreadyNeeded := range []bool{true, false} {
		for _, i := range p.order {
			instance := &p.instances[i]
			requested := instance.Name == ""
			if remaining == 0 || requested || instance.Type.Accels == 0 || p.needed[instance.Name] != alreadyNeeded ||
				!demand.Request.Allows(instance.Type.Label, instance.Zone, instance.Spot) {
				continue
			}
			count := instance.Free.Plus(instance.Reclaimable).CountFitting(demand.Request.Resources, remaining)
			if !alreadyNeeded && 2*count < instance.Type.Capacity().CountFitting(demand.Request.Resources, unlimitedTasks) {
				continue // an instance is not kept if the tasks would fill less than half of it
			}
			remaining -= count
			instance.Free = instance.Free.Minus(demand.Request.Resources.Times(float64(count)))
			p.needed[instance.Name] = p.needed[instance.Name] || count > 0
		}
	}
}

// tasksOn returns the number of the demand's tasks, at most limit, for which an instance has capacity.
func (d *Demand) tasksOn(instance *Instance, limit int) int {
	// Accelerators are much more expensive than cores. So tasks that need none may run on instances with
	// accelerators that exist for other tasks, but such instances are neither provisioned nor counted as
	// capacity for them.
	if !d.Request.Allows(instance.Type.Label, instance.Zone, instance.Spot) || d.Request.Resources.Accels == 0 && instance.Type.Accels > 0 {
		return 0
	}
	capacity := instance.Free
	if !d.Headroom || d.Preempt {
		capacity = capacity.Plus(instance.Reclaimable.Times(d.ReclaimableShare))
	}
	return capacity.CountFitting(d.Request.Resources, limit)
}
