package quota

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// randomAmount is up to most whole units of each resource.
func randomAmount(rng *rand.Rand, most int64) (a Amount) {
	for r := range a {
		a[r] = rng.Int64N(most+1) * unitsPerWhole
	}
	return a
}

func TestAllowancesNeverAddUpToMoreThanTheLimit(t *testing.T) {
	t.Parallel()
	// A model of four shards, whose leaders grant within their allowances, under any order
	// of transitions and limits that rise, fall, come and go.
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		const shards = 4
		limit := func() Limit {
			l := Limit(randomAmount(rng, 20))
			if rng.IntN(3) == 0 {
				l[rng.IntN(len(l))] = Unlimited
			}
			return l
		}
		ledger := NewLedger(limit(), 1, shards)
		used := [shards]Amount{}
		for step := range 300 {
			shard, amount := Shard(rng.IntN(shards)), randomAmount(rng, 6)
			idle := ledger.Limit.limited(ledger.Accounts[shard].Allowance.Minus(used[shard]))
			next, err := ledger, error(nil)
			switch rng.IntN(7) {
			case 0:
				next = ledger.Register(shard, used[shard])
			case 1:
				next, err = ledger.Take(shard, amount)
			case 2:
				next, err = ledger.Give(shard, Shard(rng.IntN(shards)), amount.Min(idle))
			case 3:
				next, err = ledger.Return(shard, amount.Min(idle))
			case 4:
				used[shard] = used[shard].Minus(amount)
			case 5:
				if grant := amount.Min(idle); ledger.Open() && ledger.Overhang.IsZero() {
					used[shard] = used[shard].Plus(grant)
				}
			case 6:
				if rng.IntN(8) == 0 {
					next, err = ledger.SetLimit(limit(), ledger.LimitAt+1)
				}
			}
			if err != nil {
				if !errors.Is(err, errNotAllowed) {
					t.Fatal(err)
				}
				continue
			}
			ledger = next
			if err := ledger.Check(shards); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			if !ledger.Open() {
				continue
			}
			sum := Amount{}
			for i, account := range ledger.Accounts {
				if !account.Allowance.Covers(ledger.Limit.limited(used[i])) {
					t.Fatalf("seed %d, step %d: shard %d uses %v of %v", seed, step, i, used[i], account.Allowance)
				}
				sum = sum.Plus(ledger.Limit.limited(used[i]))
			}
			if !ledger.Limit.limited(Amount(ledger.Limit)).Plus(ledger.Overhang).Covers(sum) {
				t.Fatalf("seed %d, step %d: %v in use, limit %v, overhang %v", seed, step, sum, ledger.Limit, ledger.Overhang)
			}
		}
	}
}

func TestOlderSettingsDoNotBringTheirLimitBack(t *testing.T) {
	t.Parallel()
	ledger := NewLedger(LimitOf(8, 0), 100, 2)
	if _, err := ledger.SetLimit(LimitOf(12, 0), 99); !errors.Is(err, errNotAllowed) {
		t.Errorf("a process that started earlier changed the limit: %v", err)
	}
	if next, err := ledger.SetLimit(LimitOf(12, 0), 101); err != nil || next.Reserve[Cores] != 12*unitsPerWhole {
		t.Errorf("%+v, %v", next, err)
	}
}

func TestALedgerThatCantBeUsedStopsItsTeamAlone(t *testing.T) {
	t.Parallel()
	good, _ := json.Marshal(NewLedger(LimitOf(8, 0), 1, 3))
	for bad, name := range map[string]string{
		strings.Replace(string(good), "8000", "9000", 1):         "does not add up",
		strings.Replace(string(good), `"form":1`, `"form":2`, 1): "newer form",
		strings.Replace(string(good), `[{`, `[{},{`, 1):          "another number",
		`{"form":1,"limit":"eight"}`:                             "cannot unmarshal",
		`{}`:                                                     "another number",
	} {
		b := NewBook(0, 3, map[string]Limit{"red": LimitOf(8, 0), "blue": LimitOf(8, 0)}, 1)
		open := NewLedger(LimitOf(8, 0), 1, 3)
		for shard := range open.Accounts {
			open = open.Register(Shard(shard), Amount{})
		}
		open, _ = open.Take(0, Amount{Cores: 2 * unitsPerWhole})
		blue, _ := json.Marshal(open)
		b.Load([]state.Entry{{Key: LedgerKey("red"), Value: json.RawMessage(bad), Revision: 5}, {Key: LedgerKey("blue"), Value: blue, Revision: 6}})
		if left := b.Left("red"); left.Cores > 0 {
			t.Errorf("%s: %v may still be granted", name, left)
		}
		if left := b.Left("blue"); left.Cores != 2 {
			t.Errorf("%s: blue may have %v, not the 2 of its allowance", name, left)
		}
		if faults := strings.Join(b.Faults(), "; "); !strings.Contains(faults, name) || strings.Contains(faults, "blue") {
			t.Errorf("%s: alarm %q", name, faults)
		}
		for _, transfer := range b.Transfers() {
			if transfer.Team == "red" {
				t.Errorf("%s: repaired by %s", name, transfer.What)
			}
		}
	}
}

