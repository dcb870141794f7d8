// Package state is the client of the state service, the small consistent store
// where the controllers keep everything. It never guesses: a call without an answer
// is reported as unknown, and callers read back what became of it.
package state

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
	"sync/atomic"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// What a call can come to besides success.
var (
	// ErrRefused: surely not executed (503, 429, or no tokens of our own).
	ErrRefused = errors.New("state: refused")
	// ErrUnknown: may have been executed, or may yet be.
	ErrUnknown = errors.New("state: no answer")
	// ErrNoLease: the lease named has ended.
	ErrNoLease = errors.New("state: no such lease")
	// ErrTooOld: the changes asked for are no longer kept; list again.
	ErrTooOld = errors.New("state: history too old")
	// ErrMalformed: the service calls the request malformed.
	ErrMalformed = errors.New("state: malformed request")
)

// Conflict names the keys whose condition failed; nothing was changed.
type Conflict struct {
	Failed []string
	Epoch  ids.Epoch
}

func (c *Conflict) Error() string { return fmt.Sprintf("state: conditions failed: %v", c.Failed) }

// Has tells whether key is among the failed ones.
func (c *Conflict) Has(key string) bool {
	for _, k := range c.Failed {
		if k == key {
			return true
		}
	}
	return false
}

// Entry is a key with its value.
type Entry struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value"`
	Revision ids.Revision    `json:"stamp"`
	Lease    ids.Lease       `json:"permit"`
}

// Condition demands a revision of a key; 0 demands its absence.
type Condition struct {
	Key      string       `json:"key"`
	Revision ids.Revision `json:"stamp"`
}

// Op is one change: a put or a removal.
type Op struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  ids.Lease       `json:"permit,omitempty"`
	Remove string          `json:"remove,omitempty"`
}

// Txn is applied as a whole or not at all.
type Txn struct {
	When []Condition `json:"when"`
	Then []Op        `json:"then,omitempty"`
}

// Change is one change of a key: a put or a removal.
type Change struct {
	Put      string          `json:"put"`
	Value    json.RawMessage `json:"value"`
	Remove   string          `json:"remove"`
	Revision ids.Revision    `json:"stamp"`
}

// Key is the key changed.
func (c Change) Key() string {
	if c.Put != "" {
		return c.Put
	}
	return c.Remove
}

// CallTimeout bounds every call but the long ones: a cut connection hangs.
const CallTimeout = 2 * time.Second

// Client is one controller's client of the store.
type Client struct {
	base        string
	http        *http.Client
	budget      *Budget
	lastSuccess atomic.Int64 // monotonic nanoseconds from start to the last successful answer
	start       time.Time
}

// NewClient makes a client for the store at addr.
func NewClient(addr string, h *http.Client, b *Budget) *Client {
	c := &Client{base: "http://" + addr, http: h, budget: b, start: time.Now()}
	c.lastSuccess.Store(-1)
	return c
}

// Budget is the client's token buckets.
func (c *Client) Budget() *Budget { return c.budget }

// SinceSuccess is the time since the store last served this node; ok is false if
// it never has.
func (c *Client) SinceSuccess() (time.Duration, bool) {
	g := c.lastSuccess.Load()
	if g < 0 {
		return 0, false
	}
	return time.Since(c.start) - time.Duration(g), true
}

// unavailableAfter is the time without a successful call after which users are told
// at once to retry, instead of each finding out by a call that hangs. Watch calls the
// store more often than that, so that this ends as soon as it answers.
const unavailableAfter = 2500 * time.Millisecond

// Unavailable tells that the store served this node before, but not lately.
func (c *Client) Unavailable() bool {
	age, ok := c.SinceSuccess()
	return ok && age > unavailableAfter
}

