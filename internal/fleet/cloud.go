// Package fleet provisions machines in the cloud as the workload requires and deletes those that are no
// longer needed.
package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/httpjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// Errors of calls to the cloud.
var (
	// errUnavailable reports that the call was not executed because of an outage, the cloud's rate limit or
	// this client's own rate limit.
	errUnavailable = errors.New("cloud: call not executed, cloud unavailable or rate limit reached")
	// errNoCapacity reports that the cloud has no machines of the requested type, zone and kind (spot or
	// ordinary) at present.
	errNoCapacity = errors.New("cloud: no capacity for the requested machines")
	// errOutcomeUnknown reports that there was no usable answer: the call may have been executed, or may
	// still be.
	errOutcomeUnknown = errors.New("cloud: outcome of the call unknown")
	// errMalformed reports that the cloud considers the request malformed and will never accept it.
	errMalformed = errors.New("cloud: request malformed")
	// errNotLeader reports that another node may be leader, so the call was not sent.
	errNotLeader = errors.New("cloud: call not sent, another node may be leader")
)

const (
	// callTimeout is the maximum duration of a call, including the wait for this client's own rate limit.
	callTimeout = 4 * time.Second
	// rateShare is the share of the cloud's rate limit that this client uses, since there are briefly two
	// leaders during a failover.
	rateShare = 0.8
	// listPageSize is the maximum number of machines in one page of the cloud's machine list.
	listPageSize = 500
)

// Cloud is a client of the cloud's API.
type Cloud struct {
	http    *httpjson.Client
	limiter *rate.Limiter
}

// NewCloud returns a client for the cloud at address, a host and port, that makes fewer than callLimit calls
// per second. Only the leader calls the cloud, so it shares the limit with no other node except during a
// failover.
func NewCloud(address string, httpClient *http.Client, callLimit float64) *Cloud {
	ownRate := callLimit * rateShare
	return &Cloud{
		http:    httpjson.NewClient(address, httpClient),
		limiter: rate.NewLimiter(rate.Limit(ownRate), max(1, int(ownRate))),
	}
}

// hasSpareCalls reports whether a call now would leave half of the rate limit's burst for other calls.
func (c *Cloud) hasSpareCalls() bool {
	return c.limiter.Tokens()-1 >= float64(c.limiter.Burst()/2)
}

// Types returns the machine types that the cloud offers.
func (c *Cloud) Types(ctx context.Context) ([]placement.InstanceType, error) {
	var answer typesAnswer
	err := c.call(ctx, http.MethodGet, "/machine_types", nil, &answer, nil)
	return answer.Types, err
}

// listPage returns the page of the machine list that follows the machine named after; more reports whether
// another page follows.
func (c *Cloud) listPage(ctx context.Context, after ids.Machine) (page []clusterstate.ListedMachine, more bool, err error) {
	query := url.Values{"most": {strconv.Itoa(listPageSize)}}
	if after != "" {
		query.Set("after", string(after))
	}
	var answer listAnswer
	err = c.call(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &answer, nil)
	return answer.machines(), answer.More && len(answer.Hosts) > 0, err
}

// provision requests machines and returns those provisioned, which may be fewer than requested. It is
// idempotent: sending the same request again provisions nothing more.
func (c *Cloud) provision(ctx context.Context, request provisioningRequest, isLeader func() bool) ([]ids.Machine, error) {
	var answer machineNames
	err := c.call(ctx, http.MethodPost, "/hosts", request, &answer, isLeader)
	return answer.Machines, err
}

// delete deletes machines in the cloud. After a success the machines and all tasks on them no longer exist.
func (c *Cloud) delete(ctx context.Context, machines []ids.Machine, isLeader func() bool) error {
	return c.call(ctx, http.MethodPost, "/hosts/delete", machineNames{machines}, nil, isLeader)
}

// call makes one call and decodes its answer. If isLeader is not nil, it is called after the wait for the
// rate limit, directly before the request is sent.
func (c *Cloud) call(ctx context.Context, method, path string, body, answer any, isLeader func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: wait for the client's own rate limit failed", errUnavailable)
	}
	if isLeader != nil && !isLeader() {
		return errNotLeader
	}
	endpoint, _, _ := strings.Cut(path, "?")
	measure.Default.Count("cloud "+method+" "+endpoint, 1)
	response, err := c.http.Do(ctx, method, path, body)
	var noResponse *httpjson.NoResponseError
	if errors.As(err, &noResponse) {
		return fmt.Errorf("%w: no response: %v", errOutcomeUnknown, err)
	}
	if err != nil {
		return err
	}
	if err := checkStatus(response); err != nil || answer == nil {
		return err
	}
	if err := exactjson.Unmarshal(response.Body, answer); err != nil {
		return fmt.Errorf("%w: decode response: %v", errOutcomeUnknown, err)
	}
	return nil
}

// checkStatus returns the error that corresponds to the status of a response; nil if the call was executed.
func checkStatus(response httpjson.Response) error {
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable:
		if bytes.Contains(response.Body, []byte("no capacity")) {
			return errNoCapacity
		}
		return errUnavailable
	case http.StatusTooManyRequests:
		return errUnavailable
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %.200s", errMalformed, response.Body)
	}
	return fmt.Errorf("%w: unexpected HTTP status %d", errOutcomeUnknown, response.Status)
}
