package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/intake"
)

func explainCommand() *cobra.Command {
	var node string
	command := &cobra.Command{
		Use: "explain JOB", Short: "Tells why a job's tasks stopped, moved or wait", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := getFromController(node, "/v2/runs/"+args[0]+"/explain")
			if err != nil {
				return err
			}
			var explanation intake.Explanation
			if err := exactjson.Unmarshal(raw, &explanation); err != nil {
				return fmt.Errorf("decode the explanation of job %s: %w", args[0], err)
			}
			_, err = io.WriteString(cmd.OutOrStdout(), formatExplanation(&explanation))
			return err
		},
	}
	nodeFlag(command, &node)
	return command
}

// formatExplanation formats an explanation for terminal output: the job's events, oldest first, then the
// reasons that apply now.
func formatExplanation(explanation *intake.Explanation) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s\n", explanation.Job, explanation.Status)
	for _, event := range explanation.Events {
		fmt.Fprintf(&text, "  %s  %s\n", event.At.Time().UTC().Format("15:04:05.000"), event.Message)
	}
	for _, line := range explanation.Outlook {
		fmt.Fprintf(&text, "  now: %s\n", line)
	}
	if explanation.Note != "" {
		fmt.Fprintf(&text, "  note: %s\n", explanation.Note)
	}
	return text.String()
}
