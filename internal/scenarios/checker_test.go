package scenarios

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// observation is one input of the checker: a request with its response, or a task event.
type observation struct {
	wait time.Duration
	// A request with its response.
	method, path           string
	body                   jobSpec
	code                   int
	status                 string
	sentBeforeLastResponse bool
	sameInstant            bool // the fake clock does not advance between the last response and this request
	// A task event on a worker.
	worker         *fake.Worker
	task           string
	attempt        uint64
	start          bool
	cause          string
	commandAge     time.Duration // from the sending of the command to the event
	checkCancelled bool          // whether the checker looks for overdue cancelled tasks afterwards
}

// TestCheckerDetectsEachViolation guards against a checker that misses violations or reports false
// ones. Each rule is broken by the smallest possible step, and the checker must report that rule
// alone. Cases without a rule are correct sequences, for which it must report nothing.
func TestCheckerDetectsEachViolation(t *testing.T) {
	t.Parallel()
	small := &fake.Worker{Name: "m1", Type: "small", Zone: "north"}
	south := &fake.Worker{Name: "m2", Type: "small", Zone: "south"}
	spot := &fake.Worker{Name: "m3", Type: "small", Zone: "north", Spot: true}
	large := &fake.Worker{Name: "m4", Type: "large", Zone: "north"}
	submit := func(job jobSpec, code int, status string) observation {
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
	one := func() jobSpec { return newJob("job-1", "array", 1) }
	two := func() jobSpec { return newJob("job-1", "array", 2) }
	dependent := func() jobSpec { return newJob("job-2", "array", 1).dependingOn("job-1") }
	var starving []observation
	for range 20 {
		starving = append(starving, later(5*time.Second, get("job-1", 503, "")), get("job-2", 200, "pending"), get("job-3", 200, "pending"))
	}
	for _, test := range []struct {
		name, rule string
		steps      []observation
	}{
		{name: "a job from submission to completion", steps: []observation{
			submit(two(), 201, "pending"),
			start(small, "job-1/0", 1),
			start(south, "job-1/1", 1),
			get("job-1", 200, "running"),
			end(small, "job-1/0", 1, "killed"),
			start(south, "job-1/0", 2),
			end(south, "job-1/0", 2, "done"),
			end(south, "job-1/1", 1, "done"),
			get("job-1", 200, "running"),
			get("job-1", 200, "done"),
			submit(two(), 200, "done"),
			cancel("job-1", "done"),
			get("job-9", 404, ""),
		}},
		{name: "a cancelled job", steps: []observation{
			submit(one(), 201, "pending"),
			start(small, "job-1/0", 1),
			cancel("job-1", "cancelled"),
			{wait: time.Second, worker: south, task: "job-1/0", attempt: 1, cause: "x"},
			{worker: small, task: "job-1/0", attempt: 1, cause: "stopped", checkCancelled: true},
			later(time.Minute, get("job-1", 200, "cancelled")),
		}},
		{name: "started while it runs on another machine", rule: ruleRanTwice, steps: []observation{
			submit(one(), 201, "pending"),
			start(small, "job-1/0", 1),
			start(south, "job-1/0", 2),
		}},
		{name: "team over its quota", rule: ruleQuota, steps: []observation{
			submit(two().with("cores", 5), 201, "pending"),
			start(small, "job-1/0", 1),
			start(small, "job-1/1", 1),
		}},
		{name: "machine type not allowed", rule: ruleWrongPlace, steps: []observation{
			submit(one().with("builds", []string{"small"}), 201, "pending"),
			start(large, "job-1/0", 1),
		}},
		{name: "zone not allowed", rule: ruleWrongPlace, steps: []observation{
			submit(one().with("yard", "north"), 201, "pending"),
			start(south, "job-1/0", 1),
		}},
		{name: "spot machine not allowed", rule: ruleWrongPlace, steps: []observation{
			submit(one(), 201, "pending"),
			start(spot, "job-1/0", 1),
		}},
		{name: "tasks to run together in two zones", rule: ruleWrongPlace, steps: []observation{
			submit(two().with("together", true), 201, "pending"),
			start(small, "job-1/0", 1),
			start(south, "job-1/1", 1),
		}},
		{name: "spread tasks in a single zone", rule: ruleWrongPlace, steps: []observation{
			submit(two().with("spread", true), 201, "pending"),
			start(small, "job-1/0", 1),
			start(large, "job-1/1", 1),
		}},
		{name: "task still running after the cancellation limit", rule: ruleRanCancelled, steps: []observation{
			submit(one(), 201, "pending"),
			start(small, "job-1/0", 1),
			cancel("job-1", "cancelled"),
			{wait: 41 * time.Second, checkCancelled: true},
		}},
		{name: "task stops after the cancellation limit", rule: ruleRanCancelled, steps: []observation{
			submit(one(), 201, "pending"),
			start(small, "job-1/0", 1),
			cancel("job-1", "cancelled"),
			later(41*time.Second, end(small, "job-1/0", 1, "stopped")),
		}},
		{name: "task starts after the cancellation limit", rule: ruleRanCancelled, steps: []observation{
			submit(one(), 201, "pending"),
			cancel("job-1", "cancelled"),
			{wait: 41 * time.Second, worker: small, task: "job-1/0", attempt: 1, start: true, commandAge: 50 * time.Second},
		}},
		{name: "task started by a command sent after the cancellation", rule: ruleRanCancelled, steps: []observation{
			submit(one(), 201, "pending"),
			cancel("job-1", "cancelled"),
			later(time.Second, start(small, "job-1/0", 1)),
		}},
		{name: "accepted job unknown to a status request", rule: ruleForgotten, steps: []observation{
			submit(one(), 201, "pending"),
			get("job-1", 404, ""),
		}},
		{name: "accepted job unknown to a cancellation", rule: ruleForgotten, steps: []observation{
			submit(one(), 201, "pending"),
			{method: "POST", path: "/v2/runs/job-1/cancel", code: 404},
		}},
		{name: "repeated submission gets 400", rule: ruleForgotten, steps: []observation{
			submit(one(), 201, "pending"),
			submit(one(), 400, ""),
		}},
		{name: "repeated submission gets 422", rule: ruleForgotten, steps: []observation{
			submit(one(), 201, "pending"),
			submit(one(), 422, ""),
		}},
		{name: "polls for one job unanswered while others are answered", rule: ruleForgotten, steps: append([]observation{
			submit(one(), 201, "pending"),
			submit(newJob("job-2", "array", 1), 201, "pending"),
			submit(newJob("job-3", "array", 1), 201, "pending"),
		}, starving...)},
		{name: "status of a job never submitted", rule: ruleInvented, steps: []observation{
			get("job-1", 200, "pending"),
		}},
		{name: "cancellation of a job never submitted", rule: ruleInvented, steps: []observation{
			cancel("job-1", "cancelled"),
		}},
		{name: "start of a job never submitted", rule: ruleInvented, steps: []observation{
			start(small, "job-1/0", 1),
		}},
		{name: "start of a task beyond the job's number of tasks", rule: ruleInvented, steps: []observation{
			submit(one(), 201, "pending"),
			start(small, "job-1/1", 1),
		}},
		{name: "job done after half of its tasks", rule: ruleNotDone, steps: []observation{
			submit(two(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
		}},
		{name: "job done after its task was stopped", rule: ruleNotDone, steps: []observation{
			submit(one(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "stopped"),
			get("job-1", 200, "done"),
		}},
		{name: "done, then running", rule: ruleWentBack, steps: []observation{
			submit(one(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
			get("job-1", 200, "running"),
		}},
		{name: "done, then running at the same instant", rule: ruleWentBack, steps: []observation{
			submit(one(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
			atOnce(get("job-1", 200, "running")),
		}},
		{name: "cancelled, then pending at the same instant", rule: ruleWentBack, steps: []observation{
			submit(one(), 201, "pending"),
			cancel("job-1", "cancelled"),
			atOnce(get("job-1", 200, "pending")),
		}},
		{name: "accepted twice at the same instant", rule: ruleWentBack, steps: []observation{
			submit(one(), 201, "pending"),
			atOnce(submit(one(), 201, "pending")),
		}},
		{name: "accepted job unknown at the same instant", rule: ruleForgotten, steps: []observation{
			submit(one(), 201, "pending"),
			atOnce(get("job-1", 404, "")),
		}},
		{name: "gang done although one of its tasks never ran", rule: ruleNotDone, steps: []observation{
			submit(newJob("job-1", "gang", 2), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
		}},
		{name: "gang done after one of its tasks completed", steps: []observation{
			submit(newJob("job-1", "gang", 2), 201, "pending"),
			start(small, "job-1/0", 1),
			start(south, "job-1/1", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
		}},
		{name: "cancelled, then pending", rule: ruleWentBack, steps: []observation{
			submit(one(), 201, "pending"),
			cancel("job-1", "cancelled"),
			submit(one(), 200, "pending"),
		}},
		{name: "cancelled, then done", rule: ruleWentBack, steps: []observation{
			submit(one(), 201, "pending"),
			start(small, "job-1/0", 1),
			cancel("job-1", "cancelled"),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
		}},
		{name: "done, then cancelled", rule: ruleWentBack, steps: []observation{
			submit(one(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
			cancel("job-1", "cancelled"),
		}},
		{name: "cancelled without a user's request", rule: ruleWentBack, steps: []observation{
			submit(one(), 201, "pending"),
			get("job-1", 200, "cancelled"),
		}},
		{name: "dependent after its dependency", steps: []observation{
			submit(one(), 201, "pending"),
			submit(dependent(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			start(small, "job-2/0", 1),
			end(small, "job-2/0", 1, "done"),
			get("job-2", 200, "done"),
		}},
		{name: "dependent of a cancelled job", steps: []observation{
			submit(one(), 201, "pending"),
			submit(dependent(), 201, "pending"),
			cancel("job-1", "cancelled"),
			get("job-2", 200, "pending"),
			later(39*time.Second, get("job-2", 200, "cancelled")),
		}},
		{name: "dependent starts before its dependency is done", rule: ruleTooEarly, steps: []observation{
			submit(one(), 201, "pending"),
			submit(dependent(), 201, "pending"),
			start(small, "job-1/0", 1),
			start(south, "job-2/0", 1),
		}},
		{name: "dependent still pending after the limit", rule: ruleOrphaned, steps: []observation{
			submit(one(), 201, "pending"),
			submit(dependent(), 201, "pending"),
			cancel("job-1", "cancelled"),
			later(41*time.Second, get("job-2", 200, "pending")),
		}},
		{name: "accepted twice", rule: ruleWentBack, steps: []observation{
			submit(one(), 201, "pending"),
			submit(one(), 201, "pending"),
		}},
		{name: "cancellation answered as running", rule: ruleWentBack, steps: []observation{
			submit(one(), 201, "pending"),
			cancel("job-1", "running"),
		}},
		{name: "request sent before the cancellation was confirmed", steps: []observation{
			submit(one(), 201, "pending"),
			cancel("job-1", "cancelled"),
			{method: "GET", path: "/v2/runs/job-1", code: 200, status: "running", sentBeforeLastResponse: true},
		}},
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
					r.TaskEvent(fake.Event{At: time.Now(), SentAt: time.Now().Add(-s.commandAge), Worker: s.worker, Incarnation: 1,
						Task: s.task, Attempt: s.attempt, Start: s.start, Cause: s.cause})
				case s.path != "":
					raw, _ := json.Marshal(s.body)
					sent := r.RequestSent(s.method, s.path, raw)
					if s.sentBeforeLastResponse {
						sent = last // at the same moment as the last request, so before that request's response
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
				t.Errorf("%s: the checker reports violations of %v, want rule %q", test.name, got, test.rule)
			}
		})
	}
}
