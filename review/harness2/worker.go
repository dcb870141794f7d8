package harness2

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"time"
)

// task is an attempt of a task on a worker.
type task struct {
	worker    *Worker
	job       *Job
	piece     string
	try       uint64
	status    string
	cause     string
	saved     bool
	late      bool // reported as a breach of ran_cancelled
	commanded time.Time
	began     time.Time // of the present status
	until     time.Time // when a fetch, a run or a save ends
}

// Worker is a stand-in of the worker on one machine.
type Worker struct {
	Name, Endpoint, Type, Zone string
	Spot                       bool

	world     *World
	listener  net.Listener
	names     []string
	addresses []string
	client    *http.Client

	// The fields below are guarded by the world's lock.
	stint, tick, baton uint64
	leaseFrom          time.Time
	tasks              []*task
	images             map[string]bool
	at                 int // the controller that gets the next report
	changed            bool
	batonReportedAt    time.Time
	gone, hung, mute   bool
	deaf               bool
	heldBack           []func()
}

// Start starts a machine whose worker reports to the controllers with these names and addresses.
func (w *World) Start(name, machineType, zone string, spot bool, names, addresses []string) *Worker {
	worker := &Worker{Name: name, Type: machineType, Zone: zone, Spot: spot, world: w, listener: listen(), names: names, addresses: addresses,
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, stint: 1, leaseFrom: time.Now(), images: map[string]bool{}}
	worker.Endpoint = worker.listener.Addr().String()
	w.mu.Lock()
	w.workers[name] = worker
	worker.at = len(w.workers) % len(names)
	w.mu.Unlock()
	server := &http.Server{Handler: worker, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(worker.listener) }() // ends with the machine
	go worker.report()
	return worker
}

// Kill ends a machine with all that is on it.
func (w *Worker) Kill() {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if w.gone {
		return
	}
	w.gone = true
	for _, t := range w.tasks {
		w.world.leave(t, "machine gone")
	}
	w.tasks, w.heldBack = nil, nil
	delete(w.world.workers, w.Name)
	_ = w.listener.Close()
}

// SetMute cuts the worker's own calls to all controllers, or ends that; direct commands still reach it.
func (w *Worker) SetMute(mute bool) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.mute = mute
}

// SetCut cuts the machine from everything, or ends that.
func (w *Worker) SetCut(cut bool) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.mute, w.deaf = cut, cut
}

// SetHung lets the machine hang or go on. What arrived meanwhile is then executed in order, after the lease is checked.
func (w *Worker) SetHung(hung bool) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if w.hung && !hung && !w.gone {
		w.hung = false
		w.checkLease(time.Now())
		for _, run := range w.heldBack {
			run()
		}
		w.heldBack = nil
		return
	}
	w.hung = hung
}

// HasImage sets that the machine has an image cached.
func (w *Worker) HasImage(image string) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.images[image] = true
}

func (w *Worker) checkLease(now time.Time) {
	if now.Sub(w.leaseFrom).Seconds() <= w.world.Timing.Lease {
		return
	}
	for _, t := range w.tasks {
		w.world.leave(t, "lease lapsed")
	}
	w.world.Record.Add("lease of %s lapsed", w.Name)
	w.tasks, w.changed, w.leaseFrom = nil, true, now
	w.stint++
}

// step does what is due on the machine.
func (w *Worker) step(now time.Time) {
	if w.hung || w.gone {
		return
	}
	w.checkLease(now)
	for _, t := range slices.Clone(w.tasks) {
		w.stepTask(t, now)
	}
}

func (w *Worker) stepTask(t *task, now time.Time) {
	switch t.status {
	case "pulling":
		if !now.Before(t.until) {
			w.images[t.job.Image] = true
			w.arrive(t, now)
		}
	case "waiting":
		if w.world.gangComplete(t) {
			w.run(t, now)
		} else if now.Sub(t.began).Seconds() > w.world.Timing.GangWait {
			w.exit(t, "incomplete", false)
		}
	case "running":
		if t.job.Shape == "gang" && !w.world.results[t.piece] && !w.world.gangIntact(t) && now.Sub(t.began).Seconds() > w.world.Timing.GangPeer/2 {
			w.exit(t, "peers", false)
		} else if t.job.Shape != "standing" && !now.Before(t.until) {
			w.complete(t)
		}
	case "flushing":
		if !now.Before(t.until) {
			w.exit(t, "stopped", true)
		}
	}
}

// arrive handles that a task has its image.
func (w *Worker) arrive(t *task, now time.Time) {
	w.world.enter(t, now)
	w.changed = true
	if w.world.results[t.piece] {
		w.exit(t, "done", false)
	} else if t.job.Shape == "gang" {
		t.status, t.began = "waiting", now
	} else {
		w.run(t, now)
	}
}

func (w *Worker) run(t *task, now time.Time) {
	t.status, t.began, t.until = "running", now, now.Add(time.Duration(t.job.RunS*float64(time.Second)))
	w.changed = true
}

func (w *Worker) complete(t *task) {
	w.world.results[t.piece] = true
	if t.job.Shape == "gang" {
		for i := range t.job.Pieces {
			w.world.results[pieceName(t.job.ID, i)] = true
		}
	}
	w.exit(t, "done", false)
}

func (w *Worker) exit(t *task, cause string, saved bool) {
	t.status, t.cause, t.saved = "ended", cause, saved
	w.changed = true
	w.world.leave(t, cause)
}

func (w *Worker) find(piece string, try uint64) *task {
	for _, t := range w.tasks {
		if t.piece == piece && t.try == try {
			return t
		}
	}
	return nil
}

