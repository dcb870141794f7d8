package config

// StateLimits holds the limits of the key-value store.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next is what the limits will be from some moment on, without notice. Its zero fields stay as
	// they are.
	Next *StateLimits `toml:"next"`
	// CurrentValueKB is the limit of values until then.
	CurrentValueKB float64 `toml:"-"`
}

// maxValueKB is the largest value that is used, whatever the store accepts: a transaction
// carries 64 KiB in all, conditions and keys included, and a larger value would never be sent.
const maxValueKB = 56

// bytesPerKB is how many bytes the store's limits mean by a kilobyte.
const bytesPerKB = 1024

// ValueBytes is how many bytes a value may take, before and after the next limits come into force.
func (s *StateLimits) ValueBytes() float64 { return s.ValueKB * bytesPerKB }

// CurrentValueBytes is how many bytes a value may take until the next limits come into force.
func (s *StateLimits) CurrentValueBytes() float64 { return s.CurrentValueKB * bytesPerKB }

// applyNext lowers the limits to those announced, so that whatever is written fits before and
// after the moment at which they come into force.
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

// lowerIfSet returns the lower of a limit and the next one, if that is set.
func lowerIfSet[N int | float64](limit, next N) N {
	if next > 0 {
		return min(limit, next)
	}
	return limit
}
