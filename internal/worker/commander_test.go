package worker

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func TestSendDistinguishesUnsentCommandsFromUnknownOutcomes(t *testing.T) {
	const leaderToken, olderToken ids.Generation = 5, 4
	synctest.Test(t, func(t *testing.T) {
		network := fake.NewNetwork()
		machine := &fake.Worker{Name: "m", Address: "m:1", Network: network, Controllers: []string{"a:1"}, HeartbeatInterval: time.Second, LeaseDuration: 30 * time.Second}
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		go machine.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		commander := &Commander{HTTP: network.Client("a"), Timeout: time.Second}
		startCommands := []Command{{Verb: "start", Task: "job-1/0", Attempt: 1}}
		for _, test := range []struct {
			name           string
			networkOutcome fake.Outcome
			token          ids.Generation
			outcome        Outcome
			withReport     bool
		}{
			{"no connection", fake.Refuse, leaderToken, NotSent, false},
			{"request lost", fake.Drop, leaderToken, OutcomeUnknown, false},
			{"answer lost", fake.DropResponse, leaderToken, OutcomeUnknown, false},
			{"answered", fake.Deliver, leaderToken, Executed, true},
			{"older token", fake.Deliver, olderToken, Rejected, true},
		} {
			network.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Outcome {
				if from == "a" {
					return test.networkOutcome
				}
				return fake.Refuse
			})
			outcome, report := commander.Send(ctx, "m:1", test.token, 1, startCommands)
			if outcome != test.outcome {
				t.Errorf("%s: outcome %v, want %v", test.name, outcome, test.outcome)
			}
			if (report != nil) != test.withReport {
				t.Errorf("%s: unexpected presence or absence of the report: %v", test.name, report)
			}
		}
		if n := machine.StartCount("job-1/0"); n != 1 {
			t.Errorf("task started %d times, want 1", n)
		}
	})
}
