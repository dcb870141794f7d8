package rollout

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
)

// HTTP paths of the operators' commands.
const (
	// Path is the collection of all rollouts; each rollout is at Path/NAME.
	Path = "/v2/drains"
	// PlanPath returns a plan for a specification without starting a rollout.
	PlanPath = "/v2/drain-plan"
)

// commandTimeout is the maximum time for the execution of one command.
const commandTimeout = 4 * time.Second

// retryAfter is the delay after which clients should retry a command that failed temporarily.
const retryAfter = 2 * time.Second

// maxBodyBytes is the maximum size of a specification in a request: it may name thousands of machines.
const maxBodyBytes = 1 << 20

// Routes registers the operators' commands on a controller's HTTP server. The commands have no
// authentication, so they are accepted only from the controller's own machine.
func (s *Service) Routes(server *echo.Echo) {
	operators := server.Group("", loopbackOnly)
	operators.GET(Path, handle(func(ctx context.Context, _ echo.Context) (any, error) {
		return s.List(ctx)
	}))
	operators.GET(Path+"/:name", handle(func(ctx context.Context, c echo.Context) (any, error) {
		return s.Status(ctx, Name(c.Param("name")))
	}))
	operators.POST(PlanPath, handle(func(ctx context.Context, c echo.Context) (any, error) {
		spec, err := readSpec(c)
		if err != nil {
			return nil, err
		}
		return s.Plan(ctx, spec)
	}))
	operators.POST(Path, handle(func(ctx context.Context, c echo.Context) (any, error) {
		spec, err := readSpec(c)
		if err != nil {
			return nil, err
		}
		return s.Start(ctx, spec)
	}))
	operators.POST(Path+"/:name/:command", handle(func(ctx context.Context, c echo.Context) (any, error) {
		return s.Execute(ctx, Name(c.Param("name")), Command(c.Param("command")))
	}))
}

// readSpec decodes a specification from a request body. A body that does not decode is reported as
// ErrInvalidSpec, like an invalid specification.
func readSpec(c echo.Context) (*Spec, error) {
	spec := &Spec{}
	decoder := exactjson.NewDecoder(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err := decoder.Decode(spec); err != nil {
		return nil, errors.Join(ErrInvalidSpec, err)
	}
	spec.Select.Digest = "" // computed from the machine names
	return spec, nil
}

// loopbackOnly rejects requests that do not come from a loopback address.
func loopbackOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		host, _, err := net.SplitHostPort(c.Request().RemoteAddr)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return c.JSON(http.StatusForbidden, map[string]string{"error": "drains are commanded from the controller's own machine only"})
		}
		return next(c)
	}
}

// handle returns a handler that executes a command and responds with its result or its error.
func handle(command func(context.Context, echo.Context) (any, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), commandTimeout)
		defer cancel()
		result, err := command(ctx, c)
		if err == nil {
			return c.JSON(http.StatusOK, result)
		}
		status := statusCode(err)
		if status == http.StatusServiceUnavailable {
			c.Response().Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
		}
		return c.JSON(status, map[string]string{"error": err.Error()})
	}
}

// statusCode returns the HTTP status for an error of a command. Clients may retry after any error that is
// not listed here.
func statusCode(err error) int {
	switch {
	case errors.Is(err, ErrInvalidSpec):
		return http.StatusUnprocessableEntity
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, ErrSpecConflict), errors.Is(err, ErrOverlap), errors.Is(err, ErrInvalidTransition), errors.Is(err, ErrUnreadable):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}
