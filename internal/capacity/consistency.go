package capacity

import (
	"errors"
	"fmt"
)

// ErrInconsistent tells that the index differs from what it is made of.
var ErrInconsistent = errors.New("capacity index is inconsistent")

// CheckConsistency looks at the whole index, which costs as much as the fleet is large: it is for
// tests. A node must stand in its class's list where it says, and hold or pull the images it is
// listed under.
func (x *Index) CheckConsistency() error {
	for name, node := range x.nodes {
		if node.Class != nil && node.Class.Open[node.position] != node {
			return fmt.Errorf("%w: %s is not where its class lists it", ErrInconsistent, name)
		}
	}
	for image, holders := range x.byImage {
		for node := range holders {
			if node.ImagePulls[image] == nil && !x.HoldsImage(node, image) {
				return fmt.Errorf("%w: %s neither holds nor pulls %s", ErrInconsistent, node.Name, image)
			}
		}
	}
	return nil
}
