package capacity

import (
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// WithImage returns the nodes that have an image cached or are pulling it. Callers must not change the map.
func (x *Index) WithImage(image string) map[*Node]bool { return x.byImage[image] }

// HasImage reports whether a node's machine has an image cached.
func (x *Index) HasImage(node *Node, image string) bool {
	machine := x.machines.Machines[node.Name]
	return machine != nil && machine.Images.Has(image)
}

// AddImage adds a node to the list of an image that it has cached or is pulling.
func (x *Index) AddImage(node *Node, image string) {
	nodesWithImage := x.byImage[image]
	if nodesWithImage == nil {
		nodesWithImage = map[*Node]bool{}
		x.byImage[image] = nodesWithImage
	}
	nodesWithImage[node] = true
}

// beginImagePull records that a task waits for its image, unless its status shows that it no longer does.
func (x *Index) beginImagePull(node *Node, assignment *workload.Assignment) {
	if assignment.AwaitsImage || assignment.Confirmed && assignment.Status != worker.StatePulling {
		return
	}
	assignment.AwaitsImage = true
	image := assignment.Job.Record.Spec.Image
	pull := node.ImagePulls[image]
	if pull == nil {
		pull = &ImagePull{}
		node.ImagePulls[image] = pull
		x.AddImage(node, image)
	}
	pull.tasks++
	pull.TopPriority = max(pull.TopPriority, assignment.Job.EffectivePriority())
}

// EndImagePull records that a task no longer waits for its image.
func (x *Index) EndImagePull(node *Node, assignment *workload.Assignment) {
	if !assignment.AwaitsImage {
		return
	}
	assignment.AwaitsImage = false
	image := assignment.Job.Record.Spec.Image
	if pull := node.ImagePulls[image]; pull != nil {
		if pull.tasks--; pull.tasks <= 0 {
			delete(node.ImagePulls, image)
			x.removeImage(node, image)
		}
	}
}

// removeImage removes a node from the list of an image unless the node has the image cached or is pulling
// it.
func (x *Index) removeImage(node *Node, image string) {
	if node.ImagePulls[image] != nil || x.HasImage(node, image) {
		return
	}
	delete(x.byImage[image], node)
	if len(x.byImage[image]) == 0 {
		delete(x.byImage, image)
	}
}

// ImageArrived records that a machine has cached an image. Other images may be evicted from the cache. The
// sizes of the image and of the cache are in GB.
func (x *Index) ImageArrived(node *Node, machine *worker.Machine, image string, sizeGB, cacheGB float64) {
	before := machine.Images.Names
	machine.Images.Use(image, sizeGB, cacheGB)
	x.AddImage(node, image)
	for _, name := range before {
		if !machine.Images.Has(name) {
			x.removeImage(node, name)
		}
	}
}
