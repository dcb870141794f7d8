package rollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// What a command can come to besides success. Each is told in one line; nothing is changed.
var (
	ErrNotFound      = errors.New("no such rollout")
	ErrOtherContents = errors.New("a rollout of this name exists and says something else")
	ErrOverlap       = errors.New("a machine is in another rollout")
	ErrSetAside      = errors.New("the stored rollout can't be read by this version")
	// ErrNotNow tells that the state service or the leader does not answer; the command may be
	// repeated.
	ErrNotNow = errors.New("not now")
)

// Leader is what the leader is asked for, wherever it is.
type Leader interface {
	// PlanDrain makes a plan as things are now.
	PlanDrain(ctx context.Context, spec *Spec) (*Preview, error)
	// DrainWaits tells what the machines being emptied wait for.
	DrainWaits(ctx context.Context) (map[ids.Machine][]string, error)
}

// Service carries out the operators' commands, at any controller. Every command may be repeated.
type Service struct {
	Copy         *state.Mirror
	State        *state.Client
	Leader       Leader
	Installation func() Installation
	Writer       string
	Limits       Limits
}

// Command changes the state of a rollout.
type Command string

// The commands.
const (
	PauseIt  Command = "pause"
	ResumeIt Command = "resume"
	AbortIt  Command = "abort"
)

// tries is how often a command is tried that met another change.
const tries = 5

// Plan tells what a rollout would do; it changes nothing.
func (s *Service) Plan(ctx context.Context, spec *Spec) (*Preview, error) {
	if err := spec.Check(s.Installation()); err != nil {
		return nil, err
	}
	preview, err := s.Leader.PlanDrain(ctx, spec)
	if err != nil && !errors.Is(err, ErrBadSpec) {
		return nil, fmt.Errorf("%w: the leader makes no plan: %v", ErrNotNow, err)
	}
	return preview, err
}

// Start stores a rollout, which the leader then carries out. The same start again changes nothing.
func (s *Service) Start(ctx context.Context, spec *Spec) (*Status, error) {
	if err := spec.Check(s.Installation()); err != nil {
		return nil, err
	}
	for range tries {
		book, err := s.read(ctx)
		if err != nil {
			return nil, err
		}
		if known, err := s.sameAs(book, spec); known != nil || err != nil {
			return known, err
		}
		preview, err := s.Plan(ctx, spec)
		if err != nil {
			return nil, err
		}
		txn, err := s.creation(book, spec, preview)
		if err != nil {
			return nil, err
		}
		if _, err = s.State.Commit(ctx, txn, state.Normal); err != nil && !retried(err) {
			return nil, fmt.Errorf("%w: %v", ErrNotNow, err)
		}
		// Whatever the answer was, the next read tells whether it is stored.
	}
	return nil, fmt.Errorf("%w: others change rollouts at the same time", ErrNotNow)
}

// retried tells whether a write may have failed only for another change, or have succeeded.
func retried(err error) bool {
	var conflict *state.Conflict
	return errors.As(err, &conflict) || errors.Is(err, state.ErrUnknown)
}

// sameAs finds a rollout of the same name: nil if there is none, an error if it says something else.
func (s *Service) sameAs(book *book, spec *Spec) (*Status, error) {
	if why, aside := book.aside[spec.Name]; aside {
		return nil, fmt.Errorf("%w: %s: %s", ErrSetAside, spec.Name, why)
	}
	run := book.runs[spec.Name]
	switch {
	case run == nil:
		return nil, nil
	case !run.record.Spec.Same(spec):
		return nil, fmt.Errorf("%w: %s", ErrOtherContents, spec.Name)
	}
	return statusOf(run, nil), nil
}

// creation is the transaction that stores a new rollout.
func (s *Service) creation(book *book, spec *Spec, preview *Preview) (state.Txn, error) {
	selected := NewMachineSet(preview.Machines...)
	if other, machine, both := book.holder(&selected); both {
		return state.Txn{}, fmt.Errorf("%w: %s is in %s", ErrOverlap, machine, other)
	}
	parts := selected.Parts(s.Limits.ValueBytes)
	if len(parts) > s.Limits.mostParts() {
		return state.Txn{}, fmt.Errorf("%w: the names of %d machines take %d values, of at most %d in one transaction: select fewer",
			ErrBadSpec, selected.Len(), len(parts), s.Limits.mostParts())
	}
	started := ids.WallOf(time.Now())
	record := &Record{Version: storedVersion, ID: newID(started, rand.Uint32()), Spec: spec.stored(), State: Running, Started: started,
		Total: selected.Len(), Parts: len(parts), Writer: s.Writer, Seq: 1}
	if err := record.fitsFullWave(s.Limits.ValueBytes); err != nil {
		return state.Txn{}, err
	}
	txn := state.Txn{When: []state.Condition{{Key: indexKey, Revision: book.indexRev}, {Key: runKey(spec.Name)}}}
	listed := index{Active: append(slices.Clone(book.index.Active), spec.Name)}
	if err := putValue(&txn, indexKey, listed, s.Limits); err != nil {
		return txn, fmt.Errorf("%w: too many rollouts are under way", ErrBadSpec)
	}
	if err := putValue(&txn, runKey(spec.Name), record, s.Limits); err != nil {
		return txn, err
	}
	for part, set := range parts {
		if err := putValue(&txn, leftKey(spec.Name, part), set, s.Limits); err != nil {
			return txn, err
		}
	}
	return txn, nil
}

