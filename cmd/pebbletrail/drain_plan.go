package main

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

func drainPlanCommand() *cobra.Command {
	var node string
	var flags rolloutFlags
	command := &cobra.Command{
		Use: "plan NAME", Short: "Tells what a rollout would do now, and what would block it; changes nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var plan rollout.Plan
			if err := callController(node, http.MethodPost, rollout.PlanPath, flags.toSpec(args[0]), &plan); err != nil {
				return err
			}
			plan.Print(cmd.OutOrStdout())
			return nil
		},
	}
	nodeFlag(command, &node)
	flags.add(command)
	return command
}
