package placement

// offer is an instance that can be provisioned, and how many tasks of a demand it takes.
type offer struct {
	instanceType *InstanceType
	zone         string
	spot         bool
	tasks        int // zero: there is no offer
}

// zoneBalanceWeight raises the cost of a zone by this share for each instance there, so that
// offers of about the same price spread over the zones.
const zoneBalanceWeight = 0.01

// cheapestOffer finds the offer with the lowest price per task, for up to left of the demand's
// tasks. PerZone counts the instances of each zone.
func (p *plan) cheapestOffer(demand *Demand, left int, perZone map[string]int) offer {
	var best offer
	bestCost := 0.0
	avoidAccelerators := demand.Request.Resources.Accels == 0 && p.fitsWithoutAccelerators(demand)
	for _, instanceType := range p.types {
		if avoidAccelerators && instanceType.Accels > 0 {
			continue
		}
		tasks := instanceType.Capacity().CountFitting(demand.Request.Resources, left)
		if tasks == 0 {
			continue
		}
		for _, spot := range []bool{true, false} {
			for _, zone := range instanceType.Zones {
				if !demand.Request.Allows(instanceType.Label, zone, spot) || !p.offered(instanceType.Label, zone, spot) {
					continue
				}
				cost := instanceType.HourlyPrice(spot) / float64(tasks)
				cost *= 1 + zoneBalanceWeight*float64(perZone[zone])
				if best.tasks == 0 || cost < bestCost {
					best = offer{instanceType, zone, spot, tasks}
					bestCost = cost
				}
			}
		}
	}
	return best
}

// fitsWithoutAccelerators reports whether the demand's tasks could run on an instance type without
// accelerators, whether or not it can be had just now.
func (p *plan) fitsWithoutAccelerators(demand *Demand) bool {
	for _, instanceType := range p.types {
		if instanceType.Accels > 0 || !instanceType.Capacity().Holds(demand.Request.Resources) {
			continue
		}
		if demand.Request.InstanceTypes == nil || demand.Request.Allows(instanceType.Label, demand.Request.Zone, false) {
			return true
		}
	}
	return false
}

// bestZone picks the zone for a demand that must be in one: the one with most capacity for it
// already, among those where the rest can be provisioned.
func (p *plan) bestZone(demand *Demand) string {
	covered := map[string]int{}
	for i := range p.instances {
		if instance := &p.instances[i]; !instance.Overdue {
			covered[instance.Zone] += demand.tasksOn(instance, demand.Count)
		}
	}
	best, bestTasks, bestComplete := "", 0, false
	seen := map[string]bool{}
	for _, instanceType := range p.types {
		for _, zone := range instanceType.Zones {
			if seen[zone] {
				continue
			}
			seen[zone] = true
			tasks := min(covered[zone], demand.Count)
			complete := covered[zone] >= demand.Count || p.isOfferedIn(zone, demand, demand.Count-tasks)
			if best == "" || complete && !bestComplete || complete == bestComplete && tasks > bestTasks {
				best, bestTasks, bestComplete = zone, tasks, complete
			}
		}
	}
	return best
}

// isOfferedIn reports whether an instance for some of the demand's tasks can be provisioned in a
// zone.
func (p *plan) isOfferedIn(zone string, demand *Demand, tasks int) bool {
	inZone := *demand
	inZone.Request.Zone = zone
	return p.cheapestOffer(&inZone, tasks, map[string]int{}).tasks > 0
}
