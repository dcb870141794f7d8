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

// Where the commands are taken.
const (
	// Path lists all rollouts; a rollout is at its name below it.
	Path = "/v2/drains"
	// PlanPath makes a plan.
	PlanPath = "/v2/drain-plan"
)

// commandPatience bounds the work on one command.
const commandPatience = 4 * time.Second

// retryAfter is when to come back to a controller that can't carry a command out now.
const retryAfter = 2 * time.Second

// maxBody is the largest description that is read: thousands of machines' names.
const maxBody = 1 << 20

// Routes adds the operators' commands to a controller's interface. There is no sign-in, so they
// are taken from the controller's own machine only.
func (s *Service) Routes(e *echo.Echo) {
	operators := e.Group("", loopbackOnly)
	operators.GET(Path, answer(func(ctx context.Context, _ echo.Context) (any, error) { return s.List(ctx) }))
	operators.GET(Path+"/:name", answer(func(ctx context.Context, c echo.Context) (any, error) {
		return s.Status(ctx, Name(c.Param("name")))
	}))
	operators.POST(PlanPath, answer(func(ctx context.Context, c echo.Context) (any, error) {
		spec, err := readSpec(c)
		if err != nil {
			return nil, err
		}
		return s.Plan(ctx, spec)
	}))
	operators.POST(Path, answer(func(ctx context.Context, c echo.Context) (any, error) {
		spec, err := readSpec(c)
		if err != nil {
			return nil, err
		}
		return s.Start(ctx, spec)
	}))
	operators.POST(Path+"/:name/:command", answer(func(ctx context.Context, c echo.Context) (any, error) {
		return s.Do(ctx, Name(c.Param("name")), Command(c.Param("command")))
	}))
}

func readSpec(c echo.Context) (*Spec, error) {
	spec := &Spec{}
	decoder := json.NewDecoder(io.LimitReader(c.Request().Body, maxBody))
	if err := decoder.Decode(spec); err != nil {
		return nil, errors.Join(ErrBadSpec, err)
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

// answer has a command carried out and words what it came to.
func answer(command func(context.Context, echo.Context) (any, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), commandPatience)
		defer cancel()
		result, err := command(ctx, c)
		if err == nil {
			return c.JSON(http.StatusOK, result)
		}
		status := http.StatusServiceUnavailable
		switch {
		case errors.Is(err, ErrBadSpec):
			status = http.StatusUnprocessableEntity
		case errors.Is(err, ErrNotFound):
			status = http.StatusNotFound
		case errors.Is(err, ErrOtherContents), errors.Is(err, ErrOverlap), errors.Is(err, ErrBadMove), errors.Is(err, ErrSetAside):
			status = http.StatusConflict
		default:
			c.Response().Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
		}
		return c.JSON(status, map[string]string{"error": err.Error()})
	}
}
