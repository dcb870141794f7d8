package record

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// recordWith returns a job's record with the given numbers of dependencies, events and tasks; every other
// task is done.
func recordWith(dependencies, events, tasks int) *Record {
	r := New(Spec{ID: "job-1", Team: "red", JobType: Array, Tasks: tasks}, 1000, "w")
	for i := range dependencies {
		r.Spec.DependsOn = append(r.Spec.DependsOn, ids.Job(fmt.Sprintf("job-77%05d", i)))
	}
	for i := range events {
		r.Events = append(r.Events, Event{ids.Timestamp(2000 + i), fmt.Sprintf("event %d", i)})
	}
	for task := 0; task < tasks; task += 2 {
		r.Finished.Add(task)
	}
	return r
}

// mustDecode decodes a record and fails the test if that returns an error.
func mustDecode(t *testing.T, raw json.RawMessage) *Record {
	t.Helper()
	r, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestLiveRecordDropsDependenciesThenOldestEvents(t *testing.T) {
	fullSize := len(marshal(t, recordWith(20, 10, 4)))
	withoutDependencies := len(marshal(t, recordWith(0, 10, 4)))
	withoutEvents := recordWith(0, 0, 4)
	withoutEvents.Events = nil
	minSize := len(marshal(t, withoutEvents))
	for _, c := range []struct {
		limit, dependencies, events int // how many of the 20 dependencies and 11 events stay
	}{
		{fullSize, 20, 11},
		{fullSize - 1, 0, 11},
		{withoutDependencies, 0, 11},
		{withoutDependencies - 1, 0, 10},
		{minSize, 0, 0},
	} {
		raw, ok := recordWith(20, 10, 4).Encode(c.limit)
		if !ok || len(raw) > c.limit {
			t.Fatalf("limit %d: encoded in %d bytes, fits: %v", c.limit, len(raw), ok)
		}
		stored := mustDecode(t, raw)
		if len(stored.Spec.DependsOn) != c.dependencies || len(stored.Events) != c.events {
			t.Errorf("limit %d: %d dependencies and %d events were kept", c.limit, len(stored.Spec.DependsOn), len(stored.Events))
		}
		if c.events > 0 && stored.Events[c.events-1].Message != "event 9" {
			t.Errorf("limit %d: the last event is %q", c.limit, stored.Events[c.events-1].Message)
		}
	}
	if raw, ok := recordWith(20, 10, 4).Encode(minSize - 1); ok || raw != nil {
		t.Errorf("Encode returned %q for a limit that it does not fit", raw)
	}
}

func TestFinalRecordKeepsItsLastEventLongest(t *testing.T) {
	// Guards against the loss of the event that shows users how a job ended.
	r := recordWith(20, 10, 400)
	r.AddEviction(1, 1, "drain", 1)
	before := string(marshal(t, r))
	lastEventOnly := *recordWith(20, 0, 400)
	lastEventOnly.Events = r.Events[len(r.Events)-1:]
	sizeWithDependencies := len(marshal(t, lastEventOnly))
	for _, c := range []struct {
		name                       string
		limit, dependencies, spans int
		moreEvents                 bool // whether more events than the last one stay
	}{
		{"all fits", 100000, 20, 200, true},
		{"only the last event fits", sizeWithDependencies, 20, 200, false},
		{"dependencies and the done tasks' indexes don't fit", sizeWithDependencies - 1, 0, 1, false},
		{"a tight limit", 400, 0, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw, ok := r.EncodeFinal(c.limit)
			if !ok || len(raw) > c.limit {
				t.Fatalf("encoded in %d bytes, fits: %v", len(raw), ok)
			}
			stored := mustDecode(t, raw)
			if len(stored.Spec.DependsOn) != c.dependencies || stored.Finished.SpanCount() != c.spans || stored.Finished.Len() != 200 {
				t.Errorf("%d dependencies and %d done tasks in %d spans were kept", len(stored.Spec.DependsOn), stored.Finished.Len(), stored.Finished.SpanCount())
			}
			if len(stored.Evictions) > 0 {
				t.Errorf("evictions %v were kept in a final record", stored.Evictions)
			}
			if more := len(stored.Events) > 1; more != c.moreEvents || stored.Events[len(stored.Events)-1].Message != "event 9" {
				t.Errorf("events %v were kept", stored.Events)
			}
		})
	}
	if raw, ok := r.EncodeFinal(100); ok {
		t.Errorf("EncodeFinal returned %q for a limit that it does not fit", raw)
	}
	if after := string(marshal(t, r)); after != before {
		t.Errorf("encoding changed the record from\n%s to\n%s", before, after)
	}
}

