package intake

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// outageRetryAfter is the delay after which users should retry while the store does not respond. The
// store is probed twice a second, and after an outage it needs a moment to serve all requests.
const outageRetryAfter = 2 * time.Second

// headerConnection and connectionClose make the client open a new connection for its next request.
const (
	headerConnection = "Connection"
	connectionClose  = "close"
)

// errorBody returns the body of an error response.
func errorBody(message string) map[string]string { return map[string]string{"error": message} }

// respondError responds with a permanent error if err is a rejectedError, else with a temporary one.
func (s *Server) respondError(c echo.Context, err error) error {
	var rejected rejectedError
	if errors.As(err, &rejected) {
		return c.JSON(http.StatusUnprocessableEntity, errorBody(rejected.reason))
	}
	return s.respondUnavailable(c)
}

// respondUnavailable responds with a temporary error and a Retry-After header.
func (s *Server) respondUnavailable(c echo.Context) error {
	measure.Default.Count("users told to come back", 1)
	after := s.Jobs.Store.Budget().RetryAfter()
	if s.Jobs.Store.Unavailable() {
		after = outageRetryAfter
	}
	if !s.Ready() {
		// Makes the client reconnect, so that it can reach another controller that is ready.
		c.Response().Header().Set(headerConnection, connectionClose)
	}
	c.Response().Header().Set("Retry-After", retryAfterSeconds(after))
	return c.JSON(http.StatusServiceUnavailable, errorBody("not now"))
}

// respondNoSuchJob responds to a request for a job that was never accepted.
func respondNoSuchJob(c echo.Context) error {
	return c.JSON(http.StatusNotFound, errorBody("no such job"))
}

// retryAfterSeconds formats the value of a Retry-After header: whole seconds, rounded up, at least one.
func retryAfterSeconds(after time.Duration) string {
	return strconv.Itoa(max(1, int((after+time.Second-1)/time.Second)))
}
