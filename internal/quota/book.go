package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// keepFor is how long a shard keeps allowance that it was given from demands that go before
// its own only by their age: what two shards want must not go to and fro.
const keepFor = 2 * time.Second

// giveEvery spaces what a shard gives of one team's allowance, so that what becomes idle task
// by task goes in one transfer.
const giveEvery = time.Second

// Book is one leader's side of the ledgers: what its shard may have, what its tasks use, and
// what is under way to other shards. It is guarded by the lock of whoever grants: what is
// left must not be given away between the question and the grant.
type Book struct {
	shard  Shard
	shards int
	// limits are those of this process's settings, which started at startedAt.
	limits    map[string]Limit
	startedAt ids.Wall
	// loaded tells that the stored ledgers were read after the shard was taken over.
	loaded       bool
	teams        map[string]*teamBook
	asks         map[Shard]map[string]Ask
	asksRevision map[Shard]ids.Revision
	askedAt      time.Time // when this shard's asks were last stored
	now          func() time.Time
}

// teamBook is the same for one team.
type teamBook struct {
	shard      Shard
	inUse      placement.Room // exactly as the jobs state it
	used       Amount
	ledger     *Ledger // nil: none, or none that can be used
	revision   ids.Revision
	fault      error // why nothing is granted to the team
	transfer   *Transfer
	demand     Demand
	gaveAt     time.Time // when something was last given away
	usedAt     time.Time // when something was last granted
	receivedAt time.Time // when the allowance last grew
	askedAt    time.Time // since when it has been asked back; zero: it has not
}

// NewBook makes the book of one term of leading a shard. With one shard the limits of the
// settings hold at once: nothing is stored and there is nothing to load.
func NewBook(shard Shard, shards int, limits map[string]Limit, startedAt ids.Wall) *Book {
	return &Book{
		shard: shard, shards: shards, limits: limits, startedAt: startedAt, loaded: shards == 1,
		teams: map[string]*teamBook{}, asks: map[Shard]map[string]Ask{}, asksRevision: map[Shard]ids.Revision{}, now: time.Now,
	}
}

// team finds or adds a team's part.
func (b *Book) team(name string) *teamBook {
	t := b.teams[name]
	if t == nil {
		t = &teamBook{shard: b.shard}
		b.teams[name] = t
	}
	return t
}

// Load takes in all that is stored below Prefix, read after the shard was taken over. Every
// change after that reading must reach Learn, so news has to be followed from before it on:
// a leader that missed what it was given would leave that unused.
func (b *Book) Load(entries []state.Entry) {
	for _, e := range entries {
		b.Learn(state.Change{Put: e.Key, Value: e.Value, Revision: e.Revision})
	}
	b.loaded = true
}

// Use notes that something may be in use from now on.
func (b *Book) Use(team string, room placement.Room) {
	t := b.team(team)
	t.setUse(room, 1)
	t.usedAt = b.now()
}

// Free notes that it is surely gone.
func (b *Book) Free(team string, room placement.Room) { b.team(team).setUse(room, -1) }

func (t *teamBook) setUse(room placement.Room, sign float64) {
	t.inUse = t.inUse.Plus(room.Times(sign))
	t.used = AmountOf(t.inUse).Minus(Amount{}) // never below zero
}

// Used is what a team's tasks of this shard may be using.
func (b *Book) Used(team string) placement.Room {
	if t := b.teams[team]; t != nil {
		return t.inUse
	}
	return placement.Room{}
}

// Left is what may still be granted to a team. It is nothing for teams that the settings do
// not know.
func (b *Book) Left(team string) placement.Room {
	const plenty = 1e12 // a resource without a limit
	limit, known := b.limits[team]
	if !known {
		return placement.Room{}
	}
	t := b.team(team)
	whole := Amount(limit)
	if b.shards > 1 {
		limit, whole = b.granted(t, limit)
	}
	room, left := whole.Room(), placement.Room{Cores: plenty, Accels: plenty, RAM: plenty}
	if limit[Cores] != Unlimited {
		left.Cores = room.Cores - t.inUse.Cores
	}
	if limit[Accelerators] != Unlimited {
		left.Accels = room.Accels - t.inUse.Accels
	}
	if limit[Memory] != Unlimited {
		left.RAM = room.RAM - t.inUse.RAM
	}
	return left
}

