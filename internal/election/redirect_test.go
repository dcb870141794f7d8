package election

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func TestWorkersSentToAnEarlierLeaderSayNothingOfThisOne(t *testing.T) {
	t.Parallel()
	// Found on a day with a crash: the workers that had been sent on to the dead leader,
	// or had been here since, made each new one give way a few seconds after its
	// takeover.
	synctest.Test(t, func(t *testing.T) {
		elector := NewElector(electionSettings(), nil, nil, "a.1")
		now := ""
		elector.knownLeader = func() (ids.Node, bool) { return ids.Node(now), now != "" }
		now = "b"
		elector.noteRedirect("m1", "b")
		time.Sleep(3 * time.Second)
		if got := elector.RedirectedWorkers(); len(got) != 1 {
			t.Errorf("not told of a worker that should have been there: %v", got)
		}
		now = "c"
		if got := elector.RedirectedWorkers(); len(got) != 0 {
			t.Errorf("%v was sent to an earlier owner", got)
		}
		elector.noteRedirect("m1", "c")
		time.Sleep(time.Second)
		if got := elector.RedirectedWorkers(); len(got) != 0 {
			t.Errorf("%v is only on its way", got)
		}
		elector.noteRedirect("m1", "c")
		if got := elector.RedirectedWorkers(); len(got) != 1 {
			t.Errorf("not told of one that came back: %v", got)
		}
	})
}
