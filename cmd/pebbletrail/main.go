// Command pebbletrail is the controller of a cluster scheduler, and the few
// tools that its operators need beside it.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/intake"
)

var version = "0.2.0"

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "pebbletrail: "+strings.ReplaceAll(err.Error(), "\n", " "))
		os.Exit(1)
	}
}

// settingsFiles are the files that the flags name.
type settingsFiles struct{ platform, operators, features string }

// load reads and checks the settings.
func (f *settingsFiles) load() (*config.Settings, error) {
	if f.platform == "" {
		return nil, fmt.Errorf("--config FILE is needed (see --help)")
	}
	set, err := config.Load(f.platform, f.operators)
	if err != nil {
		return nil, err
	}
	return set, set.LoadFeatures(f.features)
}

func root() *cobra.Command {
	var files settingsFiles
	r := &cobra.Command{
		Use: "pebbletrail", Short: "Schedules jobs on rented machines",
		Long:          "Without a subcommand, serves as one of the controllers.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := files.load()
			if err != nil {
				return err
			}
			return serve(cmd.Context(), set)
		},
	}
	r.PersistentFlags().StringVar(&files.platform, "config", "", "the platform's settings file (TOML)")
	r.PersistentFlags().StringVar(&files.operators, "operators", os.Getenv("PEBBLETRAIL_OPERATORS"), "the operators' own settings (protobuf text format); optional")
	r.PersistentFlags().StringVar(&files.features, "features", os.Getenv("PEBBLETRAIL_FEATURES"), "what is switched on, the same at all controllers (protobuf text format); optional")
	r.AddCommand(checkCommand(&files), versionCommand(), statusCommand(), explainCommand(), rehearseCommand(), drainCommand())
	return r
}

func checkCommand(files *settingsFiles) *cobra.Command {
	return &cobra.Command{
		Use: "check", Short: "Checks the settings without serving", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := files.load()
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good; node %s, %d others, %d teams\n", files.platform, set.HostName, len(set.Others), len(set.Params.Teams))
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Prints the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "pebbletrail", version) },
	}
}

// nodeFlag adds the flag that names the controller to ask.
func nodeFlag(c *cobra.Command, node *string) {
	c.Flags().StringVar(node, "node", "127.0.0.1:8080", "address of a controller's users' side")
}

func statusCommand() *cobra.Command {
	var node string
	c := &cobra.Command{
		Use: "status", Short: "Asks a running controller how it fares", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			raw, err := ask(node, "/v2/status")
			if err != nil {
				return err
			}
			return pretty(cmd.OutOrStdout(), raw)
		},
	}
	nodeFlag(c, &node)
	return c
}

func explainCommand() *cobra.Command {
	var node string
	c := &cobra.Command{
		Use: "explain JOB", Short: "Tells why a job's tasks stopped, moved or wait", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := ask(node, "/v2/runs/"+args[0]+"/explain")
			if err != nil {
				return err
			}
			var x intake.Explanation
			if err := json.Unmarshal(raw, &x); err != nil {
				return err
			}
			printExplanation(cmd.OutOrStdout(), &x)
			return nil
		},
	}
	nodeFlag(c, &node)
	return c
}

func printExplanation(out io.Writer, x *intake.Explanation) {
	fmt.Fprintf(out, "%s: %s\n", x.UID, x.Status)
	for _, e := range x.Trail {
		fmt.Fprintf(out, "  %s  %s\n", e.At.Time().UTC().Format("15:04:05.000"), e.What)
	}
	for _, l := range x.Now {
		fmt.Fprintf(out, "  now: %s\n", l)
	}
	if x.Note != "" {
		fmt.Fprintf(out, "  note: %s\n", x.Note)
	}
}

// ask gets a page of a controller.
func ask(node, path string) ([]byte, error) {
	c := http.Client{Timeout: 5 * time.Second}
	res, err := c.Get("http://" + node + path)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, 4<<20))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != 200 {
		return nil, fmt.Errorf("%s answers %s", node, res.Status)
	}
	return raw, nil
}

// pretty writes JSON with indentation.
func pretty(w io.Writer, raw []byte) error {
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
