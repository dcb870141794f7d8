package scenarios

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// rules watches the workers and every answer to users for the protocol's rules
// (PROTOCOL, "Rules"). An answer is older than another only if its request was
// sent after the other had arrived; that goes by the order in which the checker
// learned of both, since much may happen at one instant.
type rules struct {
	report   func(rule, what string)
	settings *config.Settings
	mu       sync.Mutex
	jobs     map[string]*observedJob
	running  map[string][]fake.Event // starts of what is on machines now, by task
	reported map[string]bool
	sequence int // requests and answers, so far
	// firstStarts is when a task was first on a machine.
	firstStarts map[string]time.Time
	// polls are those of the last 90 s, for jobs about which nobody answers.
	polls []pollResult
}

type pollResult struct {
	at       time.Time
	job      string
	answered bool
}

// moment is when a request was sent or an answer arrived: the zero moment is never.
type moment struct {
	at       time.Time
	sequence int
}

func (m moment) isZero() bool { return m.sequence == 0 }

// after tells whether m came after another moment, which has been.
func (m moment) after(o moment) bool { return !o.isZero() && m.sequence > o.sequence }

// jobDescription is what a submission says of where its tasks may be.
type jobDescription struct {
	UID          string   `json:"uid"`
	Team         string   `json:"owner"`
	Shape        string   `json:"shape"`
	Tasks        int      `json:"pieces"`
	Cores        float64  `json:"cores"`
	Accels       float64  `json:"accelerators"`
	Types        []string `json:"builds"`
	Zone         string   `json:"yard"`
	Together     bool     `json:"together"`
	Spread       bool     `json:"spread"`
	Spot         bool     `json:"loaners"`
	Dependencies []string `json:"awaits"`
}

// observedJob is what is known of a job: the zero time is never.
type observedJob struct {
	jobDescription
	submitted       bool // some submission of it was sent that was not refused for good
	accepted        moment
	done            moment
	cancelled       moment
	cancelRequested moment // when its user first asked to cancel
	completed       map[int]bool
	unansweredSince time.Time // since when no poll for it succeeded
}

func newRules(settings *config.Settings, say func(rule, what string)) *rules {
	return &rules{report: say, settings: settings, jobs: map[string]*observedJob{}, running: map[string][]fake.Event{}, reported: map[string]bool{}, firstStarts: map[string]time.Time{}}
}

func (r *rules) violated(rule, job, format string, args ...any) {
	if k := rule + " " + job; !r.reported[k] {
		r.reported[k] = true
		r.report(rule, fmt.Sprintf(format, args...))
	}
}

func (r *rules) job(id string) *observedJob {
	j := r.jobs[id]
	if j == nil {
		j = &observedJob{completed: map[int]bool{}}
		r.jobs[id] = j
	}
	return j
}

// afterMoment tells whether t is after an answer came.
func afterMoment(t time.Time, m moment) bool { return !m.isZero() && t.After(m.at) }

func setOnce(m *moment, now moment) {
	if m.isZero() {
		*m = now
	}
}

func (r *rules) nextMoment() moment {
	r.sequence++
	return moment{time.Now(), r.sequence}
}

// FirstStart is when a task was first on a machine: zero if it never was.
func (r *rules) FirstStart(task string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstStarts[task]
}

func (r *rules) cancelLimit() time.Duration {
	return time.Duration(float64(r.settings.Params.Workers.CancelS) * float64(time.Second))
}

