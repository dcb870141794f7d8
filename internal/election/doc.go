// Package election elects the leader of each shard of the machine pool and runs the leader's terms.
//
// A controller that finds no leader key for a shard campaigns: one conditional transaction writes the
// leader key, attached to a new lease of the controller, and increments the shard's generation, which
// workers use as the fencing token (docs/design.md, "The pool's claim"). The controller then leads the
// shard until its lease expires, another leader increments the generation, or it resigns because it
// can't reach the workers or leads more shards than others. An Elector runs the election of one shard,
// Shards the elections of all shards (docs/shards.md).
//
// # Goroutines
//
// Elector.Run and Shards.Run block in their caller's goroutine. The goroutines that they start end with
// their context: the watch caches, the pause detector, the election loop of each shard and, on a leader,
// one lease renewal and one refresh of the records every fifth of the lease, each bounded by the timeout
// of its call. The goroutines of a term end with the term's context, which stepping down cancels. Nothing
// waits for any of these goroutines to end: a call that hangs must delay neither the next election nor
// the exit of the process. A goroutine that outlives its term does no harm, since each term has its own
// cluster state, committer and dispatcher, the state service rejects the old term's commits and the
// workers reject its fencing token.
//
// # Locks
//
// Locks are acquired in this order: the lock under which a watch cache calls its listener,
// currentTerm.mu, the cluster state's lock, and then one of the leaf locks, under which no other lock
// is acquired and no callback runs: those of authority, candidate, redirectTracker, shortageReports,
// machineOwnership, pauseDetector and of the watch cache's entries. The callbacks that the cluster
// state calls under its lock, StatusInOtherShard and StoreAvailable, must therefore not call
// Elector.Term. A caller of the authority or the pause detector must not hold the cluster state's lock
// either, since the first call after a pause of the process resets the liveness of the machines in the
// cluster state.
package election
