package intake

import (
	"encoding/json"
	"strings"
	"testing"
)

func good() map[string]any {
	return map[string]any{"uid": "job-1", "jobkind": "c", "owner": "red", "shape": "array", "urgency": "low", "pieces": 2,
		"cores": 1.5, "accelerators": 0, "ramGb": 1, "bundle": "img", "pullGb": 1, "builds": nil, "yard": nil, "together": false,
		"spread": false, "loaners": true, "guessS": 10, "bookmarkS": 0, "stashS": 0, "dueS": nil, "novel": "ignored"}
}

func TestWhatIsMalformedIsToldApart(t *testing.T) {
	for name, c := range map[string]struct {
		key string
		v   any
		ok  bool
	}{
		"as it should be":     {"uid", "job-000412", true},
		"a type list":         {"builds", []string{"g8"}, true},
		"id of another form":  {"uid", "run-1", false},
		"id missing":          {"uid", nil, false},
		"no pieces":           {"pieces", 0, false},
		"half a piece":        {"pieces", 1.5, false},
		"too many pieces":     {"pieces", 100001, false},
		"a string for cores":  {"cores", "4", false},
		"negative ram":        {"ramGb", -1, false},
		"unknown shape":       {"shape", "ring", false},
		"unknown urgency":     {"urgency", "soon", false},
		"spread missing":      {"spread", nil, false},
		"empty bundle":        {"bundle", "", false},
		"negative due":        {"dueS", -5, false},
		"types of a bad kind": {"builds", "g8", false},
	} {
		s := good()
		s[c.key] = c.v
		raw, _ := json.Marshal(s)
		if _, err := parse(strings.NewReader(string(raw))); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, raw := range []string{"", "[]", "null", "{", `"x"`, "{}", `{"uid":"job-1"} x`, "{" + strings.Repeat(" ", bodyLimit) + "}"} {
		if _, err := parse(strings.NewReader(raw)); err == nil {
			t.Errorf("taken: %.20q", raw)
		}
	}
}