// TaskEvent takes what a worker did to a task.
func (r *rules) TaskEvent(e fake.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, n, _ := strings.Cut(e.Task, "/")
	num, _ := strconv.Atoi(n)
	j := r.job(id)
	if !e.Start {
		var left []fake.Event
		for _, s := range r.running[e.Task] {
			if s.Worker != e.Worker || s.Attempt != e.Attempt {
				left = append(left, s)
			}
		}
		r.running[e.Task] = left
		if e.Cause == "done" {
			j.completed[num] = true
		}
		if afterMoment(e.At, j.cancelled) && e.At.Sub(j.cancelled.at) > r.cancelLimit() && e.Cause != "busy" {
			r.violated("ran_cancelled", id, "%s was on %s until %v after its user was told", e.Task, e.Worker.Name, e.At.Sub(j.cancelled.at))
		}
		return
	}
	k := e.Worker
	for _, s := range r.running[e.Task] {
		r.violated("ran_twice", e.Task, "%s starts on %s (attempt %d) while it is on %s (attempt %d)", e.Task, k.Name, e.Attempt, s.Worker.Name, s.Attempt)
	}
	r.running[e.Task] = append(r.running[e.Task], e)
	if r.firstStarts[e.Task].IsZero() {
		r.firstStarts[e.Task] = e.At
	}
	if !j.submitted {
		r.violated("invented", id, "%s starts, but nobody submitted it", e.Task)
		return
	}
	if num >= j.Tasks {
		r.violated("invented", id, "%s starts; its job has %d tasks", e.Task, j.Tasks)
	}
	if afterMoment(e.SentAt, j.cancelled) {
		r.violated("ran_cancelled", id, "%s starts on %s by a command sent %v after its user was told", e.Task, k.Name, e.SentAt.Sub(j.cancelled.at))
	}
	if afterMoment(e.At, j.cancelled) && e.At.Sub(j.cancelled.at) > r.cancelLimit() {
		r.violated("ran_cancelled", id, "%s starts on %s %v after its user was told", e.Task, k.Name, e.At.Sub(j.cancelled.at))
	}
	for _, need := range j.Dependencies {
		if !r.job(need).isComplete() {
			r.violated("too_early", id, "%s starts on %s, but %s, which it awaits, is not done", e.Task, k.Name, need)
		}
	}
	r.checkQuota(j.Team)
	r.checkPlacement(j, e)
}

// isComplete tells whether all of a job's tasks have completed.
func (j *observedJob) isComplete() bool {
	if !j.submitted {
		return false
	}
	for n := range j.Tasks {
		if !j.completed[n] && !(j.Shape == "gang" && len(j.completed) > 0) {
			return false
		}
	}
	return true
}

// earliestInDependencies finds, among the jobs that one awaits, directly or not, the one of which f
// gives the earliest time; zero if there is none.
func (r *rules) earliestInDependencies(j *observedJob, f func(*observedJob) moment) (at time.Time) {
	for _, need := range j.Dependencies {
		n := r.job(need)
		for _, t := range []time.Time{f(n).at, r.earliestInDependencies(n, f)} {
			if !t.IsZero() && (at.IsZero() || t.Before(at)) {
				at = t
			}
		}
	}
	return at
}

func (r *rules) checkQuota(team string) {
	var cores, accels float64
	for _, starts := range r.running {
		for _, s := range starts {
			id, _, _ := strings.Cut(s.Task, "/")
			if o := r.jobs[id]; o.Team == team {
				cores += o.Cores
				accels += o.Accels
			}
		}
	}
	for _, t := range r.settings.Params.Teams {
		if t.Name == team && (t.CPUsMax > 0 && cores > t.CPUsMax || t.GPUsMax > 0 && accels > t.GPUsMax) {
			r.violated("quota", team, "team %s uses %v cores and %v accelerators", team, cores, accels)
		}
	}
}

func (r *rules) checkPlacement(j *observedJob, e fake.Event) {
	k, allowed := e.Worker, j.Types == nil
	for _, t := range j.Types {
		allowed = allowed || t == k.Type
	}
	if !allowed {
		r.violated("wrong_place", j.UID, "%s starts on type %s, its job allows %v", e.Task, k.Type, j.Types)
	}
	if j.Zone != "" && j.Zone != k.Zone {
		r.violated("wrong_place", j.UID, "%s starts in %s, its job allows %s", e.Task, k.Zone, j.Zone)
	}
	if k.Spot && !j.Spot {
		r.violated("wrong_place", j.UID, "%s starts on a spot machine", e.Task)
	}
	here := 0
	for n := range j.Tasks {
		for _, s := range r.running[fmt.Sprintf("%s/%d", j.UID, n)] {
			if s.Worker.Zone == k.Zone {
				here++
			} else if j.Together {
				r.violated("wrong_place", j.UID, "%s starts in %s while %s is in %s", e.Task, k.Zone, s.Task, s.Worker.Zone)
			}
		}
	}
	if j.Spread && here > (j.Tasks+1)/2 {
		r.violated("wrong_place", j.UID, "%s starts as number %d of %d in %s", e.Task, here, j.Tasks, k.Zone)
	}
}

// RequestSent takes a user's request on its way; it returns when that was.
func (r *rules) RequestSent(method, path string, body []byte) moment {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nextMoment()
	if path == "/v2/runs" {
		var w jobDescription
		if json.Unmarshal(body, &w) != nil || w.UID == "" {
			return now
		}
		if j := r.job(w.UID); !j.submitted {
			j.jobDescription, j.submitted = w, true
		}
		return now
	}
	id, what, _ := strings.Cut(strings.TrimPrefix(path, "/v2/runs/"), "/")
	if what == "cancel" && method == "POST" {
		setOnce(&r.job(id).cancelRequested, now)
	}
	return now
}

