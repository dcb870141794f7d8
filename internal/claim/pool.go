package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// ownerRec is the value of pool/owner; the key is attached to the hold, so it
// goes away when its owner stops renewing.
type ownerRec struct {
	Node       ids.Node       `json:"node"`
	Writer     string         `json:"writer"`
	Hold       ids.Hold       `json:"hold"`
	Generation ids.Generation `json:"generation"`
}

// Peers is what the pool asks of the other controllers.
type Peers interface {
	// AllStopped asks the named controllers, or every other if none is named, to
	// confirm that they answer no beats under an older generation; it is true
	// once all have.
	AllStopped(ctx context.Context, gen ids.Generation, of ...ids.Node) bool
	// Alone tells that none of the other controllers has been heard lately.
	Alone() bool
}

// Term is one spell of owning the pool.
type Term struct {
	Gen        ids.Generation
	Book       *Book
	Committer  *Committer
	Dispatcher *Dispatcher
	Intents    []state.Entry
	hold       ids.Hold
	began      time.Time
	renewed    time.Time // when the last good renewal was sent
	loaded     chan struct{}
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// Pool is this controller's part in owning the machine pool.
type Pool struct {
	Set       *config.Settings
	State     *state.Client
	Commander *worker.Commander
	Peers     Peers
	// OnTerm starts what else runs during a term, such as the fleet's keeper.
	OnTerm func(ctx context.Context, t *Term)

	incarnation string
	mirror      *state.Mirror
	jobs        *state.Mirror
	still       standstill
	known       func() (ids.Node, bool) // who owns the pool
	readAt      func() time.Time        // of when the copy of the records is

	mu      sync.Mutex
	term    *Term
	resting time.Time              // no campaign before
	last    lastOwner              // who owned the pool before this node
	hints   map[ids.Machine]Hint   // of the last owner heard
	heardTo HintMark               // what of its hints is here
	sent    map[ids.Machine]sentOn // workers sent on to the owner
}

// lastOwner is whose generation this node has seen, and since when.
type lastOwner struct {
	writer string
	since  time.Time
}

// NewPool makes the pool's client; incarnation tells this process from its
// node's earlier ones.
func NewPool(set *config.Settings, c *state.Client, cmd *worker.Commander, incarnation string) *Pool {
	p := &Pool{Set: set, State: c, Commander: cmd, incarnation: incarnation, sent: map[ids.Machine]sentOn{}}
	p.known = p.Owner
	p.mirror = state.NewMirror(c, PoolPrefix, 100*time.Millisecond)
	p.jobs = state.NewMirror(c, JobPrefix, 400*time.Millisecond)
	p.readAt = p.jobs.AsOf
	p.jobs.OnChange = func(ch state.Change) {
		id := ids.Job(strings.TrimPrefix(ch.Key(), JobPrefix))
		if ch.Put == "" {
			p.Learn(id, ch.Stamp, nil)
			return
		}
		b := p.Book()
		if b == nil || b.wrote(ch.Value) {
			return
		}
		if rec, err := Decode(ch.Value); err == nil {
			p.Learn(id, ch.Stamp, rec)
		}
	}
	return p
}

// Jobs is this node's copy of the live records.
func (p *Pool) Jobs() *state.Mirror { return p.jobs }

// Run takes part until the context ends.
func (p *Pool) Run(ctx context.Context) {
	p.still.onWake = p.woke
	go p.still.run(ctx)
	go p.mirror.Run(ctx)
	go p.jobs.Run(ctx)
	life := time.Duration(p.Set.Own.PoolHoldMs) * time.Millisecond
	for ctx.Err() == nil {
		if t := p.Term(); t != nil {
			// A renewal that hangs must not delay the next.
			go p.keep(ctx, t)
			go p.jobs.Sync(ctx)
			wait(ctx, life/5)
			continue
		}
		p.watchOwner()
		if p.vacant() {
			if err := p.campaign(ctx, life); err != nil {
				slog.Debug("campaign failed", "err", err)
				wait(ctx, 200*time.Millisecond)
			}
			continue
		}
		wait(ctx, 50*time.Millisecond)
	}
}

// Term is the present term, if this node owns the pool.
func (p *Pool) Term() *Term {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term
}

// Book is the book of the present term, if this node owns the pool.
func (p *Pool) Book() *Book {
	if t := p.Term(); t != nil {
		return t.Book
	}
	return nil
}

// Owner is who owns the pool as far as this node knows.
func (p *Pool) Owner() (ids.Node, bool) {
	if p.Term() != nil {
		return p.Set.HostName, true
	}
	e, found, ready := p.mirror.Get(OwnerKey)
	if !ready || !found {
		return "", false
	}
	var o ownerRec
	if json.Unmarshal(e.Value, &o) != nil || o.Node == p.Set.HostName {
		return "", false
	}
	return o.Node, true
}

// Types reads the machine types that an owner has stored.
func (p *Pool) Types() []placement.Type {
	e, found, _ := p.mirror.Get(TypesKey)
	if !found {
		return nil
	}
	var ts []placement.Type
	if json.Unmarshal(e.Value, &ts) != nil {
		return nil
	}
	return ts
}

// vacant tells whether the pool looks free, or held by a dead predecessor of
// this very node.
func (p *Pool) vacant() bool {
	p.mu.Lock()
	resting := time.Now().Before(p.resting)
	p.mu.Unlock()
	e, found, ready := p.mirror.Get(OwnerKey)
	if !ready || resting {
		return false
	}
	if !found {
		return true
	}
	var o ownerRec
	return json.Unmarshal(e.Value, &o) == nil && o.Node == p.Set.HostName
}

// campaign tries to take the pool over.
func (p *Pool) campaign(ctx context.Context, life time.Duration) error {
	cur, found, err := p.State.Get(ctx, OwnerKey, state.Urgent)
	if err != nil {
		return err
	}
	if found {
		var o ownerRec
		if err := json.Unmarshal(cur.Value, &o); err != nil {
			return err
		}
		if o.Node != p.Set.HostName {
			wait(ctx, 100*time.Millisecond) // the mirror is behind
			return errors.New("owned by " + string(o.Node))
		}
		// Only one process runs on a node: this hold's owner is dead, or an
		// earlier term of ours whose answer got lost.
		slog.Info("ending the hold of this node's earlier life", "writer", o.Writer)
		if err := p.State.End(ctx, o.Hold); err != nil && !errors.Is(err, state.ErrNoHold) {
			return err
		}
	}
	var prev generationRec
	ge, found, err := p.State.Get(ctx, GenerationKey, state.Urgent)
	if err != nil {
		return err
	}
	if found {
		if err := json.Unmarshal(ge.Value, &prev); err != nil {
			return err
		}
	}
	sent := time.Now()
	hold, err := p.State.NewHold(ctx, life)
	if err != nil {
		return err
	}
	gen := prev.Generation + 1
	writer := fmt.Sprintf("%s/%d", p.incarnation, gen)
	oraw, _ := json.Marshal(ownerRec{p.Set.HostName, writer, hold, gen})
	graw, _ := json.Marshal(generationRec{gen, p.Set.HostName, writer})
	epoch, err := p.State.Commit(ctx, state.Txn{
		When: []state.Cond{{Key: OwnerKey}, {Key: GenerationKey, Stamp: ge.Stamp}},
		Then: []state.Op{{Put: OwnerKey, Value: oraw, Hold: hold}, {Put: GenerationKey, Value: graw}},
	}, state.Urgent)
	if errors.Is(err, state.ErrUnknown) {
		// Read back what became of it.
		e, found, rerr := p.State.Get(ctx, GenerationKey, state.Urgent)
		var g generationRec
		if rerr == nil && found && json.Unmarshal(e.Value, &g) == nil && g.Writer == writer {
			epoch, err = ids.Epoch(e.Stamp), nil
		}
	}
	if err != nil {
		return err
	}
	p.begin(ctx, prev, gen, writer, hold, ids.Stamp(epoch), sent)
	return nil
}

// begin starts a term.
func (p *Pool) begin(ctx context.Context, prev generationRec, gen ids.Generation, writer string, hold ids.Hold, stamp ids.Stamp, sent time.Time) {
	now := time.Now()
	w := &p.Set.Params.Workers
	trust := now.Add(p.Set.Grace().Drifted() + w.LeaseS.Drifted())
	b := NewBook(p.Set, writer, gen, trust)
	fresh := time.Duration(p.Set.Own.PoolHoldMs) * time.Millisecond / 2
	b.Storing = func() bool {
		age, ok := p.State.SinceGood()
		return ok && age < fresh
	}
	tctx, cancel := context.WithCancel(ctx)
	t := &Term{Gen: gen, Book: b, hold: hold, began: now, renewed: sent, loaded: make(chan struct{}), cancel: cancel}
	t.Committer = NewCommitter(b, p.State, p.Set.HostName, stamp)
	t.Dispatcher = NewDispatcher(b, p.Commander, p.Set.Sockets().Direct/4)
	t.Dispatcher.May = func() bool { return p.proven(t) }
	b.Starting = func() bool { return p.mayStart(t) }
	t.Committer.OnLost = func(why string) { go p.stepDown(t, why) }
	t.Committer.OnStored = t.Dispatcher.Wake
	p.State.Budget().SetOwner(true)
	p.mu.Lock()
	b.Seed(p.hints, now)
	p.term = t
	p.mu.Unlock()
	slog.Info("took the machine pool over", "generation", gen)
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		if p.load(tctx, t) {
			p.runTerm(tctx, t)
		}
	}()
	go p.confirmStopped(tctx, t, p.whoMayAnswer(prev, now)...)
}

