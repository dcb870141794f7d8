package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Machine is what the leader knows of a machine.
type Machine struct {
	Kind Kind
	// Known tells that the leader knows the machine. Gone is proof that there is no such
	// machine any more: the cloud confirmed its deletion, or lists it no longer.
	Known, Gone bool
	// Up tells that it has reported to this leader and is heard.
	Up bool
	// Failed tells why it can't do its work; empty: it can.
	Failed string
	// Reclaimed tells that the cloud is about to take it back.
	Reclaimed bool
	// Tasks are those that are or may be on it.
	Tasks int
	// Evicting tells that evictions of tasks on it are stored.
	Evicting bool
	// NoRoom tells that it is being emptied and its tasks have no room elsewhere.
	NoRoom bool
	// Rented is when it was rented, as far as known.
	Rented time.Time
}

// Weight is what emptying a machine takes as things are now.
type Weight struct {
	// Steps is about how many steps it takes under the budgets.
	Steps int
	// Blocked are the reasons why it can't be emptied.
	Blocked []string
}

// View is what the leader knows of the fleet.
type View interface {
	// Machine looks at one machine.
	Machine(name ids.Machine) Machine
	// Weigh tells what emptying a machine takes. It counts all budgets, so it is asked only
	// where machines are chosen.
	Weigh(name ids.Machine) Weight
	// HireAnswer tells what a hire has rented, once the cloud has answered it.
	HireAnswer(name ids.Hire) (machines []ids.Machine, answered bool)
}

// Change is what a rollout becomes: its record, and the parts of its waiting machines that are
// different. Both are stored in one transaction before anything that follows from them is done.
type Change struct {
	Record *Record
	Left   map[int]MachineSet
}

// advance is one look at a rollout.
type advance struct {
	record  *Record
	left    []MachineSet
	changed map[int]bool // parts
	view    View
	now     ids.Wall
	moved   bool
	// mostParts is how many parts one change may rewrite.
	mostParts int
}

// Advance decides what a rollout does next; nil if nothing changes. yield has it give up what it
// cordoned and has not begun to empty, since an older rollout waits for room. One change rewrites
// at most mostParts parts of what waits.
func Advance(record *Record, left []MachineSet, view View, now time.Time, mostParts int, yield bool) (*Change, error) {
	a := &advance{record: record.clone(), left: slices.Clone(left), changed: map[int]bool{}, view: view, now: ids.WallOf(now), mostParts: mostParts}
	if err := a.step(yield); err != nil {
		return nil, err
	}
	if !a.moved {
		return nil, nil
	}
	change := &Change{Record: a.record, Left: map[int]MachineSet{}}
	for part := range a.changed {
		change.Left[part] = a.left[part]
	}
	return change, nil
}

func (a *advance) step(yield bool) error {
	if a.record.State.Over() {
		return nil
	}
	if err := a.follow(); err != nil {
		return err
	}
	switch a.record.State {
	case Running:
		if yield {
			return a.yield()
		}
		return a.run()
	case Halted:
		return a.release(anyMachine)
	case Aborting:
		return a.abort()
	}
	return nil
}

func anyMachine(Machine) bool { return true }

// yield gives up what is not being emptied yet, and goes on with the rest.
func (a *advance) yield() error {
	if err := a.release(func(m Machine) bool { return !m.Evicting }); err != nil {
		return err
	}
	if a.record.Wave == nil {
		return nil
	}
	return a.run()
}

// names is the machines of the wave in a state; the list stays while they are moved.
func (a *advance) names(state MachineState) []ids.Machine {
	return slices.Collect(a.record.in(state).All())
}

