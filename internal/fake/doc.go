// Package fake holds in-memory fakes of what the controllers meet: the network, the state
// service, the cloud and the workers. Scenarios in the tests run on them, under a clock of their
// own. They are met by protocol only, so rehearsals of real processes (internal/rehearsal) use
// the state service and the workers too.
//
// Each fake has one lock, which is held while its hooks are called (NotifyChanges, NotifyEvents,
// NotifyDeletions): a hook must not call back into the fake that calls it. A worker takes the
// network's lock under its own; the network calls handlers, rules and hooks under no lock.
package fake
