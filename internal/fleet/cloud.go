// Package fleet rents machines and gives them back.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// What a call to the cloud can come to besides success.
var (
	// ErrTrouble: refused by an outage or the rate limit; not carried out.
	ErrTrouble = errors.New("cloud: trouble")
	// ErrNoCapacity: none of that type, zone and kind to be had now.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrNoAnswer: may have been, or may yet be, carried out.
	ErrNoAnswer = errors.New("cloud: no answer")
	// ErrMalformed: the cloud will never take this request.
	ErrMalformed = errors.New("cloud: malformed")
	// ErrNotOurs: this node may no longer own the pool; nothing was sent.
	ErrNotOurs = errors.New("cloud: the pool may be another's")
)

// Cloud is the client of the cloud's interface.
type Cloud struct {
	base    string
	http    *http.Client
	tokens  *rate.Limiter
	timeout time.Duration
}

// NewCloud makes a client that stays below rps. Only the leader calls,
// so the limit is its alone but for a takeover's overlap.
func NewCloud(addr string, h *http.Client, rps float64) *Cloud {
	return &Cloud{base: "http://" + addr, http: h, tokens: rate.NewLimiter(rate.Limit(rps*0.8), max(1, int(rps*0.8))), timeout: 4 * time.Second}
}

// call makes one call. may, if given, is asked after the wait for tokens, right
// before anything goes out.
func (c *Cloud) call(ctx context.Context, method, path string, in, out any, may func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.tokens.Wait(ctx); err != nil {
		return fmt.Errorf("%w: own budget", ErrTrouble)
	}
	if may != nil && !may() {
		return ErrNotOurs
	}
	purpose, _, _ := strings.Cut(path, "?")
	measure.Process.Count("cloud "+method+" "+purpose, 1)
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNoAnswer, err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNoAnswer, err)
	}
	switch res.StatusCode {
	case 200:
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(raw, out); err != nil {
			return fmt.Errorf("%w: %v", ErrNoAnswer, err)
		}
		return nil
	case 503:
		if bytes.Contains(raw, []byte("no capacity")) {
			return ErrNoCapacity
		}
		return ErrTrouble
	case 429:
		return ErrTrouble
	case 400:
		return fmt.Errorf("%w: %.200s", ErrMalformed, raw)
	}
	return fmt.Errorf("%w: status %d", ErrNoAnswer, res.StatusCode)
}

// Types asks what is on offer.
func (c *Cloud) Types(ctx context.Context) ([]placement.Type, error) {
	var out struct {
		Builds []placement.Type `json:"builds"`
	}
	err := c.call(ctx, "GET", "/machine_types", nil, &out, nil)
	return out.Builds, err
}

// listPageSize is the most machines that the cloud lists in one answer.
const listPageSize = 500

// ListPage reads the page of the machine list that follows a machine's name; more tells
// whether there is another after it.
func (c *Cloud) ListPage(ctx context.Context, after ids.Machine) (page []claim.ListedMachine, more bool, err error) {
	var out struct {
		Hosts []claim.ListedMachine `json:"hosts"`
		More  bool                  `json:"more"`
	}
	query := url.Values{"most": {strconv.Itoa(listPageSize)}}
	if after != "" {
		query.Set("after", string(after))
	}
	err = c.call(ctx, "GET", "/hosts?"+query.Encode(), nil, &out, nil)
	return out.Hosts, out.More && len(out.Hosts) > 0, err
}

// HasSpareCalls tells whether a call now would leave half of the tokens for others.
func (c *Cloud) HasSpareCalls() bool {
	return c.tokens.Tokens()-1 >= float64(c.tokens.Burst()/2)
}

// Intent is a hire as it is stored before it is sent.
type Intent struct {
	Name  ids.Hire `json:"hire"`
	Type  string   `json:"build"`
	Zone  string   `json:"yard"`
	Spot  bool     `json:"loaners"`
	Count int      `json:"count"`
	// Hosts are the machines rented, once that is known, where several shards have to tell
	// whose they are.
	Hosts []ids.Machine `json:"hosts,omitempty"`

	tried bool // its name may be stored
}

// Hire rents; the same name may be sent again and rents nothing twice.
func (c *Cloud) Hire(ctx context.Context, in Intent, may func() bool) ([]ids.Machine, error) {
	var out struct {
		Hosts []ids.Machine `json:"hosts"`
	}
	err := c.call(ctx, "POST", "/hosts", in, &out, may)
	return out.Hosts, err
}

// Delete returns machines; once it succeeds they and all on them are gone.
func (c *Cloud) Delete(ctx context.Context, names []ids.Machine, may func() bool) error {
	return c.call(ctx, "POST", "/hosts/delete", map[string]any{"hosts": names}, nil, may)
}
