// Package placement makes the placement decisions as pure functions: how well a task fits a
// machine, and which instances to provision for unmet demand. It keeps no state and makes no
// calls.
package placement
