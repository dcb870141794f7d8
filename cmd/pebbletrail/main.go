// Command pebbletrail is the controller of a cluster scheduler, with subcommands for its operators.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/config"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "pebbletrail: "+strings.ReplaceAll(err.Error(), "\n", " "))
		os.Exit(1)
	}
}

// rootCommand returns the root command, which runs the controller, with all subcommands.
func rootCommand() *cobra.Command {
	var files settingsFiles
	command := &cobra.Command{
		Use: "pebbletrail", Short: "Schedules jobs on rented machines",
		Long:          "Without a subcommand, serves as one of the controllers.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := files.load()
			if err != nil {
				return err
			}
			return serve(cmd.Context(), settings)
		},
	}
	flags := command.PersistentFlags()
	flags.StringVar(&files.platform, "config", "", "the platform's settings file (TOML)")
	flags.StringVar(&files.operators, "operators", os.Getenv("PEBBLETRAIL_OPERATORS"), "the operators' own settings (protobuf text format); optional")
	flags.StringVar(&files.features, "features", os.Getenv("PEBBLETRAIL_FEATURES"), "what is switched on, the same at all controllers (protobuf text format); optional")
	command.AddCommand(checkCommand(&files), versionCommand(), statusCommand(), explainCommand(), rehearseCommand(), drainCommand())
	return command
}

// settingsFiles holds the paths of the settings files given by flags.
type settingsFiles struct{ platform, operators, features string }

// errNoSettingsFile is returned if --config is missing.
var errNoSettingsFile = errors.New("--config FILE is required (see --help)")

// load reads and checks all settings files.
func (f *settingsFiles) load() (*config.Settings, error) {
	if f.platform == "" {
		return nil, errNoSettingsFile
	}
	settings, err := config.Load(f.platform, f.operators)
	if err != nil {
		return nil, err
	}
	if err := settings.LoadFeatures(f.features); err != nil {
		return nil, err
	}
	return settings, nil
}
