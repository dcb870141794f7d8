package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// storedRollout is a rollout with the revisions at which its record and parts were read.
type storedRollout struct {
	record           *Record
	revision         ids.Revision
	waiting          []MachineSet
	waitingRevisions []ids.Revision
}

// activeIndex lists the rollouts that have not ended. Each start and each end of a rollout changes the
// index, so that one of two concurrent starts fails with a conflict.
type activeIndex struct {
	Active []Name `json:"active"`
}

// without returns a copy of the index without one rollout.
func (a activeIndex) without(name Name) activeIndex {
	matchesName := func(active Name) bool { return active == name }
	return activeIndex{Active: slices.DeleteFunc(slices.Clone(a.Active), matchesName)}
}

// rolloutSnapshot is the stored state of all rollouts at one moment.
type rolloutSnapshot struct {
	rollouts      map[Name]*storedRollout
	index         activeIndex
	indexRevision ids.Revision
	// unreadable maps each rollout that cannot be read to the reason.
	unreadable map[Name]string
	// orphanedParts are stored parts whose rollout has ended or does not exist.
	orphanedParts []state.Entry
}

// readSnapshot decodes the entries below Prefix. Rollouts that cannot be decoded are listed as unreadable
// and not changed; they do not affect the others.
func readSnapshot(entries []state.Entry) *rolloutSnapshot {
	s := &rolloutSnapshot{rollouts: map[Name]*storedRollout{}, unreadable: map[Name]string{}}
	for _, entry := range entries {
		if entry.Key == indexKey {
			s.addIndex(entry)
		} else if name, isRecord := strings.CutPrefix(entry.Key, recordPrefix); isRecord {
			s.addRecord(Name(name), entry)
		}
	}
	for _, entry := range entries {
		s.addPart(entry)
	}
	for name, rollout := range s.rollouts {
		if missing := slices.Index(rollout.waitingRevisions, 0); missing >= 0 && !rollout.record.State.isFinal() {
			s.markUnreadable(name, fmt.Sprintf("part %d of its machines is missing", missing))
		}
	}
	return s
}

func (s *rolloutSnapshot) addIndex(entry state.Entry) {
	s.indexRevision = entry.Revision
	if err := exactjson.Unmarshal(entry.Value, &s.index); err != nil {
		s.unreadable[indexKey] = err.Error()
	}
}

func (s *rolloutSnapshot) addRecord(name Name, entry state.Entry) {
	record, err := decodeRecord(entry.Value)
	if err != nil {
		s.unreadable[name] = err.Error()
		return
	}
	s.rollouts[name] = &storedRollout{
		record:           record,
		revision:         entry.Revision,
		waiting:          make([]MachineSet, record.Parts),
		waitingRevisions: make([]ids.Revision, record.Parts),
	}
}

// addPart decodes one part of a rollout's waiting machines.
func (s *rolloutSnapshot) addPart(entry state.Entry) {
	name, part, ok := parseWaitingKey(entry.Key)
	if !ok || s.unreadable[name] != "" {
		return
	}
	rollout := s.rollouts[name]
	if rollout == nil || rollout.record.State.isFinal() || part >= len(rollout.waiting) {
		s.orphanedParts = append(s.orphanedParts, entry)
		return
	}
	if err := exactjson.Unmarshal(entry.Value, &rollout.waiting[part]); err != nil {
		s.markUnreadable(name, err.Error())
		return
	}
	rollout.waitingRevisions[part] = entry.Revision
}

func (s *rolloutSnapshot) markUnreadable(name Name, reason string) {
	delete(s.rollouts, name)
	s.unreadable[name] = reason
}

// active returns the rollouts that have not ended, oldest first.
func (s *rolloutSnapshot) active() []*storedRollout {
	var rollouts []*storedRollout
	for _, rollout := range s.rollouts {
		if !rollout.record.State.isFinal() {
			rollouts = append(rollouts, rollout)
		}
	}
	slices.SortFunc(rollouts, func(x, y *storedRollout) int {
		return cmp.Or(cmp.Compare(x.record.StartedAt, y.record.StartedAt), cmp.Compare(x.record.Spec.Name, y.record.Spec.Name))
	})
	return rollouts
}

// find returns a rollout by its name, or ErrUnreadable or ErrNotFound.
func (s *rolloutSnapshot) find(name Name) (*storedRollout, error) {
	if reason, unreadable := s.unreadable[name]; unreadable {
		return nil, fmt.Errorf("%w: rollout %s: %s", ErrUnreadable, name, reason)
	}
	if rollout := s.rollouts[name]; rollout != nil {
		return rollout, nil
	}
	return nil, fmt.Errorf("%w: %s", ErrNotFound, name)
}

// findBySpec returns the stored rollout with the name and specification of spec. It returns nil if there
// is no rollout of that name, and ErrSpecConflict if its specification differs.
func (s *rolloutSnapshot) findBySpec(spec *Spec) (*storedRollout, error) {
	rollout, err := s.find(spec.Name)
	switch {
	case errors.Is(err, ErrNotFound):
		return nil, nil
	case err != nil:
		return nil, err
	case !rollout.record.Spec.Equal(spec):
		return nil, fmt.Errorf("%w: rollout %s", ErrSpecConflict, spec.Name)
	}
	return rollout, nil
}

// findOverlap returns an active rollout that contains one of the machines, and that machine.
func (s *rolloutSnapshot) findOverlap(machines *MachineSet) (Name, ids.Machine, bool) {
	for _, rollout := range s.active() {
		sets := slices.Clone(rollout.waiting)
		for _, state := range cordonedStates {
			sets = append(sets, *rollout.record.machinesIn(state))
		}
		for i := range sets {
			if machine, found := sets[i].Overlap(machines); found {
				return rollout.record.Spec.Name, machine, true
			}
		}
	}
	return "", "", false
}

// unreadableNote returns the note that informs operators that a rollout cannot be read.
func unreadableNote(reason string) string { return "set aside: " + reason }
