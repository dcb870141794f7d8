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
	atSameInstant := func(step observation) observation { step.sameInstant = true; return step }
	later := func(d time.Duration, step observation) observation { step.wait = d; return step }
	oneTaskJob := func() jobSpec { return newJob("job-1", "array", 1) }
	twoTaskJob := func() jobSpec { return newJob("job-1", "array", 2) }
	dependent := func() jobSpec { return newJob("job-2", "array", 1).dependingOn("job-1") }
	var unansweredPolls []observation
	for range 20 {
		unansweredPolls = append(unansweredPolls, later(5*time.Second, get("job-1", 503, "")), get("job-2", 200, "pending"), get("job-3", 200, "pending"))
	}
	for _, test := range []struct {
		name, rule string
		steps      []observation
	}{
		{name: "a job from submission to completion", steps: []observation{
			submit(twoTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			start(south, "job-1/1", 1),
			get("job-1", 200, "running"),
			end(small, "job-1/0", 1, "killed"),
			start(south, "job-1/0", 2),
			end(south, "job-1/0", 2, "done"),
			end(south, "job-1/1", 1, "done"),
			get("job-1", 200, "running"),
			get("job-1", 200, "done"),
			submit(twoTaskJob(), 200, "done"),
			cancel("job-1", "done"),
			get("job-9", 404, ""),
		}},
		{name: "a cancelled job", steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			cancel("job-1", "cancelled"),
			{wait: time.Second, worker: south, task: "job-1/0", attempt: 1, cause: "x"},
			{worker: small, task: "job-1/0", attempt: 1, cause: "stopped", checkCancelled: true},
			later(time.Minute, get("job-1", 200, "cancelled")),
		}},
		{name: "started on a second machine", rule: ruleConcurrentRuns, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			start(south, "job-1/0", 2),
		}},
		{name: "over quota", rule: ruleQuota, steps: []observation{
			submit(twoTaskJob().with("cores", 5), 201, "pending"),
			start(small, "job-1/0", 1),
			start(small, "job-1/1", 1),
		}},
		{name: "wrong type", rule: ruleWrongPlacement, steps: []observation{
			submit(oneTaskJob().with("builds", []string{"small"}), 201, "pending"),
			start(large, "job-1/0", 1),
		}},
		{name: "wrong zone", rule: ruleWrongPlacement, steps: []observation{
			submit(oneTaskJob().with("yard", "north"), 201, "pending"),
			start(south, "job-1/0", 1),
		}},
		{name: "spot not allowed", rule: ruleWrongPlacement, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(spot, "job-1/0", 1),
		}},
		{name: "not together", rule: ruleWrongPlacement, steps: []observation{
			submit(twoTaskJob().with("together", true), 201, "pending"),
			start(small, "job-1/0", 1),
			start(south, "job-1/1", 1),
		}},
		{name: "not spread", rule: ruleWrongPlacement, steps: []observation{
			submit(twoTaskJob().with("spread", true), 201, "pending"),
			start(small, "job-1/0", 1),
			start(large, "job-1/1", 1),
		}},
		{name: "still running after the limit", rule: ruleRanAfterCancellation, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			cancel("job-1", "cancelled"),
			{wait: 41 * time.Second, checkCancelled: true},
		}},
		{name: "stops after the limit", rule: ruleRanAfterCancellation, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			cancel("job-1", "cancelled"),
			later(41*time.Second, end(small, "job-1/0", 1, "stopped")),
		}},
		{name: "starts after the limit", rule: ruleRanAfterCancellation, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			cancel("job-1", "cancelled"),
			{wait: 41 * time.Second, worker: small, task: "job-1/0", attempt: 1, start: true, commandAge: 50 * time.Second},
		}},
		{name: "command sent after cancellation", rule: ruleRanAfterCancellation, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			cancel("job-1", "cancelled"),
			later(time.Second, start(small, "job-1/0", 1)),
		}},
		{name: "unknown afterwards", rule: ruleAcceptedJobLost, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			get("job-1", 404, ""),
		}},
		{name: "unknown to a cancellation", rule: ruleAcceptedJobLost, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			{method: "POST", path: "/v2/runs/job-1/cancel", code: 404},
		}},
		{name: "repeated submission gets 400", rule: ruleAcceptedJobLost, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			submit(oneTaskJob(), 400, ""),
		}},
		{name: "repeated submission gets 422", rule: ruleAcceptedJobLost, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			submit(oneTaskJob(), 422, ""),
		}},
		{name: "unanswered", rule: ruleAcceptedJobLost, steps: append([]observation{
			submit(oneTaskJob(), 201, "pending"),
			submit(newJob("job-2", "array", 1), 201, "pending"),
			submit(newJob("job-3", "array", 1), 201, "pending"),
		}, unansweredPolls...)},
		{name: "status of a job never submitted", rule: ruleNeverSubmitted, steps: []observation{
			get("job-1", 200, "pending"),
		}},
		{name: "cancellation of a job never submitted", rule: ruleNeverSubmitted, steps: []observation{
			cancel("job-1", "cancelled"),
		}},
		{name: "start of a job never submitted", rule: ruleNeverSubmitted, steps: []observation{
			start(small, "job-1/0", 1),
		}},
		{name: "start of one task too many", rule: ruleNeverSubmitted, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(small, "job-1/1", 1),
		}},
		{name: "half of the tasks done", rule: ruleDoneTooEarly, steps: []observation{
			submit(twoTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
		}},
		{name: "stopped is not done", rule: ruleDoneTooEarly, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "stopped"),
			get("job-1", 200, "done"),
		}},
		{name: "done, then running", rule: ruleStatusContradiction, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
			get("job-1", 200, "running"),
		}},
		{name: "done, then running at the same instant", rule: ruleStatusContradiction, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
			atSameInstant(get("job-1", 200, "running")),
		}},
		{name: "cancelled, then pending at the same instant", rule: ruleStatusContradiction, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			cancel("job-1", "cancelled"),
			atSameInstant(get("job-1", 200, "pending")),
		}},
		{name: "accepted twice at the same instant", rule: ruleStatusContradiction, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			atSameInstant(submit(oneTaskJob(), 201, "pending")),
		}},
		{name: "unknown at the same instant", rule: ruleAcceptedJobLost, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			atSameInstant(get("job-1", 404, "")),
		}},
		{name: "a gang of which one never ran", rule: ruleDoneTooEarly, steps: []observation{
			submit(newJob("job-1", "gang", 2), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
		}},
		{name: "a gang is done when one of it is", steps: []observation{
			submit(newJob("job-1", "gang", 2), 201, "pending"),
			start(small, "job-1/0", 1),
			start(south, "job-1/1", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
		}},
		{name: "cancelled, then pending", rule: ruleStatusContradiction, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			cancel("job-1", "cancelled"),
			submit(oneTaskJob(), 200, "pending"),
		}},
		{name: "cancelled, then done", rule: ruleStatusContradiction, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			cancel("job-1", "cancelled"),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
		}},
		{name: "done, then cancelled", rule: ruleStatusContradiction, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			get("job-1", 200, "done"),
			cancel("job-1", "cancelled"),
		}},
		{name: "cancelled by no user", rule: ruleStatusContradiction, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			get("job-1", 200, "cancelled"),
		}},
		{name: "dependent after its dependency", steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			submit(dependent(), 201, "pending"),
			start(small, "job-1/0", 1),
			end(small, "job-1/0", 1, "done"),
			start(small, "job-2/0", 1),
			end(small, "job-2/0", 1, "done"),
			get("job-2", 200, "done"),
		}},
		{name: "dependent of a cancelled job", steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			submit(dependent(), 201, "pending"),
			cancel("job-1", "cancelled"),
			get("job-2", 200, "pending"),
			later(39*time.Second, get("job-2", 200, "cancelled")),
		}},
		{name: "dependent before its dependency", rule: ruleStartedTooEarly, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			submit(dependent(), 201, "pending"),
			start(small, "job-1/0", 1),
			start(south, "job-2/0", 1),
		}},
		{name: "dependent still pending after the limit", rule: ruleDependentNotCancelled, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			submit(dependent(), 201, "pending"),
			cancel("job-1", "cancelled"),
			later(41*time.Second, get("job-2", 200, "pending")),
		}},
		{name: "accepted twice", rule: ruleStatusContradiction, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			submit(oneTaskJob(), 201, "pending"),
		}},
		{name: "cancellation answered as running", rule: ruleStatusContradiction, steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			cancel("job-1", "running"),
		}},
		{name: "request sent before the cancellation was confirmed", steps: []observation{
			submit(oneTaskJob(), 201, "pending"),
			cancel("job-1", "cancelled"),
			{method: "GET", path: "/v2/runs/job-1", code: 200, status: "running", sentBeforeLastResponse: true},
		}},
	} {
		scenario(t, func(t *testing.T, c *testCluster) {
			got := map[string]bool{}
			r := newRules(c.nodeSettings("a"), func(rule, detail string) { got[rule] = true })
			last := moment{}
			for _, step := range test.steps {
				if !step.sameInstant {
					time.Sleep(step.wait + time.Millisecond)
				}
				switch {
				case step.worker != nil:
					r.ObserveTaskEvent(fake.Event{At: time.Now(), SentAt: time.Now().Add(-step.commandAge), Worker: step.worker, Incarnation: 1,
						Task: step.task, Attempt: step.attempt, Start: step.start, Cause: step.cause})
				case step.path != "":
					raw, _ := json.Marshal(step.body)
					sent := r.ObserveRequest(step.method, step.path, raw)
					if step.sentBeforeLastResponse {
						sent = last // at the same moment as the last request, so before that request's response
					}
					last = sent
					out := map[string]any{}
					if step.status != "" {
						out["status"] = step.status
					}
					r.ObserveResponse(sent, "a", step.method, step.path, raw, step.code, out)
				}
				if step.checkCancelled {
					r.CheckCancelled()
				}
			}
			if test.rule == "" && len(got) > 0 || test.rule != "" && (len(got) != 1 || !got[test.rule]) {
				t.Errorf("%s: the checker reports violations of %v, want rule %q", test.name, got, test.rule)
			}
		})
	}
}