// load reads every live record; the takeover's commit keeps older owners from
// changing any of them.
func (p *Pool) load(ctx context.Context, t *Term) bool {
	for ctx.Err() == nil {
		// The copy is warm; what it lacks is read after the takeover's commit.
		err := p.jobs.Sync(ctx)
		jobs, epoch := p.jobs.All()
		if err == nil {
			t.Intents, _, err = p.State.ListAll(ctx, HirePrefix, state.Urgent)
		}
		if err != nil {
			wait(ctx, 100*time.Millisecond)
			continue
		}
		recs, stamps := map[ids.Job]*Record{}, map[ids.Job]ids.Stamp{}
		for _, e := range jobs {
			rec, err := Decode(e.Value)
			if err != nil {
				slog.Error("unreadable record", "key", e.Key, "err", err)
				continue
			}
			recs[rec.Spec.ID], stamps[rec.Spec.ID] = rec, e.Stamp
		}
		t.Book.Load(recs, stamps, ids.Stamp(epoch), time.Now())
		close(t.loaded)
		slog.Info("records loaded", "jobs", len(recs), "hires", len(t.Intents))
		return true
	}
	return false
}

func (p *Pool) runTerm(ctx context.Context, t *Term) {
	run := func(f func(context.Context)) {
		t.done.Add(1)
		go func() { defer t.done.Done(); f(ctx) }()
	}
	run(t.Committer.Run)
	run(t.Dispatcher.Run)
	run(t.plan)
	if p.OnTerm != nil {
		run(func(ctx context.Context) { p.OnTerm(ctx, t) })
	}
}

