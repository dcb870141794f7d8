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

// Outcome of direct commands.
type Outcome int

const (
	// Carried means status 200: the report shows the effects.
	Carried Outcome = iota
	// Refused means status 409: nothing was executed.
	Refused
	// NotSent means that no connection came about, so nothing can arrive later.
	NotSent
	// Uncertain means that the commands may have been, or may yet be, carried out.
	Uncertain
)

// Commander sends commands straight to a worker's address. Quick starts go
// this way; what it cannot settle, the heartbeats do.
type Commander struct {
	HTTP    *http.Client
	Timeout time.Duration
}

// Send posts the orders and returns the worker's report if it gave one.
func (c *Commander) Send(ctx context.Context, addr string, token ids.Generation, s ids.Session, orders []Order) (Outcome, *Report) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	measure.Process.Count("commands sent", 1)
	if orders == nil {
		orders = []Order{} // a list, if an empty one, whoever reads it
	}
	raw, err := json.Marshal(Reply{Token: token, Session: s, Orders: orders})
	if err != nil {
		return NotSent, nil
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/commands", bytes.NewReader(raw))
	if err != nil {
		return NotSent, nil
	}
	// Without GetBody the transport cannot resend on a connection that broke:
	// a command is never sent twice behind our back.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	res, err := c.HTTP.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return NotSent, nil
		}
		return Uncertain, nil
	}
	defer res.Body.Close()
	rep := &Report{}
	if err := json.NewDecoder(res.Body).Decode(rep); err != nil {
		return Uncertain, nil
	}
	switch res.StatusCode {
	case 200:
		return Carried, rep
	case 409:
		return Refused, rep
	case 400:
		return NotSent, nil
	}
	return Uncertain, nil
}

// Show asks a worker for its report; nil when it does not answer in time.
func (c *Commander) Show(ctx context.Context, addr string, timeout time.Duration) *Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	measure.Process.Count("machines asked", 1)
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/show", nil)
	if err != nil {
		return nil
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	rep := &Report{}
	if res.StatusCode != 200 || json.NewDecoder(res.Body).Decode(rep) != nil {
		return nil
	}
	return rep
}
