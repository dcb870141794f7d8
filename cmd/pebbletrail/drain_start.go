package main

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

func drainStartCommand() *cobra.Command {
	var node string
	var flags rolloutFlags
	command := &cobra.Command{
		Use: "start NAME", Short: "Starts a rollout; the same start again changes nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return printRolloutStatus(cmd, node, http.MethodPost, rollout.Path, flags.toSpec(args[0]))
		},
	}
	nodeFlag(command, &node)
	flags.add(command)
	return command
}
