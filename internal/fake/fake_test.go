package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// call makes one request, as a host, and gives up after 2 s; 0 is no answer.
func call(n *Net, from, method, url, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader([]byte(body)))
	res, err := n.Client(from).Do(req)
	if err != nil {
		return 0, ""
	}
	raw, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(raw)
}

func put(key string, stamp int) string {
	return fmt.Sprintf(`{"when":[{"key":%q,"stamp":%d}],"then":[{"put":%q,"value":%d}]}`, key, stamp, key, stamp)
}

func epochOf(s *Store) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

func TestTransactionsWithoutAnAnswer(t *testing.T) {
	// A lost answer's is carried out at once, a late one's after newer ones, where its
	// conditions are judged.
	synctest.Test(t, func(t *testing.T) {
		n, s := NewNet(), NewStore()
		n.Listen("s:1", s)
		n.SetDelay(func() time.Duration { return 12 * time.Second })
		fates := map[string]Fate{"lost": LoseAnswer, "late": Late, "void": Late, "slow": SlowAnswer}
		n.SetRule(func(_, _ string, r *http.Request, body []byte) Fate {
			for k, f := range fates {
				if strings.Contains(string(body), k) {
					return f
				}
			}
			return Deliver
		})
		for k := range fates {
			if code, _ := call(n, "a", "POST", "s:1/commit", put(k, 0)); code != 0 {
				t.Errorf("%s was answered %d", k, code)
			}
			if done := s.Value(k) != nil; done != (k == "lost" || k == "slow") {
				t.Errorf("%s was carried out: %v", k, done)
			}
		}
		n.SetRule(nil)
		if code, _ := call(n, "a", "POST", "s:1/commit", put("void", 0)); code != 200 {
			t.Errorf("a newer one got %d", code)
		}
		epoch := epochOf(s)
		time.Sleep(14 * time.Second)
		if s.Value("late") == nil || epochOf(s) != epoch+1 {
			t.Errorf("the late one was not carried out alone: %s", s)
		}
	})
}

func TestAStoreThatRefusesOneCallerAlone(t *testing.T) {
	// Its leases run out and its watches wait, while others are served.
	synctest.Test(t, func(t *testing.T) {
		n, s := NewNet(), NewStore()
		n.Listen("s:1", s)
		call(n, "a", "POST", "s:1/holds", `{"lifeMs":1000}`)
		call(n, "a", "POST", "s:1/commit", `{"then":[{"put":"x","value":1,"permit":1}]}`)
		s.Refuse("a", true)
		if code, _ := call(n, "a", "POST", "s:1/holds/1/renew", ""); code != 503 {
			t.Errorf("a renewal got %d", code)
		}
		if code, _ := call(n, "b", "POST", "s:1/commit", put("y", 0)); code != 200 {
			t.Errorf("another caller got %d", code)
		}
		if code, out := call(n, "a", "GET", "s:1/follow?under=&after=1&holdMs=1500", ""); code != 200 || strings.Contains(out, `"y"`) || !strings.Contains(out, `"epoch":1`) {
			t.Errorf("a refused watch got %d %s", code, out)
		}
		if s.Value("x") != nil {
			t.Error("the lease did not run out")
		}
		s.Refuse("a", false)
		if code, out := call(n, "a", "GET", "s:1/follow?under=&after=1&holdMs=1500", ""); code != 200 || !strings.Contains(out, `"y"`) {
			t.Errorf("a watch got %d %s afterwards", code, out)
		}
		s.SetSlow(time.Second)
		began := time.Now()
		if code, _ := call(n, "b", "GET", "s:1/kv/y", ""); code != 200 || time.Since(began) != time.Second {
			t.Errorf("a slow store answered %d after %v", code, time.Since(began))
		}
	})
}

