package dependency

// raiseLevels puts added jobs above all their prerequisites, and their dependents above them.
func (g *Graph) raiseLevels(added []*node) {
	for _, n := range topologicalOrder(added) {
		for prerequisite := range n.prerequisites {
			n.level = max(n.level, prerequisite.level+1)
		}
		n.level = max(n.level, 1)
	}
	for _, n := range added {
		g.raiseDependents(n)
	}
}

// raiseDependents puts all that depend on a job above it; those that were added with it are
// already.
func (g *Graph) raiseDependents(n *node) {
	raised := []*node{n}
	for len(raised) > 0 {
		next := raised[0]
		raised = raised[1:]
		for dependent := range next.dependents {
			// Without a cycle no level is higher than the number of jobs.
			if dependent.level <= next.level && next.level < len(g.nodes) {
				dependent.level = next.level + 1
				g.raised++
				raised = append(raised, dependent)
			}
		}
	}
}

// topologicalOrder sorts added jobs so that each comes after its prerequisites among them. Jobs of
// a cycle are left out.
func topologicalOrder(added []*node) []*node {
	unlisted := make(map[*node]int, len(added)) // number of prerequisites that are not listed yet
	for _, n := range added {
		unlisted[n] = 0
	}
	for _, n := range added {
		for prerequisite := range n.prerequisites {
			if _, isAdded := unlisted[prerequisite]; isAdded {
				unlisted[n]++
			}
		}
	}
	order := make([]*node, 0, len(added))
	for _, n := range added {
		if unlisted[n] == 0 {
			order = append(order, n)
		}
	}
	for i := 0; i < len(order); i++ { // order grows
		for dependent := range order[i].dependents {
			if _, isAdded := unlisted[dependent]; !isAdded {
				continue
			}
			unlisted[dependent]--
			if unlisted[dependent] == 0 {
				order = append(order, dependent)
			}
		}
	}
	return order
}
