package rollout

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// storedRollout is a rollout with the revisions under which it was read.
type storedRollout struct {
	record           *Record
	revision         ids.Revision
	waiting          []MachineSet
	waitingRevisions []ids.Revision
}

// activeIndex lists the rollouts that have not ended. Each start and each end changes it, so that
// two starts at the same moment exclude each other.
type activeIndex struct {
	Active []Name `json:"active"`
}

// without is the index without one rollout.
func (a activeIndex) without(name Name) activeIndex {
	isNamed := func(active Name) bool { return active == name }
	return activeIndex{Active: slices.DeleteFunc(slices.Clone(a.Active), isNamed)}
}

// rolloutSnapshot is all that is stored of rollouts, at one moment.
type rolloutSnapshot struct {
	rollouts      map[Name]*storedRollout
	index         activeIndex
	indexRevision ids.Revision
	// unreadable are rollouts that can't be read, and why.
	unreadable map[Name]string
	// orphanedParts are parts whose rollout has ended or does not exist.
	orphanedParts []state.Entry
}

// readSnapshot reads the entries below Prefix. What can't be read is listed and left alone; the
// rest goes on.
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
	if err := json.Unmarshal(entry.Value, &s.index); err != nil {
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

// addPart reads one part of a rollout's waiting machines.
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
	if err := json.Unmarshal(entry.Value, &rollout.waiting[part]); err != nil {
		s.markUnreadable(name, err.Error())
		return
	}
	rollout.waitingRevisions[part] = entry.Revision
}

func (s *rolloutSnapshot) markUnreadable(name Name, reason string) {
	delete(s.rollouts, name)
	s.unreadable[name] = reason
}

// active lists the rollouts that have not ended, oldest first.
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

// find is a rollout that can be read, with ErrUnreadable or ErrNotFound.
func (s *rolloutSnapshot) find(name Name) (*storedRollout, error) {
	if reason, unreadable := s.unreadable[name]; unreadable {
		return nil, fmt.Errorf("%w: %s: %s", ErrUnreadable, name, reason)
	}
	if rollout := s.rollouts[name]; rollout != nil {
		return rollout, nil
	}
	return nil, fmt.Errorf("%w: %s", ErrNotFound, name)
}

// findSame finds the rollout of a description: nil if there is none of its name, an error if that
// has another description.
func (s *rolloutSnapshot) findSame(spec *Spec) (*storedRollout, error) {
	rollout, err := s.find(spec.Name)
	switch {
	case errors.Is(err, ErrNotFound):
		return nil, nil
	case err != nil:
		return nil, err
	case !rollout.record.Spec.Same(spec):
		return nil, fmt.Errorf("%w: %s", ErrSpecConflict, spec.Name)
	}
	return rollout, nil
}

// findOverlap finds one of the machines that an active rollout has, and which one that is.
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

// unreadableNote tells operators about a rollout that can't be read.
func unreadableNote(reason string) string { return "set aside: " + reason }
