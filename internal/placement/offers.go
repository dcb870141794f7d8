package placement

// offer is an instance that can be provisioned, with the number of a demand's tasks that it has room for.
type offer struct {
	instanceType *InstanceType
	zone         string
	spot         bool
	tasks        int // 0 means that there is no offer
}

// zoneBalanceWeight is the fraction by which the cost of an offer rises for each instance in its zone, so
// that instances of similar price are spread over the zones.
const zoneBalanceWeight = 0.01

// cheapestOffer returns the offer with the lowest price per task for up to remaining tasks of a demand.
// perZone is the number of instances in each zone.
func (p *plan) cheapestOffer(demand *Demand, remaining int, perZone map[string]int) offer {
	var best offer
	bestCost := 0.0
	avoidAccelerators := demand.Request.Resources.Accels == 0 && p.fitsWithoutAccelerators(demand)
	for _, instanceType := range p.types {
		if avoidAccelerators && instanceType.Accels > 0 {
			continue
		}
		tasks := instanceType.Capacity().CountFitting(demand.Request.Resources, remaining)
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
// accelerators, even if that type can't be provisioned at the moment.
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

// bestZone returns the zone for a demand whose tasks must all run in one zone. It prefers zones in which
// the missing capacity can be provisioned, and among these the zone whose instances have room for most
// of the tasks.
func (p *plan) bestZone(demand *Demand) string {
	coveredTasks := map[string]int{}
	for i := range p.instances {
		if instance := &p.instances[i]; !instance.Overdue {
			coveredTasks[instance.Zone] += demand.tasksOn(instance, demand.Count)
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
			tasks := min(coveredTasks[zone], demand.Count)
			complete := coveredTasks[zone] >= demand.Count || p.isOfferedIn(zone, demand, demand.Count-tasks)
			if best == "" || complete && !bestComplete || complete == bestComplete && tasks > bestTasks {
				best, bestTasks, bestComplete = zone, tasks, complete
			}
		}
	}
	return best
}

// isOfferedIn reports whether an instance with room for at least one of the demand's tasks can be
// provisioned in a zone.
func (p *plan) isOfferedIn(zone string, demand *Demand, tasks int) bool {
	inZone := *demand
	inZone.Request.Zone = zone
	return p.cheapestOffer(&inZone, tasks, map[string]int{}).tasks > 0
}
