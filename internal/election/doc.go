// Package election elects the leader of each shard of the machine pool and runs the leader's terms.
//
// A controller that finds a shard's leader key gone campaigns: one transaction on conditions binds
// the key to a lease of its own and raises the shard's generation, which is the workers' fencing
// token (docs/design.md, "The pool's claim"). It then leads until its lease expires, another leader
// raises the generation, or it resigns because it can't reach the workers or leads more shards than
// others. An Elector takes part for one shard, and Shards for all of them (docs/shards.md).
//
// # Goroutines
//
// Elector.Run and Shards.Run belong to their caller. What they start ends with their context: the
// watch caches, the pause detector, the election loop of each shard and, for a leader, one renewal
// and one reading of the records every fifth of the lease, each bounded by its call's timeout. What
// runs for a term ends with the term's context, which stepping down cancels. Nobody waits for the
// end of any of them: a call that hangs must delay neither the next election nor the process's end,
// and what a term that is over still does harms nobody, since it has a cluster state, a committer
// and a dispatcher of its own, the state service refuses its commits and the workers its token.
//
// # Locks
//
// They are taken in this order: that under which a watch cache calls its listener, currentTerm.mu, the
// cluster state's lock, and the locks that are taken last, under which nothing is called: those of
// authority, candidate, redirectTracker, shortageReports, machineOwnership, pauseDetector and of the
// watch cache's copy. So what the cluster state calls under its lock, StatusInOtherShard and
// StoreAvailable, must not ask an Elector for its term. What asks the authority or the pause
// detector must not hold the cluster state's lock either, since the first to notice a pause has the
// cluster state judge the machines anew.
package election
