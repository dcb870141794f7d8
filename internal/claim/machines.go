package claim

import "github.com/pebbletrail/pebbletrail/internal/ids"

// removeMachine takes a machine that is gone out of the registry and the indices.
func (c *ClusterState) removeMachine(name ids.Machine) {
	if node := c.capacity.Remove(name); node != nil {
		c.commands.Remove(node)
	}
}
