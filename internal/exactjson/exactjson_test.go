package exactjson

import (
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

// message has a field of each kind that the messages of this program have.
type message struct {
	Name     *string          `json:"name"`
	Count    int              `json:"count"`
	Amount   float64          `json:"amountS"`
	Flag     bool             `json:"flag"`
	Raw      json.RawMessage  `json:"raw"`
	Children []child          `json:"children"`
	ByKey    map[string]child `json:"byKey"`
	embedded
}

type child struct {
	Key string `json:"key"`
}

type embedded struct {
	Inner string `json:"inner"`
}

// Guards against members that are taken for a field because their names differ from its name in case
// only, at any depth, also where the case differs by a letter outside ASCII.
func TestNamesThatDifferInCaseAreIgnored(t *testing.T) {
	const text = `{"Name":"x","NAME":"y","Count":1,"amounts":2,"AMOUNTS":2,"amountſ":2,"Flag":true,"RAW":1,"Inner":"z",
		"children":[{"Key":"k","\u212aey":"k"}],"byKey":{"a":{"KEY":"k"},"A":{"keY":"k"}}}`
	want := message{Children: []child{{}}, ByKey: map[string]child{"a": {}, "A": {}}}
	var got message
	if err := Unmarshal([]byte(text), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("Unmarshal: %+v, error %v, want %+v", got, err, want)
	}
	got = message{}
	if err := NewDecoder(strings.NewReader(text)).Decode(&got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("Decode: %+v, error %v, want %+v", got, err, want)
	}
}

// Guards against a member that replaces a field because it stands after it and differs in case only.
func TestLaterNameThatDiffersInCaseReplacesNothing(t *testing.T) {
	var got message
	if err := Unmarshal([]byte(`{"count":1,"Count":2,"COUNT":3}`), &got); err != nil || got.Count != 1 {
		t.Errorf("count %d, error %v, want 1", got.Count, err)
	}
}

// Guards against a difference from encoding/json beyond the names: errors, numbers, null, repeated
// members, invalid UTF-8, and what follows a value.
func FuzzDecodesLikeStandardLibraryExceptForNames(f *testing.F) {
	for _, text := range []string{
		`{}`, `null`, `[]`, `"x"`, ``, `{`, `{"count":1`, `{"count":1}x`, `{"count":1} `, `{"count":"1"}`, `{"count":1.5}`, `{"count":1e3}`,
		`{"amountS":1e999}`, `{"name":null,"count":null}`, `{"count":1,"count":2}`, "{\"name\":\"\xff\"}", `{"name":"\ud800"}`, `{"raw": [1, 2]}`,
		`{"children":[{"key":"a"},{"key":"b"}],"children":[{}]}`, `{"byKey":{"a":{"key":"b"}}}`, `{"inner":"x","unknown":{"deep":[1]}}`,
		`{"count":9223372036854775808}`, `{"flag":0}`, `{"children":{}}`, `{"name":"a\u0000b"}`, "\ufeff{}",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var standard, exact message
		standardErr, err := json.Unmarshal([]byte(text), &standard), Unmarshal([]byte(text), &exact)
		if (standardErr == nil) != (err == nil) && hasOnlyExactNames(text) {
			t.Fatalf("%q: error %v, that of encoding/json is %v", text, err, standardErr)
		}
		if standardErr == nil && hasOnlyExactNames(text) && !reflect.DeepEqual(exact, standard) {
			t.Fatalf("%q: %+v, encoding/json has %+v", text, exact, standard)
		}
	})
}

// hasOnlyExactNames reports whether no member's name differs from a field's name in case only, so that
// encoding/json matches exactly as well. It errs towards false.
func hasOnlyExactNames(text string) bool {
	for _, name := range []string{"name", "count", "amountS", "flag", "raw", "children", "byKey", "key", "inner"} {
		for _, member := range strings.Split(text, `"`) {
			if strings.Contains(member, `\`) || strings.EqualFold(member, name) && member != name {
				return false
			}
		}
	}
	return true
}

func TestDecoderReadsStreamOfValues(t *testing.T) {
	decoder := NewDecoder(strings.NewReader(`{"count":1} {"count":2}` + "\n"))
	for want := 1; want <= 2; want++ {
		var got message
		if err := decoder.Decode(&got); err != nil || got.Count != want {
			t.Fatalf("value %d: count %d, error %v", want, got.Count, err)
		}
	}
	var last message
	if err := decoder.Decode(&last); !errors.Is(err, io.EOF) {
		t.Errorf("error %v at the end of the stream, want io.EOF", err)
	}
	for _, text := range []string{`{"count":`, `{"count":"x"}`, `x`} {
		if err := NewDecoder(strings.NewReader(text)).Decode(&last); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: error %v", text, err)
		}
	}
}
