package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// version is the version of this program.
var version = "0.2.0"

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Prints the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "pebbletrail", version)
			return err
		},
	}
}
