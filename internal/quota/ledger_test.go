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

// randomAmount returns a random whole quantity of each resource, from 0 to most.
func randomAmount(rng *rand.Rand, most int64) (amount Amount) {
	for r := range amount {
		amount[r] = rng.Int64N(most+1) * unitsPerWhole
	}
	return amount
}

func TestAllowancesNeverExceedTheLimit(t *testing.T) {
	t.Parallel()
	// Guards against transitions that break the invariants of a ledger. The leaders of four modelled
	// shards grant within their allowances, while random transitions are applied and limits are
	// raised, lowered, added and removed.
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
				if grant := amount.Min(idle); ledger.AllRegistered() && ledger.Overcommitted.IsZero() {
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
			if !ledger.AllRegistered() {
				continue
			}
			sum := Amount{}
			for i, account := range ledger.Accounts {
				if !account.Allowance.Covers(ledger.Limit.limited(used[i])) {
					t.Fatalf("seed %d, step %d: shard %d uses %v, more than its allowance of %v", seed, step, i, used[i], account.Allowance)
				}
				sum = sum.Plus(ledger.Limit.limited(used[i]))
			}
			if !ledger.Limit.limited(Amount(ledger.Limit)).Plus(ledger.Overcommitted).Covers(sum) {
				t.Fatalf("seed %d, step %d: usage %v exceeds limit %v and overcommitment %v", seed, step, sum, ledger.Limit, ledger.Overcommitted)
			}
		}
	}
}

func TestOlderSettingsDoNotRestoreTheirLimit(t *testing.T) {
	t.Parallel()
	ledger := NewLedger(LimitOf(8, 0), 100, 2)
	if _, err := ledger.SetLimit(LimitOf(12, 0), 99); !errors.Is(err, errNotAllowed) {
		t.Errorf("SetLimit of a process that started earlier: error %v, want errNotAllowed", err)
	}
	if next, err := ledger.SetLimit(LimitOf(12, 0), 101); err != nil || next.Reserve[Cores] != 12*unitsPerWhole {
		t.Errorf("SetLimit of a process that started later: ledger %+v, error %v; want a reserve of 12 cores", next, err)
	}
}

func TestUnusableLedgerStopsOnlyItsTeam(t *testing.T) {
	t.Parallel()
	good := string(encode(t, NewLedger(LimitOf(8, 0), 1, 3)))
	open := NewLedger(LimitOf(8, 0), 1, 3)
	for shard := range open.Accounts {
		open = open.Register(Shard(shard), Amount{})
	}
	open, err := open.Take(0, cores(2))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, stored, fault string }{
		{"unbalanced", strings.Replace(good, "8000", "9000", 1), "does not add up"},
		{"newer form", strings.Replace(good, `"form":1`, `"form":2`, 1), "newer form"},
		{"other number of shards", strings.Replace(good, `[{`, `[{},{`, 1), "another number"},
		{"not a ledger", `{"form":1,"limit":"eight"}`, "cannot unmarshal"},
		{"empty", `{}`, "another number"},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker(0, 3, map[string]Limit{"red": LimitOf(8, 0), "blue": LimitOf(8, 0)}, 1)
			tracker.Load([]state.Entry{
				{Key: LedgerKey("red"), Value: json.RawMessage(c.stored), Revision: 5},
				{Key: LedgerKey("blue"), Value: encode(t, open), Revision: 6},
			})
			if available := tracker.Available("red"); available.Cores > 0 {
				t.Errorf("%v available to red, whose ledger can't be used", available)
			}
			if available := tracker.Available("blue"); available.Cores != 2 {
				t.Errorf("%v available to blue, want the 2 cores of its allowance", available)
			}
			if faults := strings.Join(tracker.Faults(), "; "); !strings.Contains(faults, c.fault) || strings.Contains(faults, "blue") {
				t.Errorf("faults %q, want only one of red that contains %q", faults, c.fault)
			}
			for _, transfer := range tracker.dueTransfers() {
				if transfer.Team == "red" {
					t.Errorf("a transfer replaces the unusable ledger of red: %s", transfer.Reason)
				}
			}
		})
	}
}

// openTracker returns the tracker of shard 0 of two. Team red has a limit of eight cores and, in this
// shard and in the other one, allowances of own and other cores.
func openTracker(t *testing.T, own, other int64) *Tracker {
	t.Helper()
	tracker := NewTracker(0, 2, map[string]Limit{"red": LimitOf(8, 0)}, 1)
	ledger := NewLedger(LimitOf(8, 0), 1, 2)
	ledger = ledger.Register(0, cores(own))
	ledger = ledger.Register(1, cores(other))
	loadLedger(t, tracker, 5, &ledger)
	return tracker
}

// applyRequest applies a stored request of another shard for allowance of team red.
func applyRequest(t *testing.T, tracker *Tracker, shard Shard, revision ids.Revision, request Request) {
	t.Helper()
	raw := encode(t, Requests{Version: formatVersion, Teams: map[string]Request{"red": request}})
	tracker.Apply(state.Change{Put: RequestsKey(shard), Value: raw, Revision: revision})
}

