package intake

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// outageRetryAfter is when a user may retry while the store does not answer: it is asked twice a
// second, and takes a moment to serve all.
const outageRetryAfter = 2 * time.Second

// headerConnection and connectionClose have the caller connect anew for its next request.
const (
	headerConnection = "Connection"
	connectionClose  = "close"
)

// errorBody is the body of an answer that refuses a request.
func errorBody(message string) map[string]string { return map[string]string{"error": message} }

// answerError refuses a request: for good if the error is a rejectedError, else for now.
func (s *Server) answerError(c echo.Context, err error) error {
	var rejected rejectedError
	if errors.As(err, &rejected) {
		return c.JSON(http.StatusUnprocessableEntity, errorBody(rejected.reason))
	}
	return s.answerUnavailable(c)
}

// answerUnavailable refuses a request for now and tells when to retry.
func (s *Server) answerUnavailable(c echo.Context) error {
	measure.Process.Count("users told to come back", 1)
	after := s.Jobs.Store.Budget().RetryAfter()
	if s.Jobs.Store.Unavailable() {
		after = outageRetryAfter
	}
	if !s.Ready() {
		// Others can serve: the caller is to find one of them.
		c.Response().Header().Set(headerConnection, connectionClose)
	}
	c.Response().Header().Set("Retry-After", retryAfterSeconds(after))
	return c.JSON(http.StatusServiceUnavailable, errorBody("not now"))
}

// answerNoSuchJob answers a request that names a job which was never accepted.
func answerNoSuchJob(c echo.Context) error {
	return c.JSON(http.StatusNotFound, errorBody("no such job"))
}

// retryAfterSeconds is the value of a Retry-After header: whole seconds, rounded up, at least one.
func retryAfterSeconds(after time.Duration) string {
	return strconv.Itoa(max(1, int((after+time.Second-1)/time.Second)))
}