// plan claims whenever something changed, at a bounded pace.
func (t *Term) plan(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.Book.wakePlan:
		case <-time.After(500 * time.Millisecond):
		}
		now := time.Now()
		t.Book.Lapses(now)
		t.Book.Plan(now)
		t.Dispatcher.Wake()
		wait(ctx, 25*time.Millisecond)
	}
}

// keep renews the hold and ends the term when it is surely lost.
func (p *Pool) keep(ctx context.Context, t *Term) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Set.Own.PoolHoldMs)*time.Millisecond/2)
	defer cancel()
	err := p.State.Renew(ctx, t.hold)
	switch {
	case err == nil:
		p.mu.Lock()
		if sent.After(t.renewed) {
			t.renewed = sent
		}
		p.mu.Unlock()
	case errors.Is(err, state.ErrNoHold):
		p.stepDown(t, "its hold ended")
	default:
		slog.Debug("renewal failed", "err", err)
	}
	p.checkDeaf(t)
	if e, found, ready := p.mirror.Get(GenerationKey); ready && found {
		var g generationRec
		if json.Unmarshal(e.Value, &g) == nil && g.Generation > t.Book.Generation() && !strings.HasPrefix(g.Writer, p.incarnation+"/") {
			p.stepDown(t, "another owner raised the generation")
		}
	}
}

func (p *Pool) stepDown(t *Term, why string) {
	p.mu.Lock()
	if p.term != t {
		p.mu.Unlock()
		return
	}
	p.term = nil
	p.mu.Unlock()
	slog.Info("gave the machine pool up", "generation", t.Gen, "why", why)
	t.Book.Close()
	t.cancel()
	p.State.Budget().SetOwner(false)
}

// Hear keeps an owner's hints for the case that this node comes next.
func (p *Pool) Hear(hs []Hint, to HintMark) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term != nil || to.Gen < p.heardTo.Gen {
		return
	}
	if to.Whole || p.hints == nil {
		p.hints = map[ids.Machine]Hint{}
	}
	for _, h := range hs {
		h.since = time.Now().Add(-h.Held)
		p.hints[h.Name] = h
	}
	if to.Whole {
		to.At = time.Now()
	} else {
		to.At = p.heardTo.At
	}
	p.heardTo = to
}

