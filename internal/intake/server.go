package intake

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// HeartbeatHandler handles the heartbeats of workers. It returns a batch of commands, or a redirect if the
// batch is nil, and the HTTP status of the response.
type HeartbeatHandler interface {
	Heartbeat(ctx context.Context, rep *worker.Report) (*worker.CommandBatch, int, worker.Redirect)
}

// Server is the HTTP interface of a controller for users, workers' heartbeats, health checks and operators.
type Server struct {
	Jobs       *JobService
	Heartbeats HeartbeatHandler
	// Ready reports whether the controller can serve requests.
	Ready func() bool
	// ExplainByLeader returns the leader's explanation of a job, and the leader's name.
	ExplainByLeader func(ctx context.Context, id ids.Job) (lines []string, leader ids.Node, err error)
	// NodeStatus returns the controller's status, the response body of GET /v2/status.
	NodeStatus func() any
	// OperatorRoutes adds the routes for operators; nil adds none.
	OperatorRoutes func(*echo.Echo)
	// Version is the program's version. Health check responses contain it, to distinguish the controllers
	// during an upgrade.
	Version string
}

// versionHeader is the response header that contains the program's version in health checks.
const versionHeader = "Pebbletrail-Version"

// Time limits for processing a user's request; users give up after 5 s.
const (
	requestTimeout = 3500 * time.Millisecond
	statusTimeout  = 1800 * time.Millisecond
)

// maxHeartbeatBytes is the maximum number of bytes read from the body of a heartbeat.
const maxHeartbeatBytes = 16 << 20

// Handler returns the HTTP handler with all routes.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/agent/beat", s.heartbeat, s.limitConnections(workerClient))
	e.GET("/up", s.health, s.limitConnections(unknownClient))
	users := s.limitConnections(userClient)
	e.POST("/v2/runs", s.submit, users)
	e.GET("/v2/runs/:id", s.status, users)
	e.POST("/v2/runs/:id/cancel", s.cancel, users)
	e.GET("/v2/runs/:id/explain", s.explain, users)
	e.GET("/v2/status", s.nodeStatus, s.limitConnections(unknownClient))
	if s.OperatorRoutes != nil {
		s.OperatorRoutes(e)
	}
	return e
}

func (s *Server) health(c echo.Context) error {
	c.Response().Header().Set(versionHeader, s.Version)
	if !s.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) nodeStatus(c echo.Context) error { return c.JSON(http.StatusOK, s.NodeStatus()) }

func (s *Server) heartbeat(c echo.Context) error {
	report := &worker.Report{}
	body := io.LimitReader(c.Request().Body, maxHeartbeatBytes)
	if err := exactjson.NewDecoder(body).Decode(report); err != nil || report.Machine == "" {
		return c.JSON(http.StatusBadRequest, errorBody("not a report"))
	}
	reply, status, redirect := s.Heartbeats.Heartbeat(c.Request().Context(), report)
	if reply != nil {
		return c.JSON(status, reply)
	}
	return c.JSON(status, redirect)
}

func (s *Server) submit(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	spec, err := parseSubmission(c.Request().Body)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody(err.Error()))
	}
	start := time.Now()
	summary, alreadyAccepted, err := s.Jobs.submit(ctx, spec)
	measure.Default.Took("submission", start)
	if err != nil {
		return s.respondError(c, err)
	}
	if alreadyAccepted {
		return c.JSON(http.StatusOK, summary.response())
	}
	return c.JSON(http.StatusCreated, summary.response())
}

func (s *Server) status(c echo.Context) error {
	return s.respondForJob(c, statusTimeout, func(ctx context.Context, id ids.Job) (any, bool, error) {
		defer measure.Default.Took("poll", time.Now())
		summary, found, err := s.Jobs.status(ctx, id)
		return summary.response(), found, err
	})
}

func (s *Server) cancel(c echo.Context) error {
	return s.respondForJob(c, requestTimeout, func(ctx context.Context, id ids.Job) (any, bool, error) {
		summary, found, err := s.Jobs.cancel(ctx, id)
		return summary.response(), found, err
	})
}

// respondForJob responds to a request for the job named in its path. It limits the call of handle by a
// timeout.
func (s *Server) respondForJob(c echo.Context, timeout time.Duration, handle func(context.Context, ids.Job) (body any, found bool, err error)) error {
	id, err := ids.ParseJob(c.Param("id"))
	if err != nil {
		return respondNoSuchJob(c)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), timeout)
	defer cancel()
	body, found, err := handle(ctx, id)
	switch {
	case err != nil:
		return s.respondError(c, err)
	case !found:
		return respondNoSuchJob(c)
	}
	return c.JSON(http.StatusOK, body)
}
