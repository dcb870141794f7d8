package dependency

import "container/heap"

// updateQueue is a priority queue of jobs whose inherited urgency may have changed, ordered by level,
// highest first.
type updateQueue struct{ nodes []*node }

// add adds a job, unless it is already in the queue.
func (q *updateQueue) add(n *node) {
	if !n.queued {
		n.queued = true
		heap.Push(q, n)
	}
}

// addAll adds several jobs.
func (q *updateQueue) addAll(nodes map[*node]bool) {
	for n := range nodes {
		q.add(n)
	}
}

// popHighest removes and returns a job of the highest level in the queue.
func (q *updateQueue) popHighest() *node {
	n := heap.Pop(q).(*node)
	n.queued = false
	return n
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *updateQueue) Len() int           { return len(q.nodes) }
func (q *updateQueue) Less(i, j int) bool { return q.nodes[i].level > q.nodes[j].level }
func (q *updateQueue) Swap(i, j int)      { q.nodes[i], q.nodes[j] = q.nodes[j], q.nodes[i] }

// Push appends a job; only package heap may call it.
func (q *updateQueue) Push(x any) { q.nodes = append(q.nodes, x.(*node)) }

// Pop removes and returns the last job; only package heap may call it.
func (q *updateQueue) Pop() any {
	last := len(q.nodes) - 1
	n := q.nodes[last]
	q.nodes = q.nodes[:last]
	return n
}
