package scenarios

import (
	"os"
	"runtime/debug"
	"testing"
)

// The scenarios keep little and throw away much, most of it in the fakes: collecting
// it at every doubling of a few megabytes took half of their time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
