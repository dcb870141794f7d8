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

func newRules(settings *config.Settings, report func(rule, what string)) *rules {
	return &rules{report: report, settings: settings, jobs: map[string]*observedJob{}, running: map[string][]fake.Event{}, reported: map[string]bool{}, firstStarts: map[string]time.Time{}}
}

func (r *rules) violated(rule, job, format string, args ...any) {
	if key := rule + " " + job; !r.reported[key] {
		r.reported[key] = true
		r.report(rule, fmt.Sprintf(format, args...))
	}
}

func (r *rules) job(id string) *observedJob {
	job := r.jobs[id]
	if job == nil {
		job = &observedJob{completed: map[int]bool{}}
		r.jobs[id] = job
	}
	return job
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
func (r *rules) TaskEvent(event fake.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobID, number, _ := strings.Cut(event.Task, "/")
	index, _ := strconv.Atoi(number)
	job := r.job(jobID)
	if !event.Start {
		var remaining []fake.Event
		for _, start := range r.running[event.Task] {
			if start.Worker != event.Worker || start.Attempt != event.Attempt {
				remaining = append(remaining, start)
			}
		}
		r.running[event.Task] = remaining
		if event.Cause == "done" {
			job.completed[index] = true
		}
		if afterMoment(event.At, job.cancelled) && event.At.Sub(job.cancelled.at) > r.cancelLimit() && event.Cause != "busy" {
			r.violated("ran_cancelled", jobID, "%s was on %s until %v after its user was told", event.Task, event.Worker.Name, event.At.Sub(job.cancelled.at))
		}
		return
	}
	machine := event.Worker
	for _, start := range r.running[event.Task] {
		r.violated("ran_twice", event.Task, "%s starts on %s (attempt %d) while it is on %s (attempt %d)", event.Task, machine.Name, event.Attempt, start.Worker.Name, start.Attempt)
	}
	r.running[event.Task] = append(r.running[event.Task], event)
	if r.firstStarts[event.Task].IsZero() {
		r.firstStarts[event.Task] = event.At
	}
	if !job.submitted {
		r.violated("invented", jobID, "%s starts, but nobody submitted it", event.Task)
		return
	}
	if index >= job.Tasks {
		r.violated("invented", jobID, "%s starts; its job has %d tasks", event.Task, job.Tasks)
	}
	if afterMoment(event.SentAt, job.cancelled) {
		r.violated("ran_cancelled", jobID, "%s starts on %s by a command sent %v after its user was told", event.Task, machine.Name, event.SentAt.Sub(job.cancelled.at))
	}
	if afterMoment(event.At, job.cancelled) && event.At.Sub(job.cancelled.at) > r.cancelLimit() {
		r.violated("ran_cancelled", jobID, "%s starts on %s %v after its user was told", event.Task, machine.Name, event.At.Sub(job.cancelled.at))
	}
	for _, need := range job.Dependencies {
		if !r.job(need).isComplete() {
			r.violated("too_early", jobID, "%s starts on %s, but %s, which it awaits, is not done", event.Task, machine.Name, need)
		}
	}
	r.checkQuota(job.Team)
	r.checkPlacement(job, event)
}

// isComplete tells whether all of a job's tasks have completed.
func (job *observedJob) isComplete() bool {
	if !job.submitted {
		return false
	}
	for index := range job.Tasks {
		if !job.completed[index] && !(job.Shape == "gang" && len(job.completed) > 0) {
			return false
		}
	}
	return true
}

// earliestInDependencies finds, among the jobs that one awaits, directly or not, the one of which f
// gives the earliest time; zero if there is none.
func (r *rules) earliestInDependencies(job *observedJob, momentOf func(*observedJob) moment) (earliest time.Time) {
	for _, id := range job.Dependencies {
		dependency := r.job(id)
		for _, candidate := range []time.Time{momentOf(dependency).at, r.earliestInDependencies(dependency, momentOf)} {
			if !candidate.IsZero() && (earliest.IsZero() || candidate.Before(earliest)) {
				earliest = candidate
			}
		}
	}
	return earliest
}

func (r *rules) checkQuota(team string) {
	var cores, accelerators float64
	for _, starts := range r.running {
		for _, start := range starts {
			jobID, _, _ := strings.Cut(start.Task, "/")
			if job := r.jobs[jobID]; job.Team == team {
				cores += job.Cores
				accelerators += job.Accels
			}
		}
	}
	for _, t := range r.settings.Params.Teams {
		if t.Name == team && (t.CPUsMax > 0 && cores > t.CPUsMax || t.GPUsMax > 0 && accelerators > t.GPUsMax) {
			r.violated("quota", team, "team %s uses %v cores and %v accelerators", team, cores, accelerators)
		}
	}
}

func (r *rules) checkPlacement(job *observedJob, event fake.Event) {
	machine, allowed := event.Worker, job.Types == nil
	for _, machineType := range job.Types {
		allowed = allowed || machineType == machine.Type
	}
	if !allowed {
		r.violated("wrong_place", job.UID, "%s starts on type %s, its job allows %v", event.Task, machine.Type, job.Types)
	}
	if job.Zone != "" && job.Zone != machine.Zone {
		r.violated("wrong_place", job.UID, "%s starts in %s, its job allows %s", event.Task, machine.Zone, job.Zone)
	}
	if machine.Spot && !job.Spot {
		r.violated("wrong_place", job.UID, "%s starts on a spot machine", event.Task)
	}
	inZone := 0
	for n := range job.Tasks {
		for _, start := range r.running[fmt.Sprintf("%s/%d", job.UID, n)] {
			if start.Worker.Zone == machine.Zone {
				inZone++
			} else if job.Together {
				r.violated("wrong_place", job.UID, "%s starts in %s while %s is in %s", event.Task, machine.Zone, start.Task, start.Worker.Zone)
			}
		}
	}
	if job.Spread && inZone > (job.Tasks+1)/2 {
		r.violated("wrong_place", job.UID, "%s starts as number %d of %d in %s", event.Task, inZone, job.Tasks, machine.Zone)
	}
}

// RequestSent takes a user's request on its way; it returns when that was.
func (r *rules) RequestSent(method, path string, body []byte) moment {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nextMoment()
	if path == "/v2/runs" {
		var description jobDescription
		if json.Unmarshal(body, &description) != nil || description.UID == "" {
			return now
		}
		if job := r.job(description.UID); !job.submitted {
			job.jobDescription, job.submitted = description, true
		}
		return now
	}
	jobID, action, _ := strings.Cut(strings.TrimPrefix(path, "/v2/runs/"), "/")
	if action == "cancel" && method == "POST" {
		setOnce(&r.job(jobID).cancelRequested, now)
	}
	return now
}

// ResponseReceived takes the answer to a request that was sent at a moment; 0 is none.
func (r *rules) ResponseReceived(sent moment, node, method, path string, body []byte, code int, response map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nextMoment()
	submission := path == "/v2/runs"
	jobID, action, _ := strings.Cut(strings.TrimPrefix(path, "/v2/runs/"), "/")
	if submission {
		var description jobDescription
		if json.Unmarshal(body, &description) != nil || description.UID == "" {
			if code == 200 || code == 201 {
				r.violated("invented", "", "%s accepts %s", node, body)
			}
			return
		}
		jobID = description.UID
	} else if action != "" && action != "cancel" {
		return
	}
	job := r.job(jobID)
	if method == "GET" {
		r.checkPolls(job, jobID, sent.at, now.at, code == 200 || code == 404)
	}
	status, _ := response["status"].(string)
	switch {
	case submission && (code == 400 || code == 422):
		if sent.after(job.accepted) {
			r.violated("forgotten", jobID, "%s answers %d to a repeat of an accepted %s", node, code, jobID)
		}
		if job.accepted.isZero() {
			job.submitted = false // it may come again, and be another one then
		}
		return
	case code == 404:
		if sent.after(job.accepted) {
			r.violated("forgotten", jobID, "%s answers 404 for an accepted %s", node, jobID)
		}
		return
	case code != 200 && code != 201:
		return
	}
	if !job.submitted {
		r.violated("invented", jobID, "%s answers %d %q for %s, which nobody submitted", node, code, status, jobID)
		return
	}
	if code == 201 && sent.after(job.accepted) {
		r.violated("went_back", jobID, "%s accepts a known %s once more", node, jobID)
	}
	if action == "cancel" && status != "cancelled" && status != "done" {
		r.violated("went_back", jobID, "%s answers a cancel of %s with %q", node, jobID, status)
	}
	switch status {
	case "done":
		for index := range job.Tasks {
			// Of a gang, all are done when one is; but all must have run for that.
			task := fmt.Sprintf("%s/%d", jobID, index)
			if !job.completed[index] && !(job.Shape == "gang" && len(job.completed) > 0 && !r.firstStarts[task].IsZero()) {
				r.violated("not_done", jobID, "%s calls %s done, but %s has not completed", node, jobID, task)
			}
		}
		if !job.cancelled.isZero() {
			r.violated("went_back", jobID, "%s calls %s done, which was called cancelled", node, jobID)
		}
	case "cancelled":
		if job.cancelRequested.isZero() && r.earliestInDependencies(job, func(index *observedJob) moment { return index.cancelRequested }).IsZero() {
			r.violated("went_back", jobID, "%s calls %s cancelled, which its user did not", node, jobID)
		}
		if !job.done.isZero() {
			r.violated("went_back", jobID, "%s calls %s cancelled, which was called done", node, jobID)
		}
	case "pending", "running":
		if sent.after(job.done) || sent.after(job.cancelled) {
			r.violated("went_back", jobID, "%s calls %s %s, whose end was told %v before it was asked", node, jobID, status, sent.at.Sub(maxTime(job.done.at, job.cancelled.at)))
		}
		if at := r.earliestInDependencies(job, func(index *observedJob) moment { return index.cancelled }); !at.IsZero() && now.at.Sub(at) > r.cancelLimit() {
			r.violated("orphaned", jobID, "%s calls %s %s %v after a job before it was told cancelled", node, jobID, status, now.at.Sub(at))
		}
	default:
		r.violated("went_back", jobID, "%s calls %s %q", node, jobID, status)
	}
	setOnce(&job.accepted, now)
	if status == "done" {
		setOnce(&job.done, now)
	}
	if status == "cancelled" {
		setOnce(&job.cancelled, now)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *rules) checkPolls(job *observedJob, id string, sent, now time.Time, answered bool) {
	for len(r.polls) > 0 && now.Sub(r.polls[0].at) > 90*time.Second {
		r.polls = r.polls[1:]
	}
	r.polls = append(r.polls, pollResult{now, id, answered})
	if answered || job.accepted.isZero() {
		job.unansweredSince = time.Time{}
		return
	}
	if job.unansweredSince.IsZero() {
		job.unansweredSince = sent
	}
	if now.Sub(job.unansweredSince) < 90*time.Second {
		return
	}
	others, othersAnswered := 0, 0
	for _, poll := range r.polls {
		if poll.job != id {
			others++
			if poll.answered {
				othersAnswered++
			}
		}
	}
	if 2*othersAnswered > others {
		r.violated("forgotten", id, "no poll for %s was answered for %v, most others were", id, now.Sub(job.unansweredSince))
	}
}

// CheckCancelled looks for cancelled tasks that are still on machines.
func (r *rules) CheckCancelled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for task, starts := range r.running {
		jobID, _, _ := strings.Cut(task, "/")
		if job := r.jobs[jobID]; len(starts) > 0 && !job.cancelled.isZero() && now.Sub(job.cancelled.at) > r.cancelLimit() {
			r.violated("ran_cancelled", jobID, "%s is still on %s %v after its user was told", task, starts[0].Worker.Name, now.Sub(job.cancelled.at))
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
	with := func(job map[string]any, more ...any) map[string]any {
		for i := 0; i < len(more); i += 2 {
			job[more[i].(string)] = more[i+1]
		}
		return job
	}
	submit := func(job map[string]any, code int, status string) observation {
		return observation{method: "POST", path: "/v2/runs", body: job, code: code, status: status}
	}
	get := func(id string, code int, status string) observation {
		return observation{method: "GET", path: "/v2/runs/" + id, code: code, status: status}
	}
	cancel := func(id string, status string) observation {
		return observation{method: "POST", path: "/v2/runs/" + id + "/cancel", code: 200, status: status}
	}
	start := func(worker *fake.Worker, task string, attempt uint64) observation {
		return observation{worker: worker, task: task, attempt: attempt, start: true}
	}
	end := func(worker *fake.Worker, task string, attempt uint64, cause string) observation {
		return observation{worker: worker, task: task, attempt: attempt, cause: cause}
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
	for _, test := range []struct {
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
		scenario(t, func(t *testing.T, c *testCluster) {
			got := map[string]bool{}
			r := newRules(c.nodeSettings("a"), func(rule, what string) { got[rule] = true })
			last := moment{}
			for _, s := range test.steps {
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
			if test.rule == "" && len(got) > 0 || test.rule != "" && (len(got) != 1 || !got[test.rule]) {
				t.Errorf("%s: broken are %v, not %q", test.name, got, test.rule)
			}
		})
	}
}

// observeCall has the rules watch a user's call.
func (c *testCluster) observeCall(node, method, path string, body []byte, call func() (int, map[string]any)) (int, map[string]any) {
	sent := c.rules.RequestSent(method, path, body)
	code, out := call()
	c.rules.ResponseReceived(sent, node, method, path, body, code, out)
	return code, out
}
