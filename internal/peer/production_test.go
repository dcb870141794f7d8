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
	productionWrote struct {
		Job   string
		Stamp uint64
		Raw   []byte
	}
	productionMark struct {
		Gen   uint64
		Seq   uint64
		Whole bool
		At    time.Time
	}
	productionHint struct {
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
	productionStrand struct {
		Machine string
		Ago     time.Duration
	}
	productionHello struct {
		Node           string
		StateOK, Owner bool
		Have           productionMark
		Hints          []productionHint
		Want, Lent     float64
		Stranded       []productionStrand
	}
)

func TestMessagesAreCompatibleWithProduction(t *testing.T) {
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
	var decodedHello productionHello
	if err := gob.NewDecoder(&stream).Decode(&decodedHello); err != nil {
		t.Fatal(err)
	}
	if len(decodedHello.Hints) != 1 || decodedHello.Hints[0].Session != 2 || decodedHello.Have.Gen != 7 || len(decodedHello.Stranded) != 1 ||
		decodedHello.Lent != 1.5 || !decodedHello.Owner || !decodedHello.StateOK || decodedHello.Hints[0].Images.Names[0] != "img" {
		t.Errorf("the production version decodes a Hello as %+v", decodedHello)
	}
	stream.Reset()
	if err := gob.NewEncoder(&stream).Encode(wrote); err != nil {
		t.Fatal(err)
	}
	var decodedWrote productionWrote
	if err := gob.NewDecoder(&stream).Decode(&decodedWrote); err != nil || decodedWrote.Job != "job-1" || decodedWrote.Stamp != 9 || string(decodedWrote.Raw) != string(wrote.Raw) {
		t.Errorf("the production version decodes a Wrote as %+v, %v", decodedWrote, err)
	}
}
