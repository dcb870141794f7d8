package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

func drainCommand() *cobra.Command {
	c := &cobra.Command{Use: "drain", Short: "Empties, returns and replaces machines in steps", Args: cobra.NoArgs,
		Long: "Commands are taken by a controller on this machine only. Each may be repeated."}
	c.AddCommand(drainPlanCommand(), drainStartCommand(), drainStatusCommand())
	for _, command := range []struct {
		command rollout.Command
		short   string
	}{
		{rollout.PauseIt, "Stops nothing more until it is resumed; machines stay closed to new work"},
		{rollout.ResumeIt, "Goes on with a rollout that was paused or has halted"},
		{rollout.AbortIt, "Ends a rollout; what is not empty yet goes back into service"},
	} {
		c.AddCommand(drainStateCommand(command.command, command.short))
	}
	return c
}

// specFlags are the flags that describe a rollout.
type specFlags struct {
	spec                     rollout.Spec
	machines                 []string
	pause, deadline, observe time.Duration
	atDeadline               string
}

func (f *specFlags) add(c *cobra.Command) {
	flags := c.Flags()
	flags.StringSliceVar(&f.machines, "machines", nil, "names of machines, separated by commas")
	flags.StringVar(&f.spec.Select.Zone, "zone", "", "all machines of a zone, which is closed to new ones unless they are replaced")
	flags.StringVar(&f.spec.Select.Type, "type", "", "all machines of a type")
	flags.BoolVar(&f.spec.Select.Older, "older", false, "all machines rented before the start")
	flags.BoolVar(&f.spec.Replace, "replace", false, "rent a machine of the same kind for each one returned")
	flags.BoolVar(&f.spec.Surge, "surge", false, "rent first: stop nothing before there is room for it")
	flags.IntVar(&f.spec.WaveSize, "wave", 1, "machines in a wave")
	flags.DurationVar(&f.pause, "pause", 0, "between waves")
	flags.DurationVar(&f.deadline, "deadline", 10*time.Minute, "of a step: until a replacement has to be up, and --at-deadline applies")
	flags.StringVar(&f.atDeadline, "at-deadline", string(rollout.Wait), "what becomes of tasks that can't save: wait or stop")
	flags.DurationVar(&f.observe, "observe", time.Minute, "how long replacements are watched before the next wave")
}

// describe is the description that the flags make.
func (f *specFlags) describe(name string) *rollout.Spec {
	spec := f.spec
	spec.Name, spec.AtDeadline = rollout.Name(name), rollout.AtDeadline(f.atDeadline)
	spec.Pause, spec.Deadline, spec.Observe = ids.Seconds(f.pause.Seconds()), ids.Seconds(f.deadline.Seconds()), ids.Seconds(f.observe.Seconds())
	for _, machine := range f.machines {
		spec.Select.Machines = append(spec.Select.Machines, ids.Machine(machine))
	}
	return &spec
}

func drainPlanCommand() *cobra.Command {
	var node string
	var flags specFlags
	c := &cobra.Command{
		Use: "plan NAME", Short: "Tells what a rollout would do now, and what would block it; changes nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var plan rollout.Preview
			if err := command(node, http.MethodPost, rollout.PlanPath, flags.describe(args[0]), &plan); err != nil {
				return err
			}
			plan.Print(cmd.OutOrStdout())
			return nil
		},
	}
	nodeFlag(c, &node)
	flags.add(c)
	return c
}

func drainStartCommand() *cobra.Command {
	var node string
	var flags specFlags
	c := &cobra.Command{
		Use: "start NAME", Short: "Starts a rollout; the same start again changes nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return printStatus(cmd, node, http.MethodPost, rollout.Path, flags.describe(args[0]))
		},
	}
	nodeFlag(c, &node)
	flags.add(c)
	return c
}

func drainStatusCommand() *cobra.Command {
	var node string
	c := &cobra.Command{
		Use: "status [NAME]", Short: "Tells how a rollout stands and what each machine waits for; without a name lists all", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return printStatus(cmd, node, http.MethodGet, rollout.Path+"/"+args[0], nil)
			}
			var all []*rollout.Status
			if err := command(node, http.MethodGet, rollout.Path, nil, &all); err != nil {
				return err
			}
			for _, status := range all {
				status.Print(cmd.OutOrStdout())
			}
			return nil
		},
	}
	nodeFlag(c, &node)
	return c
}

func drainStateCommand(what rollout.Command, short string) *cobra.Command {
	var node string
	c := &cobra.Command{
		Use: string(what) + " NAME", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return printStatus(cmd, node, http.MethodPost, rollout.Path+"/"+args[0]+"/"+string(what), nil)
		},
	}
	nodeFlag(c, &node)
	return c
}

// printStatus calls a controller and prints the status that it answers with.
func printStatus(cmd *cobra.Command, node, method, path string, body any) error {
	var status rollout.Status
	if err := command(node, method, path, body, &status); err != nil {
		return err
	}
	status.Print(cmd.OutOrStdout())
	return nil
}

// maxAnswer is the largest answer of a controller that is read.
const maxAnswer = 16 << 20

// command calls a controller and reads its answer, or the reason why it refuses.
func command(node, method, path string, body, answer any) error {
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequest(method, "http://"+node+path, &content)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return err
	}
	if res.StatusCode == http.StatusOK {
		return json.Unmarshal(raw, answer)
	}
	var refusal struct {
		Error   string `json:"error"`
		Message string `json:"message"`
	}
	if json.Unmarshal(raw, &refusal) == nil && refusal.Error != "" {
		return errors.New(refusal.Error)
	}
	if res.StatusCode == http.StatusNotFound && refusal.Message != "" {
		return fmt.Errorf("%s does not know drains: name drains in the features' file (docs/operations-drains.md)", node)
	}
	return fmt.Errorf("%s answers %s", node, res.Status)
}
