package peer

import (
	"bytes"
	"encoding/gob"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// The messages as declared in the source of the production version.
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

func TestProductionMessagesAreReadBothWays(t *testing.T) {
	// Guards against controllers of two versions decoding each other's messages incorrectly during an
	// upgrade. The files were written by the version that deploy/service.toml names.
	hello := &Hello{Node: "cairn-0", StateOK: true, Owner: true, Have: HintMark{Gen: 7, Seq: 12, Whole: true, At: time.Unix(1700000000, 0).UTC()},
		Hints: []Hint{{Name: "host-000001", Addr: "10.1.0.1:9000", Type: "small", Zone: "north", Spot: true, Session: 2,
			Images: Images{Names: []string{"img"}, Sizes: []float64{1.5}}, Coming: true, Held: 3 * time.Second}},
		Want: 2.5, Lent: 1.5, Stranded: []Strand{{Machine: "host-000002", Ago: 3 * time.Second}}}
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
			t.Errorf("%s: decoded %+v, want %+v", name, got, want)
		}
	}
	var stream bytes.Buffer
	if err := gob.NewEncoder(&stream).Encode(hello); err != nil {
		t.Fatal(err)
	}
	var readHello oldHello
	if err := gob.NewDecoder(&stream).Decode(&readHello); err != nil {
		t.Fatal(err)
	}
	if len(readHello.Hints) != 1 || readHello.Hints[0].Session != 2 || readHello.Have.Gen != 7 || len(readHello.Stranded) != 1 ||
		readHello.Lent != 1.5 || !readHello.Owner || !readHello.StateOK || readHello.Hints[0].Images.Names[0] != "img" {
		t.Errorf("the production version decodes a Hello as %+v", readHello)
	}
	stream.Reset()
	if err := gob.NewEncoder(&stream).Encode(wrote); err != nil {
		t.Fatal(err)
	}
	var readWrote oldWrote
	if err := gob.NewDecoder(&stream).Decode(&readWrote); err != nil || readWrote.Job != "job-1" || readWrote.Stamp != 9 || string(readWrote.Raw) != string(wrote.Raw) {
		t.Errorf("the production version decodes a Wrote as %+v, %v", readWrote, err)
	}
}
