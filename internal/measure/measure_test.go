package measure

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestLatenciesAndCountsAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		for i := range 100 {
			began := time.Now()
			time.Sleep(time.Duration(i+1) * time.Millisecond)
			r.Took("pass", began)
		}
		began := time.Now()
		time.Sleep(time.Hour) // longer than kept: still counted, at the bound
		r.Took("pass", began)
		r.Count("calls", 2)
		r.Count("calls", 3)
		took, counts := r.Summary()
		s := took["pass"]
		if s.Count != 101 || s.P50 < 49 || s.P50 > 53 || s.Max < 59000 || s.Max > 61000 || counts["calls"] != 5 {
			t.Fatalf("%+v %v", s, counts)
		}
	})
}
