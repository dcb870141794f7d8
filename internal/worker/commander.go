package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// Outcome is the outcome of commands that were sent directly to a worker.
type Outcome int

const (
	// Executed means status 200: the commands were executed and the returned report shows the effects.
	Executed Outcome = iota
	// Rejected means status 409: no command was executed.
	Rejected
	// NotSent means that the commands were not executed and will not be executed later: no
	// connection could be established, or the worker rejected the request as malformed.
	NotSent
	// OutcomeUnknown means that the commands may have been executed or may still be executed.
	OutcomeUnknown
)

// String returns the name of the outcome, for log lines.
func (o Outcome) String() string {
	switch o {
	case Executed:
		return "executed"
	case Rejected:
		return "rejected"
	case NotSent:
		return "not sent"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// Commander sends commands directly to a worker's address, so that tasks start without waiting for the
// next heartbeat. Commands whose outcome stays unknown are settled by the worker's heartbeats.
type Commander struct {
	HTTP *http.Client
	// Timeout is the timeout of Send: for sending the commands and for the response.
	Timeout time.Duration
}

// Send sends commands to a worker and returns their outcome, and the worker's report if it returned one.
func (c *Commander) Send(ctx context.Context, addr string, token ids.Generation, incarnation ids.Incarnation, commands []Command) (Outcome, *Report) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	measure.Default.Count("commands sent", 1)
	request, err := newCommandRequest(ctx, addr, CommandBatch{FencingToken: token, Incarnation: incarnation, Commands: commands})
	if err != nil {
		return NotSent, nil
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return outcomeOfError(err), nil
	}
	report, err := readReport(response)
	if err != nil {
		return OutcomeUnknown, nil
	}
	switch response.StatusCode {
	case http.StatusOK:
		return Executed, report
	case http.StatusConflict:
		return Rejected, report
	case http.StatusBadRequest:
		return NotSent, nil
	}
	return OutcomeUnknown, nil
}

func newCommandRequest(ctx context.Context, addr string, batch CommandBatch) (*http.Request, error) {
	if batch.Commands == nil {
		batch.Commands = []Command{} // encoded as [] and not as null
	}
	raw, err := json.Marshal(batch)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/commands", bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot retry the request on a new connection, so it never
	// sends a command twice.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// outcomeOfError returns NotSent if no connection could be established, and OutcomeUnknown if the
// commands may have arrived.
func outcomeOfError(err error) Outcome {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return NotSent
	}
	return OutcomeUnknown
}

// FetchReport requests a worker's report. It returns nil if the worker does not respond in time.
func (c *Commander) FetchReport(ctx context.Context, addr string, timeout time.Duration) *Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	measure.Default.Count("machines asked", 1)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/show", nil)
	if err != nil {
		return nil
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil
	}
	report, err := readReport(response)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	return report
}

// readReport decodes the body of a response of any status as a report, and closes the body. The body is
// read to its end, because a connection with unread data can't be used again.
func readReport(response *http.Response) (*Report, error) {
	defer func() {
		_ = response.Body.Close() // the body is not needed any more
	}()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	if err := exactjson.Unmarshal(raw, report); err != nil {
		return nil, err
	}
	return report, nil
}