// openBook is the book of shard 0 of two, of a team with a limit of eight cores, of which it
// holds so many.
func openBook(holds, other int64) *Book {
	b := NewBook(0, 2, map[string]Limit{"red": LimitOf(8, 0)}, 1)
	ledger := NewLedger(LimitOf(8, 0), 1, 2)
	ledger = ledger.Register(0, Amount{Cores: holds * unitsPerWhole})
	ledger = ledger.Register(1, Amount{Cores: other * unitsPerWhole})
	raw, _ := json.Marshal(ledger)
	b.Load([]state.Entry{{Key: LedgerKey("red"), Value: raw, Revision: 5}})
	return b
}

// asks has another shard ask.
func (b *Book) hearAsk(shard Shard, revision ids.Revision, ask Ask) {
	raw, _ := json.Marshal(Asks{Form: ledgerForm, Teams: map[string]Ask{"red": ask}})
	b.Learn(state.Change{Put: AsksKey(shard), Value: raw, Revision: revision})
}

func cores(n int64) Amount { return Amount{Cores: n * unitsPerWhole} }

func TestWhatATransferTakesIsNotGrantedUntilItSurelyCannotApply(t *testing.T) {
	t.Parallel()
	b := openBook(6, 2)
	b.Use("red", placement.Room{Cores: 3})
	b.hearAsk(1, 6, Ask{Missing: cores(1), Wanted: cores(2)})
	transfers := b.Transfers()
	if len(transfers) != 1 || transfers[0].withheld != cores(2) {
		t.Fatalf("%+v", transfers)
	}
	left := func() float64 { return b.Left("red").Cores }
	if left() != 1 {
		t.Fatalf("%v left while two of three idle cores are offered", left())
	}
	b.Settle(transfers[0], 0, state.ErrUnknown)
	if again := b.Transfers(); left() != 1 || len(again) != 1 || again[0] != transfers[0] {
		t.Fatalf("without an answer: %v left, %+v sent again", left(), again)
	}
	// Refused the second time: the first may still apply.
	b.Settle(transfers[0], 0, state.ErrRefused)
	b.Settle(transfers[0], 0, &state.Conflict{})
	if left() != 1 {
		t.Fatalf("%v left although the first sending may have been applied", left())
	}
	// Another change of the ledger: now it can't apply any more.
	raw, _ := json.Marshal(b.teams["red"].ledger)
	b.Learn(state.Change{Put: LedgerKey("red"), Value: raw, Revision: 9})
	if left() != 3 {
		t.Fatalf("%v left after a later revision that does not hold the transfer", left())
	}
}

func TestIdleAllowanceGoesToTheFirstDemandAndNotToAndFro(t *testing.T) {
	t.Parallel()
	now := time.Now()
	earlier, later := ids.WallOf(now.Add(-time.Minute)), ids.WallOf(now)
	for name, c := range map[string]struct {
		own   Demand
		ask   Ask
		given int64
	}{
		"nobody here wants it":               {Demand{}, Ask{Missing: cores(1), Wanted: cores(9)}, 6},
		"the older demand goes first":        {Demand{cores(1), cores(4), Rank{Since: earlier}}, Ask{Missing: cores(1), Wanted: cores(9), Rank: Rank{Since: later}}, 2},
		"a moment after it was received":     {Demand{cores(1), cores(4), Rank{Since: later}}, Ask{Missing: cores(1), Wanted: cores(9), Rank: Rank{Since: earlier}}, 2},
		"but for what is more urgent":        {Demand{cores(1), cores(4), Rank{Since: earlier}}, Ask{Missing: cores(1), Wanted: cores(9), Rank: Rank{Priority: 1, Since: later}}, 6},
		"or within a guarantee":              {Demand{cores(1), cores(4), Rank{Priority: 2}}, Ask{Missing: cores(1), Wanted: cores(9), Rank: Rank{Guaranteed: true}}, 6},
		"a part of a gang to the first only": {Demand{cores(8), cores(8), Rank{Since: earlier}}, Ask{Missing: cores(7), Wanted: cores(7), Rank: Rank{Since: later}}, 0},
		"to the first of two gangs":          {Demand{cores(8), cores(8), Rank{Since: later}}, Ask{Missing: cores(7), Wanted: cores(7), Rank: Rank{Priority: 1}}, 6},
	} {
		b := openBook(6, 2)
		b.SetDemands(map[string]Demand{"red": c.own})
		b.hearAsk(1, 6, c.ask)
		given := Amount{}
		for _, transfer := range b.Transfers() {
			given = given.Plus(transfer.withheld)
		}
		if given != cores(c.given) {
			t.Errorf("%s: given %v, not %d cores", name, given, c.given)
		}
	}
	// A demand that leaves its allowance unused does not keep it.
	b := openBook(6, 2)
	b.SetDemands(map[string]Demand{"red": {cores(1), cores(4), Rank{Since: earlier}}})
	b.hearAsk(1, 6, Ask{Missing: cores(1), Wanted: cores(9), Rank: Rank{Since: later}})
	b.now = func() time.Time { return now.Add(keepFor + time.Second) }
	if transfers := b.Transfers(); len(transfers) != 1 || transfers[0].withheld != cores(6) {
		t.Errorf("allowance that is not used is kept: %+v", transfers)
	}
}

