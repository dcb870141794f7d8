package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// errRehearsalFailed is returned if a rehearsal found a violation.
var errRehearsalFailed = errors.New("the rehearsal found violations; see its report")

// Help texts of the flags that all rehearsals have, and the default folder of their reports.
const (
	defaultFolder    = "target/rehearsal"
	folderHelp       = "folder for the record, the report and the controllers' logs"
	programHelp      = "the controllers' program; this one if empty"
	seedHelp         = "decides jobs and failures"
	controllersHelp  = "controller processes"
	maxDurationHelp  = "the run ends by then, whatever happens"
	lateCopiesHelp   = "share of the direct commands to machines, from 0 to 1, of which a copy arrives seconds after the answer"
	folderPermission = 0o700
)

func rehearseCommand() *cobra.Command {
	command := &cobra.Command{Use: "rehearse", Short: "Rehearses failures on stand-ins, on this machine alone", Args: cobra.NoArgs}
	command.AddCommand(rehearseQuotaCommand(), rehearseDrainCommand())
	return command
}

// rehearsalResult is the result of a rehearsal.
type rehearsalResult interface {
	Print(out io.Writer) error
	Failed() bool
}

// runRehearsal creates the folder, runs a rehearsal and prints its result. If *program is empty, it is
// set to the path of this executable. The error is errRehearsalFailed if the run found a violation.
func runRehearsal(cmd *cobra.Command, folder string, program *string, run func() (rehearsalResult, error)) error {
	if err := defaultProgram(program); err != nil {
		return err
	}
	if err := os.MkdirAll(folder, folderPermission); err != nil {
		return fmt.Errorf("create the rehearsal's folder: %w", err)
	}
	result, err := run()
	if err != nil {
		return err
	}
	if err := result.Print(cmd.OutOrStdout()); err != nil {
		return fmt.Errorf("print the rehearsal result: %w", err)
	}
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "record and report: %s\n", folder); err != nil {
		return fmt.Errorf("print the rehearsal result: %w", err)
	}
	if result.Failed() {
		return errRehearsalFailed
	}
	return nil
}

// defaultProgram sets an empty *program to the path of this executable.
func defaultProgram(program *string) error {
	if *program != "" {
		return nil
	}
	own, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of this executable: %w", err)
	}
	*program = own
	return nil
}
