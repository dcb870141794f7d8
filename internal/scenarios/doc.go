// Package scenarios holds tests in which several controllers, workers, a cloud and users work
// together while parts of them fail. It contains nothing but tests.
//
// What is real: the controllers' own code for leader election, scheduling, reconciliation,
// rollouts, scale-out, the job API and the client of the state service. What is simulated, by
// package fake: the network between the hosts, the state service, the cloud and the workers.
// Everything runs in one process and under the fake clock of testing/synctest, so that minutes
// of lease expiries and failovers take milliseconds. Random choices come from fixed seeds.
//
// A scenario is a timeline. It starts controllers and machines, submits jobs, injects faults
// (partitions, delayed or duplicated requests, lost responses, restarts, an unavailable state
// service), lets time pass and states what must hold after each step.
//
// Beside what a scenario itself asserts, a checker watches every task event on a machine and
// every response to a user, in all scenarios and all along. It reports each violation of the
// protocol's rules: a task that runs twice at a time or after its job's cancellation, a team
// over its quota, a job that is forgotten or whose reported status goes backwards, and so on.
// In scenarios with rollouts a second rule compares each stop of a task with the disruption
// budgets and with the evictions in the state service. Tests of their own break each rule on
// purpose, since a checker that sees nothing would let every scenario pass.
//
// These tests don't run under the race detector: Go 1.26's detector itself crashes now and then
// on the fake clock in scenarios as long as these. The packages they exercise run under it in
// their own tests.
package scenarios
