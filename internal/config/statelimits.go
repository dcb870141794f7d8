package config

// StateLimits holds the limits of the key-value store.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds future limits, which come into force at an unknown time without notice. Limits that are
	// zero in Next do not change.
	Next *StateLimits `toml:"next"`
	// CurrentValueKB is the maximum size of a value until the next limits come into force.
	CurrentValueKB float64 `toml:"-"`
}

// maxValueKB is the maximum size of a value that the controller writes, even if the store accepts larger
// ones. A transaction holds 64 KiB in total, including conditions and keys, so a larger value could never
// be sent.
const maxValueKB = 56

// bytesPerKB is the number of bytes per kilobyte in the store's limits.
const bytesPerKB = 1024

// ValueBytes returns the maximum size of a value, in bytes, that is valid both before and after the next
// limits come into force.
func (s *StateLimits) ValueBytes() float64 { return s.ValueKB * bytesPerKB }

// CurrentValueBytes returns the maximum size of a value, in bytes, until the next limits come into force.
func (s *StateLimits) CurrentValueBytes() float64 { return s.CurrentValueKB * bytesPerKB }

// applyNext lowers the limits to the announced ones, so that every write is accepted both before and
// after these come into force.
func (s *StateLimits) applyNext() {
	s.ValueKB = min(s.ValueKB, maxValueKB)
	s.CurrentValueKB = s.ValueKB
	next := s.Next
	if next == nil {
		return
	}
	s.RPS = lowerIfSet(s.RPS, next.RPS)
	s.WriteRPS = lowerIfSet(s.WriteRPS, next.WriteRPS)
	s.ValueKB = lowerIfSet(s.ValueKB, next.ValueKB)
	s.TxnOps = lowerIfSet(s.TxnOps, next.TxnOps)
}

// lowerIfSet returns the lower of limit and next, or limit if next is zero.
func lowerIfSet[N int | float64](limit, next N) N {
	if next > 0 {
		return min(limit, next)
	}
	return limit
}