// ResponseReceived takes the answer to a request that was sent at a moment; 0 is none.
func (r *rules) ResponseReceived(sent moment, node, method, path string, body []byte, code int, out map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nextMoment()
	submission := path == "/v2/runs"
	id, what, _ := strings.Cut(strings.TrimPrefix(path, "/v2/runs/"), "/")
	if submission {
		var w jobDescription
		if json.Unmarshal(body, &w) != nil || w.UID == "" {
			if code == 200 || code == 201 {
				r.violated("invented", "", "%s accepts %s", node, body)
			}
			return
		}
		id = w.UID
	} else if what != "" && what != "cancel" {
		return
	}
	j := r.job(id)
	if method == "GET" {
		r.checkPolls(j, id, sent.at, now.at, code == 200 || code == 404)
	}
	status, _ := out["status"].(string)
	switch {
	case submission && (code == 400 || code == 422):
		if sent.after(j.accepted) {
			r.violated("forgotten", id, "%s answers %d to a repeat of an accepted %s", node, code, id)
		}
		if j.accepted.isZero() {
			j.submitted = false // it may come again, and be another one then
		}
		return
	case code == 404:
		if sent.after(j.accepted) {
			r.violated("forgotten", id, "%s answers 404 for an accepted %s", node, id)
		}
		return
	case code != 200 && code != 201:
		return
	}
	if !j.submitted {
		r.violated("invented", id, "%s answers %d %q for %s, which nobody submitted", node, code, status, id)
		return
	}
	if code == 201 && sent.after(j.accepted) {
		r.violated("went_back", id, "%s accepts a known %s once more", node, id)
	}
	if what == "cancel" && status != "cancelled" && status != "done" {
		r.violated("went_back", id, "%s answers a cancel of %s with %q", node, id, status)
	}
	switch status {
	case "done":
		for n := range j.Tasks {
			// Of a gang, all are done when one is; but all must have run for that.
			task := fmt.Sprintf("%s/%d", id, n)
			if !j.completed[n] && !(j.Shape == "gang" && len(j.completed) > 0 && !r.firstStarts[task].IsZero()) {
				r.violated("not_done", id, "%s calls %s done, but %s has not completed", node, id, task)
			}
		}
		if !j.cancelled.isZero() {
			r.violated("went_back", id, "%s calls %s done, which was called cancelled", node, id)
		}
	case "cancelled":
		if j.cancelRequested.isZero() && r.earliestInDependencies(j, func(n *observedJob) moment { return n.cancelRequested }).IsZero() {
			r.violated("went_back", id, "%s calls %s cancelled, which its user did not", node, id)
		}
		if !j.done.isZero() {
			r.violated("went_back", id, "%s calls %s cancelled, which was called done", node, id)
		}
	case "pending", "running":
		if sent.after(j.done) || sent.after(j.cancelled) {
			r.violated("went_back", id, "%s calls %s %s, whose end was told %v before it was asked", node, id, status, sent.at.Sub(maxTime(j.done.at, j.cancelled.at)))
		}
		if at := r.earliestInDependencies(j, func(n *observedJob) moment { return n.cancelled }); !at.IsZero() && now.at.Sub(at) > r.cancelLimit() {
			r.violated("orphaned", id, "%s calls %s %s %v after a job before it was told cancelled", node, id, status, now.at.Sub(at))
		}
	default:
		r.violated("went_back", id, "%s calls %s %q", node, id, status)
	}
	setOnce(&j.accepted, now)
	if status == "done" {
		setOnce(&j.done, now)
	}
	if status == "cancelled" {
		setOnce(&j.cancelled, now)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *rules) checkPolls(j *observedJob, id string, sent, now time.Time, good bool) {
	for len(r.polls) > 0 && now.Sub(r.polls[0].at) > 90*time.Second {
		r.polls = r.polls[1:]
	}
	r.polls = append(r.polls, pollResult{now, id, good})
	if good || j.accepted.isZero() {
		j.unansweredSince = time.Time{}
		return
	}
	if j.unansweredSince.IsZero() {
		j.unansweredSince = sent
	}
	if now.Sub(j.unansweredSince) < 90*time.Second {
		return
	}
	others, answered := 0, 0
	for _, p := range r.polls {
		if p.job != id {
			others++
			if p.answered {
				answered++
			}
		}
	}
	if 2*answered > others {
		r.violated("forgotten", id, "no poll for %s was answered for %v, most others were", id, now.Sub(j.unansweredSince))
	}
}

// CheckCancelled looks for cancelled tasks that are still on machines.
func (r *rules) CheckCancelled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for task, starts := range r.running {
		id, _, _ := strings.Cut(task, "/")
		if j := r.jobs[id]; len(starts) > 0 && !j.cancelled.isZero() && now.Sub(j.cancelled.at) > r.cancelLimit() {
			r.violated("ran_cancelled", id, "%s is still on %s %v after its user was told", task, starts[0].Worker.Name, now.Sub(j.cancelled.at))
		}
	}
}

