package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

func checkCommand(files *settingsFiles) *cobra.Command {
	return &cobra.Command{
		Use: "check", Short: "Checks the settings without serving", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := files.load()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: good; node %s, %d others, %d teams\n",
				files.platform, settings.HostName, len(settings.Peers), len(settings.Params.Teams))
			return err
		},
	}
}