// timesInWave is in how many sets a machine of a wave, or its replacement, may stand at a time.
const timesInWave = 3

// fitsFullWave refuses a wave so large that the record would not fit into a value.
func (r *Record) fitsFullWave(valueBytes int) error {
	const besidesMachines = 2048 // the description, hires and the names of what is alike
	most := int(float64(valueBytes-besidesMachines) / (timesInWave * storedPerMachine))
	if r.Spec.WaveSize > max(most, 1) && r.Total > most {
		return fmt.Errorf("%w: wave size: a record of %d bytes holds waves of %d machines at most: %d", ErrBadSpec, valueBytes, most, r.Spec.WaveSize)
	}
	return nil
}

// Do carries out a command on a stored rollout. One that has its effect already changes nothing.
func (s *Service) Do(ctx context.Context, name Name, command Command) (*Status, error) {
	for range tries {
		book, err := s.read(ctx)
		if err != nil {
			return nil, err
		}
		run, err := book.find(name)
		if err != nil {
			return nil, err
		}
		record := run.record.clone()
		changed, err := record.command(command, ids.WallOf(time.Now()))
		if err != nil || !changed {
			return statusOf(run, nil), err
		}
		record.Writer, record.Seq = s.Writer, record.Seq+1
		txn := state.Txn{When: []state.Condition{{Key: runKey(name), Revision: run.revision}}}
		if err := putValue(&txn, runKey(name), record, s.Limits); err != nil {
			return nil, err
		}
		_, err = s.State.Commit(ctx, txn, state.Normal)
		if err == nil {
			run.record = record
			return statusOf(run, nil), nil
		}
		if !retried(err) {
			return nil, fmt.Errorf("%w: %v", ErrNotNow, err)
		}
	}
	return nil, fmt.Errorf("%w: the rollout changes at the same time", ErrNotNow)
}

// find is a rollout that can be read.
func (b *book) find(name Name) (*stored, error) {
	if why, aside := b.aside[name]; aside {
		return nil, fmt.Errorf("%w: %s: %s", ErrSetAside, name, why)
	}
	if run := b.runs[name]; run != nil {
		return run, nil
	}
	return nil, fmt.Errorf("%w: %s", ErrNotFound, name)
}

// command changes a rollout's state; changed is false if it has that state already.
func (r *Record) command(command Command, now ids.Wall) (changed bool, err error) {
	switch command {
	case PauseIt:
		if r.State == Paused {
			return false, nil
		}
		return true, r.move(Paused, "paused by an operator")
	case ResumeIt:
		if r.State == Running {
			return false, nil
		}
		r.Resumed = r.State == Halted && r.Wave != nil
		if r.State == Paused && r.Wave != nil {
			r.Wave.restartClocks(now)
		}
		return true, r.move(Running, "")
	case AbortIt:
		if r.State == Aborting || r.State == Ended {
			return false, nil
		}
		return true, r.move(Aborting, "aborted by an operator")
	}
	return false, fmt.Errorf("%w: unknown command %q", ErrBadSpec, command)
}

// Status tells how a rollout stands and what its machines wait for.
func (s *Service) Status(ctx context.Context, name Name) (*Status, error) {
	book, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	run, err := book.find(name)
	if err != nil {
		return nil, err
	}
	var waits map[ids.Machine][]string
	if !run.record.State.Over() {
		if waits, err = s.Leader.DrainWaits(ctx); err != nil {
			waits = nil
		}
	}
	status := statusOf(run, waits)
	if err != nil {
		status.Note = "what the machines wait for is not known: " + err.Error()
	}
	return status, nil
}

// List names all rollouts, oldest first, also those that can't be read.
func (s *Service) List(ctx context.Context) ([]*Status, error) {
	book, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	var all []*Status
	for _, run := range book.runs {
		all = append(all, statusOf(run, nil))
	}
	slices.SortFunc(all, func(x, y *Status) int { return int(x.Started - y.Started) })
	for name, why := range book.aside {
		all = append(all, &Status{Name: name, Note: "set aside: " + why})
	}
	return all, nil
}

// read brings the copy up to date: an answer must not be older than the question.
func (s *Service) read(ctx context.Context) (*book, error) {
	if err := s.Copy.Sync(ctx); err != nil {
		return nil, fmt.Errorf("%w: the state service does not answer: %v", ErrNotNow, err)
	}
	entries, _ := s.Copy.All()
	return readBook(entries), nil
}
