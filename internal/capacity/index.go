// Package capacity indexes the machines of a shard by instance class, by free capacity and by cached image.
// The index is updated with each assignment and each worker report, so that planning need not visit the
// whole fleet.
//
// The package has no lock of its own: an Index is guarded by the lock of the cluster state that owns it.
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

// InstanceClass identifies a class of machines by their type, their zone and their market (spot or
// on-demand).
type InstanceClass struct {
	Type, Zone string
	Spot       bool
}

// compare orders classes by type, then by zone, then by market, on-demand first.
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

// Class is an instance class. OpenNodes lists its nodes that have capacity left, in no particular order.
type Class struct {
	InstanceClass
	InstanceType *placement.InstanceType
	OpenNodes    []*Node
}

// Index indexes the nodes of a shard. The machines themselves are in the registry. Reindex must be called
// after each change of a machine that affects its class or whether the class lists its node.
type Index struct {
	machines      *worker.Registry
	types         map[string]*placement.InstanceType
	nodes         map[ids.Machine]*Node
	classes       map[InstanceClass]*Class
	sortedClasses []*Class
	byImage       map[string]map[*Node]bool
}

// NewIndex returns an empty index for the machines of a registry.
func NewIndex(machines *worker.Registry) *Index {
	return &Index{machines: machines, types: map[string]*placement.InstanceType{}, nodes: map[ids.Machine]*Node{},
		classes: map[InstanceClass]*Class{}, byImage: map[string]map[*Node]bool{}}
}

// SetTypes adds the machine types that the cloud offers, or replaces those with the same label. Types that
// the cloud no longer offers stay known.
func (x *Index) SetTypes(types []placement.InstanceType) {
	for i := range types {
		x.types[types[i].Label] = &types[i]
	}
	for _, class := range x.sortedClasses {
		if offer := x.types[class.Type]; offer != nil {
			class.InstanceType = offer
		}
	}
	for _, node := range x.nodes {
		x.Reindex(node) // the machine may have reported before its type was known
	}
}

// Type returns the machine type with a name, or nil if it is not known.
func (x *Index) Type(name string) *placement.InstanceType { return x.types[name] }

// Types returns all machine types by name. Callers must not change the map.
func (x *Index) Types() map[string]*placement.InstanceType { return x.types }

// Classes returns the instance classes in sorted order. Callers must not change the slice.
func (x *Index) Classes() []*Class { return x.sortedClasses }

// Nodes returns all nodes by name. Callers must not change the map.
func (x *Index) Nodes() map[ids.Machine]*Node { return x.nodes }

// Node returns the node of a machine, or nil if the machine has neither reported nor had an assignment.
func (x *Index) Node(name ids.Machine) *Node { return x.nodes[name] }

// Ensure returns the node of a machine. It adds the node if the index has none.
func (x *Index) Ensure(name ids.Machine) *Node {
	node := x.nodes[name]
	if node == nil {
		node = &Node{Name: name, Assignments: map[*workload.Assignment]bool{}, ImagePulls: map[string]*ImagePull{}, position: -1}
		x.nodes[name] = node
	}
	return node
}

// AssignmentsOn returns the assignments to a machine. Their tasks run there, or may run there. Callers must
// not change the map except through Release.
func (x *Index) AssignmentsOn(name ids.Machine) map[*workload.Assignment]bool {
	if node := x.nodes[name]; node != nil {
		return node.Assignments
	}
	return nil
}

// UsableMachine returns the machine of a node, or nil if the registry does not contain it. usable reports
// whether new tasks may be assigned to the machine now.
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

// Release removes an assignment from a node. It does nothing if the node does not have the assignment.
func (x *Index) Release(node *Node, assignment *workload.Assignment) {
	if !node.Assignments[assignment] {
		return
	}
	x.EndImagePull(node, assignment)
	node.remove(assignment)
	x.Reindex(node)
}

// minFree is the minimum of free cores, and of free memory in GB, for a node to be listed in its class.
const minFree = 1e-6

// Reindex adds a node to the list of its class or removes it. A node is listed while it has capacity left
// and its machine has reported, is not being deleted and has a known type.
func (x *Index) Reindex(node *Node) {
	class := x.classOf(node)
	if class != nil {
		free := class.InstanceType.Capacity().Minus(node.Used)
		if free.Cores < minFree || free.RAM < minFree {
			class = nil
		}
	}
	if class == node.Class {
		return
	}
	if old := node.Class; old != nil {
		last := len(old.OpenNodes) - 1
		old.OpenNodes[node.position] = old.OpenNodes[last]
		old.OpenNodes[node.position].position = node.position
		old.OpenNodes = old.OpenNodes[:last]
	}
	node.Class, node.position = class, -1
	if class != nil {
		node.position = len(class.OpenNodes)
		class.OpenNodes = append(class.OpenNodes, node)
	}
}

// classOf returns the class of a node, which it creates if necessary. It returns nil if the node's machine
// has not reported, is being deleted or has an unknown type.
func (x *Index) classOf(node *Node) *Class {
	machine := x.machines.Machines[node.Name]
	if machine == nil || !machine.HasReported || machine.Deleting {
		return nil
	}
	key := InstanceClass{machine.Type, machine.Zone, machine.Spot}
	class := x.classes[key]
	if class == nil && x.types[machine.Type] != nil {
		class = &Class{InstanceClass: key, InstanceType: x.types[machine.Type]}
		x.classes[key] = class
		x.sortedClasses = append(x.sortedClasses, class)
		slices.SortFunc(x.sortedClasses, func(a, b *Class) int { return a.compare(b.InstanceClass) })
	}
	return class
}

// Remove removes a machine that no longer exists from the index and from the registry. It returns the
// machine's node, or nil if it had none.
func (x *Index) Remove(name ids.Machine) *Node {
	node, machine := x.nodes[name], x.machines.Machines[name]
	// The machine is removed from the registry even if it has no node because it never reported and has no
	// assignments. Otherwise its deletion would be requested again and again.
	x.machines.Remove(name)
	if node == nil {
		return nil
	}
	if machine != nil {
		for _, image := range machine.Images.Names {
			x.removeImage(node, image)
		}
	}
	x.Reindex(node)
	delete(x.nodes, name)
	return node
}
