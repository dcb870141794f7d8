package main

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

func drainStatusCommand() *cobra.Command {
	var node string
	command := &cobra.Command{
		Use: "status [NAME]", Short: "Tells how a rollout stands and what each machine waits for; without a name lists all", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return printRolloutStatus(cmd, node, http.MethodGet, rollout.Path+"/"+args[0], nil)
			}
			return printAllRollouts(cmd, node)
		},
	}
	nodeFlag(command, &node)
	return command
}

// printAllRollouts prints the status of every rollout.
func printAllRollouts(cmd *cobra.Command, node string) error {
	var all []*rollout.Status
	if err := callController(node, http.MethodGet, rollout.Path, nil, &all); err != nil {
		return err
	}
	for _, status := range all {
		status.Print(cmd.OutOrStdout())
	}
	return nil
}
