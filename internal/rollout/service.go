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

// Errors of commands. The message of each is a single line. A command that returns one has changed nothing,
// except that after ErrUnavailable the change may have been stored.
var (
	// ErrNotFound reports that there is no rollout of the given name.
	ErrNotFound = errors.New("no such rollout")
	// ErrSpecConflict reports that a rollout of the same name has a different specification.
	ErrSpecConflict = errors.New("a rollout of this name with another specification exists")
	// ErrOverlap reports that one of the machines belongs to another active rollout.
	ErrOverlap = errors.New("a machine belongs to another active rollout")
	// ErrUnreadable reports that the stored rollout is corrupt or was written by a newer version.
	ErrUnreadable = errors.New("this version cannot read the stored rollout")
	// ErrUnavailable reports that the state service or the leader does not answer, or that concurrent
	// changes prevented the command; it may be retried.
	ErrUnavailable = errors.New("not now")
)

// Leader forwards requests to the current leader, on whichever controller it runs.
type Leader interface {
	// PlanDrain returns a plan for the current state of the fleet.
	PlanDrain(ctx context.Context, spec *Spec) (*Plan, error)
	// DrainBlockers returns, for each machine being drained, the reasons why it waits.
	DrainBlockers(ctx context.Context) (map[ids.Machine][]string, error)
}

// Service executes the operators' commands on any controller. All commands are idempotent. The fields do not
// change after the start, so calls may run concurrently.
type Service struct {
	Mirror       *state.WatchCache // of the keys below Prefix
	Client       *state.Client
	Leader       Leader
	Installation func() Installation
	Writer       string
	Limits       Limits
}

// maxAttempts is the maximum number of attempts of a command that conflicts with concurrent changes.
const maxAttempts = 5

// Plan returns the plan of a rollout without starting it.
func (s *Service) Plan(ctx context.Context, spec *Spec) (*Plan, error) {
	if err := spec.Check(s.Installation()); err != nil {
		return nil, err
	}
	plan, err := s.Leader.PlanDrain(ctx, spec)
	if err != nil && !errors.Is(err, ErrInvalidSpec) {
		return nil, fmt.Errorf("%w: the leader returned no plan: %v", ErrUnavailable, err)
	}
	return plan, err
}

// Start stores a rollout, which the leader then executes. Repeating a start with the same specification
// changes nothing.
func (s *Service) Start(ctx context.Context, spec *Spec) (*Status, error) {
	if err := spec.Check(s.Installation()); err != nil {
		return nil, err
	}
	status, err := s.attempt(ctx, func(snapshot *rolloutSnapshot) (*Status, error) {
		existing, err := snapshot.findBySpec(spec)
		if err != nil {
			return nil, err
		}
		if existing != nil {
			return statusOf(existing, nil), nil
		}
		return nil, s.create(ctx, snapshot, spec) // the next read shows whether the rollout is stored
	})
	if status == nil && err == nil {
		err = fmt.Errorf("%w: the start conflicted with concurrent changes of rollouts; retry", ErrUnavailable)
	}
	return status, err
}

// attempt calls change with a new snapshot until it returns a status or an error, but at most maxAttempts
// times. It returns neither if every attempt conflicted.
func (s *Service) attempt(ctx context.Context, change func(*rolloutSnapshot) (*Status, error)) (*Status, error) {
	for range maxAttempts {
		snapshot, err := s.readSnapshot(ctx)
		if err != nil {
			return nil, err
		}
		if status, err := change(snapshot); status != nil || err != nil {
			return status, err
		}
	}
	return nil, nil
}

// create plans a rollout and tries to store it. A nil error does not imply that the rollout was stored.
func (s *Service) create(ctx context.Context, snapshot *rolloutSnapshot, spec *Spec) error {
	plan, err := s.Plan(ctx, spec)
	if err != nil {
		return err
	}
	selected := NewMachineSet(plan.Machines...)
	if other, machine, found := snapshot.findOverlap(&selected); found {
		return fmt.Errorf("%w: machine %s is in rollout %s", ErrOverlap, machine, other)
	}
	record, parts, err := s.newRecord(spec, &selected)
	if err != nil {
		return err
	}
	txn, err := createTransaction(record, parts, snapshot, s.Limits)
	if err != nil {
		return err
	}
	_, err = s.commit(ctx, txn)
	return err
}

