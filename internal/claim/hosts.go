package claim

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Node is a machine with what is or may be on it. It is kept up to date as
// places come and go, so that planning costs what changed and not the fleet.
type Node struct {
	name        ids.Machine
	assignments map[*workload.Assignment]bool
	used        placement.Room
	reclaimable placement.Room        // the part that ends by itself or may be displaced
	replicas    int                   // tasks that run until they are cancelled
	imagePulls  map[string]*ImagePull // images that its tasks still wait for
	class       *ClassIndex
	position    int // index in the shelf's open list; -1 while it is full
}

// ImagePull is an image being fetched for some tasks of a machine.
type ImagePull struct {
	tasks       int
	topPriority record.Priority // the highest that waits for it
}

// InstanceClass is what all machines of a shelf have in common.
type InstanceClass struct {
	machineType, zone string
	spot              bool
}

// ClassIndex lists the machines of one kind that have room left.
type ClassIndex struct {
	InstanceClass
	offer    *placement.Type
	withRoom []*Node
}

// ensureNode finds or adds a machine's entry.
func (c *ClusterState) ensureNode(name ids.Machine) *Node {
	node := c.nodes[name]
	if node == nil {
		node = &Node{name: name, assignments: map[*workload.Assignment]bool{}, imagePulls: map[string]*ImagePull{}, position: -1}
		c.nodes[name] = node
	}
	return node
}

// assignmentsOn is what is or may be on a machine.
func (c *ClusterState) assignmentsOn(name ids.Machine) map[*workload.Assignment]bool {
	if node := c.nodes[name]; node != nil {
		return node.assignments
	}
	return nil
}

// allocatedOn is the room taken on a machine.
func (c *ClusterState) allocatedOn(name ids.Machine) placement.Room {
	if node := c.nodes[name]; node != nil {
		return node.used
	}
	return placement.Room{}
}

// reindex puts a machine where placement looks for it, or takes it away when it
// is full, of no known kind, or gone.
func (c *ClusterState) reindex(node *Node) {
	machine := c.machines.Machines[node.name]
	var class *ClassIndex
	if machine != nil && machine.Heard && !machine.Deleting {
		k := InstanceClass{machine.Type, machine.Zone, machine.Spot}
		if class = c.classes[k]; class == nil && c.types[machine.Type] != nil {
			class = &ClassIndex{InstanceClass: k, offer: c.types[machine.Type]}
			c.classes[k] = class
			c.classOrder = append(c.classOrder, class)
			slices.SortFunc(c.classOrder, func(x, y *ClassIndex) int { return x.compare(y) })
		}
	}
	if class != nil {
		free := class.offer.Room().Minus(node.used)
		if free.Cores < 1e-6 || free.RAM < 1e-6 {
			class = nil
		}
	}
	if class == node.class {
		return
	}
	if old := node.class; old != nil {
		last := len(old.withRoom) - 1
		old.withRoom[node.position] = old.withRoom[last]
		old.withRoom[node.position].position = node.position
		old.withRoom = old.withRoom[:last]
	}
	if node.class, node.position = class, -1; class != nil {
		node.position = len(class.withRoom)
		class.withRoom = append(class.withRoom, node)
	}
}

func (c *ClassIndex) compare(o *ClassIndex) int {
	switch {
	case c.machineType != o.machineType:
		return cmpString(c.machineType, o.machineType)
	case c.zone != o.zone:
		return cmpString(c.zone, o.zone)
	case c.spot == o.spot:
		return 0
	case c.spot:
		return 1
	}
	return -1
}

func cmpString(a, z string) int {
	if a < z {
		return -1
	}
	return 1
}

// freeCapacity is the room left on a shelved machine.
func (node *Node) freeCapacity() placement.Room { return node.class.offer.Room().Minus(node.used) }

// allocate and drop keep a machine's sums.
func (c *ClusterState) allocate(node *Node, assignment *workload.Assignment) {
	node.assignments[assignment] = true
	node.used = node.used.Plus(assignment.Job.Record.Spec.Need)
	if assignment.Job.Record.Spec.Shape != record.Service {
		node.reclaimable = node.reclaimable.Plus(assignment.Job.Record.Spec.Need)
	} else {
		node.replicas++
	}
	c.beginImagePull(node, assignment)
	c.reindex(node)
}