// observation is one thing that the checker sees: an answer or an event.
type observation struct {
	wait time.Duration
	// An answer: method, path, body, and what came. With early, the request is
	// sent before the last one was answered.
	method, path           string
	body                   map[string]any
	code                   int
	status                 string
	sentBeforeLastResponse bool
	sameInstant            bool // sent at the very instant of the last answer
	// Or an event.
	worker         *fake.Worker
	task           string
	attempt        uint64
	start          bool
	cause          string
	commandAge     time.Duration
	checkCancelled bool
}

func TestCheckerDetectsEachViolation(t *testing.T) {
	t.Parallel()
	// Guards against a checker that sees nothing: every rule is broken once, by as
	// little as it takes, and the same without that is clean.
	small := &fake.Worker{Name: "m1", Type: "small", Zone: "north"}
	south := &fake.Worker{Name: "m2", Type: "small", Zone: "south"}
	spot := &fake.Worker{Name: "m3", Type: "small", Zone: "north", Spot: true}
	large := &fake.Worker{Name: "m4", Type: "large", Zone: "north"}
	with := func(s map[string]any, more ...any) map[string]any {
		for i := 0; i < len(more); i += 2 {
			s[more[i].(string)] = more[i+1]
		}
		return s
	}
	submit := func(s map[string]any, code int, status string) observation {
		return observation{method: "POST", path: "/v2/runs", body: s, code: code, status: status}
	}
	get := func(id string, code int, status string) observation {
		return observation{method: "GET", path: "/v2/runs/" + id, code: code, status: status}
	}
	cancel := func(id string, status string) observation {
		return observation{method: "POST", path: "/v2/runs/" + id + "/cancel", code: 200, status: status}
	}
	start := func(k *fake.Worker, task string, attempt uint64) observation {
		return observation{worker: k, task: task, attempt: attempt, start: true}
	}
	end := func(k *fake.Worker, task string, attempt uint64, cause string) observation {
		return observation{worker: k, task: task, attempt: attempt, cause: cause}
	}
	atOnce := func(s observation) observation { s.sameInstant = true; return s }
	later := func(d time.Duration, s observation) observation { s.wait = d; return s }
	one := func() map[string]any { return newJob("job-1", "array", 1) }
	two := func() map[string]any { return newJob("job-1", "array", 2) }
	after1 := func() map[string]any { return with(newJob("job-2", "array", 1), "awaits", []string{"job-1"}) }
	var starving []observation
	for range 20 {
		starving = append(starving, later(5*time.Second, get("job-1", 503, "")), get("job-2", 200, "pending"), get("job-3", 200, "pending"))
	}
	for _, c := range []struct {
		name, rule string
		steps      []observation
	}{
		{"a whole life", "", []observation{submit(two(), 201, "pending"), start(small, "job-1/0", 1), start(south, "job-1/1", 1), get("job-1", 200, "running"),
			end(small, "job-1/0", 1, "killed"), start(south, "job-1/0", 2), end(south, "job-1/0", 2, "done"), end(south, "job-1/1", 1, "done"),
			get("job-1", 200, "running"), get("job-1", 200, "done"), submit(two(), 200, "done"), cancel("job-1", "done"), get("job-9", 404, "")}},
		{"a cancel", "", []observation{submit(one(), 201, "pending"), start(small, "job-1/0", 1), cancel("job-1", "cancelled"),
			{wait: time.Second, worker: south, task: "job-1/0", attempt: 1, cause: "x"}, {worker: small, task: "job-1/0", attempt: 1, cause: "stopped", checkCancelled: true},
			later(time.Minute, get("job-1", 200, "cancelled"))}},
		{"elsewhere", "ran_twice", []observation{submit(one(), 201, "pending"), start(small, "job-1/0", 1), start(south, "job-1/0", 2)}},
		{"limit", "quota", []observation{submit(with(two(), "cores", 5), 201, "pending"), start(small, "job-1/0", 1), start(small, "job-1/1", 1)}},
		{"type", "wrong_place", []observation{submit(with(one(), "builds", []string{"small"}), 201, "pending"), start(large, "job-1/0", 1)}},
		{"zone", "wrong_place", []observation{submit(with(one(), "yard", "north"), 201, "pending"), start(south, "job-1/0", 1)}},
		{"spot", "wrong_place", []observation{submit(one(), 201, "pending"), start(spot, "job-1/0", 1)}},
		{"together", "wrong_place", []observation{submit(with(two(), "together", true), 201, "pending"), start(small, "job-1/0", 1), start(south, "job-1/1", 1)}},
		{"spread", "wrong_place", []observation{submit(with(two(), "spread", true), 201, "pending"), start(small, "job-1/0", 1), start(large, "job-1/1", 1)}},
		{"still there", "ran_cancelled", []observation{submit(one(), 201, "pending"), start(small, "job-1/0", 1), cancel("job-1", "cancelled"), {wait: 41 * time.Second, checkCancelled: true}}},
		{"ends late", "ran_cancelled", []observation{submit(one(), 201, "pending"), start(small, "job-1/0", 1), cancel("job-1", "cancelled"), later(41*time.Second, end(small, "job-1/0", 1, "stopped"))}},
		{"starts late", "ran_cancelled", []observation{submit(one(), 201, "pending"), cancel("job-1", "cancelled"),
			{wait: 41 * time.Second, worker: small, task: "job-1/0", attempt: 1, start: true, commandAge: 50 * time.Second}}},
		{"told to start afterwards", "ran_cancelled", []observation{submit(one(), 201, "pending"), cancel("job-1", "cancelled"), later(time.Second, start(small, "job-1/0", 1))}},
		{"gone", "forgotten", []observation{submit(one(), 201, "pending"), get("job-1", 404, "")}},
		{"a cancel finds nothing", "forgotten", []observation{submit(one(), 201, "pending"), {method: "POST", path: "/v2/runs/job-1/cancel", code: 404}}},
		{"repeat 400", "forgotten", []observation{submit(one(), 201, "pending"), submit(one(), 400, "")}},
		{"repeat 422", "forgotten", []observation{submit(one(), 201, "pending"), submit(one(), 422, "")}},
		{"unanswered", "forgotten", append([]observation{submit(one(), 201, "pending"), submit(newJob("job-2", "array", 1), 201, "pending"), submit(newJob("job-3", "array", 1), 201, "pending")}, starving...)},
		{"a poll", "invented", []observation{get("job-1", 200, "pending")}},
		{"a cancelled nothing", "invented", []observation{cancel("job-1", "cancelled")}},
		{"a start", "invented", []observation{start(small, "job-1/0", 1)}},
		{"a task too many", "invented", []observation{submit(one(), 201, "pending"), start(small, "job-1/1", 1)}},
		{"half done", "not_done", []observation{submit(two(), 201, "pending"), start(small, "job-1/0", 1), end(small, "job-1/0", 1, "done"), get("job-1", 200, "done")}},
		{"stopped is not done", "not_done", []observation{submit(one(), 201, "pending"), start(small, "job-1/0", 1), end(small, "job-1/0", 1, "stopped"), get("job-1", 200, "done")}},
		{"done, then running", "went_back", []observation{submit(one(), 201, "pending"), start(small, "job-1/0", 1), end(small, "job-1/0", 1, "done"), get("job-1", 200, "done"), get("job-1", 200, "running")}},
		{"done, then running at the same instant", "went_back", []observation{submit(one(), 201, "pending"), start(small, "job-1/0", 1), end(small, "job-1/0", 1, "done"), get("job-1", 200, "done"), atOnce(get("job-1", 200, "running"))}},
		{"cancelled, then pending at the same instant", "went_back", []observation{submit(one(), 201, "pending"), cancel("job-1", "cancelled"), atOnce(get("job-1", 200, "pending"))}},
		{"accepted twice at the same instant", "went_back", []observation{submit(one(), 201, "pending"), atOnce(submit(one(), 201, "pending"))}},
		{"gone at the same instant", "forgotten", []observation{submit(one(), 201, "pending"), atOnce(get("job-1", 404, ""))}},
		{"a gang of which one never ran", "not_done", []observation{submit(newJob("job-1", "gang", 2), 201, "pending"), start(small, "job-1/0", 1), end(small, "job-1/0", 1, "done"), get("job-1", 200, "done")}},
		{"a gang is done when one of it is", "", []observation{submit(newJob("job-1", "gang", 2), 201, "pending"), start(small, "job-1/0", 1), start(south, "job-1/1", 1), end(small, "job-1/0", 1, "done"), get("job-1", 200, "done")}},
		{"cancelled, then pending", "went_back", []observation{submit(one(), 201, "pending"), cancel("job-1", "cancelled"), submit(one(), 200, "pending")}},
		{"cancelled, then done", "went_back", []observation{submit(one(), 201, "pending"), start(small, "job-1/0", 1), cancel("job-1", "cancelled"), end(small, "job-1/0", 1, "done"), get("job-1", 200, "done")}},
		{"done, then cancelled", "went_back", []observation{submit(one(), 201, "pending"), start(small, "job-1/0", 1), end(small, "job-1/0", 1, "done"), get("job-1", 200, "done"), cancel("job-1", "cancelled")}},
		{"cancelled by nobody", "went_back", []observation{submit(one(), 201, "pending"), get("job-1", 200, "cancelled")}},
		{"a pipeline", "", []observation{submit(one(), 201, "pending"), submit(after1(), 201, "pending"), start(small, "job-1/0", 1), end(small, "job-1/0", 1, "done"),
			start(small, "job-2/0", 1), end(small, "job-2/0", 1, "done"), get("job-2", 200, "done")}},
		{"a cancelled pipeline", "", []observation{submit(one(), 201, "pending"), submit(after1(), 201, "pending"), cancel("job-1", "cancelled"), get("job-2", 200, "pending"),
			later(39*time.Second, get("job-2", 200, "cancelled"))}},
		{"before its need is done", "too_early", []observation{submit(one(), 201, "pending"), submit(after1(), 201, "pending"), start(small, "job-1/0", 1), start(south, "job-2/0", 1)}},
		{"still waits", "orphaned", []observation{submit(one(), 201, "pending"), submit(after1(), 201, "pending"), cancel("job-1", "cancelled"), later(41*time.Second, get("job-2", 200, "pending"))}},
		{"accepted twice", "went_back", []observation{submit(one(), 201, "pending"), submit(one(), 201, "pending")}},
		{"a cancel that is none", "went_back", []observation{submit(one(), 201, "pending"), cancel("job-1", "running")}},
		{"asked before", "", []observation{submit(one(), 201, "pending"), cancel("job-1", "cancelled"),
			{method: "GET", path: "/v2/runs/job-1", code: 200, status: "running", sentBeforeLastResponse: true}}},
	} {
		scenario(t, func(t *testing.T, w *testCluster) {
			got := map[string]bool{}
			r := newRules(w.nodeSettings("a"), func(rule, what string) { got[rule] = true })
			last := moment{}
			for _, s := range c.steps {
				if !s.sameInstant {
					time.Sleep(s.wait + time.Millisecond)
				}
				switch {
				case s.worker != nil:
					r.TaskEvent(fake.Event{At: time.Now(), SentAt: time.Now().Add(-s.commandAge), Worker: s.worker, Incarnation: 1, Task: s.task, Attempt: s.attempt, Start: s.start, Cause: s.cause})
				case s.path != "":
					raw, _ := json.Marshal(s.body)
					sent := r.RequestSent(s.method, s.path, raw)
					if s.sentBeforeLastResponse {
						sent = last // with the one before, so before its answer
					}
					last = sent
					out := map[string]any{}
					if s.status != "" {
						out["status"] = s.status
					}
					r.ResponseReceived(sent, "a", s.method, s.path, raw, s.code, out)
				}
				if s.checkCancelled {
					r.CheckCancelled()
				}
			}
			if c.rule == "" && len(got) > 0 || c.rule != "" && (len(got) != 1 || !got[c.rule]) {
				t.Errorf("%s: broken are %v, not %q", c.name, got, c.rule)
			}
		})
	}
}

// observeCall has the rules watch a user's call.
func (w *testCluster) observeCall(node, method, path string, body []byte, call func() (int, map[string]any)) (int, map[string]any) {
	sent := w.rules.RequestSent(method, path, body)
	code, out := call()
	w.rules.ResponseReceived(sent, node, method, path, body, code, out)
	return code, out
}