func TestWaitingRecordIsDecodedInBothForms(t *testing.T) {
	fullSize := len(marshal(t, []*Record{recordWith(100, 10, 4)}))
	for _, c := range []struct {
		name   string
		limit  int
		packed bool
		events int
	}{
		{"names fit spelled out", fullSize, false, 11},
		{"names are packed", fullSize - 1, true, 11},
		{"names are packed and events dropped", 600, true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := recordWith(100, 10, 4)
			want := r.Spec.DependsOn
			raw, ok := r.EncodeWaiting(c.limit)
			if !ok || len(raw) > c.limit {
				t.Fatalf("encoded in %d bytes, fits: %v", len(raw), ok)
			}
			if packed := strings.Contains(string(raw), `,"job-77000:`); packed != c.packed {
				t.Errorf("names packed: %v in %s", packed, raw)
			}
			if _, err := Decode(raw); err == nil {
				t.Error("versions without dependencies can decode the record of a waiting job")
			}
			decoded, err := DecodeWaiting(raw)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded.Spec.DependsOn, want) || len(decoded.Events) != c.events {
				t.Errorf("decoded with dependencies %v and %d events", decoded.Spec.DependsOn, len(decoded.Events))
			}
			if len(r.Spec.DependsOn) != 100 || len(r.Events) != 11 {
				t.Errorf("encoding left %d dependencies and %d events in the record", len(r.Spec.DependsOn), len(r.Events))
			}
		})
	}
	if raw, ok := recordWith(100, 10, 4).EncodeWaiting(400); ok {
		t.Errorf("EncodeWaiting returned %q for a limit that it does not fit", raw)
	}
}

func TestMalformedWaitingRecordsAreRejected(t *testing.T) {
	for _, raw := range []string{``, `{}`, `[]`, `[null]`, `[1]`, `[{},"job-:1",2]`, `[{},1]`, `"x"`} {
		if r, err := DecodeWaiting(json.RawMessage(raw)); err == nil {
			t.Errorf("malformed record %s is decoded as %+v", raw, r)
		}
	}
}

func TestPackedNamesAreUnpackedUnchanged(t *testing.T) {
	for _, c := range []struct {
		names  []ids.Job
		packed string
	}{
		{nil, ":"},
		{[]ids.Job{"job-12"}, "job-12:"},
		{[]ids.Job{"job-12", "job-13", "job-2"}, "job-:12 13 2"},
		{[]ids.Job{"job-1", "job-12"}, "job-1: 2"},
	} {
		packed := packNames(c.names)
		if packed != c.packed {
			t.Errorf("names %v are packed as %q, want %q", c.names, packed, c.packed)
		}
		if decoded := unpackNames(packed); !reflect.DeepEqual(decoded, c.names) {
			t.Errorf("%q is unpacked as %v, want %v", packed, decoded, c.names)
		}
	}
}

func TestCancellationIsDecodedUnchanged(t *testing.T) {
	cancellation := Cancellation{At: 5, Writer: "w"}
	raw := cancellation.Encode()
	if string(raw) != `[{"at":5,"writer":"w"}]` {
		t.Errorf("cancellation encoded as %s", raw)
	}
	if decoded, err := DecodeCancellation(raw); err != nil || decoded != cancellation {
		t.Errorf("cancellation decoded as %+v, error %v", decoded, err)
	}
	for _, bad := range []string{``, `{}`, `[]`, `[{},{}]`} {
		if decoded, err := DecodeCancellation(json.RawMessage(bad)); err == nil {
			t.Errorf("malformed cancellation %s is decoded as %+v", bad, decoded)
		}
	}
}
