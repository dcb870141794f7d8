package main

import (
	"errors"
	"fmt"
	"io"
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

// findings are what a rehearsal came to.
type findings interface {
	Print(out io.Writer)
	Failed() bool
}

// rehearse runs a rehearsal in its folder and tells what it came to.
func rehearse(cmd *cobra.Command, folder string, program *string, run func() (findings, error)) error {
	if err := defaultProgram(program); err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	found, err := run()
	if err != nil {
		return err
	}
	found.Print(cmd.OutOrStdout())
	fmt.Fprintf(cmd.OutOrStdout(), "record and report: %s\n", folder)
	if found.Failed() {
		return errRehearsalFailed
	}
	return nil
}

func rehearseQuotaCommand() *cobra.Command {
	options := rehearsal.QuotaOptions{}
	c := &cobra.Command{
		Use: "quota", Short: "Floods controllers with submissions while they fail, and checks every team's limit", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return rehearse(cmd, options.Folder, &options.Program, func() (findings, error) { return rehearsal.RunQuota(options) })
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

func rehearseDrainCommand() *cobra.Command {
	options := rehearsal.DrainOptions{}
	c := &cobra.Command{
		Use: "drain", Short: "Replaces all machines in waves while controllers, machines and replacements fail, and checks every budget", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return rehearse(cmd, options.Folder, &options.Program, func() (findings, error) { return rehearsal.RunDrain(options) })
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

// defaultProgram names this program's own file where none is given.
func defaultProgram(program *string) (err error) {
	if *program == "" {
		*program, err = os.Executable()
	}
	return err
}
