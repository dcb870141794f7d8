package measure

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestSummaryOfLatenciesAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecorder()
		for i := range 100 {
			began := time.Now()
			time.Sleep(time.Duration(i+1) * time.Millisecond)
			r.Took("pass", began)
		}
		began := time.Now()
		time.Sleep(time.Hour) // longer than maxLatency: recorded as maxLatency
		r.Took("pass", began)
		r.Count("calls", 2)
		r.Count("calls", 3)
		latencies, counts := r.Summary()
		pass := latencies["pass"]
		if pass.Count != 101 || pass.P50 < 49 || pass.P50 > 53 || pass.Max < 59000 || pass.Max > 61000 || counts["calls"] != 5 {
			t.Fatalf("got latencies %+v and counts %v", pass, counts)
		}
	})
}
