package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// Outcome is what became of commands that were sent straight to a worker.
type Outcome int

const (
	// Executed means status 200: the commands were executed and the report shows the effects.
	Executed Outcome = iota
	// Rejected means status 409: nothing was executed.
	Rejected
	// NotSent means that the worker did not get the commands and cannot get them later: no
	// connection came about, or it calls the request malformed.
	NotSent
	// OutcomeUnknown means that the commands may have been, or may yet be, executed.
	OutcomeUnknown
)

// Commander sends commands straight to a worker's address. Quick starts go this way; what it cannot
// settle, the heartbeats do.
type Commander struct {
	HTTP *http.Client
	// Timeout bounds the sending of commands and the wait for their answer.
	Timeout time.Duration
}

// Send posts commands and returns the worker's report if it gave one.
func (c *Commander) Send(ctx context.Context, addr string, token ids.Generation, session ids.Incarnation, commands []Command) (Outcome, *Report) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	measure.Process.Count("commands sent", 1)
	request, err := newCommandRequest(ctx, addr, CommandBatch{FencingToken: token, Incarnation: session, Commands: commands})
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

func newCommandRequest(ctx context.Context, addr string, commands CommandBatch) (*http.Request, error) {
	if commands.Commands == nil {
		commands.Commands = []Command{} // a list, if an empty one, whoever reads it
	}
	raw, err := json.Marshal(commands)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/commands", bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot resend on a connection that broke: a command is never
	// sent twice behind our back.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// outcomeOfError tells commands that found no connection from those that may have arrived.
func outcomeOfError(err error) Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return NotSent
	}
	return OutcomeUnknown
}

// FetchReport asks a worker for its report; nil when it does not answer in time.
func (c *Commander) FetchReport(ctx context.Context, addr string, timeout time.Duration) *Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	measure.Process.Count("machines asked", 1)
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

// readReport decodes the body of an answer, whatever its status, and closes it.
func readReport(response *http.Response) (*Report, error) {
	defer func() {
		_ = response.Body.Close() // the report is decoded by then, or the decoder failed
	}()
	report := &Report{}
	if err := json.NewDecoder(response.Body).Decode(report); err != nil {
		return nil, err
	}
	return report, nil
}