func TestLesserWorkIsOwedToADemandThatGoesFirst(t *testing.T) {
	t.Parallel()
	b := openBook(6, 2)
	b.Use("red", placement.Room{Cores: 5})
	b.hearAsk(1, 6, Ask{Missing: cores(3), Wanted: cores(3), Rank: Rank{Guaranteed: true}})
	if amount, _, owed := b.Owed("red"); !owed || amount != cores(2) {
		t.Errorf("owed %v of what is in use, beside the idle core", amount)
	}
	if why := b.Explain("red"); !strings.Contains(why, "held by shard 1, not asked back yet") {
		t.Errorf("explained as %q", why)
	}
}

func TestNothingIsGrantedWhileMoreMayBeInUseThanTheLimit(t *testing.T) {
	t.Parallel()
	learn := func(ledger Ledger) *Book {
		b := NewBook(0, 2, map[string]Limit{"red": LimitOf(8, 0)}, 1)
		b.Use("red", placement.Room{Cores: 1})
		raw, _ := json.Marshal(ledger)
		if b.Learn(state.Change{Put: LedgerKey("red"), Value: raw, Revision: 5}); b.Left("red").Cores > 0 {
			t.Error("granted before all that is stored was read")
		}
		b.Load(nil)
		return b
	}
	whole := NewLedger(LimitOf(8, 0), 1, 2)
	half := whole.Register(0, cores(3))
	if b := learn(half); b.Left("red").Cores > 0 || !strings.Contains(b.Explain("red"), "not all shards") {
		t.Errorf("%v may be granted before shard 1 has told what it uses", b.Left("red"))
	}
	both := half.Register(1, cores(4))
	if b := learn(both); b.Left("red").Cores != 2 {
		t.Errorf("%v may be granted of an allowance of 3 with 1 in use", b.Left("red"))
	}
	newer := NewBook(0, 2, map[string]Limit{"red": LimitOf(5, 0)}, 2)
	raw, _ := json.Marshal(both)
	newer.Load([]state.Entry{{Key: LedgerKey("red"), Value: raw, Revision: 5}})
	if newer.Left("red").Cores > 0 {
		t.Errorf("%v may be granted by a limit that newer settings have lowered", newer.Left("red"))
	}
	lowered, err := both.SetLimit(LimitOf(5, 0), 2)
	if err != nil {
		t.Fatal(err)
	}
	b := learn(lowered)
	if b.Left("red").Cores > 0 || !strings.Contains(b.Explain("red"), "was lowered") || len(b.Faults()) > 0 {
		t.Errorf("after the limit was lowered %v may be granted: %s; alarms %v", b.Left("red"), b.Explain("red"), b.Faults())
	}
	// What is idle makes up for it first.
	transfers := b.Transfers()
	if len(transfers) != 1 || transfers[0].What != "returned" || transfers[0].withheld != cores(2) {
		t.Fatalf("%+v", transfers)
	}
	if b.Settle(transfers[0], 6, nil); b.Left("red").Cores != 0 || b.teams["red"].ledger.Overhang != cores(0) {
		t.Errorf("%v may be granted of an allowance of 1 with 1 in use", b.Left("red"))
	}
}

func TestOneShardGrantsByTheSettingsAndStoresNothing(t *testing.T) {
	t.Parallel()
	b := NewBook(0, 1, map[string]Limit{"red": LimitOf(8, 0)}, 1)
	b.Use("red", placement.Room{Cores: 2.5, Accels: 3})
	b.SetDemands(map[string]Demand{"red": {cores(1), cores(9), Rank{}}})
	if left := b.Left("red"); left.Cores != 5.5 || left.Accels < 1e9 || b.Left("unknown").Cores > 0 {
		t.Errorf("%v left of eight cores", left)
	}
	if transfers := b.Transfers(); len(transfers) != 0 {
		t.Errorf("%+v", transfers)
	}
	if _, due := b.OwnAsks(); due {
		t.Error("asks are stored")
	}
}