// applyLedgerChange applies a change of the stored ledger of team red.
func applyLedgerChange(t *testing.T, tracker *Tracker, revision ids.Revision, ledger *Ledger) {
	t.Helper()
	tracker.Apply(state.Change{Put: LedgerKey("red"), Value: encode(t, ledger), Revision: revision})
}

// loadLedger loads a ledger of team red, as the only entry, into a tracker.
func loadLedger(t *testing.T, tracker *Tracker, revision ids.Revision, ledger *Ledger) {
	t.Helper()
	tracker.Load([]state.Entry{{Key: LedgerKey("red"), Value: encode(t, ledger), Revision: revision}})
}

func encode(t *testing.T, value any) json.RawMessage {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func cores(n int64) Amount { return Amount{Cores: n * unitsPerWhole} }

func TestAmountOfAnUncertainTransferIsWithheld(t *testing.T) {
	t.Parallel()
	tracker := openTracker(t, 6, 2)
	tracker.AddUsage("red", placement.Resources{Cores: 3})
	applyRequest(t, tracker, 1, 6, Request{Missing: cores(1), Wanted: cores(2)})
	transfers := tracker.dueTransfers()
	if len(transfers) != 1 || transfers[0].withheld != cores(2) {
		t.Fatalf("transfers %+v, want one that withholds 2 cores", transfers)
	}
	available := func() float64 { return tracker.Available("red").Cores }
	if available() != 1 {
		t.Fatalf("%v cores available while two of three idle cores are withheld", available())
	}
	tracker.recordOutcome(transfers[0], 0, state.ErrOutcomeUnknown)
	if again := tracker.dueTransfers(); available() != 1 || len(again) != 1 || again[0] != transfers[0] {
		t.Fatalf("after an unknown outcome: %v cores available, transfers %+v; want 1 core and the same transfer", available(), again)
	}
	// The second attempt is refused, but the first may still be applied.
	tracker.recordOutcome(transfers[0], 0, state.ErrRefused)
	tracker.recordOutcome(transfers[0], 0, &state.ConflictError{})
	if available() != 1 {
		t.Fatalf("%v cores available although the first attempt may have been applied", available())
	}
	// After another change of the ledger the transfer can no longer be applied.
	applyLedgerChange(t, tracker, 9, tracker.teams["red"].ledger)
	if available() != 3 {
		t.Fatalf("%v cores available after a later revision without the transfer, want 3", available())
	}
}

func TestIdleAllowanceGoesToTheFirstRequestWithoutOscillating(t *testing.T) {
	t.Parallel()
	now := time.Now()
	earlier, later := ids.TimestampOf(now.Add(-time.Minute)), ids.TimestampOf(now)
	request := func(missing, wanted int64, rank Rank) Request {
		return Request{Missing: cores(missing), Wanted: cores(wanted), Rank: rank}
	}
	for _, c := range []struct {
		name    string
		own     Demand
		request Request
		given   int64
	}{
		{"no demand of its own",
			Demand{}, request(1, 9, Rank{}), 6},
		{"the older demand goes first",
			Demand{cores(1), cores(4), Rank{Since: earlier}}, request(1, 9, Rank{Since: later}), 2},
		{"retained just after it was received",
			Demand{cores(1), cores(4), Rank{Since: later}}, request(1, 9, Rank{Since: earlier}), 2},
		{"not retained from a higher priority",
			Demand{cores(1), cores(4), Rank{Since: earlier}}, request(1, 9, Rank{Priority: 1, Since: later}), 6},
		{"not retained from a guaranteed demand",
			Demand{cores(1), cores(4), Rank{Priority: 2}}, request(1, 9, Rank{Guaranteed: true}), 6},
		{"no part of a gang to other than the first",
			Demand{cores(8), cores(8), Rank{Since: earlier}}, request(7, 7, Rank{Since: later}), 0},
		{"a part to the first of two gangs",
			Demand{cores(8), cores(8), Rank{Since: later}}, request(7, 7, Rank{Priority: 1}), 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := openTracker(t, 6, 2)
			tracker.SetDemands(map[string]Demand{"red": c.own})
			applyRequest(t, tracker, 1, 6, c.request)
			given := Amount{}
			for _, transfer := range tracker.dueTransfers() {
				given = given.Plus(transfer.withheld)
			}
			if given != cores(c.given) {
				t.Errorf("transfers give %v, want %d cores", given, c.given)
			}
		})
	}
}

