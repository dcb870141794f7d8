package placement

// Resources is an amount of each resource. The field names must not change: they are the JSON names in
// stored job records.
type Resources struct {
	Cores  float64
	Accels float64 // accelerators
	RAM    float64 // GB
}

// epsilon is the tolerance for rounding errors of sums and differences in comparisons.
const epsilon = 1e-6

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.Cores + other.Cores, r.Accels + other.Accels, r.RAM + other.RAM}
}

// Minus returns r minus other. The result may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.Cores - other.Cores, r.Accels - other.Accels, r.RAM - other.RAM}
}

// Times returns r multiplied by a factor.
func (r Resources) Times(factor float64) Resources {
	return Resources{r.Cores * factor, r.Accels * factor, r.RAM * factor}
}

// Holds reports whether a request fits into r.
func (r Resources) Holds(request Resources) bool {
	return request.Cores <= r.Cores+epsilon && request.Accels <= r.Accels+epsilon && request.RAM <= r.RAM+epsilon
}

// CountFitting returns how many times a request fits into r, at most limit times.
func (r Resources) CountFitting(request Resources, limit int) int {
	count := limit
	for _, resource := range []struct{ capacity, request float64 }{
		{r.Cores, request.Cores},
		{r.Accels, request.Accels},
		{r.RAM, request.RAM},
	} {
		if resource.request > epsilon {
			count = min(count, int((resource.capacity+epsilon)/resource.request))
		}
	}
	return max(count, 0)
}

// clampedToZero returns r with negative amounts replaced by 0.
func (r Resources) clampedToZero() Resources {
	return Resources{max(r.Cores, 0), max(r.Accels, 0), max(r.RAM, 0)}
}
