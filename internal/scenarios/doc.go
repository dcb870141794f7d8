// Package scenarios tests several controllers, workers, a cloud and users together while some of
// them fail. It contains only tests.
//
// The tests run the controllers' production code for leader election, scheduling, reconciliation,
// rollouts, scale-out, the job API and the client of the state service. Package fake simulates the
// network between the hosts, the state service, the cloud and the workers. Everything runs in one
// process and under the fake clock of testing/synctest, so that minutes of lease expiries and
// failovers take milliseconds. Random choices come from fixed seeds.
//
// A scenario is a timeline. It starts controllers and machines, submits jobs, injects faults
// (partitions, delayed or duplicated requests, lost responses, restarts, an unavailable state
// service), lets time pass and asserts the expected state after each step.
//
// In every scenario a checker also observes each task event on a machine and each response to a
// user. It reports each violation of the protocol's rules: a task that runs on two machines at a
// time or after its job's cancellation, a team over its quota, an accepted job that is reported
// as unknown or whose reported status goes backwards, and so on. In scenarios with rollouts a
// second checker compares each stop of a task with the disruption budgets and with the evictions
// in the state service. Separate tests break each rule on purpose, because a checker that detects
// nothing would let every scenario pass.
//
// These tests don't run under the race detector, because the detector of Go 1.26 itself crashes
// occasionally on the fake clock in scenarios of this length. The packages under test run with
// the race detector in their own tests.
package scenarios
