package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fleet"
	"github.com/pebbletrail/pebbletrail/internal/intake"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/peer"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

func logTo(level string) {
	l := slog.LevelInfo
	switch strings.ToLower(level) {
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})))
}

// client makes an HTTP client whose every connection attempt ends soon: a cut
// or powerless host answers nothing at all.
func client(perHost, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: perHost,
		MaxIdleConns:        idle,
		IdleConnTimeout:     60 * time.Second,
		DisableCompression:  true,
	}}
}

// serve runs the controller until it is killed.
func serve(ctx context.Context, set *config.Settings) error {
	if ctx == nil {
		ctx = context.Background()
	}
	logTo(os.Getenv("LOG_LEVEL"))
	lim := set.Params.Limits
	debug.SetMemoryLimit(int64(lim.RAMMB * 0.65 * 1024 * 1024))
	debug.SetGCPercent(200)
	runtime.GOMAXPROCS(max(1, int(lim.Cores+0.99)))

	users, err := net.Listen("tcp4", set.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	cluster, err := net.Listen("tcp4", set.ClusterListen)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	// Processes of one node must never share a name, nor repeat one after a
	// restart within the same millisecond.
	incarnation := fmt.Sprintf("%s.%x.%x", set.HostName, time.Now().UnixMilli(), rand.Uint32())
	slog.Info("starting", "node", set.HostName, "incarnation", incarnation)

	nodes := len(set.Others) + 1
	st := state.NewClient(set.Services.State, client(16, 16),
		state.NewBudget(set.Params.State.RPS, set.Params.State.WriteRPS, nodes, set.Own.OwnerShare))
	cloud := fleet.NewCloud(set.Services.Cloud, client(4, 4), set.Params.Cloud.RPS)
	places := set.Sockets()
	commander := &worker.Commander{HTTP: client(2, places.Direct/2), Timeout: 3 * time.Second}
	pool := claim.NewPool(set, st, commander, incarnation)
	link := peer.NewLink(set, pool, st)
	pool.Peers = link
	offer := &offer{cloud: cloud, pool: pool}
	pool.OnTerm = func(ctx context.Context, t *claim.Term) {
		k := &fleet.Provisioner{Cloud: cloud, Book: t.Book, Store: t.Committer, Gen: t.Gen, Sure: func() bool { return pool.Sure(t) },
			ListEvery: max(2*time.Second, set.Params.Cloud.ListLagS.Duration()/2)}
		if ts := offer.known(); len(ts) > 0 {
			t.Book.SetTypes(ts)
		}
		k.OnTypes = func(ts []placement.Type) { offer.store(ctx, t.Committer, ts) }
		k.Adopt(t.Intents)
		k.Run(ctx)
	}
	site := &intake.Site{
		Desk:       &intake.Desk{Set: set, State: st, Jobs: pool.Jobs(), OwnerNotifier: link, Writer: incarnation, Types: offer.known},
		Heartbeats: pool,
		Ready: func() bool {
			age, ok := st.SinceSuccess()
			if !ok {
				return false
			}
			// During an outage all nodes fare alike and go on answering; a
			// node that alone is not served sends its users elsewhere.
			return age < 2500*time.Millisecond || !link.OthersServed()
		},
		Live: link.Explain,
		Status: func() any {
			owner, _ := pool.Owner()
			out := map[string]any{"node": set.HostName, "version": version, "incarnation": incarnation, "owner": owner}
			out["took"], out["counts"] = measure.Process.Summary()
			if b := pool.Book(); b != nil {
				out["pool"] = b.Summary()
			}
			return out
		},
	}
	go link.Serve(cluster)
	link.Run(ctx)
	go offer.run(ctx)
	go st.Watch(ctx, claim.GenerationKey)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Minute)
			measure.Process.Log()
		}
	}()
	go pool.Run(ctx)
	fleet := func() int {
		if b := pool.Book(); b != nil {
			return b.Machines()
		}
		return 0
	}
	return site.Serve(users, &intake.ConnectionLimiter{MaxConnections: places.Callers, WorkerCount: fleet,
		IdleTimeout: max(20*time.Second, 3*set.Params.Workers.ReportS.Duration()+5*time.Second)})
}

// offer is the cloud's machine types, which every node needs to judge
// submissions; the owner stores them for times when the cloud is down.
type offer struct {
	cloud *fleet.Cloud
	pool  *claim.Pool
	mu    sync.Mutex
	types []placement.Type
	kept  string
}

func (o *offer) known() []placement.Type {
	o.mu.Lock()
	ts := o.types
	o.mu.Unlock()
	if len(ts) > 0 {
		return ts
	}
	return o.pool.Types()
}

func (o *offer) run(ctx context.Context) {
	for ctx.Err() == nil && len(o.known()) == 0 {
		if ts, err := o.cloud.Types(ctx); err == nil && len(ts) > 0 {
			o.mu.Lock()
			o.types = ts
			o.mu.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
}

func (o *offer) store(ctx context.Context, s fleet.Store, ts []placement.Type) {
	o.mu.Lock()
	o.types = ts
	// Prices move all the time and are not worth a write.
	key := ""
	for i := range ts {
		t := ts[i]
		t.Price, t.SpotPrice = 0, 0
		key += fmt.Sprint(t)
	}
	same := key == o.kept
	o.mu.Unlock()
	if same {
		return
	}
	raw, err := json.Marshal(ts)
	if err != nil {
		return
	}
	if s.Apply(ctx, []state.Op{{Put: claim.TypesKey, Value: raw}}) == nil {
		o.mu.Lock()
		o.kept = key
		o.mu.Unlock()
	}
}
