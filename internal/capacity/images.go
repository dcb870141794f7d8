package capacity

import (
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// WithImage are the nodes that hold an image or pull it. Callers must not change the map.
func (x *Index) WithImage(image string) map[*Node]bool { return x.byImage[image] }

// HoldsImage tells whether a node's machine holds an image.
func (x *Index) HoldsImage(node *Node, image string) bool {
	machine := x.machines.Machines[node.Name]
	return machine != nil && machine.Images.Has(image)
}

// AddImage notes that a node holds an image or pulls it.
func (x *Index) AddImage(node *Node, image string) {
	holders := x.byImage[image]
	if holders == nil {
		holders = map[*Node]bool{}
		x.byImage[image] = holders
	}
	holders[node] = true
}

// beginImagePull notes that a task waits for its image.
func (x *Index) beginImagePull(node *Node, a *workload.Assignment) {
	if a.AwaitsImage || a.Confirmed && a.Status != worker.StatePulling {
		return
	}
	a.AwaitsImage = true
	image := a.Job.Record.Spec.Image
	pull := node.ImagePulls[image]
	if pull == nil {
		pull = &ImagePull{}
		node.ImagePulls[image] = pull
		x.AddImage(node, image)
	}
	pull.tasks++
	pull.TopPriority = max(pull.TopPriority, a.Job.EffectivePriority())
}

// EndImagePull notes that a task waits for its image no longer.
func (x *Index) EndImagePull(node *Node, a *workload.Assignment) {
	if !a.AwaitsImage {
		return
	}
	a.AwaitsImage = false
	image := a.Job.Record.Spec.Image
	if pull := node.ImagePulls[image]; pull != nil {
		if pull.tasks--; pull.tasks <= 0 {
			delete(node.ImagePulls, image)
			x.reviewImageHolder(node, image)
		}
	}
}

// reviewImageHolder takes a node out of those with an image if it neither holds nor pulls it.
func (x *Index) reviewImageHolder(node *Node, image string) {
	if node.ImagePulls[image] != nil || x.HoldsImage(node, image) {
		return
	}
	delete(x.byImage[image], node)
	if len(x.byImage[image]) == 0 {
		delete(x.byImage, image)
	}
}

// ImageArrived notes that a machine holds an image of a size, which may push others out of its cache;
// sizes in GB.
func (x *Index) ImageArrived(node *Node, machine *worker.Machine, image string, size, cache float64) {
	before := machine.Images.Names
	machine.Images.Use(image, size, cache)
	x.AddImage(node, image)
	for _, name := range before {
		if !machine.Images.Has(name) {
			x.reviewImageHolder(node, name)
		}
	}
}
