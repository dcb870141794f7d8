// Package fake provides in-memory fakes of the systems that controllers communicate with: the
// network, the state service, the cloud and the workers. The scenario tests run on them with a
// simulated clock. Controllers access the fakes only through their protocols, so
// internal/rehearsal also runs real controller processes against the state service and the workers.
//
// Each fake has one lock, which it holds while it calls its hooks (NotifyChanges, NotifyEvents,
// NotifyDeletions): a hook must not call back into the fake that calls it. A worker acquires the
// network's lock while it holds its own; the network holds no lock when it calls handlers, rules
// and hooks.
package fake
