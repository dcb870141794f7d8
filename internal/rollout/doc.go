// Package rollout drains, returns and replaces machines in waves. It computes the next step of each
// rollout, stores it, and serves the operators' commands. Package budget decides whether a task may be
// evicted now, and the leader carries out the evictions (docs/drains.md).
//
// Runner reconciles the stored rollouts with the fleet on the leader; Service serves commands on every
// controller. The stored state of a rollout consists of a Record and the sets of its waiting machines.
// The states of rollouts and of their machines are defined in states.go.
package rollout
