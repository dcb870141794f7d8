package state

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// GrantLease creates a lease, to which keys may be attached. The lease expires after ttl unless it is
// renewed.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (ids.Lease, error) {
	if err := c.budget.acquire(ctx, Urgent, 0); err != nil {
		return 0, err
	}
	var result leaseResponse
	status, err := c.call(ctx, CallTimeout, http.MethodPost, "/holds", map[string]int64{"lifeMs": ttl.Milliseconds()}, &result)
	return result.Lease, requireStatus(http.StatusOK, status, err)
}

// RenewLease extends a lease to its full time to live. It returns ErrNoLease if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, lease ids.Lease) error {
	return c.callOnLease(ctx, http.MethodPost, fmt.Sprintf("/holds/%d/renew", lease))
}

// RevokeLease ends a lease immediately, which removes the attached keys. It returns ErrNoLease if the
// lease has expired.
func (c *Client) RevokeLease(ctx context.Context, lease ids.Lease) error {
	return c.callOnLease(ctx, http.MethodDelete, fmt.Sprintf("/holds/%d", lease))
}

func (c *Client) callOnLease(ctx context.Context, method, path string) error {
	if err := c.budget.acquire(ctx, Urgent, 0); err != nil {
		return err
	}
	status, err := c.call(ctx, CallTimeout, method, path, nil, nil)
	if err == nil && status == http.StatusNotFound {
		return ErrNoLease
	}
	return err
}