// Heard is what to ask an owner's hints from; all of them now and then, since
// machines that went away are not named.
func (p *Pool) Heard() HintMark {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.heardTo.At) > 20*time.Second {
		return HintMark{}
	}
	return p.heardTo
}

// sentOn is a worker sent on to the owner, perhaps again and again.
type sentOn struct {
	to          ids.Node
	first, last time.Time
}

// Strand is a worker that was sent on to the owner and may not have got there.
type Strand struct {
	Machine ids.Machine
	Ago     time.Duration // when it was first sent on
}

// A worker sent on reports to the owner within arrives. One that does not get
// through is back within backWithin: it waits 4 s for an answer, and another before it
// tries the next node.
const (
	arrives    = 2500 * time.Millisecond
	backWithin = 10 * time.Second
)

func (p *Pool) noteRedirect(m ids.Machine, to ids.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sent) > 20000 {
		clear(p.sent)
	}
	now := time.Now()
	s := p.sent[m]
	if s.to != to || now.Sub(s.last) > backWithin {
		s = sentOn{to: to, first: now}
	}
	s.last = now
	p.sent[m] = s
}

// Stranded lists the workers that were lately sent to the present owner and came
// back, or should be there by now: whether they have been, the owner knows. Those sent
// to an earlier one say nothing of this one.
func (p *Pool) Stranded() (out []Strand) {
	owner, _ := p.known()
	p.mu.Lock()
	defer p.mu.Unlock()
	for m, s := range p.sent {
		if s.to != owner || time.Since(s.last) >= backWithin {
			delete(p.sent, m)
		} else if s.last != s.first || time.Since(s.first) > arrives {
			out = append(out, Strand{m, time.Since(s.first)})
		}
	}
	return out
}

// Reconsider is told by a peer which workers reach it but not this owner. If
// those are most of the machines, this node is cut off from the workers and
// gives the pool up, at once and for a while, to one that is not.
func (p *Pool) Reconsider(stranded []Strand) {
	t := p.Term()
	if t == nil || len(stranded) == 0 || !t.Book.cutOff(stranded, time.Now()) {
		return
	}
	p.giveWay(t, "cut off from the workers, which reach another node")
}

// deafAfter is how long a term lasts at least before its owner may find itself
// cut off from all workers.
const deafAfter = 5 * time.Second

// checkDeaf gives the pool up if no worker is heard or answers, and no other
// controller can be reached to tell whether they reach it. An owner that hears
// nobody keeps no lease alive, so little is lost if another fares no better.
func (p *Pool) checkDeaf(t *Term) {
	if p.Peers == nil || !p.Peers.Alone() || time.Since(t.began) < deafAfter || !t.Book.deaf(time.Now()) {
		return
	}
	p.giveWay(t, "no worker is heard, and no other controller")
}

// giveWay ends the term at once, and leaves the pool to others for a while.
func (p *Pool) giveWay(t *Term, why string) {
	p.mu.Lock()
	p.resting = time.Now().Add(20 * time.Second)
	p.mu.Unlock()
	p.stepDown(t, why)
	ctx, cancel := context.WithTimeout(context.Background(), state.CallTimeout)
	defer cancel()
	if err := p.State.End(ctx, t.hold); err != nil {
		slog.Debug("hold not ended", "err", err) // it lapses by itself
	}
}

// Superseded is told by a peer of a higher generation; the answer confirms
// that this node answers no beats under an older one.
func (p *Pool) Superseded(gen ids.Generation) bool {
	if t := p.Term(); t != nil {
		if t.Book.Generation() >= gen {
			return false
		}
		p.stepDown(t, "a peer owns a higher generation")
	}
	return true
}

// watchOwner notes whose generation it is and since when.
func (p *Pool) watchOwner() {
	e, found, ready := p.mirror.Get(GenerationKey)
	var g generationRec
	if !ready || !found || json.Unmarshal(e.Value, &g) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.Writer != p.last.writer {
		p.last = lastOwner{g.Writer, time.Now()}
	}
}

// whoMayAnswer names the controllers that may still be answering beats under an
// older generation: only the last owner, if this node has seen it own the pool
// for longer than the grace of whoever was before it; otherwise none is named, and
// all must be asked. In a zone that is cut off there may be controllers, which
// cannot confirm anything, and need not.
func (p *Pool) whoMayAnswer(prev generationRec, now time.Time) []ids.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	if prev.Writer == "" || prev.Node == p.Set.HostName || prev.Writer != p.last.writer || now.Sub(p.last.since) < p.Set.Grace().Drifted()+time.Second {
		return nil
	}
	return []ids.Node{prev.Node}
}

