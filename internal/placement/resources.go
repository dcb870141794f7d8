package placement

// Resources is an amount of each resource. The names of its fields are stored in job records, as the
// names in JSON, and must stay.
type Resources struct {
	Cores  float64
	Accels float64 // accelerators
	RAM    float64 // GB
}

// epsilon absorbs the rounding of sums and differences.
const epsilon = 1e-6

// Plus returns the sum of two amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.Cores + other.Cores, r.Accels + other.Accels, r.RAM + other.RAM}
}

// Minus returns the difference of two amounts, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.Cores - other.Cores, r.Accels - other.Accels, r.RAM - other.RAM}
}

// Times returns the amount multiplied by a factor.
func (r Resources) Times(factor float64) Resources {
	return Resources{r.Cores * factor, r.Accels * factor, r.RAM * factor}
}

// Holds reports whether a request fits into r.
func (r Resources) Holds(request Resources) bool {
	return request.Cores <= r.Cores+epsilon && request.Accels <= r.Accels+epsilon && request.RAM <= r.RAM+epsilon
}

// CountFitting returns how many times a request fits into r, at most limit.
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

// positive returns the amount with negative resources set to zero.
func (r Resources) positive() Resources {
	return Resources{max(r.Cores, 0), max(r.Accels, 0), max(r.RAM, 0)}
}
