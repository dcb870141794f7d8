package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/rehearsal"
)

func rehearseQuotaCommand() *cobra.Command {
	options := rehearsal.QuotaOptions{}
	command := &cobra.Command{
		Use: "quota", Short: "Floods controllers with submissions while they fail, and checks every team's limit", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runRehearsal(cmd, options.Folder, &options.Program, func() (rehearsalResult, error) { return rehearsal.RunQuota(options) })
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Folder, "out", defaultFolder, folderHelp)
	flags.StringVar(&options.Program, "program", "", programHelp)
	flags.Uint64Var(&options.Seed, "seed", 1, seedHelp)
	flags.IntVar(&options.Controllers, "controllers", 5, controllersHelp)
	flags.IntVar(&options.Machines, "machines", 3, "stand-in machines to rent, of 8 cores and 2 accelerators")
	flags.IntVar(&options.Shards, "shards", 1, "shards of the machine pool, each with a leader")
	flags.IntVar(&options.Jobs, "jobs", 1000, "jobs submitted at the same moment, twice")
	flags.DurationVar(&options.GuaranteeTimeout, "within", 20*time.Second, "how soon a guarantee has to be reached")
	flags.DurationVar(&options.MaxDuration, "longest", 10*time.Minute, maxDurationHelp)
	flags.Float64Var(&options.LateCopies, "late-copies", 0, lateCopiesHelp)
	return command
}
