package reconcile

import (
	"log/slog"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// fencer raises the fencing token of a machine's commands before its worker forgets a task. A worker that
// forgot a task would execute a copy of the task's start (protocol, Workers: "after clear the attempt is no
// longer known to the worker"), and only a higher token makes it reject the copy.
type fencer struct{ cluster Cluster }

// fence returns the commands that the response to a heartbeat may carry, and raises the machine's fencing
// token if one of them clears an outcome or if the caller needs proof that missing tasks cannot start again.
// Clears are held back while direct commands are in flight, which the worker would reject after the response.
func (f *fencer) fence(machine *worker.Machine, commands []worker.Command, proofNeeded bool, tokens ids.TokenRange) []worker.Command {
	if !proofNeeded && !slices.ContainsFunc(commands, isClear) {
		return commands
	}
	if machine.CommandsInFlight {
		measure.Default.Count("clears held back", 1)
		return slices.DeleteFunc(commands, isClear)
	}
	before := machine.CommandToken(tokens)
	if !machine.RaiseToken(tokens) {
		slog.Info("no fencing token left for a machine, reserving others", "machine", machine.Name, "token", before)
		f.cluster.ReserveTokens()
		return slices.DeleteFunc(commands, isClear)
	}
	if machine.CommandToken(tokens) > before {
		measure.Default.Count("machine tokens raised", 1)
	}
	return commands
}

// isClear reports whether a command makes a worker forget a task that ended.
func isClear(command worker.Command) bool { return command.Verb == worker.VerbClear }
