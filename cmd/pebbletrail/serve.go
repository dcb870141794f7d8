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

// Settings of the Go runtime within the resources of this process.
const (
	// heapShare is the share of the process's memory that is set as the Go runtime's memory limit. The
	// rest is for stacks, sockets and the program itself.
	heapShare = 0.65
	// gcPercent is higher than the default, so that the heap grows further before a garbage collection.
	gcPercent = 200
)

// serve runs the controller until the process is killed.
func serve(ctx context.Context, settings *config.Settings) error {
	configureLogging(os.Getenv("LOG_LEVEL"))
	applyRuntimeLimits(settings.Params.Limits)
	users, err := net.Listen("tcp4", settings.ClientListen)
	if err != nil {
		return fmt.Errorf("listen on client_listen: %w", err)
	}
	cluster, err := net.Listen("tcp4", settings.ClusterListen)
	if err != nil {
		return fmt.Errorf("listen on cluster_listen: %w", err)
	}
	// The incarnation must be unique among all processes of a node, even after a restart within the same
	// millisecond.
	incarnation := fmt.Sprintf("%s.%x.%x", settings.HostName, time.Now().UnixMilli(), rand.Uint32())
	slog.Info("starting", "version", version, "node", settings.HostName, "incarnation", incarnation)
	return newController(settings, incarnation).run(ctx, users, cluster)
}

// configureLogging sets the default logger, which writes messages of the given level and above to
// standard error.
func configureLogging(level string) {
	minLevel := slog.LevelInfo
	switch strings.ToLower(level) {
	case "error":
		minLevel = slog.LevelError
	case "debug":
		minLevel = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: minLevel})))
}

// applyRuntimeLimits configures the Go runtime for the memory and cores that this process may use.
func applyRuntimeLimits(limits config.MachineLimits) {
	debug.SetMemoryLimit(int64(limits.RAMMB * heapShare * 1024 * 1024))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(1, int(limits.Cores+0.99)))
}