// order is a command.
type order struct {
	Verb   string  `json:"verb"`
	Piece  string  `json:"piece"`
	Try    uint64  `json:"try"`
	Leeway float64 `json:"leewayS"`
}

// batch is a response to a report or the body of a direct request.
type batch struct {
	Baton  *uint64 `json:"baton"`
	Stint  *uint64 `json:"stint"`
	Orders []order `json:"orders"`
}

func (w *Worker) execute(orders []order, now time.Time) {
	for _, o := range orders {
		t := w.find(o.Piece, o.Try)
		switch {
		case o.Verb == "start" && t == nil:
			w.start(o, now)
		case o.Verb == "stop" && t != nil && t.status != "ended":
			w.stop(t, o.Leeway, now)
		case o.Verb == "clear" && t != nil && t.status == "ended":
			w.tasks = slices.DeleteFunc(w.tasks, func(other *task) bool { return other == t })
			w.changed = true
		}
	}
}

func (w *Worker) start(o order, now time.Time) {
	job, index := splitPiece(o.Piece)
	t := &task{worker: w, job: w.world.jobs[job], piece: o.Piece, try: o.Try, status: "ended", commanded: now, began: now}
	w.tasks, w.changed = append(w.tasks, t), true
	if t.job == nil || index < 0 || index >= t.job.Pieces {
		t.cause = "no_such"
		return
	}
	offer := w.world.Types[w.Type]
	cores, accels, ram := t.job.Cores, t.job.Accels, t.job.RAM
	for _, other := range w.tasks {
		if other.status == "ended" {
			continue
		}
		if other.piece == o.Piece {
			t.cause = "busy"
			return
		}
		cores, accels, ram = cores+other.job.Cores, accels+other.job.Accels, ram+other.job.RAM
	}
	const rounding = 1e-6
	if cores > offer.Cores+rounding || accels > offer.Accelerators+rounding || ram > offer.RAM+rounding {
		t.cause = "no_room"
		return
	}
	t.status = "pulling"
	if w.images[t.job.Image] {
		w.arrive(t, now)
		return
	}
	pull := time.Duration(t.job.ImageGB / offer.PullRate * float64(time.Second))
	if w.world.pullTime != nil {
		if special, is := w.world.pullTime(w.Name, t.job.Image); is {
			pull = special
		}
	}
	t.until = now.Add(pull)
	for _, other := range w.tasks {
		if other != t && other.status == "pulling" && other.job.Image == t.job.Image {
			t.until = other.until
		}
	}
}

func (w *Worker) stop(t *task, leeway float64, now time.Time) {
	switch {
	case t.status == "flushing" && leeway > 0:
	case t.status == "running" && t.job.Bookmark > 0 && leeway >= t.job.Stash && t.job.Shape != "gang":
		t.status, t.until = "flushing", now.Add(time.Duration(t.job.Stash*float64(time.Second)))
		w.changed = true
	default:
		w.exit(t, "stopped", false)
	}
}

// snapshot returns the report.
func (w *Worker) snapshot() map[string]any {
	w.tick++
	pieces := []map[string]any{}
	for _, t := range w.tasks {
		piece := map[string]any{"piece": t.piece, "try": t.try, "status": t.status}
		if t.status == "ended" {
			piece["cause"] = t.cause
			if t.saved {
				piece["saved"] = true
			}
		}
		pieces = append(pieces, piece)
	}
	return map[string]any{"host": w.Name, "endpoint": w.Endpoint, "build": w.Type, "yard": w.Zone, "loaners": w.Spot, "stint": w.stint, "tick": w.tick,
		"baton": w.baton, "warningS": nil, "pieces": pieces}
}

func (w *Worker) see(baton uint64, now time.Time) {
	if baton > w.baton {
		w.baton = baton
		if now.Sub(w.batonReportedAt).Seconds() > w.world.Timing.Lease/2 {
			w.batonReportedAt, w.changed = now, true
		}
	}
}

// maxRequest is the limit for request bodies.
const maxRequest = 64 << 10

// ServeHTTP handles direct commands and GET /show.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	if len(body) > maxRequest {
		w.world.Record.Add("RULE BROKEN  a request of %d bytes to %s: the limit is %d", len(body), w.Name, maxRequest)
		reply(rw, http.StatusBadRequest, map[string]string{"error": "request too large"})
		return
	}
	arrived := time.Now()
	w.world.mu.Lock()
	if w.gone || w.deaf {
		w.world.mu.Unlock()
		hang(r)
		return
	}
	answer := make(chan func(), 1)
	handle := func() {
		code, report := w.direct(r, body, arrived)
		answer <- func() { reply(rw, code, report) }
	}
	if w.hung {
		w.heldBack = append(w.heldBack, handle)
	} else {
		handle()
	}
	w.world.mu.Unlock()
	select {
	case send := <-answer:
		send()
	case <-r.Context().Done():
	}
}

func (w *Worker) direct(r *http.Request, body []byte, now time.Time) (code int, report any) {
	if r.Method == http.MethodGet {
		return http.StatusOK, w.snapshot()
	}
	var in batch
	if json.Unmarshal(body, &in) != nil || in.Baton == nil || in.Stint == nil {
		return http.StatusBadRequest, map[string]string{"error": "malformed"}
	}
	if *in.Baton < w.baton || *in.Stint != w.stint {
		return http.StatusConflict, w.snapshot()
	}
	w.see(*in.Baton, now)
	w.execute(in.Orders, now)
	if len(in.Orders) > 0 {
		w.world.Record.Add("orders to %s with token %d: %v", w.Name, *in.Baton, in.Orders)
	}
	return http.StatusOK, w.snapshot()
}