func TestWorkersInTrouble(t *testing.T) {
	const start = `{"baton":1,"stint":1,"orders":[{"verb":"start","piece":"job-1/%d","try":1}]}`
	for _, c := range []struct {
		name    string
		rule    Rule
		hung    time.Duration
		beats   bool // reports reach the controller
		command int  // what a direct command gets
		starts  int  // started by then, and once all is over
		session uint64
	}{
		{"well", nil, 0, true, 200, 1, 1},
		{"mute", Mute("m"), 0, false, 200, 1, 2}, // no lease is renewed
		{"deaf", Deaf("m"), 0, true, 0, 0, 2},
		{"hung", nil, 5 * time.Second, false, 0, 1, 1},
		{"hung beyond its lease", nil, 30 * time.Second, false, 0, 0, 2},
		{"copied", CopyReports("m"), 0, true, 200, 1, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer synctest.Wait()
			defer cancel()
			n, ends := NewNet(), []string{}
			var heard atomic.Int32
			n.Listen("a:1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				heard.Add(1)
				reply(rw, 200, map[string]any{"baton": 1, "orders": []any{}})
			}))
			w := &Worker{Name: "m", Addr: "m:1", Net: n, Nodes: []string{"a:1"}, Report: 2 * time.Second, Lease: 20 * time.Second}
			w.NotifyEvents(func(e Event) { ends = append(ends, e.Cause) })
			n.SetRule(c.rule)
			go w.Run(ctx)
			time.Sleep(time.Second)
			if c.hung > 0 {
				w.SetHung(true)
			}
			before := heard.Load()
			if code, _ := call(n, "a", "POST", "m:1/commands", fmt.Sprintf(start, 0)); code != c.command {
				t.Errorf("%s: a command got %d", c.name, code)
			}
			time.Sleep(max(c.hung, 8*time.Second) - 2*time.Second)
			if arrived := heard.Load() - before; (arrived > 0) != c.beats {
				t.Errorf("%s: %d reports arrived", c.name, arrived)
			}
			if c.hung > 0 {
				if w.End("job-1/0", "done") || w.Started("job-1/0") > 0 {
					t.Errorf("%s: something happened on it", c.name)
				}
				w.SetHung(false)
			}
			if got := w.Started("job-1/0"); got != c.starts {
				t.Errorf("%s: started %d times", c.name, got)
			}
			time.Sleep(25 * time.Second)
			w.mu.Lock()
			if w.session != c.session {
				t.Errorf("%s: session %d", c.name, w.session)
			}
			if c.session == 2 && c.starts == 1 && ends[len(ends)-1] != "killed" {
				t.Errorf("%s: no end of the lease was told: %v", c.name, ends)
			}
			w.mu.Unlock()
			if got := n.Release(); (got > 0) != (c.name == "copied") {
				t.Errorf("%s: %d copies", c.name, got)
			}
		})
	}
}

func TestAWorkersTasks(t *testing.T) {
	// A result is kept if the task is started again; a task is refused where it is
	// under another attempt; changes are reported soon.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		n := NewNet()
		var mu sync.Mutex
		var reports []string
		n.Listen("a:1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			mu.Lock()
			reports = append(reports, string(raw))
			mu.Unlock()
			reply(rw, 200, map[string]any{"baton": 1})
		}))
		w := &Worker{Name: "m", Addr: "m:1", Net: n, Nodes: []string{"a:1"}, Report: 10 * time.Second, Lease: 20 * time.Second}
		go w.Run(ctx)
		time.Sleep(time.Second)
		send := func(verb string, try int) string {
			raw, _ := json.Marshal(map[string]any{"baton": 1, "stint": 1, "orders": []any{map[string]any{"verb": verb, "piece": "job-1/0", "try": try}}})
			_, out := call(n, "a", "POST", "m:1/commands", string(raw))
			return out
		}
		send("start", 1)
		if out := send("start", 2); !strings.Contains(out, `"busy"`) {
			t.Errorf("a second attempt there: %s", out)
		}
		w.End("job-1/0", "done")
		time.Sleep(600 * time.Millisecond)
		mu.Lock()
		if last := reports[len(reports)-1]; !strings.Contains(last, `"done"`) {
			t.Errorf("last reported %s", last)
		}
		mu.Unlock()
		if out := send("start", 3); !strings.Contains(out, `"try":3,"status":"ended","cause":"done"`) {
			t.Errorf("started again once done: %s", out)
		}
	})
}
