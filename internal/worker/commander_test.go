package worker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
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

// Guards against a connection to a worker that is closed after one answer, which costs a socket and a
// handshake: a decoder that stops before the line break at the end leaves data unread.
func TestConnectionIsKeptWhateverTheLengthOfTheReport(t *testing.T) {
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		padding := r.Header.Get("Padding")
		body := fmt.Sprintf("{\"host\":\"m\",\"yard\":\"%s\"}\n", padding)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if _, err := io.WriteString(w, body); err != nil {
			t.Error(err)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, connState http.ConnState) {
		if connState == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	padding := &paddingTransport{next: server.Client().Transport}
	commander := &Commander{HTTP: &http.Client{Transport: padding}, Timeout: time.Second}
	const maxPadding = 2048 // bytes
	for padding.length = range maxPadding {
		report := commander.FetchReport(t.Context(), server.Listener.Addr().String(), 30*time.Second)
		if report == nil || len(report.Zone) != padding.length {
			t.Fatalf("padding of %d bytes: report %+v", padding.length, report)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections for %d requests, want 1", n, maxPadding)
	}
}

// paddingTransport asks for a report with a padding of the given length.
type paddingTransport struct {
	next   http.RoundTripper
	length int // bytes
}

func (p *paddingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request.Header.Set("Padding", strings.Repeat("x", p.length))
	return p.next.RoundTrip(request)
}
