package capacity

import (
	"errors"
	"fmt"
)

// ErrInconsistent is returned if the index differs from the machines and assignments that it indexes.
var ErrInconsistent = errors.New("capacity index is inconsistent")

// CheckConsistency checks that each node is in its class's list at its recorded position, and that nodes
// have or pull the images under which they are listed. It is meant for tests, since it visits the whole
// fleet.
func (x *Index) CheckConsistency() error {
	for name, node := range x.nodes {
		if node.Class != nil && node.Class.Open[node.position] != node {
			return fmt.Errorf("%w: %s is not where its class lists it", ErrInconsistent, name)
		}
	}
	for image, holders := range x.byImage {
		for node := range holders {
			if node.ImagePulls[image] == nil && !x.HasImage(node, image) {
				return fmt.Errorf("%w: %s neither holds nor pulls %s", ErrInconsistent, node.Name, image)
			}
		}
	}
	return nil
}
