package capacity

import (
	"errors"
	"fmt"
)

// ErrInconsistent is returned if the index does not agree with the machines and assignments it describes.
var ErrInconsistent = errors.New("capacity index is inconsistent")

// CheckConsistency returns an error if a node is not at its recorded position in its class's list, or if
// it is listed under an image that it neither has cached nor is pulling. It is meant for tests, since it
// visits the whole fleet.
func (x *Index) CheckConsistency() error {
	for name, node := range x.nodes {
		if node.Class != nil && node.Class.OpenNodes[node.position] != node {
			return fmt.Errorf("%w: node %s is not at its recorded position in the list of its class", ErrInconsistent, name)
		}
	}
	for image, nodesWithImage := range x.byImage {
		for node := range nodesWithImage {
			if node.ImagePulls[image] == nil && !x.HasImage(node, image) {
				return fmt.Errorf("%w: node %s is listed under an image that it neither has cached nor is pulling: %s", ErrInconsistent, node.Name, image)
			}
		}
	}
	return nil
}
