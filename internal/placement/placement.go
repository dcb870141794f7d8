// Package placement makes placement decisions: it scores how well a task fits a machine, and plans which
// instances to provision for unmet demand. Its functions keep no state and perform no I/O.
package placement