// confirmStopped shortens the wait for silent workers' lapses once those who may
// still be answering them say that they have stopped.
func (p *Pool) confirmStopped(ctx context.Context, t *Term, of ...ids.Node) {
	for ctx.Err() == nil {
		if p.Peers == nil {
			return
		}
		if p.Peers.AllStopped(ctx, t.Gen, of...) {
			now := time.Now()
			t.Book.Trust(now.Add(p.Set.Params.Workers.LeaseS.Drifted()))
			return
		}
		wait(ctx, 500*time.Millisecond)
	}
}

// Learn passes on what another controller wrote, if this node owns the pool.
func (p *Pool) Learn(id ids.Job, stamp ids.Stamp, rec *Record) {
	if b := p.Book(); b != nil {
		b.Learn(id, stamp, rec, time.Now())
	}
}

// Explain tells why a job's tasks wait, if this node surely owns the pool: an owner
// that stood still, or can't renew its hold, might tell what is no longer so.
func (p *Pool) Explain(id ids.Job) ([]string, error) {
	t := p.Term()
	if t == nil {
		return nil, ErrNotOwner
	}
	if !p.Sure(t) {
		return []string{"the state service has not answered the pool's owner for a moment: nothing is started or stopped until it does"}, nil
	}
	select {
	case <-t.loaded:
	default:
		return []string{"the pool was taken over a moment ago: its new owner is still reading the records"}, nil
	}
	lines := t.Book.Explain(id)
	if lines == nil {
		lines = []string{"the pool's owner has not read of this job yet"}
	}
	return lines, nil
}

// ErrNotOwner tells that this node does not own the pool.
var ErrNotOwner = errors.New("not the pool's owner")

// entitled tells whether this node may still answer beats. A successor trusts that
// it stops a fixed time after its last good renewal, and users that what they
// cancelled is gone in time: what this node has not read of, it may keep alive for
// so long after its last complete read only.
func (p *Pool) entitled(t *Term) bool {
	return p.within(t, p.Set.Grace().Duration())
}

// mayStart tells whether this node may still start tasks: a job may have been
// cancelled, by a node that can't reach this one, since its records were last read.
// Two lives of the hold allow for slow answers.
func (p *Pool) mayStart(t *Term) bool {
	return p.within(t, 2*time.Duration(p.Set.Own.PoolHoldMs)*time.Millisecond)
}

// within tells whether the last good renewal and the last complete read of the
// records both began less than d ago.
func (p *Pool) within(t *Term, d time.Duration) bool {
	if !p.proven(t) {
		return false
	}
	read := p.readAt()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term == t && time.Since(t.renewed) < d && time.Since(read) < d
}

// Sure tells whether no other node can own the pool: its hold, counted from when
// the last good renewal was sent, has not run out by this node's clock.
func (p *Pool) Sure(t *Term) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	life := time.Duration(p.Set.Own.PoolHoldMs) * time.Millisecond
	return p.term == t && time.Since(t.renewed) < life-life/100
}

// Beat answers a worker's report: a reply, or else a status and redirect.
func (p *Pool) Beat(ctx context.Context, rep *worker.Report) (*worker.Reply, int, worker.Redirect) {
	t := p.Term()
	if t == nil {
		if node, ok := p.Owner(); ok {
			p.noteRedirect(rep.Machine, node)
			return nil, 421, worker.Redirect{AnswerTo: node}
		}
		return nil, 503, worker.Redirect{}
	}
	select {
	case <-t.loaded:
	case <-time.After(1500 * time.Millisecond):
		return nil, 503, worker.Redirect{}
	case <-ctx.Done():
		return nil, 503, worker.Redirect{}
	}
	if !p.entitled(t) {
		return nil, 503, worker.Redirect{}
	}
	gen := t.Book.Generation()
	if rep.Token > gen {
		// The worker has heard of a later owner. It would drop our answer and
		// yet stay with us, so it is sent on.
		p.stepDown(t, "a worker has seen a higher token")
		return nil, 503, worker.Redirect{}
	}
	if t.Book.mustLapse(rep, p.Set.Grace().Duration()) {
		return nil, 503, worker.Redirect{}
	}
	orders := t.Book.Observe(rep, true, true)
	if orders == nil {
		orders = []worker.Order{}
	}
	return &worker.Reply{Token: gen, Orders: orders}, 200, worker.Redirect{}
}
