package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/rehearsal"
)

// errRehearsalFailed tells that a rehearsal found what must not happen.
var errRehearsalFailed = errors.New("the rehearsal failed; see its report")

func rehearseCommand() *cobra.Command {
	c := &cobra.Command{Use: "rehearse", Short: "Rehearses failures on stand-ins, on this machine alone", Args: cobra.NoArgs}
	c.AddCommand(rehearseQuotaCommand(), rehearseDrainCommand())
	return c
}

func rehearseQuotaCommand() *cobra.Command {
	options := rehearsal.QuotaOptions{}
	c := &cobra.Command{
		Use: "quota", Short: "Floods controllers with submissions while they fail, and checks every team's limit", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := defaultProgram(&options.Program); err != nil {
				return err
			}
			if err := os.MkdirAll(options.Folder, 0o700); err != nil {
				return err
			}
			found, err := rehearsal.RunQuota(options)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%d jobs, %d accepted, %d refusals, %d starts, %d changes of the state service in %v\n",
				found.Jobs, found.Accepted, found.Refusals, found.Starts, found.Changes, found.Took.Round(time.Second))
			fmt.Fprintf(out, "breaches of a limit: %d; tasks doubled: %d; accepted jobs never started: %d; waits within the guarantee: %v\n",
				len(found.Breaches), len(found.Doubled), len(found.Unserved), found.GuaranteeWaits)
			fmt.Fprintf(out, "transfers of allowance: %d\n", found.Transfers)
			for _, breach := range found.Breaches {
				fmt.Fprintln(out, breach)
			}
			if found.Midway != "" {
				fmt.Fprintln(out, "ended before its time:", found.Midway)
			}
			fmt.Fprintf(out, "record and report: %s\n", options.Folder)
			if found.Failed() {
				return errRehearsalFailed
			}
			return nil
		},
	}
	flags := c.Flags()
	flags.StringVar(&options.Folder, "out", "target/rehearsal", "folder for the record, the report and the controllers' logs")
	flags.StringVar(&options.Program, "program", "", "the controllers' program; this one if empty")
	flags.Uint64Var(&options.Seed, "seed", 1, "decides jobs and failures")
	flags.IntVar(&options.Controllers, "controllers", 5, "controller processes")
	flags.IntVar(&options.Machines, "machines", 3, "stand-in machines to rent, of 8 cores and 2 accelerators")
	flags.IntVar(&options.Shards, "shards", 1, "shards of the machine pool, each with a leader")
	flags.IntVar(&options.Jobs, "jobs", 1000, "jobs submitted at the same moment, twice")
	flags.DurationVar(&options.Within, "within", 20*time.Second, "how soon a guarantee has to be reached")
	flags.DurationVar(&options.Longest, "longest", 10*time.Minute, "the run ends by then, whatever happens")
	return c
}

// defaultProgram names this program's own file where none is given.
func defaultProgram(program *string) (err error) {
	if *program == "" {
		*program, err = os.Executable()
	}
	return err
}

func rehearseDrainCommand() *cobra.Command {
	options := rehearsal.DrainOptions{}
	c := &cobra.Command{
		Use: "drain", Short: "Replaces all machines in waves while controllers, machines and replacements fail, and checks every budget", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := defaultProgram(&options.Program); err != nil {
				return err
			}
			if err := os.MkdirAll(options.Folder, 0o700); err != nil {
				return err
			}
			found, err := rehearsal.RunDrain(options)
			if err != nil {
				return err
			}
			found.Print(cmd.OutOrStdout())
			fmt.Fprintf(cmd.OutOrStdout(), "record and report: %s\n", options.Folder)
			if found.Failed() {
				return errRehearsalFailed
			}
			return nil
		},
	}
	flags := c.Flags()
	flags.StringVar(&options.Folder, "out", "target/rehearsal", "folder for the record, the report and the controllers' logs")
	flags.StringVar(&options.Program, "program", "", "the controllers' program; this one if empty")
	flags.Uint64Var(&options.Seed, "seed", 1, "decides jobs and failures")
	flags.IntVar(&options.Controllers, "controllers", 5, "controller processes")
	flags.IntVar(&options.Machines, "machines", 50, "stand-in machines, all of which are replaced")
	flags.IntVar(&options.Jobs, "jobs", 300, "low jobs beside the services")
	flags.DurationVar(&options.Longest, "longest", 10*time.Minute, "the run ends by then, whatever happens")
	return c
}
