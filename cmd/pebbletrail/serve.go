package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
)

// How the Go runtime uses what the machine gives this process.
const (
	// heapShare is the part of the memory that the runtime may use; the rest is for stacks,
	// sockets and the program itself.
	heapShare = 0.65
	// gcPercent lets the heap grow further than by default before it is collected.
	gcPercent = 200
)

// serve runs the controller until it is killed.
func serve(ctx context.Context, settings *config.Settings) error {
	logFrom(os.Getenv("LOG_LEVEL"))
	applyLimits(settings.Params.Limits)
	users, err := net.Listen("tcp4", settings.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	cluster, err := net.Listen("tcp4", settings.ClusterListen)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	// Processes of one node must never share a name, nor repeat one after a
	// restart within the same millisecond.
	incarnation := fmt.Sprintf("%s.%x.%x", settings.HostName, time.Now().UnixMilli(), rand.Uint32())
	slog.Info("starting", "version", version, "node", settings.HostName, "incarnation", incarnation)
	return newController(settings, incarnation).run(ctx, users, cluster)
}

// logFrom logs to standard error from a level on.
func logFrom(level string) {
	from := slog.LevelInfo
	switch strings.ToLower(level) {
	case "error":
		from = slog.LevelError
	case "debug":
		from = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: from})))
}

// applyLimits keeps the Go runtime within what the machine gives this process.
func applyLimits(limits config.MachineLimits) {
	debug.SetMemoryLimit(int64(limits.RAMMB * heapShare * 1024 * 1024))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(1, int(limits.Cores+0.99)))
}
