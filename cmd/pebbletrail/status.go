package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
)

func statusCommand() *cobra.Command {
	var node string
	command := &cobra.Command{
		Use: "status", Short: "Asks a running controller how it fares", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			raw, err := getFromController(node, "/v2/status")
			if err != nil {
				return err
			}
			return writeIndented(cmd.OutOrStdout(), raw)
		},
	}
	nodeFlag(command, &node)
	return command
}

// writeIndented writes JSON with indentation.
func writeIndented(out io.Writer, raw []byte) error {
	var value any
	if err := exactjson.Unmarshal(raw, &value); err != nil {
		return fmt.Errorf("decode the status of the controller: %w", err)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
