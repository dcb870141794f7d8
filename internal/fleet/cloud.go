// Package fleet provisions machines of the cloud as the work demands and deletes those that it does
// not need any more.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/httpjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// What a call to the cloud can come to besides success.
var (
	// errUnavailable means that an outage, the cloud's rate limit or this client's own kept the
	// call from being executed.
	errUnavailable = errors.New("cloud: unavailable")
	// errNoCapacity means that none of that type, zone and kind are to be had now.
	errNoCapacity = errors.New("cloud: no capacity")
	// errOutcomeUnknown means that no answer came: the call may have been executed, or may yet be.
	errOutcomeUnknown = errors.New("cloud: no answer")
	// errMalformed means that the cloud will never take this request.
	errMalformed = errors.New("cloud: malformed")
	// errNotLeader means that another node may be leader: nothing was sent.
	errNotLeader = errors.New("cloud: another node may be leader")
)

const (
	// callTimeout bounds a call, with the wait for this client's own rate limit.
	callTimeout = 4 * time.Second
	// rateShare is the share of the cloud's rate limit that this client uses: a failover briefly
	// makes two leaders.
	rateShare = 0.8
	// listPageSize is the most machines that the cloud lists in one answer.
	listPageSize = 500
)

// Cloud is the client of the cloud's interface.
type Cloud struct {
	http    *httpjson.Client
	limiter *rate.Limiter
}

// NewCloud makes a client for the cloud at address, a host with its port, that stays below callLimit
// calls a second. Only the leader calls, so the limit is its alone but for a failover's overlap.
func NewCloud(address string, httpClient *http.Client, callLimit float64) *Cloud {
	own := callLimit * rateShare
	return &Cloud{
		http:    httpjson.NewClient(address, httpClient),
		limiter: rate.NewLimiter(rate.Limit(own), max(1, int(own))),
	}
}

// hasSpareCalls tells whether a call now would leave half of the rate limit's burst for others.
func (c *Cloud) hasSpareCalls() bool {
	return c.limiter.Tokens()-1 >= float64(c.limiter.Burst()/2)
}

// Types reads the machine types on offer.
func (c *Cloud) Types(ctx context.Context) ([]placement.InstanceType, error) {
	var answer typesAnswer
	err := c.call(ctx, http.MethodGet, "/machine_types", nil, &answer, nil)
	return answer.Types, err
}

// listPage reads the page of the machine list that follows a machine's name; more tells whether
// there is another after it.
func (c *Cloud) listPage(ctx context.Context, after ids.Machine) (page []clusterstate.ListedMachine, more bool, err error) {
	query := url.Values{"most": {strconv.Itoa(listPageSize)}}
	if after != "" {
		query.Set("after", string(after))
	}
	var answer listAnswer
	err = c.call(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &answer, nil)
	return answer.machines(), answer.More && len(answer.Hosts) > 0, err
}

// provision asks for machines and returns those that the cloud gave, perhaps fewer. The same request
// may be sent again and provisions nothing twice.
func (c *Cloud) provision(ctx context.Context, request provisioningRequest, isLeader func() bool) ([]ids.Machine, error) {
	var answer machineNames
	err := c.call(ctx, http.MethodPost, "/hosts", request, &answer, isLeader)
	return answer.Machines, err
}

// delete returns machines to the cloud; once it succeeds they and all on them are gone.
func (c *Cloud) delete(ctx context.Context, machines []ids.Machine, isLeader func() bool) error {
	return c.call(ctx, http.MethodPost, "/hosts/delete", machineNames{machines}, nil, isLeader)
}

// call makes one call and decodes its answer. isLeader, if given, is asked after the wait for the
// rate limit, right before anything goes out.
func (c *Cloud) call(ctx context.Context, method, path string, body, answer any, isLeader func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: own budget", errUnavailable)
	}
	if isLeader != nil && !isLeader() {
		return errNotLeader
	}
	purpose, _, _ := strings.Cut(path, "?")
	measure.Process.Count("cloud "+method+" "+purpose, 1)
	response, err := c.http.Do(ctx, method, path, body)
	var noResponse *httpjson.NoResponseError
	if errors.As(err, &noResponse) {
		return fmt.Errorf("%w: %v", errOutcomeUnknown, err)
	}
	if err != nil {
		return err
	}
	if err := checkStatus(response); err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(response.Body, answer); err != nil {
		return fmt.Errorf("%w: %v", errOutcomeUnknown, err)
	}
	return nil
}

// checkStatus is the error that an answer stands for; nil if the call was executed.
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
	return fmt.Errorf("%w: status %d", errOutcomeUnknown, response.Status)
}