func (c *ClusterState) release(node *Node, assignment *workload.Assignment) {
	if !node.assignments[assignment] {
		return
	}
	c.endImagePull(node, assignment)
	delete(node.assignments, assignment)
	node.used = node.used.Minus(assignment.Job.Record.Spec.Need)
	if assignment.Job.Record.Spec.Shape != record.Service {
		node.reclaimable = node.reclaimable.Minus(assignment.Job.Record.Spec.Need)
	} else {
		node.replicas--
	}
	if len(node.assignments) == 0 {
		node.used, node.reclaimable = placement.Room{}, placement.Room{} // no dust of rounding stays behind
	}
	c.reindex(node)
}

// beginImagePull notes that a task waits for its image on a machine, and arrived that
// it no longer does.
func (c *ClusterState) beginImagePull(node *Node, assignment *workload.Assignment) {
	if assignment.AwaitsImage || assignment.Confirmed && assignment.Status != worker.Pulling {
		return
	}
	assignment.AwaitsImage = true
	spec := &assignment.Job.Record.Spec
	pull := node.imagePulls[spec.Image]
	if pull == nil {
		pull = &ImagePull{}
		node.imagePulls[spec.Image] = pull
		c.nodesWithImage(spec.Image)[node] = true
	}
	pull.tasks++
	pull.topPriority = max(pull.topPriority, assignment.Job.EffectivePriority())
}

func (c *ClusterState) endImagePull(node *Node, assignment *workload.Assignment) {
	if !assignment.AwaitsImage {
		return
	}
	assignment.AwaitsImage = false
	img := assignment.Job.Record.Spec.Image
	if pull := node.imagePulls[img]; pull != nil {
		if pull.tasks--; pull.tasks <= 0 {
			delete(node.imagePulls, img)
			c.reviewImageHolder(node, img)
		}
	}
}

// nodesWithImage is the machines that hold an image or fetch it.
func (c *ClusterState) nodesWithImage(image string) map[*Node]bool {
	hs := c.byImage[image]
	if hs == nil {
		hs = map[*Node]bool{}
		c.byImage[image] = hs
	}
	return hs
}

// reviewImageHolder drops a machine from an image's holders if it is none any more.
func (c *ClusterState) reviewImageHolder(node *Node, image string) {
	machine := c.machines.Machines[node.name]
	if node.imagePulls[image] != nil || machine != nil && machine.Images.Has(image) {
		return
	}
	delete(c.byImage[image], node)
	if len(c.byImage[image]) == 0 {
		delete(c.byImage, image)
	}
}

// imageArrived notes that a machine has an image, which may push others out.
func (c *ClusterState) imageArrived(node *Node, machine *worker.Machine, image string, gb, cache float64) {
	old := machine.Images.Names
	machine.Images.Use(image, gb, cache)
	c.nodesWithImage(image)[node] = true
	for _, n := range old {
		if !machine.Images.Has(n) {
			c.reviewImageHolder(node, n)
		}
	}
}

// removeMachine takes a machine out of every index: it is gone.
func (c *ClusterState) removeMachine(name ids.Machine) {
	node, machine := c.nodes[name], c.machines.Machines[name]
	// One never heard, with nothing on it, has no entry here, but is gone as well:
	// else its deletion is asked for again and again.
	c.machines.Remove(name)
	if node == nil {
		return
	}
	if machine != nil {
		for _, n := range machine.Images.Names {
			c.reviewImageHolder(node, n)
		}
	}
	c.reindex(node)
	delete(c.nodes, name)
	delete(c.pendingCommands, node)
}

// placementView is how placement sees a machine for an ask of a job.
func (c *ClusterState) placementView(node *Node, machine *worker.Machine, job *workload.Job, retry *workload.Retry, now time.Time) placement.Machine {
	spec := &job.Record.Spec
	p := placement.Machine{Name: node.name, Type: node.class.offer, Zone: machine.Zone, Spot: machine.Spot, Going: machine.Going, Free: node.freeCapacity(), Pulls: len(node.imagePulls)}
	p.Holds = machine.Images.Has(spec.Image)
	p.Warm = p.Holds || node.imagePulls[spec.Image] != nil
	for img, pull := range node.imagePulls {
		if pull.topPriority >= record.High && pull.topPriority > job.EffectivePriority() && !machine.Images.Has(img) {
			p.Hush = true
		}
		if machine.Images.Has(img) {
			p.Pulls--
		}
	}
	p.Held = c.reservedForOther(&p, job, now)
	p.Avoid = retry != nil && retry.Avoid[node.name]
	return p
}

// usableMachine tells whether new tasks may go to a machine now.
func (c *ClusterState) usableMachine(node *Node, now time.Time) (*worker.Machine, bool) {
	machine := c.machines.Machines[node.name]
	return machine, machine != nil && node.class != nil && machine.Usable(now, c.settings.Params.Workers.ReportS)
}
