package main

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

func drainCommand() *cobra.Command {
	command := &cobra.Command{Use: "drain", Short: "Empties, returns and replaces machines in steps", Args: cobra.NoArgs,
		Long: "Commands are taken by a controller on this machine only. Each may be repeated."}
	command.AddCommand(drainPlanCommand(), drainStartCommand(), drainStatusCommand())
	for _, change := range []struct {
		command rollout.Command
		short   string
	}{
		{rollout.CommandPause, "Stops nothing more until it is resumed; machines stay closed to new work"},
		{rollout.CommandResume, "Goes on with a rollout that was paused or has halted"},
		{rollout.CommandAbort, "Ends a rollout; what is not empty yet goes back into service"},
	} {
		command.AddCommand(drainStateCommand(change.command, change.short))
	}
	return command
}

// printRolloutStatus calls a controller and prints the rollout status in its response.
func printRolloutStatus(cmd *cobra.Command, node, method, path string, body any) error {
	var status rollout.Status
	if err := callController(node, method, path, body, &status); err != nil {
		return err
	}
	status.Print(cmd.OutOrStdout())
	return nil
}

// drainStateCommand returns the command that pauses, resumes or aborts a rollout.
func drainStateCommand(change rollout.Command, short string) *cobra.Command {
	var node string
	command := &cobra.Command{
		Use: string(change) + " NAME", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return printRolloutStatus(cmd, node, http.MethodPost, rollout.Path+"/"+args[0]+"/"+string(change), nil)
		},
	}
	nodeFlag(command, &node)
	return command
}
