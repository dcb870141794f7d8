package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/rehearsal"
)

func rehearseDrainCommand() *cobra.Command {
	options := rehearsal.DrainOptions{}
	command := &cobra.Command{
		Use: "drain", Short: "Replaces all machines in waves while controllers, machines and replacements fail, and checks every budget", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runRehearsal(cmd, options.Folder, &options.Program, func() (rehearsalResult, error) { return rehearsal.RunDrain(options) })
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Folder, "out", defaultFolder, folderHelp)
	flags.StringVar(&options.Program, "program", "", programHelp)
	flags.Uint64Var(&options.Seed, "seed", 1, seedHelp)
	flags.IntVar(&options.Controllers, "controllers", 5, controllersHelp)
	flags.IntVar(&options.Machines, "machines", 50, "stand-in machines, all of which are replaced")
	flags.IntVar(&options.Jobs, "jobs", 300, "low jobs beside the services")
	flags.DurationVar(&options.MaxDuration, "longest", 10*time.Minute, maxDurationHelp)
	flags.Float64Var(&options.LateCopies, "late-copies", 0, lateCopiesHelp)
	return command
}