// newRecord returns the record of a new rollout and the parts of its waiting machines.
func (s *Service) newRecord(spec *Spec, selected *MachineSet) (*Record, []MachineSet, error) {
	parts := selected.Parts(s.Limits.ValueBytes)
	if len(parts) > s.Limits.maxParts() {
		return nil, nil, fmt.Errorf("%w: the names of %d machines take %d values, but one transaction stores at most %d: select fewer machines",
			ErrInvalidSpec, selected.Len(), len(parts), s.Limits.maxParts())
	}
	startedAt := ids.TimestampOf(time.Now())
	record := &Record{
		Version:   storedVersion,
		ID:        newID(startedAt, rand.Uint32()),
		Spec:      spec.stored(),
		State:     Running,
		StartedAt: startedAt,
		Total:     selected.Len(),
		Parts:     len(parts),
	}
	record.setWriter(s.Writer)
	return record, parts, record.checkWaveFits(s.Limits.ValueBytes)
}

// newID returns an ID for a rollout that is unique except with negligible probability.
func newID(startedAt ids.Timestamp, random uint32) string {
	return fmt.Sprintf("%x-%x", int64(startedAt), random)
}

// commit tries to store a transaction. It returns false and no error if the caller may retry after the next
// read: the transaction conflicted with another change, or its answer was lost.
func (s *Service) commit(ctx context.Context, txn *transaction) (stored bool, err error) {
	_, err = s.Client.Commit(ctx, txn.Txn, state.Normal)
	var conflict *state.ConflictError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &conflict), errors.Is(err, state.ErrOutcomeUnknown):
		return false, nil
	}
	return false, fmt.Errorf("%w: the state service did not execute the transaction: %v", ErrUnavailable, err)
}

// Execute executes a command on a stored rollout. It changes nothing if the rollout already has the
// resulting state.
func (s *Service) Execute(ctx context.Context, name Name, command Command) (*Status, error) {
	status, err := s.attempt(ctx, func(snapshot *rolloutSnapshot) (*Status, error) {
		return s.executeOnce(ctx, snapshot, name, command)
	})
	if status == nil && err == nil {
		err = fmt.Errorf("%w: the command conflicted with concurrent changes of the rollout; retry", ErrUnavailable)
	}
	return status, err
}

// executeOnce tries to store the result of a command. It returns no status if that conflicted.
func (s *Service) executeOnce(ctx context.Context, snapshot *rolloutSnapshot, name Name, command Command) (*Status, error) {
	rollout, err := snapshot.find(name)
	if err != nil {
		return nil, err
	}
	record := rollout.record.clone()
	changed, err := record.apply(command, ids.TimestampOf(time.Now()))
	if err != nil || !changed {
		return statusOf(rollout, nil), err
	}
	record.setWriter(s.Writer)
	txn := &transaction{limits: s.Limits}
	txn.require(recordKey(name), rollout.revision)
	if err := txn.put(recordKey(name), record); err != nil {
		return nil, err
	}
	if stored, err := s.commit(ctx, txn); err != nil || !stored {
		return nil, err
	}
	rollout.record = record
	return statusOf(rollout, nil), nil
}

// Status returns the state of a rollout and what its machines wait for.
func (s *Service) Status(ctx context.Context, name Name) (*Status, error) {
	snapshot, err := s.readSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	rollout, err := snapshot.find(name)
	if err != nil {
		return nil, err
	}
	if rollout.record.State.isFinal() {
		return statusOf(rollout, nil), nil
	}
	waits, err := s.Leader.DrainBlockers(ctx)
	if err != nil {
		status := statusOf(rollout, nil)
		status.Note = "what the machines wait for is not known: " + err.Error()
		return status, nil
	}
	return statusOf(rollout, waits), nil
}

// List returns the status of all rollouts, oldest first, followed by those that cannot be read.
func (s *Service) List(ctx context.Context) ([]*Status, error) {
	snapshot, err := s.readSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	var statuses []*Status
	for _, rollout := range snapshot.rollouts {
		statuses = append(statuses, statusOf(rollout, nil))
	}
	slices.SortFunc(statuses, func(x, y *Status) int { return int(x.StartedAt - y.StartedAt) })
	for name, reason := range snapshot.unreadable {
		statuses = append(statuses, &Status{Name: name, Note: unreadableNote(reason)})
	}
	return statuses, nil
}

// readSnapshot synchronizes the mirror and returns a snapshot: an answer must not be older than its request.
func (s *Service) readSnapshot(ctx context.Context) (*rolloutSnapshot, error) {
	if err := s.Mirror.Sync(ctx); err != nil {
		return nil, fmt.Errorf("%w: the state service does not answer: %v", ErrUnavailable, err)
	}
	entries, _ := s.Mirror.Entries()
	return readSnapshot(entries), nil
}
