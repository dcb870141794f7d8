package peer

import (
	"bytes"
	"encoding/gob"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// What production's messages hold, as its own code declared them.
type (
	oldWrote struct {
		Job   string
		Stamp uint64
		Raw   []byte
	}
	oldMark struct {
		Gen   uint64
		Seq   uint64
		Whole bool
		At    time.Time
	}
	oldHint struct {
		Name, Addr, Type, Zone string
		Spot                   bool
		Session                uint64
		Images                 struct {
			Names []string
			Sizes []float64
		}
		Coming bool
		Held   time.Duration
	}
	oldStrand struct {
		Machine string
		Ago     time.Duration
	}
	oldHello struct {
		Node           string
		StateOK, Owner bool
		Have           oldMark
		Hints          []oldHint
		Want, Lent     float64
		Stranded       []oldStrand
	}
)

func TestMessagesOfTheProductionVersionAreUnderstoodBothWays(t *testing.T) {
	// Guards against controllers of two versions that misread each other during an
	// upgrade. The files were written by the version that deploy/service.toml names.
	hello := &Hello{Node: "cairn-0", StateOK: true, Owner: true, Have: claim.HintPosition{Gen: 7, Seq: 12, Whole: true, At: time.Unix(1700000000, 0).UTC()},
		Hints: []claim.Hint{{Name: "host-000001", Addr: "10.1.0.1:9000", Type: "small", Zone: "north", Spot: true, Session: 2,
			Images: worker.Images{Names: []string{"img"}, Sizes: []float64{1.5}}, Coming: true, Held: 3 * time.Second}},
		Want: 2.5, Lent: 1.5, Stranded: []claim.RedirectedWorker{{Machine: "host-000002", Ago: 3 * time.Second}}}
	wrote := &Wrote{Job: "job-1", Stamp: 9, Raw: []byte(`{"spec":{"id":"job-1"}}`)}
	for name, want := range map[string]any{
		"hello": hello, "wrote": wrote, "asked": &Asked{Job: "job-1"}, "lines": &Lines{Lines: []string{"waits: no machine has room"}},
		"took": &Took{Generation: ids.Generation(7)}, "confirmed": &Confirmed{Stopped: true},
	} {
		raw, err := os.ReadFile("testdata/production/" + name + ".gob")
		if err != nil {
			t.Fatal(err)
		}
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(got); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s reads as %+v, not %+v", name, got, want)
		}
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(hello); err != nil {
		t.Fatal(err)
	}
	var h oldHello
	if err := gob.NewDecoder(&buf).Decode(&h); err != nil {
		t.Fatal(err)
	}
	if len(h.Hints) != 1 || h.Hints[0].Session != 2 || h.Have.Gen != 7 || len(h.Stranded) != 1 || h.Lent != 1.5 || !h.Owner || !h.StateOK || h.Hints[0].Images.Names[0] != "img" {
		t.Errorf("production reads a greeting as %+v", h)
	}
	buf.Reset()
	if err := gob.NewEncoder(&buf).Encode(wrote); err != nil {
		t.Fatal(err)
	}
	var w oldWrote
	if err := gob.NewDecoder(&buf).Decode(&w); err != nil || w.Job != "job-1" || w.Stamp != 9 || string(w.Raw) != string(wrote.Raw) {
		t.Errorf("production reads a write as %+v, %v", w, err)
	}
}
