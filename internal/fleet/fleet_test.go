package fleet

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// shelf is a store of intents; names must be on it before they are sent.
type shelf struct {
	names map[string]bool
	down  bool
	lose  int // so many writes get no answer and are not carried out
}

func (s *shelf) Apply(_ context.Context, ops []state.Op) error {
	if s.down {
		return state.ErrRefused
	}
	if s.lose > 0 {
		s.lose--
		return state.ErrUnknown
	}
	for _, op := range ops {
		if op.Put != "" {
			s.names[strings.TrimPrefix(op.Put, record.KeysOf(0, 1).Hires())] = true
		} else {
			delete(s.names, strings.TrimPrefix(op.Remove, record.KeysOf(0, 1).Hires()))
		}
	}
	return nil
}

func set() *config.Settings {
	s := &config.Settings{Own: config.Defaults()}
	s.Params.Workers = config.Workers{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	s.Params.State = config.State{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 12}
	s.Params.Teams = []config.Team{{Name: "red"}}
	s.Params.Zones = []string{"north", "south"}
	return s
}

func job(id ids.Job, tasks int) *record.Record {
	return record.New(record.Spec{ID: id, Class: "c", Team: "red", Shape: record.Array, Tasks: tasks, Estimate: 100,
		Need: placement.Room{Cores: 4, RAM: 4}}, ids.WallOf(time.Now()), "user")
}

func setup(room int) (*fake.Net, *fake.Cloud, *claim.ClusterState, *shelf, *Provisioner) {
	n, c := fake.NewNet(), fake.NewCloud(room)
	n.Listen("cloud:1", c)
	b := claim.NewClusterState(set(), "w", 7, time.Now())
	s := &shelf{names: map[string]bool{}}
	return n, c, b, s, &Provisioner{Cloud: NewCloud("cloud:1", n.Client("a"), 50), Cluster: b, Store: s, Keys: record.KeysOf(0, 1), Gen: 7, ListEvery: time.Second}
}

func TestAHireIsStoredBeforeItIsSentAndNeverDoubled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		n, c, b, s, k := setup(10)
		b.HandleRecord("job-1", 1, job("job-1", 2), time.Now())
		sent := map[string]int{}
		n.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Fate {
			if r.Method == "POST" && r.URL.Path == "/hosts" {
				for name := range s.names {
					if strings.Contains(string(body), `"`+name+`"`) {
						sent[name]++
						if sent[name] == 1 {
							return fake.LoseAnswer
						}
						return fake.Deliver
					}
				}
				t.Errorf("sent without being stored: %s", body)
			}
			return fake.Deliver
		})
		s.down = true
		k.Step(ctx)
		if len(c.Hires()) != 0 {
			t.Fatal("hired although the name could not be stored")
		}
		s.down = false
		s.lose = 2 // an answer that never comes is no answer either
		k.Step(ctx)
		if len(c.Hires()) != 0 {
			t.Fatal("hired although nothing says that the name is stored")
		}
		for range 6 {
			k.Step(ctx)
			time.Sleep(time.Second)
		}
		total := 0
		for _, got := range c.Hires() {
			total += len(got)
		}
		if total != 2 || len(s.names) != 0 {
			t.Fatalf("rented %d for two tasks; left on the shelf: %v", total, s.names)
		}
	})
}

func TestASuccessorLearnsWhatWasRented(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, c, b, _, k := setup(10)
		k.Adopt([]state.Entry{{Value: []byte(`{"hire":"h-3-1","build":"small","yard":"north","loaners":false,"count":2}`)}})
		k.Step(ctx)
		if len(c.Hires()["h-3-1"]) != 2 || b.Summary()["machines"] != 2 {
			t.Fatalf("hires %v, machines %v", c.Hires(), b.Summary()["machines"])
		}
	})
}

func TestStuckBootsAndStrangersAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, c, b, _, k := setup(3)
		b.HandleRecord("job-1", 1, job("job-1", 1), time.Now())
		for range 250 {
			k.Step(ctx)
			time.Sleep(time.Second)
		}
		if gone := c.Gone(); len(gone) == 0 || gone[0] != "host-000001" {
			t.Fatalf("a machine that never came up was kept: %v", gone)
		}
		// Nobody hired this one; it reports, has nothing to do and goes back.
		b.ReconcileHeartbeat(&worker.Report{Machine: "host-000777", Type: "small", Zone: "north", Session: 1, Tick: 1}, true, true)
		b.HandleRecord("job-1", 99, nil, time.Now())
		for i := range 90 {
			b.ReconcileHeartbeat(&worker.Report{Machine: "host-000777", Type: "small", Zone: "north", Session: 1, Tick: ids.Tick(i + 2)}, true, true)
			k.Step(ctx)
			time.Sleep(time.Second)
		}
		if !strings.Contains(strings.Join(c.Gone(), " "), "host-000777") {
			t.Fatalf("the stranger was kept: %v", c.Gone())
		}
	})
}

func TestTheCloudsAnswersAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		n, c, _, _, k := setup(0)
		if _, err := k.Cloud.Hire(ctx, Intent{Name: "h", Type: "small", Count: 1}, nil); !errors.Is(err, ErrNoCapacity) {
			t.Errorf("no room: %v", err)
		}
		c.SetDown(true)
		if _, err := k.Cloud.Hire(ctx, Intent{Name: "h", Type: "small", Count: 1}, nil); !errors.Is(err, ErrTrouble) {
			t.Errorf("outage: %v", err)
		}
		n.SetRule(func(_, _ string, _ *http.Request, _ []byte) fake.Fate { return fake.Swallow })
		if err := k.Cloud.Delete(ctx, []ids.Machine{"host-1"}, nil); !errors.Is(err, ErrNoAnswer) {
			t.Errorf("silence: %v", err)
		}
	})
}

func TestALeaderThatStoodStillSendsNoDeletionOrHire(t *testing.T) {
	// Guards against a leader frozen between deciding and sending: the cloud knows
	// no tokens, and its successor may have work on the machine by then.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, c, b, _, k := setup(10)
		b.HandleRecord("job-1", 1, job("job-1", 2), time.Now())
		k.Step(ctx)
		if len(c.Hires()) == 0 {
			t.Fatal("nothing was rented")
		}
		time.Sleep(5 * time.Minute) // they never come up
		asked := 0
		k.Sure = func() bool { asked++; return false }
		b.HandleRecord("job-2", 2, job("job-2", 4), time.Now())
		hires := len(c.Hires())
		for range 5 {
			k.Step(ctx)
			time.Sleep(time.Second)
		}
		if asked == 0 || len(c.Gone()) != 0 || len(c.Hires()) != hires {
			t.Errorf("asked %d times; deleted %v, %d hires", asked, c.Gone(), len(c.Hires())-hires)
		}
		k.Sure = func() bool { return true }
		for range 5 {
			k.Step(ctx)
			time.Sleep(time.Second)
		}
		if len(c.Gone()) == 0 || len(c.Hires()) == hires {
			t.Errorf("the sure owner deleted %v and made %d hires", c.Gone(), len(c.Hires())-hires)
		}
	})
}

// heartbeat is the first report of a machine.
func heartbeat(name ids.Machine) *worker.Report {
	return &worker.Report{Machine: name, Addr: string(name) + ":1", Type: "small", Zone: "north", Session: 1, Tick: 1}
}
