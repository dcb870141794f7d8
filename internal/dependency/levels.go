package dependency

// raiseLevels raises the levels of added jobs above those of their prerequisites, and the levels of
// their dependents above theirs.
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

// raiseDependents raises the levels of all jobs that depend on n, directly or indirectly, where needed.
// Those that were added together with n already have a higher level.
func (g *Graph) raiseDependents(n *node) {
	raised := []*node{n}
	for len(raised) > 0 {
		next := raised[0]
		raised = raised[1:]
		for dependent := range next.dependents {
			// In an acyclic graph no level exceeds the number of jobs. The limit ends the loop if
			// there is a cycle.
			if dependent.level <= next.level && next.level < len(g.nodes) {
				dependent.level = next.level + 1
				g.raised++
				raised = append(raised, dependent)
			}
		}
	}
}

// topologicalOrder returns the added jobs such that each follows its prerequisites among them. It omits
// jobs that are on a cycle or depend on one.
func topologicalOrder(added []*node) []*node {
	unorderedPrerequisites := make(map[*node]int, len(added)) // number of added prerequisites that are not in order yet
	for _, n := range added {
		unorderedPrerequisites[n] = 0
	}
	for _, n := range added {
		for prerequisite := range n.prerequisites {
			if _, isAdded := unorderedPrerequisites[prerequisite]; isAdded {
				unorderedPrerequisites[n]++
			}
		}
	}
	order := make([]*node, 0, len(added))
	for _, n := range added {
		if unorderedPrerequisites[n] == 0 {
			order = append(order, n)
		}
	}
	for i := 0; i < len(order); i++ { // order grows during the loop
		for dependent := range order[i].dependents {
			if _, isAdded := unorderedPrerequisites[dependent]; !isAdded {
				continue
			}
			unorderedPrerequisites[dependent]--
			if unorderedPrerequisites[dependent] == 0 {
				order = append(order, dependent)
			}
		}
	}
	return order
}
