// Package state implements the client of the consensus-backed key-value store that holds the
// controllers' state. A call without a response returns an error that says that its outcome is unknown;
// the caller then reads the keys to find out whether the call was executed.
package state

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/httpjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// CallTimeout is the timeout of all calls except listings and watches. Without it, a call over a broken
// connection would hang.
const CallTimeout = 2 * time.Second

// longCallTimeout is the timeout of one page of a listing, and the time that a watch may take beyond
// the wait that it requested.
const longCallTimeout = 2 * CallTimeout

// absentKey is a key that is never written. A read of a key that does not exist returns the store's
// current revision.
const absentKey = "none"

// watchPath is the path of the store's watch endpoint.
const watchPath = "/follow"

// Client is one controller's client of the store. Its methods may be called concurrently.
type Client struct {
	http   *httpjson.Client
	budget *Budget
	start  time.Time
	// lastSuccess is the monotonic time, in nanoseconds since start, of the last response that
	// proves that the store is healthy; neverSucceeded before the first such response.
	lastSuccess atomic.Int64
}

// neverSucceeded is the value of Client.lastSuccess before the first successful call.
const neverSucceeded = -1

// NewClient returns a client for the store at address, in the form host:port.
func NewClient(address string, httpClient *http.Client, budget *Budget) *Client {
	c := &Client{http: httpjson.NewClient(address, httpClient), budget: budget, start: time.Now()}
	c.lastSuccess.Store(neverSucceeded)
	return c
}

// Budget returns the budget that limits this client's calls and writes.
func (c *Client) Budget() *Budget { return c.budget }

// Get reads a key; found is false if the key does not exist.
func (c *Client) Get(ctx context.Context, key string, priority Priority) (entry Entry, found bool, err error) {
	if err := c.budget.acquire(ctx, priority, 0); err != nil {
		return entry, false, err
	}
	status, err := c.call(ctx, CallTimeout, http.MethodGet, "/kv/"+key, nil, &entry)
	return entry, err == nil && status == http.StatusOK, err
}

// currentRevision returns the store's current revision.
func (c *Client) currentRevision(ctx context.Context) (ids.StoreRevision, error) {
	if err := c.budget.acquire(ctx, Normal, 0); err != nil {
		return 0, err
	}
	var result revisionResponse
	status, err := c.call(ctx, CallTimeout, http.MethodGet, "/kv/"+absentKey, nil, &result)
	return result.Revision, requireStatus(http.StatusNotFound, status, err)
}

// List reads a page of at most limit keys below a prefix, in order of keys; after is the last key of the
// previous page. more is true if there is another page, and storeRevision is the store's revision at the
// read.
func (c *Client) List(ctx context.Context, prefix, after string, limit int, priority Priority) (entries []Entry, more bool, storeRevision ids.StoreRevision, err error) {
	if err := c.budget.acquire(ctx, priority, 0); err != nil {
		return nil, false, 0, err
	}
	query := url.Values{"under": {prefix}, "most": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	var result listResponse
	status, err := c.call(ctx, longCallTimeout, http.MethodGet, "/kv?"+query.Encode(), nil, &result)
	return result.Entries, result.More, result.Revision, requireStatus(http.StatusOK, status, err)
}

// Commit applies a transaction and returns the store revision of its changes. If conditions failed it
// returns a *ConflictError with their keys.
func (c *Client) Commit(ctx context.Context, txn Txn, priority Priority) (ids.StoreRevision, error) {
	if err := c.budget.acquire(ctx, priority, len(txn.Ops)); err != nil {
		return 0, err
	}
	var result commitResponse
	status, err := c.call(ctx, CallTimeout, http.MethodPost, "/commit", txn, &result)
	if err == nil && status == http.StatusConflict {
		return 0, &ConflictError{FailedKeys: result.FailedKeys, Revision: result.Revision}
	}
	if err := requireStatus(http.StatusOK, status, err); err != nil {
		return 0, err
	}
	return result.Revision, nil
}

// watchChanges waits at most the given time for changes below a prefix after a store revision. It returns
// a store revision and the changes up to it, or errCompacted if the store no longer keeps them. During an
// outage, or while the store rejects this node, the response may lack changes up to that revision.
func (c *Client) watchChanges(ctx context.Context, prefix string, after ids.StoreRevision, wait time.Duration, priority Priority) (ids.StoreRevision, []Change, error) {
	if err := c.budget.acquire(ctx, priority, 0); err != nil {
		return 0, nil, err
	}
	query := url.Values{
		"under":  {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"holdMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var result watchResponse
	status, err := c.call(ctx, wait+longCallTimeout, http.MethodGet, watchPath+"?"+query.Encode(), nil, &result)
	if err == nil && status == http.StatusGone {
		return 0, nil, errCompacted
	}
	if err := requireStatus(http.StatusOK, status, err); err != nil {
		return 0, nil, err
	}
	return result.Revision, result.Changes, nil
}

// requireStatus returns the error of a call, or ErrOutcomeUnknown if the call returned no error but a
// status other than want, the only valid one for its kind.
func requireStatus(want, got int, err error) error {
	if err == nil && got != want {
		return fmt.Errorf("%w: unexpected response status %d", ErrOutcomeUnknown, got)
	}
	return err
}

// call makes one call and decodes the response body into result. It returns the status if the store
// executed the call and the caller can use the response: 200, 404, 409 or 410.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body, result any) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	purpose, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "?")
	purpose, _, _ = strings.Cut(purpose, "/")
	measure.Default.Count("state "+method+" "+purpose, 1)
	response, err := c.http.Do(ctx, method, path, body)
	var noResponse *httpjson.NoResponseError
	if errors.As(err, &noResponse) {
		return 0, fmt.Errorf("%w: no response: %v", ErrOutcomeUnknown, err)
	}
	if err != nil {
		return 0, err
	}
	if err := c.checkStatus(response); err != nil {
		return response.Status, err
	}
	if !strings.HasPrefix(path, watchPath) {
		// A watch may return 200 during an outage, so it does not prove that the store is
		// healthy.
		c.recordSuccess()
	}
	if result != nil && response.Status != http.StatusGone {
		if err := exactjson.Unmarshal(response.Body, result); err != nil && response.Status == http.StatusOK {
			return 0, fmt.Errorf("%w: decode response: %v", ErrOutcomeUnknown, err)
		}
	}
	return response.Status, nil
}

// checkStatus returns the error for a response status; nil if the status means that the store executed
// the call.
func (c *Client) checkStatus(response httpjson.Response) error {
	switch response.Status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusGone:
		return nil
	case http.StatusTooManyRequests:
		c.budget.reduceRates()
		return fmt.Errorf("%w: too many calls or writes, response status %d", ErrRefused, response.Status)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: store unavailable, response status %d", ErrRefused, response.Status)
	case http.StatusBadRequest:
		if bytes.Contains(response.Body, []byte("no such lease")) {
			return ErrNoLease
		}
		return fmt.Errorf("%w: %.200s", ErrMalformed, response.Body)
	}
	return fmt.Errorf("%w: unexpected response status %d", ErrOutcomeUnknown, response.Status)
}