// Watch keeps the node's view of the store fresh when nothing else calls it.
func (c *Client) Watch(ctx context.Context, key string) {
	for ctx.Err() == nil {
		if age, ok := c.SinceSuccess(); !ok || age > 700*time.Millisecond {
			c.Get(ctx, key, Urgent)
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// do makes one call and reads its answer into out.
func (c *Client) do(ctx context.Context, timeout time.Duration, method, path string, body, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	purpose, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "?")
	purpose, _, _ = strings.Cut(purpose, "/")
	measure.Process.Count("state "+method+" "+purpose, 1)
	var rd io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		rd = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return 0, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	switch res.StatusCode {
	case http.StatusTooManyRequests:
		c.budget.TooMany()
		return res.StatusCode, fmt.Errorf("%w: status %d", ErrRefused, res.StatusCode)
	case 503:
		return res.StatusCode, fmt.Errorf("%w: status %d", ErrRefused, res.StatusCode)
	case 200, 404, 409, 410:
		// A watch may end with 200 in the middle of an outage: it proves
		// nothing of the service's health.
		if !strings.HasPrefix(path, "/follow") {
			c.lastSuccess.Store(int64(time.Since(c.start)))
		}
		if out != nil && res.StatusCode != 410 {
			if err := json.Unmarshal(raw, out); err != nil && res.StatusCode == 200 {
				return 0, fmt.Errorf("%w: %v", ErrUnknown, err)
			}
		}
		return res.StatusCode, nil
	case 400:
		if bytes.Contains(raw, []byte("no such lease")) {
			return 400, ErrNoLease
		}
		return 400, fmt.Errorf("%w: %.200s", ErrMalformed, raw)
	}
	return res.StatusCode, fmt.Errorf("%w: status %d", ErrUnknown, res.StatusCode)
}

// Get reads a key; found is false when it does not exist.
func (c *Client) Get(ctx context.Context, key string, u Urgency) (e Entry, found bool, err error) {
	if err := c.budget.take(ctx, u, 0); err != nil {
		return e, false, err
	}
	code, err := c.do(ctx, CallTimeout, "GET", "/kv/"+key, nil, &e)
	return e, err == nil && code == 200, err
}

// absent is a key that nobody writes: reading it shows the store's epoch.
const absent = "none"

// Epoch is how far the store is.
func (c *Client) Epoch(ctx context.Context) (ids.Epoch, error) {
	if err := c.budget.take(ctx, Normal, 0); err != nil {
		return 0, err
	}
	var out struct {
		Epoch ids.Epoch `json:"epoch"`
	}
	code, err := c.do(ctx, CallTimeout, "GET", "/kv/"+absent, nil, &out)
	if err == nil && code != 404 {
		err = fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return out.Epoch, err
}

// List reads a page of the keys below a prefix, in order.
func (c *Client) List(ctx context.Context, under, after string, most int, u Urgency) (es []Entry, more bool, at ids.Epoch, err error) {
	if err := c.budget.take(ctx, u, 0); err != nil {
		return nil, false, 0, err
	}
	q := url.Values{"under": {under}, "most": {strconv.Itoa(most)}}
	if after != "" {
		q.Set("after", after)
	}
	var out struct {
		Entries []Entry   `json:"entries"`
		More    bool      `json:"more"`
		Epoch   ids.Epoch `json:"epoch"`
	}
	code, err := c.do(ctx, 2*CallTimeout, "GET", "/kv?"+q.Encode(), nil, &out)
	if err == nil && code != 200 {
		err = fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return out.Entries, out.More, out.Epoch, err
}

// ListAll reads every page; the epoch is the first page's, so that following
// from it misses nothing.
func (c *Client) ListAll(ctx context.Context, under string, u Urgency) ([]Entry, ids.Epoch, error) {
	var all []Entry
	var first ids.Epoch
	after := ""
	for page := 0; ; page++ {
		es, more, at, err := c.List(ctx, under, after, 1000, u)
		if err != nil {
			return nil, 0, err
		}
		if page == 0 {
			first = at
		}
		all = append(all, es...)
		if !more || len(es) == 0 {
			return all, first, nil
		}
		after = es[len(es)-1].Key
	}
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, t Txn, u Urgency) (ids.Epoch, error) {
	if err := c.budget.take(ctx, u, len(t.Then)); err != nil {
		return 0, err
	}
	var out struct {
		Epoch  ids.Epoch `json:"epoch"`
		Failed []string  `json:"failed"`
	}
	code, err := c.do(ctx, CallTimeout, "POST", "/commit", t, &out)
	if err != nil {
		return 0, err
	}
	switch code {
	case 200:
		return out.Epoch, nil
	case 409:
		return 0, &Conflict{Failed: out.Failed, Epoch: out.Epoch}
	}
	return 0, fmt.Errorf("%w: status %d", ErrUnknown, code)
}

// NewLease asks for a lease, to which keys may be attached.
func (c *Client) NewLease(ctx context.Context, life time.Duration) (ids.Lease, error) {
	if err := c.budget.take(ctx, Urgent, 0); err != nil {
		return 0, err
	}
	var out struct {
		Permit ids.Lease `json:"permit"`
	}
	code, err := c.do(ctx, CallTimeout, "POST", "/holds", map[string]int64{"lifeMs": life.Milliseconds()}, &out)
	if err == nil && code != 200 {
		err = fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return out.Permit, err
}

// RenewLease gives a lease its full time again.
func (c *Client) RenewLease(ctx context.Context, h ids.Lease) error {
	if err := c.budget.take(ctx, Urgent, 0); err != nil {
		return err
	}
	return c.leaseCall(ctx, "POST", fmt.Sprintf("/holds/%d/renew", h))
}

// EndLease ends a lease at once, and with it the keys attached.
func (c *Client) EndLease(ctx context.Context, h ids.Lease) error {
	if err := c.budget.take(ctx, Urgent, 0); err != nil {
		return err
	}
	return c.leaseCall(ctx, "DELETE", fmt.Sprintf("/holds/%d", h))
}

func (c *Client) leaseCall(ctx context.Context, method, path string) error {
	code, err := c.do(ctx, CallTimeout, method, path, nil, nil)
	if err == nil && code == 404 {
		return ErrNoLease
	}
	return err
}

// Follow waits for changes below a prefix after an epoch.
func (c *Client) Follow(ctx context.Context, under string, after ids.Epoch, wait time.Duration) (ids.Epoch, []Change, error) {
	if err := c.budget.take(ctx, Normal, 0); err != nil {
		return 0, nil, err
	}
	q := url.Values{"under": {under}, "after": {strconv.FormatUint(uint64(after), 10)},
		"holdMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var out struct {
		Epoch ids.Epoch `json:"epoch"`
		News  []Change  `json:"news"`
	}
	code, err := c.do(ctx, wait+2*CallTimeout, "GET", "/follow?"+q.Encode(), nil, &out)
	if err != nil {
		return 0, nil, err
	}
	if code == 410 {
		return 0, nil, ErrTooOld
	}
	if code != 200 {
		return 0, nil, fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return out.Epoch, out.News, nil
}
