// Package capacity indexes the machines of a shard by instance class, by the capacity that assignments
// leave free on them, and by their cached images. The index is updated with each assignment and report, so
// that planning need not visit the whole fleet.
//
// The package has no lock: the lock of the cluster state that an Index belongs to guards it.
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

// InstanceClass identifies a class: machines of one type and one market in one zone.
type InstanceClass struct {
	Type, Zone string
	Spot       bool
}

// compare orders classes by type, then zone, then market with on-demand first.
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

// Class is an instance class with its nodes that have capacity left, in no order.
type Class struct {
	InstanceClass
	Offer *placement.InstanceType
	Open  []*Node
}

// Index indexes the nodes of a shard. The machines themselves stay in the registry; after a change of a
// machine that concerns its class, Reindex has to be called.
type Index struct {
	machines *worker.Registry
	types    map[string]*placement.InstanceType
	nodes    map[ids.Machine]*Node
	classes  map[InstanceClass]*Class
	sorted   []*Class
	byImage  map[string]map[*Node]bool
}

// NewIndex returns an empty index of the machines in a registry.
func NewIndex(machines *worker.Registry) *Index {
	return &Index{machines: machines, types: map[string]*placement.InstanceType{}, nodes: map[ids.Machine]*Node{},
		classes: map[InstanceClass]*Class{}, byImage: map[string]map[*Node]bool{}}
}

// SetTypes sets the machine types that the cloud offers, by their labels. Types that it offered before
// stay known.
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
		x.Reindex(node) // machines may have reported before their type was known
	}
}

// Type returns a machine type by name; nil if it is not known.
func (x *Index) Type(name string) *placement.InstanceType { return x.types[name] }

// Types returns all machine types by name. Callers must not change the map.
func (x *Index) Types() map[string]*placement.InstanceType { return x.types }

// Classes returns the instance classes, sorted. Callers must not change the list.
func (x *Index) Classes() []*Class { return x.sorted }

// Nodes returns all nodes by name. Callers must not change the map.
func (x *Index) Nodes() map[ids.Machine]*Node { return x.nodes }

// Node returns the node of a machine; nil if the machine has never reported or had an assignment.
func (x *Index) Node(name ids.Machine) *Node { return x.nodes[name] }

// Ensure returns the node of a machine and adds it if there is none.
func (x *Index) Ensure(name ids.Machine) *Node {
	node := x.nodes[name]
	if node == nil {
		node = &Node{Name: name, Assignments: map[*workload.Assignment]bool{}, ImagePulls: map[string]*ImagePull{}, position: -1}
		x.nodes[name] = node
	}
	return node
}

// AssignmentsOn returns the assignments to a machine, whose tasks are or may be there. Callers must not
// change the map except by Release.
func (x *Index) AssignmentsOn(name ids.Machine) map[*workload.Assignment]bool {
	if node := x.nodes[name]; node != nil {
		return node.Assignments
	}
	return nil
}

// UsableMachine returns a node's machine, or nil if it is gone; usable reports whether new tasks may be
// assigned to it now.
func (x *Index) UsableMachine(node *Node, now time.Time, reportInterval ids.Seconds) (machine *worker.Machine, usable bool) {
	machine = x.machines.Machines[node.Name]
	return machine, machine != nil && node.Class != nil && machine.Schedulable(now, reportInterval)
}

// Allocate adds an assignment to its node.
func (x *Index) Allocate(node *Node, assignment *workload.Assignment) {
	node.add(assignment)
	x.beginImagePull(node, assignment)
	x.Reindex(node)
}

// Release removes an assignment from its node, if it is there.
func (x *Index) Release(node *Node, assignment *workload.Assignment) {
	if !node.Assignments[assignment] {
		return
	}
	x.EndImagePull(node, assignment)
	node.remove(assignment)
	x.Reindex(node)
}

// minFree is the least number of free cores and GB of memory with which a node is listed in its class.
const minFree = 1e-6

// Reindex updates the list that a node is in. A node is in its class's list while it has capacity left and
// its machine has reported and is not being deleted.
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

// classOf returns the class of a node whose machine is in use, and adds the class if its type is known. It
// returns nil for other nodes.
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

// Remove removes a machine that is gone from the index and from the registry. It returns the machine's
// node, or nil if it had none.
func (x *Index) Remove(name ids.Machine) *Node {
	node, machine := x.nodes[name], x.machines.Machines[name]
	// A machine that never reported and has no assignments has no node, but leaves the registry as well:
	// otherwise its deletion would be requested again and again.
	x.machines.Remove(name)
	if node == nil {
		return nil
	}
	if machine != nil {
		for _, image := range machine.Images.Names {
			x.unlistImage(node, image)
		}
	}
	x.Reindex(node)
	delete(x.nodes, name)
	return node
}