func TestAllowanceLeftIdleIsNotRetained(t *testing.T) {
	t.Parallel()
	now := time.Now()
	earlier, later := ids.TimestampOf(now.Add(-time.Minute)), ids.TimestampOf(now)
	tracker := openTracker(t, 6, 2)
	tracker.SetDemands(map[string]Demand{"red": {cores(1), cores(4), Rank{Since: earlier}}})
	applyRequest(t, tracker, 1, 6, Request{Missing: cores(1), Wanted: cores(9), Rank: Rank{Since: later}})
	tracker.now = func() time.Time { return now.Add(retentionPeriod + time.Second) }
	if transfers := tracker.dueTransfers(); len(transfers) != 1 || transfers[0].withheld != cores(6) {
		t.Errorf("transfers %+v, want one of all 6 idle cores: allowance that is not used must not be retained", transfers)
	}
}

func TestHigherRankedRequestReclaimsAllowanceInUse(t *testing.T) {
	t.Parallel()
	tracker := openTracker(t, 6, 2)
	tracker.AddUsage("red", placement.Resources{Cores: 5})
	applyRequest(t, tracker, 1, 6, Request{Missing: cores(3), Wanted: cores(3), Rank: Rank{Guaranteed: true}})
	if amount, _, needed := tracker.ReclaimNeeded("red"); !needed || amount != cores(2) {
		t.Errorf("%v to be reclaimed from usage, want 2 cores besides the idle one", amount)
	}
	if why := tracker.Explain("red"); !strings.Contains(why, "held by shard 1, not asked back yet") {
		t.Errorf("explanation %q does not name the shard that holds the allowance", why)
	}
}

func TestNothingIsGrantedWhileUsageMayExceedTheLimit(t *testing.T) {
	t.Parallel()
	newTestTracker := func(ledger Ledger) *Tracker {
		t.Helper()
		tracker := NewTracker(0, 2, map[string]Limit{"red": LimitOf(8, 0)}, 1)
		tracker.AddUsage("red", placement.Resources{Cores: 1})
		if applyLedgerChange(t, tracker, 5, &ledger); tracker.Available("red").Cores > 0 {
			t.Error("resources are available before the stored ledgers were loaded")
		}
		tracker.Load(nil)
		return tracker
	}
	unregistered := NewLedger(LimitOf(8, 0), 1, 2)
	oneRegistered := unregistered.Register(0, cores(3))
	if tracker := newTestTracker(oneRegistered); tracker.Available("red").Cores > 0 || !strings.Contains(tracker.Explain("red"), "not all shards") {
		t.Errorf("%v available before shard 1 has registered its usage, or the explanation is wrong", tracker.Available("red"))
	}
	allRegistered := oneRegistered.Register(1, cores(4))
	if tracker := newTestTracker(allRegistered); tracker.Available("red").Cores != 2 {
		t.Errorf("%v available of an allowance of 3 cores with 1 in use, want 2 cores", tracker.Available("red"))
	}
	newerTracker := NewTracker(0, 2, map[string]Limit{"red": LimitOf(5, 0)}, 2)
	loadLedger(t, newerTracker, 5, &allRegistered)
	if newerTracker.Available("red").Cores > 0 {
		t.Errorf("%v available under a limit that newer settings have lowered", newerTracker.Available("red"))
	}
	lowered, err := allRegistered.SetLimit(LimitOf(5, 0), 2)
	if err != nil {
		t.Fatal(err)
	}
	tracker := newTestTracker(lowered)
	if tracker.Available("red").Cores > 0 || !strings.Contains(tracker.Explain("red"), "was lowered") || len(tracker.Faults()) > 0 {
		t.Errorf("after the limit was lowered: %v available, explanation %q, faults %v", tracker.Available("red"), tracker.Explain("red"), tracker.Faults())
	}
	// Idle allowance reduces the overcommitment first.
	transfers := tracker.dueTransfers()
	if len(transfers) != 1 || transfers[0].Reason != "returned" || transfers[0].withheld != cores(2) {
		t.Fatalf("transfers %+v, want one that returns 2 cores", transfers)
	}
	if tracker.recordOutcome(transfers[0], 6, nil); tracker.Available("red").Cores != 0 || tracker.teams["red"].ledger.Overcommitted != cores(0) {
		t.Errorf("%v available of an allowance of 1 core with 1 in use, or the overcommitment is not zero", tracker.Available("red"))
	}
}

func TestSingleShardGrantsBySettingsAndStoresNothing(t *testing.T) {
	t.Parallel()
	tracker := NewTracker(0, 1, map[string]Limit{"red": LimitOf(8, 0)}, 1)
	tracker.AddUsage("red", placement.Resources{Cores: 2.5, Accels: 3})
	tracker.SetDemands(map[string]Demand{"red": {cores(1), cores(9), Rank{}}})
	if available := tracker.Available("red"); available.Cores != 5.5 || available.Accels < 1e9 || tracker.Available("unknown").Cores > 0 {
		t.Errorf("%v available of a limit of 8 cores with 2.5 in use, or an unknown team has resources available", available)
	}
	if transfers := tracker.dueTransfers(); len(transfers) != 0 {
		t.Errorf("transfers %+v with a single shard, want none", transfers)
	}
	if _, due := tracker.ownRequests(); due {
		t.Error("requests are due with a single shard")
	}
}
