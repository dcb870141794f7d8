package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// rolloutFlags holds the values of the flags that describe a rollout.
type rolloutFlags struct {
	spec                     rollout.Spec
	machines                 []string
	pause, deadline, observe time.Duration
	atDeadline               string
}

// add adds the flags to a command.
func (f *rolloutFlags) add(command *cobra.Command) {
	flags := command.Flags()
	flags.StringSliceVar(&f.machines, "machines", nil, "names of machines, separated by commas")
	flags.StringVar(&f.spec.Select.Zone, "zone", "", "all machines of a zone, which is closed to new ones unless they are replaced")
	flags.StringVar(&f.spec.Select.Type, "type", "", "all machines of a type")
	flags.BoolVar(&f.spec.Select.Older, "older", false, "all machines rented before the start")
	flags.BoolVar(&f.spec.Replace, "replace", false, "rent a machine of the same kind for each one returned")
	flags.BoolVar(&f.spec.Surge, "surge", false, "rent first: stop nothing before there is room for it")
	flags.IntVar(&f.spec.WaveSize, "wave", 1, "machines in a wave")
	flags.DurationVar(&f.pause, "pause", 0, "between waves")
	flags.DurationVar(&f.deadline, "deadline", 10*time.Minute, "of a step: until a replacement has to be up, and --at-deadline applies")
	flags.StringVar(&f.atDeadline, "at-deadline", string(rollout.WaitAtDeadline), "what becomes of tasks that can't save: wait or stop")
	flags.DurationVar(&f.observe, "observe", time.Minute, "how long replacements are watched before the next wave")
}

// toSpec returns the rollout specification given by the flags.
func (f *rolloutFlags) toSpec(name string) *rollout.Spec {
	spec := f.spec
	spec.Name = rollout.Name(name)
	spec.DeadlineAction = rollout.DeadlineAction(f.atDeadline)
	spec.Pause = ids.Seconds(f.pause.Seconds())
	spec.Deadline = ids.Seconds(f.deadline.Seconds())
	spec.Observe = ids.Seconds(f.observe.Seconds())
	for _, machine := range f.machines {
		spec.Select.Machines = append(spec.Select.Machines, ids.Machine(machine))
	}
	return &spec
}
