// Package capacity indexes the machines of a leader's shard by the free capacity that tasks'
// assignments leave on them and by the images that they hold. The index follows each assignment and
// report, so that planning costs what changed and not the size of the fleet. It takes no lock:
// internal/clusterstate's State guards it.
package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// InstanceClass is what all machines of a class have in common.
type InstanceClass struct {
	Type, Zone string
	Spot       bool
}

// compare orders classes by type, zone and market.
func (c InstanceClass) compare(other InstanceClass) int {
	spot := 0
	if c.Spot != other.Spot {
		spot = -1
		if c.Spot {
			spot = 1
		}
	}
	return cmp.Or(cmp.Compare(c.Type, other.Type), cmp.Compare(c.Zone, other.Zone), spot)
}

// Class lists the nodes of an instance class that have capacity left.
type Class struct {
	InstanceClass
	Offer *placement.InstanceType
	Open  []*Node
}

// Index is all nodes of a shard.
type Index struct {
	machines *worker.Registry
	types    map[string]*placement.InstanceType
	nodes    map[ids.Machine]*Node
	classes  map[InstanceClass]*Class
	sorted   []*Class
	byImage  map[string]map[*Node]bool
}

// NewIndex makes an empty index of the machines in a registry.
func NewIndex(machines *worker.Registry) *Index {
	return &Index{machines: machines, types: map[string]*placement.InstanceType{}, nodes: map[ids.Machine]*Node{},
		classes: map[InstanceClass]*Class{}, byImage: map[string]map[*Node]bool{}}
}

// SetTypes takes in what machine types the cloud offers.
func (x *Index) SetTypes(types []placement.InstanceType) {
	for i := range types {
		x.types[types[i].Label] = &types[i]
	}
	for _, class := range x.sorted {
		if offer := x.types[class.Type]; offer != nil {
			class.Offer = offer
		}
	}
	for _, node := range x.nodes {
		x.Reindex(node) // machines may have been heard before their type was known
	}
}

// Type is a machine type by its name; nil if the cloud does not offer it, as far as known.
func (x *Index) Type(name string) *placement.InstanceType { return x.types[name] }

// Types are all machine types by name. Callers must not change the map.
func (x *Index) Types() map[string]*placement.InstanceType { return x.types }

// Classes are the instance classes, in a fixed order. Callers must not change the list.
func (x *Index) Classes() []*Class { return x.sorted }

// Nodes are all nodes by name. Callers must not change the map.
func (x *Index) Nodes() map[ids.Machine]*Node { return x.nodes }

// Node is a machine's node; nil if nothing was ever on it and no report came.
func (x *Index) Node(name ids.Machine) *Node { return x.nodes[name] }

// Ensure finds or adds a machine's node.
func (x *Index) Ensure(name ids.Machine) *Node {
	node := x.nodes[name]
	if node == nil {
		node = &Node{Name: name, Assignments: map[*workload.Assignment]bool{}, ImagePulls: map[string]*ImagePull{}, position: -1}
		x.nodes[name] = node
	}
	return node
}

// AssignmentsOn are the tasks that are, or may be, on a machine. Callers must not change the map
// but by Release.
func (x *Index) AssignmentsOn(name ids.Machine) map[*workload.Assignment]bool {
	if node := x.nodes[name]; node != nil {
		return node.Assignments
	}
	return nil
}

// AllocatedOn is the capacity taken on a machine.
func (x *Index) AllocatedOn(name ids.Machine) placement.Resources {
	if node := x.nodes[name]; node != nil {
		return node.Used
	}
	return placement.Resources{}
}

// UsableMachine is a node's machine; usable tells whether new tasks may go there now.
func (x *Index) UsableMachine(node *Node, now time.Time, reportInterval ids.Seconds) (machine *worker.Machine, usable bool) {
	machine = x.machines.Machines[node.Name]
	return machine, machine != nil && node.Class != nil && machine.Schedulable(now, reportInterval)
}

// Allocate counts an assignment on its node.
func (x *Index) Allocate(node *Node, a *workload.Assignment) {
	node.add(a)
	x.beginImagePull(node, a)
	x.Reindex(node)
}

// Release takes an assignment off its node, if it is counted there.
func (x *Index) Release(node *Node, a *workload.Assignment) {
	if !node.Assignments[a] {
		return
	}
	x.EndImagePull(node, a)
	node.remove(a)
	x.Reindex(node)
}

// minFree is the least capacity of cores and GB with which a node is listed.
const minFree = 1e-6

// Reindex lists a node in its class, or takes it out when it is full, of no known class, or gone.
func (x *Index) Reindex(node *Node) {
	class := x.classOf(node)
	if class != nil {
		free := class.Offer.Capacity().Minus(node.Used)
		if free.Cores < minFree || free.RAM < minFree {
			class = nil
		}
	}
	if class == node.Class {
		return
	}
	if old := node.Class; old != nil {
		last := len(old.Open) - 1
		old.Open[node.position] = old.Open[last]
		old.Open[node.position].position = node.position
		old.Open = old.Open[:last]
	}
	node.Class, node.position = class, -1
	if class != nil {
		node.position = len(class.Open)
		class.Open = append(class.Open, node)
	}
}

// classOf is the class that a node belongs to while its machine is in use; it is added once its type
// is known.
func (x *Index) classOf(node *Node) *Class {
	machine := x.machines.Machines[node.Name]
	if machine == nil || !machine.HasReported || machine.Deleting {
		return nil
	}
	key := InstanceClass{machine.Type, machine.Zone, machine.Spot}
	class := x.classes[key]
	if class == nil && x.types[machine.Type] != nil {
		class = &Class{InstanceClass: key, Offer: x.types[machine.Type]}
		x.classes[key] = class
		x.sorted = append(x.sorted, class)
		slices.SortFunc(x.sorted, func(a, b *Class) int { return a.compare(b.InstanceClass) })
	}
	return class
}

// Remove takes a machine that is gone out of the index and out of the registry; it gives the node
// that it had, if any.
func (x *Index) Remove(name ids.Machine) *Node {
	node, machine := x.nodes[name], x.machines.Machines[name]
	// One never heard, with nothing on it, has no node, but is gone as well: else its deletion is
	// asked for again and again.
	x.machines.Remove(name)
	if node == nil {
		return nil
	}
	if machine != nil {
		for _, image := range machine.Images.Names {
			x.reviewImageHolder(node, image)
		}
	}
	x.Reindex(node)
	delete(x.nodes, name)
	return node
}
