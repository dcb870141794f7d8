package config

import (
	"os"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// validSettings is a valid platform's file, with one unknown field.
const validSettings = `
host_name = "n0"
area = "z"
client_listen = "10.0.0.1:1"
cluster_listen = "10.0.0.1:2"
novelty = 7
[services]
cloud = "10.0.0.9:1"
state = "10.0.0.9:2"
[params]
zones = ["z"]
[[params.teams]]
name = "t"
cpus = 4.0
cpus_max = 8.0
[params.workers]
report_s = 3.0
lease_s = 26.0
gang_wait_s = 35.0
gang_peer_s = 5.0
cancel_s = 46.0
[params.state]
rps = 250.0
write_rps = 80.0
value_kb = 32.0
txn_ops = 48
[params.cloud]
rps = 6.0
[params.machine_limits]
cores = 0.3
ram_mb = 300.0
max_sockets = 100
`

// mustParse parses the platform's file and fails the test if it is invalid.
func mustParse(t *testing.T, text string) *Settings {
	t.Helper()
	settings, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// isOneLineNaming reports whether err is not nil, contains name and is a single line.
func isOneLineNaming(err error, name string) bool {
	return err != nil && strings.Contains(err.Error(), name) && !strings.Contains(err.Error(), "\n")
}

func TestParseErrorNamesInvalidField(t *testing.T) {
	if _, err := Parse([]byte(validSettings)); err != nil {
		t.Fatalf("valid settings with an unknown field: %v", err)
	}
	for change, field := range map[string]string{
		`host_name = "n0">`:                      "host_name",
		`state = "10.0.0.9:2">state = "nowhere"`: "services.state",
		`lease_s = 26.0>lease_s = 2.0`:           "lease_s",
		`cpus = 4.0>cpus = 9.0`:                  "params.teams[0]",
		`txn_ops = 48>txn_ops = 1`:               "txn_ops",
		`rps = 6.0>rps = -6.0`:                   "params.cloud.rps",
		`ram_mb = 300.0>`:                        "ram_mb",
		`zones = ["z"]>`:                         "params.zones",
		`10.0.0.1:2">10.0.0.1:1"`:                "cluster_listen",
		`cpus_max = 8.0>cpus_max = "many"`:       "line",
		`[services]>[[others]]` + "\n[services]": "others[0].host_name",
		`[params.cloud]>[params.state.next]` + "\nvalue_kb = -2.0\n[params.cloud]": "params.state.next.value_kb",
		`[params.cloud]>[params.state.next]` + "\ntxn_ops = 3\n[params.cloud]":     "params.state.next.txn_ops",
	} {
		from, to, _ := strings.Cut(change, ">")
		if _, err := Parse([]byte(strings.Replace(validSettings, from, to, 1))); !isOneLineNaming(err, field) {
			t.Errorf("%s: got error %v, want one line that names the setting", change, err)
		}
	}
}

func TestNextStateLimitsApplyFromTheStart(t *testing.T) {
	// Guards against writes that the key-value store would reject once it lowers its limits, which it does
	// at an unannounced time.
	with := func(next string) StateLimits {
		return mustParse(t, strings.Replace(validSettings, "[params.cloud]", next+"\n[params.cloud]", 1)).Params.State
	}
	for _, c := range []struct {
		next string
		want StateLimits
	}{
		{"", StateLimits{RPS: 250, WriteRPS: 80, ValueKB: 32, TxnOps: 48, CurrentValueKB: 32}},
		{"[params.state.next]\nwrite_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 4", StateLimits{RPS: 250, WriteRPS: 35, ValueKB: 2, TxnOps: 4, CurrentValueKB: 32}},
		{"[params.state.next]\nrps = 900.0\nvalue_kb = 64.0", StateLimits{RPS: 250, WriteRPS: 80, ValueKB: 32, TxnOps: 48, CurrentValueKB: 32}}, // next limits never raise the current ones
	} {
		got := with(c.next)
		got.Next = nil
		if got != c.want {
			t.Errorf("%q: got limits %+v, want %+v", c.next, got, c.want)
		}
	}
}

func TestOperatorSettingsOverrideDefaults(t *testing.T) {
	operator, err := ParseOperator([]byte("beat_grace_s: 60\nsample_machines: 9 # more\n"))
	if err != nil || operator.BeatGraceS != 60 || operator.SampleMachines != 9 || operator.PoolHoldMs != DefaultOperator().PoolHoldMs {
		t.Fatalf("got settings %v, error %v", operator, err)
	}
	for _, bad := range []string{"beat_grace_s: 1", "nonsense: 1", "owner_share: 2", "pool_hold_ms: 5"} {
		if _, err := ParseOperator([]byte(bad)); err == nil {
			t.Errorf("no error for %s", bad)
		}
	}
}

func TestParseOperatorErrorNamesInvalidField(t *testing.T) {
	for text, field := range map[string]string{
		"pool_hold_ms: 499":      "pool_hold_ms: must be 500 to 600000: 499",
		"pool_hold_ms: 600001":   "pool_hold_ms",
		"beat_grace_s: nan":      "beat_grace_s",
		"owner_share: 1":         "owner_share",
		"backoff_s: 61":          "backoff_max_s",
		"backoff_s: -1":          "backoff_max_s",
		"idle_return_s: -1":      "idle_return_s",
		"stuck_boot_factor: 0.9": "stuck_boot_factor",
		"spare_share: 1.1":       "spare_share",
		"burst_cost_share: nan":  "burst_cost_share",
		"trail_events: 65":       "trail_events: at most 64: 65",
	} {
		if _, err := ParseOperator([]byte(text)); !isOneLineNaming(err, field) {
			t.Errorf("%s: got error %v, want one line that names the setting", text, err)
		}
	}
}

func TestDocumentedOperatorExampleEqualsDefaults(t *testing.T) {
	raw, err := os.ReadFile("../../docs/operators.textproto")
	if err != nil {
		t.Fatal(err)
	}
	if operator, err := ParseOperator(raw); err != nil || !proto.Equal(operator, DefaultOperator()) {
		t.Errorf("got error %v, settings %v, want the defaults", err, operator)
	}
}

func TestParseFeaturesChecksShardCount(t *testing.T) {
	settings := mustParse(t, validSettings)
	if settings.ShardCount() != 1 {
		t.Errorf("%d shards without a features file, want 1", settings.ShardCount())
	}
	for text, want := range map[string]string{
		"shards: 0": "shards: must be 1 to", "shards: 1000": "shards: must be 1 to", "shards: -1": "line 1",
		"shard: 2": "shard", "shards: two": "line 1", "{": "",
	} {
		if err := settings.ParseFeatures([]byte(text)); !isOneLineNaming(err, want) {
			t.Errorf("%q: got error %v, want one line that names the fault", text, err)
		}
	}
	if settings.ShardCount() != 1 {
		t.Errorf("%d shards after invalid features, want 1", settings.ShardCount())
	}
	if err := settings.ParseFeatures([]byte("shards: 2")); err != nil || settings.ShardCount() != 2 {
		t.Errorf("got %d shards, %v, want 2", settings.ShardCount(), err)
	}
	if err := settings.LoadFeatures("/nonexistent"); err == nil {
		t.Error("no error for a features file that does not exist")
	}
}

func TestParseFeaturesChecksDisruptionBudgets(t *testing.T) {
	settings := mustParse(t, validSettings)
	if settings.DrainsEnabled() {
		t.Error("drains are enabled without a features file")
	}
	team := settings.Params.Teams[0].Name
	for text, want := range map[string]string{
		`drains { teams { team: "nobody" } }`:                                             `drains.teams[0].team: unknown team "nobody"`,
		`drains { teams { team: "` + team + `" } teams { team: "` + team + `" } }`:        "has a budget already",
		`drains { default_budget { replicas_down_percent: 101 } }`:                        "drains.default_budget.replicas_down_percent: must be 0 to 100",
		`drains { default_budget { replicas_down: 0 last_replica: true } }`:               "contradicts",
		`drains { teams { team: "` + team + `" budget { replicas_down_percent: 200 } } }`: "drains.teams[0].budget.replicas_down_percent",
		`drains { ready_s: -1 }`:                          "drains.ready_s: must be zero or more",
		`drains { default_budget { replicas_down: -1 } }`: "invalid value for uint32",
	} {
		if err := settings.ParseFeatures([]byte(text)); !isOneLineNaming(err, want) {
			t.Errorf("%q: got error %v, want one line that names the fault", text, err)
		}
	}
	enabled := `drains { default_budget { replicas_down_percent: 50 } teams { team: "` + team + `" budget { replicas_down: 3 tasks_interrupted: 7 } } ready_s: 2 }`
	if err := settings.ParseFeatures([]byte(enabled)); err != nil || !settings.DrainsEnabled() || settings.ShardCount() != 1 {
		t.Fatalf("enabling drains: error %v, %d shards", err, settings.ShardCount())
	}
	budgets := settings.DisruptionBudgets()
	if down := budgets.ForTeam(team).UnavailableAllowed(10); down != 3 || budgets.ForTeam(team).MaxInterrupted != 7 {
		t.Errorf("got %d replicas down, %d tasks interrupted, want 3 and 7", down, budgets.ForTeam(team).MaxInterrupted)
	}
	if down := budgets.ForTeam("another").UnavailableAllowed(10); down != 5 || budgets.ForTeam("another").MaxInterrupted != 1 {
		t.Errorf("default budget: got %d replicas down, %d tasks interrupted, want 5 and 1", down, budgets.ForTeam("another").MaxInterrupted)
	}
	if settings.Readiness().MinRunning != 2*time.Second {
		t.Errorf("got MinRunning %v, want 2s", settings.Readiness().MinRunning)
	}
}

func TestSocketLimitsAndGracePeriodAreDerivedFromSettings(t *testing.T) {
	settings := mustParse(t, validSettings)
	if got, want := settings.Sockets(), (SocketLimits{Inbound: 44, ToMachines: 16}); got != want {
		t.Errorf("got socket limits %+v, want %+v", got, want)
	}
	// cancel_s (46) minus the worker lease of 26 s with clock drift, minus twice the leader lease of 1.5 s
	if got := settings.LeaderGracePeriod(); got < 16.8 || got > 16.9 {
		t.Errorf("got grace period %v s, want 16.8 to 16.9 s", got)
	}
	settings.Params.Workers.CancelS = 20
	if got := settings.LeaderGracePeriod(); got != 1.5 {
		t.Errorf("got grace period %v s if cancel_s leaves no time, want the leader's lease of 1.5 s", got)
	}
	settings.Params.Workers.CancelS = 460
	if got := settings.LeaderGracePeriod(); got != 40 {
		t.Errorf("got grace period %v s, want beat_grace_s of 40 s", got)
	}
}

func TestDeployedFeaturesFileIsValid(t *testing.T) {
	settings := mustParse(t, validSettings)
	if err := settings.LoadFeatures("../../deploy/features.textproto"); err != nil || !settings.DrainsEnabled() {
		t.Errorf("deployed features: drains enabled %v, error %v", settings.DrainsEnabled(), err)
	}
}
