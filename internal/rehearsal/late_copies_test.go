package rehearsal

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestCopiesOfCommandsArriveOnceMoreAfterTheAnswer(t *testing.T) {
	for _, test := range []struct {
		share  float64
		method string
		want   int64
	}{{0, http.MethodPost, 1}, {1, http.MethodPost, 2}, {1, http.MethodGet, 1}} {
		synctest.Test(t, func(t *testing.T) {
			var received atomic.Int64
			worker := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if body, err := io.ReadAll(r.Body); err != nil || string(body) != "commands" {
					t.Errorf("request %d has body %q, error %v", received.Load(), body, err)
				}
				received.Add(1)
			})
			handler := newCopyFault(test.share, 1).wrap(worker)
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(test.method, "/commands", strings.NewReader("commands")))
			if received.Load() != 1 {
				t.Errorf("%d requests arrived before the answer, want 1", received.Load())
			}
			time.Sleep(maxCopyDelay + time.Second)
			if received.Load() != test.want {
				t.Errorf("share %v, %s: %d requests arrived, want %d", test.share, test.method, received.Load(), test.want)
			}
		})
	}
}