// granted is the limit that holds and how much of it this shard may use now.
func (b *Book) granted(t *teamBook, settings Limit) (Limit, Amount) {
	switch {
	case !b.loaded || t.fault != nil:
		return Limit{}, Amount{}
	case t.ledger == nil && settings.None():
		return settings, Amount{}
	case t.ledger == nil || !t.ledger.Open() || b.hasNewerLimit(t, settings):
		return Limit{}, Amount{}
	}
	amount := t.ledger.Accounts[b.shard].Allowance.Minus(t.withheld())
	for r, over := range t.ledger.Overhang {
		if over > 0 {
			amount[r] = 0
		}
	}
	return t.ledger.Limit, amount
}

// hasNewerLimit tells whether this process's settings are newer than those that the ledger's
// limit is from, and differ. Until the ledger has the new limit nothing is granted by the
// old one.
func (b *Book) hasNewerLimit(t *teamBook, settings Limit) bool {
	return settings != t.ledger.Limit && b.startedAt > t.ledger.LimitAt
}

// allowance is what the ledger allows the shard, as last read.
func (t *teamBook) allowance() Amount {
	if t.ledger == nil {
		return Amount{}
	}
	return t.ledger.Accounts[t.shard].Allowance
}

// withheld is what a transfer under way takes from this shard, applied or not.
func (t *teamBook) withheld() Amount {
	if t.transfer == nil {
		return Amount{}
	}
	return t.transfer.withheld
}

// idle is what the shard holds, does not use and has not offered.
func (t *teamBook) idle() Amount {
	return t.ledger.Limit.limited(t.allowance().Minus(t.used).Minus(t.withheld()))
}

// SetDemands tells what the waiting jobs of each team call for; teams not named want nothing.
func (b *Book) SetDemands(demands map[string]Demand) {
	for name, t := range b.teams {
		t.demand = demands[name]
	}
	for name, demand := range demands {
		b.team(name).demand = demand
	}
}

// ask is what a team's demand lacks here; ok tells whether to ask for it.
func (b *Book) ask(t *teamBook) (ask asker, ok bool) {
	if t.ledger == nil || t.demand.Total.IsZero() || b.leavesUnused(t) {
		return asker{}, false
	}
	limit, idle := t.ledger.Limit, t.idle()
	ask = t.asAsker()
	ask.Missing, ask.Wanted = limit.limited(t.demand.Unit).Minus(idle), limit.limited(t.demand.Total).Minus(idle)
	return ask, !ask.Wanted.IsZero()
}

// asAsker gives the team's own demand its place among the askers.
func (t *teamBook) asAsker() asker { return asker{Ask: Ask{Rank: t.demand.Rank}, shard: t.shard} }

// leavesUnused tells that the shard has had idle allowance for its demand for a while and
// has not used it: whatever the demand waits for, it is not the allowance.
func (b *Book) leavesUnused(t *teamBook) bool {
	if t.demand.Total.IsZero() || !t.idle().Covers(t.ledger.Limit.limited(t.demand.Unit)) {
		return false
	}
	return b.now().Sub(t.usedAt) > keepFor && b.now().Sub(t.receivedAt) > keepFor
}

// spareFor is how much of the idle allowance may go to an asker.
func (b *Book) spareFor(t *teamBook, ask asker) Amount {
	idle := t.idle()
	switch {
	case t.demand.Total.IsZero() || b.leavesUnused(t):
		return idle
	case ask.compare(t.asAsker()) > 0:
		return idle.Minus(t.demand.Total) // the shard's own demand goes first
	case b.now().Sub(t.receivedAt) < keepFor && !ask.Rank.outweighs(t.demand.Rank):
		return idle.Minus(t.demand.Total)
	}
	return idle
}

