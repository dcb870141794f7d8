// Package rollout drains, returns and replaces machines in waves. It decides what a rollout does
// next, stores it, and serves the operators' commands; whether a task may be evicted now is decided
// by package budget, and the leader carries the evictions out (docs/drains.md).
//
// Runner reconciles the stored rollouts with the fleet at the leader, Service serves commands at
// every controller. A Record and its waiting machines are all that is stored of a rollout; its
// states and those of its machines are in states.go.
package rollout
