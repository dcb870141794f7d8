package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// stored is a rollout with the revisions under which it was read.
type stored struct {
	record   *Record
	revision ids.Revision
	left     []MachineSet
	leftRevs []ids.Revision
}

// index lists the rollouts under way. Each start and each end changes it, so that two starts at
// the same moment exclude each other.
type index struct {
	Active []Name `json:"active"`
}

// book is all that is stored of rollouts, at one moment.
type book struct {
	runs     map[Name]*stored
	index    index
	indexRev ids.Revision
	// aside are rollouts that can't be read, and why.
	aside map[Name]string
	// orphans are parts whose rollout has ended or is not there.
	orphans []state.Entry
}

// readBook reads the entries below Prefix. What can't be read is set aside; the rest goes on.
func readBook(entries []state.Entry) *book {
	b := &book{runs: map[Name]*stored{}, aside: map[Name]string{}}
	for _, e := range entries {
		if e.Key == indexKey {
			b.indexRev = e.Revision
			if err := json.Unmarshal(e.Value, &b.index); err != nil {
				b.aside[indexKey] = err.Error()
			}
			continue
		}
		name, isRun := strings.CutPrefix(e.Key, runPrefix)
		if !isRun {
			continue
		}
		record, err := decodeRecord(e.Value)
		if err != nil {
			b.aside[Name(name)] = err.Error()
			continue
		}
		b.runs[Name(name)] = &stored{record: record, revision: e.Revision,
			left: make([]MachineSet, record.Parts), leftRevs: make([]ids.Revision, record.Parts)}
	}
	for _, e := range entries {
		b.readPart(e)
	}
	for name, run := range b.runs {
		if missing := slices.Index(run.leftRevs, 0); missing >= 0 && !run.record.State.Over() {
			b.setAside(name, fmt.Sprintf("part %d of its machines is missing", missing))
		}
	}
	return b
}

// readPart reads one part of a rollout's waiting machines.
func (b *book) readPart(e state.Entry) {
	name, part, ok := leftOf(e.Key)
	if !ok || b.aside[name] != "" {
		return
	}
	run := b.runs[name]
	if run == nil || run.record.State.Over() || part >= len(run.left) {
		b.orphans = append(b.orphans, e)
		return
	}
	if err := json.Unmarshal(e.Value, &run.left[part]); err != nil {
		b.setAside(name, err.Error())
		return
	}
	run.leftRevs[part] = e.Revision
}

func (b *book) setAside(name Name, why string) {
	delete(b.runs, name)
	b.aside[name] = why
}

// underWay lists the rollouts that have not ended, oldest first.
func (b *book) underWay() []*stored {
	var runs []*stored
	for _, run := range b.runs {
		if !run.record.State.Over() {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(x, y *stored) int {
		return cmp.Or(cmp.Compare(x.record.Started, y.record.Started), cmp.Compare(x.record.Spec.Name, y.record.Spec.Name))
	})
	return runs
}

// holder tells which rollout under way has one of the machines, and which one.
func (b *book) holder(machines *MachineSet) (Name, ids.Machine, bool) {
	for _, run := range b.underWay() {
		sets := slices.Clone(run.left)
		for _, state := range heldStates {
			sets = append(sets, *run.record.in(state))
		}
		for i := range sets {
			if machine, both := sets[i].Overlap(machines); both {
				return run.record.Spec.Name, machine, true
			}
		}
	}
	return "", "", false
}

// without is the index without one rollout.
func (i index) without(name Name) index {
	return index{Active: slices.DeleteFunc(slices.Clone(i.Active), func(n Name) bool { return n == name })}
}
