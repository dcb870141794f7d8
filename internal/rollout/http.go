package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// Paths of the operators' commands.
const (
	// Path lists all rollouts; a rollout is at its name below it.
	Path = "/v2/drains"
	// PlanPath makes a plan.
	PlanPath = "/v2/drain-plan"
)

// commandTimeout bounds the work on one command.
const commandTimeout = 4 * time.Second

// retryAfter is when to retry a command that can't be carried out now.
const retryAfter = 2 * time.Second

// maxBodyBytes is the largest description that is read: it may name thousands of machines.
const maxBodyBytes = 1 << 20

// Routes adds the operators' commands to a controller's interface. There is no authentication, so
// they are accepted from the controller's own machine only.
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

// readSpec reads a description; one that can't be read is as bad as one that can't be carried out.
func readSpec(c echo.Context) (*Spec, error) {
	spec := &Spec{}
	decoder := json.NewDecoder(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err := decoder.Decode(spec); err != nil {
		return nil, errors.Join(ErrInvalidSpec, err)
	}
	spec.Select.Digest = "" // follows from the names
	return spec, nil
}

// loopbackOnly turns away whoever does not call from this machine.
func loopbackOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		host, _, err := net.SplitHostPort(c.Request().RemoteAddr)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return c.JSON(http.StatusForbidden, map[string]string{"error": "drains are commanded from the controller's own machine only"})
		}
		return next(c)
	}
}

// handle has a command carried out and answers with its result or its error.
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

// statusCode is how a command's error is answered. What is none of the errors here may be retried.
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
