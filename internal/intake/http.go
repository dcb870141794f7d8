package intake

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Heartbeats answers workers' reports.
type Heartbeats interface {
	Heartbeat(ctx context.Context, rep *worker.Report) (*worker.Reply, int, worker.Redirect)
}

// Site is the HTTP interface of a controller.
type Site struct {
	Jobs       *JobService
	Heartbeats Heartbeats
	// Ready tells whether the node can take requests.
	Ready func() bool
	// Live explains a job as the leader sees it.
	Live func(ctx context.Context, id ids.Job) (lines []string, leader ids.Node, err error)
	// Status describes the node.
	Status func() any
	// Operators adds routes for operators; nil: there are none.
	Operators func(*echo.Echo)
	// Version is the program's, told with the answers to health checks: while it is
	// being replaced the controllers are told apart by it.
	Version string
}

// versionHeader names the program's version in the answers to health checks.
const versionHeader = "Pebbletrail-Version"

// Explanation is the answer of GET /v2/runs/{id}/explain.
type Explanation struct {
	UID    ids.Job        `json:"uid"`
	Status string         `json:"status"`
	Trail  []record.Event `json:"trail"`
	Now    []string       `json:"now,omitempty"`
	Owner  ids.Node       `json:"owner,omitempty"`
	Note   string         `json:"note,omitempty"`
}

// Handler builds the routes.
func (s *Site) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/agent/beat", s.heartbeat, s.limit(workerHeartbeat))
	e.GET("/up", func(c echo.Context) error {
		c.Response().Header().Set(versionHeader, s.Version)
		if !s.Ready() {
			return c.NoContent(503)
		}
		return c.NoContent(200)
	}, s.limit(unknown))
	users := s.limit(user)
	e.POST("/v2/runs", s.submit, users)
	e.GET("/v2/runs/:id", s.look, users)
	e.POST("/v2/runs/:id/cancel", s.cancel, users)
	e.GET("/v2/runs/:id/explain", s.explain, users)
	e.GET("/v2/status", func(c echo.Context) error { return c.JSON(200, s.Status()) }, s.limit(unknown))
	if s.Operators != nil {
		s.Operators(e)
	}
	return e
}

func (s *Site) heartbeat(c echo.Context) error {
	rep := &worker.Report{}
	if err := json.NewDecoder(io.LimitReader(c.Request().Body, 16<<20)).Decode(rep); err != nil || rep.Machine == "" {
		return c.JSON(400, map[string]string{"error": "not a report"})
	}
	reply, status, to := s.Heartbeats.Heartbeat(c.Request().Context(), rep)
	if reply != nil {
		return c.JSON(status, reply)
	}
	return c.JSON(status, to)
}

// later answers at once that this can't be done now, and when to come back.
func (s *Site) later(c echo.Context) error {
	measure.Process.Count("users told to come back", 1)
	after := s.Jobs.State.Budget().RetryAfter()
	if s.Jobs.State.Unavailable() {
		after = 2 * time.Second // it is asked twice a second, and takes a moment to serve all
	}
	if !s.Ready() {
		// Others can serve: the caller is to find one of them.
		c.Response().Header().Set("Connection", "close")
	}
	c.Response().Header().Set("Retry-After", retryAfter(after))
	return c.JSON(503, map[string]string{"error": "not now"})
}

func retryAfter(d time.Duration) string {
	n := max(1, int((d+time.Second-1)/time.Second))
	return strconv.Itoa(n)
}

func (s *Site) fail(c echo.Context, err error) error {
	var never errNever
	if errors.As(err, &never) {
		return c.JSON(422, map[string]string{"error": never.why})
	}
	return s.later(c)
}

// userPatience bounds the work on a user's call; users give up after 5 s.
const userPatience = 3500 * time.Millisecond

func (s *Site) submit(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), userPatience)
	defer cancel()
	spec, err := parse(c.Request().Body)
	if err != nil {
		return c.JSON(400, map[string]string{"error": err.Error()})
	}
	began := time.Now()
	a, known, err := s.Jobs.Submit(ctx, spec)
	measure.Process.Took("submission", began)
	if err != nil {
		return s.fail(c, err)
	}
	if known {
		return c.JSON(200, a)
	}
	return c.JSON(201, a)
}

func (s *Site) one(c echo.Context, patience time.Duration, f func(context.Context, ids.Job) (any, bool, error)) error {
	id, err := ids.ParseJob(c.Param("id"))
	if err != nil {
		return c.JSON(404, map[string]string{"error": "no such job"})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), patience)
	defer cancel()
	a, found, err := f(ctx, id)
	switch {
	case err != nil:
		return s.fail(c, err)
	case !found:
		return c.JSON(404, map[string]string{"error": "no such job"})
	}
	return c.JSON(200, a)
}

func (s *Site) look(c echo.Context) error {
	return s.one(c, 1800*time.Millisecond, func(ctx context.Context, id ids.Job) (any, bool, error) {
		defer measure.Process.Took("poll", time.Now())
		return wrap(s.Jobs.Look(ctx, id))
	})
}

func (s *Site) cancel(c echo.Context) error {
	return s.one(c, userPatience, func(ctx context.Context, id ids.Job) (any, bool, error) {
		return wrap(s.Jobs.Cancel(ctx, id))
	})
}

func wrap(a answer, found bool, err error) (any, bool, error) { return a, found, err }

func (s *Site) explain(c echo.Context) error {
	return s.one(c, userPatience, func(ctx context.Context, id ids.Job) (any, bool, error) {
		r, err := s.Jobs.Explain(ctx, id)
		if err != nil {
			// An operator asks most when the store is away: what is known is
			// told, as what it is.
			if r = s.Jobs.lastKnown(id); r == nil {
				return nil, false, err
			}
			return Explanation{UID: id, Status: "unknown", Trail: r.Trail,
				Note: "the state service does not answer this controller, which tells what it knew last; ask another one"}, true, nil
		}
		if r == nil {
			return nil, false, nil
		}
		return s.explanation(ctx, r), true, nil
	})
}

// explanation words what is known of a job: its trail, its pipeline, and, unless it is
// over or waits for others, what the leader says of its tasks.
func (s *Site) explanation(ctx context.Context, r *record.Record) Explanation {
	id := r.Spec.ID
	x := Explanation{UID: id, Status: tell(r).Status, Trail: r.Trail}
	lines, err := s.Jobs.explainPipeline(ctx, r)
	if err != nil {
		x.Note = err.Error()
	}
	if r.Status.Over() || s.Jobs.waits(id) {
		x.Now = lines
		return x
	}
	x.Now, x.Owner, err = s.Live(ctx, id)
	if err != nil {
		x.Note = err.Error()
	}
	x.Now = append(x.Now, lines...)
	return x
}