// askers lists what all shards ask for of a team's allowance, this one too, the first to be
// served first.
func (b *Book) askers(team string, t *teamBook) []asker {
	var all []asker
	for shard, asks := range b.asks {
		if ask, found := asks[team]; found && shard != b.shard {
			all = append(all, asker{Ask: ask, shard: shard})
		}
	}
	if own, ok := b.ask(t); ok {
		all = append(all, own)
	}
	slices.SortFunc(all, asker.compare)
	return all
}

// asksEvery spaces the changes of stored asks. One for a team that asked for nothing before
// does not wait for that.
const asksEvery = 2 * time.Second

// OwnAsks is what to store for the other leaders to see; due tells whether that differs
// enough from what is stored to be worth a change now.
func (b *Book) OwnAsks() (asks Asks, due bool) {
	changed := false
	asks = Asks{Form: ledgerForm, Teams: map[string]Ask{}}
	stored := b.asks[b.shard]
	for name, t := range b.teams {
		own, ok := b.ask(t)
		if !ok {
			continue
		}
		asks.Teams[name] = own.Ask
		before, found := stored[name]
		due = due || !found
		changed = changed || !own.Ask.muchTheSame(before)
	}
	changed = changed || len(asks.Teams) != len(stored)
	return asks, due || changed && b.now().Sub(b.askedAt) >= asksEvery
}

// Owed is what the first demand of another shard still lacks of a team's allowance after all
// that is idle here, if it goes before this shard's work by more than its age: lesser work
// of the team may be stopped for it.
func (b *Book) Owed(team string) (amount Amount, rank Rank, owed bool) {
	t := b.teams[team]
	if t == nil || t.ledger == nil {
		return Amount{}, Rank{}, false
	}
	all := b.askers(team, t)
	if len(all) == 0 || all[0].shard == b.shard || !t.ledger.Overhang.IsZero() {
		return Amount{}, Rank{}, false
	}
	missing := all[0].Missing.Minus(t.ledger.Reserve).Minus(t.idle()).Min(t.used)
	return missing, all[0].Rank, !missing.IsZero()
}

// Faults tells of each team that gets no new grants why.
func (b *Book) Faults() []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(b.teams)) {
		t := b.teams[name]
		switch {
		case t.fault != nil:
			lines = append(lines, t.fault.Error())
		case t.ledger != nil && t.ledger.Open() && !t.allowance().Covers(t.ledger.Limit.limited(t.used)):
			lines = append(lines, fmt.Sprintf("team %s uses %v of an allowance of %v at shard %d", name, t.used, t.allowance(), b.shard))
		}
	}
	return lines
}

// Explain tells in plain words what holds a team's work back here; empty if its allowance does not.
func (b *Book) Explain(team string) string {
	limit := b.limits[team]
	if b.shards == 1 {
		return "team " + team + " is at its limit"
	}
	t := b.team(team)
	switch {
	case t.fault != nil:
		return t.fault.Error() + "; nothing new of the team starts until an operator has looked at it"
	case !b.loaded:
		return "the ledgers of the teams' limits are being read"
	case t.ledger == nil && limit.None():
		return ""
	case t.ledger == nil || !t.ledger.Open():
		return "team " + team + ": not all shards have told what the team uses since its limit came into force"
	case !t.ledger.Overhang.IsZero():
		return fmt.Sprintf("the limit of team %s was lowered to %v while more was in use; nothing new starts until enough has ended", team, t.ledger.Limit)
	}
	return b.explainShare(team, t)
}

// explainShare tells who holds what this shard lacks.
func (b *Book) explainShare(team string, t *teamBook) string {
	var held Amount
	most, holder := int64(0), Shard(-1)
	for shard, account := range t.ledger.Accounts {
		held = held.Plus(account.Allowance)
		if amount := account.Allowance[Cores] + account.Allowance[Accelerators]; Shard(shard) != b.shard && amount > most {
			most, holder = amount, Shard(shard)
		}
	}
	if holder < 0 {
		return "team " + team + " is at its limit"
	}
	asked := "not asked back yet"
	if !t.askedAt.IsZero() {
		asked = fmt.Sprintf("asked back %v ago", b.now().Sub(t.askedAt).Round(time.Second))
	}
	return fmt.Sprintf("its team's allowance is held by shard %d, %s", holder, asked)
}
