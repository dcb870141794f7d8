package scenarios

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain lets the heap grow to five times its live size between garbage collections. The
// scenarios keep little memory and allocate much, most of it in the fakes: collecting at every
// doubling of a few megabytes took half of their time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