// follow takes in what became of machines, whatever the rollout's state: what is empty is
// returned and what is gone is gone.
func (a *advance) follow() error {
	for _, state := range heldStates {
		for _, name := range a.names(state) {
			if a.view.Machine(name).Gone {
				if err := a.moveMachine(name, state, Returned); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (a *advance) moveMachine(name ids.Machine, from, to MachineState) error {
	a.moved = true
	return a.record.Wave.moveMachine(name, from, to)
}

// run carries a running rollout on.
func (a *advance) run() error {
	if a.record.Wave == nil {
		return a.beginWave()
	}
	wave := a.record.Wave
	if a.record.Resumed {
		wave.forgetFailed(a.now, func(name ids.Machine) bool { m := a.view.Machine(name); return m.Gone || m.Failed != "" })
		a.record.Resumed, a.moved = false, true
	}
	if why := a.followHires(); why != "" {
		return a.halt(why)
	}
	if a.record.Spec.Replace && (a.record.Spec.Surge || wave.count(Cordoned, Draining, Empty) == 0) {
		a.hireMissing()
	}
	if !a.record.Spec.Surge || a.replacementsUp() {
		for _, name := range a.names(Cordoned) {
			if err := a.moveMachine(name, Cordoned, Draining); err != nil {
				return err
			}
			wave.DrainingSince = a.now
		}
	}
	for _, name := range a.names(Draining) {
		if m := a.view.Machine(name); m.Known && m.Up && m.Tasks == 0 {
			if err := a.moveMachine(name, Draining, Empty); err != nil {
				return err
			}
		}
	}
	return a.finishWave()
}

// beginWave takes the next machines, once the pause is over, or ends the rollout.
func (a *advance) beginWave() error {
	if a.now < a.record.NextWave {
		return nil
	}
	chosen := a.chooseWave()
	if len(chosen) == 0 {
		if a.waiting() > 0 {
			return nil // too many parts hold machines that are gone: the rest comes next
		}
		a.moved = true
		return a.record.move(Ended, fmt.Sprintf("all %d machines are through", a.record.Total))
	}
	a.moved = true
	a.record.Waves++
	wave := &Wave{Number: a.record.Waves, Began: a.now, Machines: map[MachineState]MachineSet{Cordoned: NewMachineSet(chosen...)}}
	if a.record.Spec.Replace {
		for _, name := range chosen {
			wave.want(a.view.Machine(name).Kind, 1)
		}
	}
	a.record.Wave = wave
	return nil
}

// waiting counts the machines that wait.
func (a *advance) waiting() (n int) {
	for part := range a.left {
		n += a.left[part].Len()
	}
	return n
}

// want changes how many replacements of a kind the wave needs.
func (w *Wave) want(kind Kind, change int) {
	for i := range w.Wanted {
		if w.Wanted[i].Kind == kind {
			w.Wanted[i].Count = max(0, w.Wanted[i].Count+change)
			return
		}
	}
	if change > 0 {
		w.Wanted = append(w.Wanted, KindCount{kind, change})
	}
}

// chooseWave takes the next machines out of those that wait; machines that are gone are
// through without a wave.
func (a *advance) chooseWave() []ids.Machine {
	var candidates []candidate
	for part := range a.left {
		// A list: machines are taken out of the set meanwhile.
		for _, name := range slices.Collect(a.left[part].All()) {
			m := a.view.Machine(name)
			if m.Gone {
				if a.takeOut(part, name) {
					a.record.Done++
				}
				continue
			}
			candidates = append(candidates, candidate{name: name, part: part, machine: m, weight: a.view.Weigh(name)})
		}
	}
	var names []ids.Machine
	for _, c := range inOrder(candidates) {
		if len(names) == a.record.Spec.WaveSize {
			break
		}
		if a.takeOut(c.part, c.name) {
			names = append(names, c.name)
		}
	}
	return names
}

// takeOut removes a machine from a part; it is false if too many parts would be rewritten.
func (a *advance) takeOut(part int, name ids.Machine) bool {
	if !a.ownPart(part) {
		return false
	}
	a.left[part].Remove(name)
	return true
}

// ownPart copies a part before it is changed: what is stored stays as it was until the change
// is. It is false if too many parts would be rewritten.
func (a *advance) ownPart(part int) bool {
	if !a.changed[part] {
		if len(a.changed) >= a.mostParts {
			return false
		}
		a.left[part] = a.left[part].Clone()
		a.changed[part] = true
	}
	a.moved = true
	return true
}

// release puts machines that were cordoned and are not empty back into service.
func (a *advance) release(which func(Machine) bool) error {
	if a.record.Wave == nil {
		return nil
	}
	for _, state := range []MachineState{Cordoned, Draining} {
		for _, name := range a.names(state) {
			m := a.view.Machine(name)
			if !which(m) {
				continue
			}
			if err := a.moveMachine(name, state, Waiting); err != nil {
				return err
			}
			a.record.Wave.want(m.Kind, -1)
			a.putBack(name)
		}
	}
	if a.moved && a.record.Wave.count(Cordoned, Draining, Empty, Returned, Replaced) == 0 {
		a.record.Wave = nil
	}
	return nil
}

// putBack puts a machine among those that wait: into the smallest part that may be rewritten,
// which keeps every part within a value, since all of them together once held more.
func (a *advance) putBack(name ids.Machine) {
	smallest := -1
	for part := range a.left {
		mayRewrite := a.changed[part] || len(a.changed) < a.mostParts
		if mayRewrite && (smallest < 0 || a.left[part].Len() < a.left[smallest].Len()) {
			smallest = part
		}
	}
	if a.ownPart(smallest) {
		a.left[smallest].Add(name)
	}
}

// halt stops the rollout until an operator resumes it.
func (a *advance) halt(why string) error {
	a.moved = true
	if err := a.record.move(Halted, why); err != nil {
		return err
	}
	return a.release(anyMachine)
}

// abort ends the rollout once what is empty has been returned.
func (a *advance) abort() error {
	if err := a.release(anyMachine); err != nil {
		return err
	}
	if a.record.Wave != nil && a.record.Wave.count(Empty) > 0 {
		return nil
	}
	a.moved = true
	if wave := a.record.Wave; wave != nil {
		a.record.Done += wave.count(Returned, Replaced, Verified)
		a.record.Wave = nil
	}
	return a.record.move(Ended, fmt.Sprintf("aborted with %d of %d machines through", a.record.Done, a.record.Total))
}

// finishWave ends the wave once its machines are through.
func (a *advance) finishWave() error {
	wave := a.record.Wave
	if wave.count(Cordoned, Draining, Empty) > 0 {
		return nil
	}
	if a.record.Spec.Replace {
		if !a.verify() {
			return nil
		}
	}
	a.moved = true
	a.record.Done += wave.count(Returned, Replaced, Verified)
	a.record.Wave = nil
	a.record.NextWave = a.now + wallOf(a.record.Spec.Pause)
	if a.record.Done >= a.record.Total {
		return a.record.move(Ended, fmt.Sprintf("all %d machines are through", a.record.Total))
	}
	return nil
}

// wallOf is a duration in the unit of wall times.
func wallOf(s ids.Seconds) ids.Wall { return ids.Wall(s.Duration().Milliseconds()) }
