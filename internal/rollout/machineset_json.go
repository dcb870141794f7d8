package rollout

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
)

// storedSeries is the stored form of a nameSeries. Numbers holds the bitmap in roaring's portable format.
type storedSeries struct {
	Prefix  string `json:"p"`
	Digits  int    `json:"d,omitempty"`
	Numbers string `json:"n"`
}

// MarshalJSON encodes the set as a list of storedSeries.
func (m MachineSet) MarshalJSON() ([]byte, error) {
	stored := make([]storedSeries, 0, len(m.series))
	for _, series := range m.series {
		numbers := series.numbers.Clone()
		numbers.RunOptimize()
		encoded, err := numbers.ToBytes()
		if err != nil {
			return nil, fmt.Errorf("encode machine numbers of prefix %s: %w", series.prefix, err)
		}
		stored = append(stored, storedSeries{series.prefix, series.digits, base64.RawStdEncoding.EncodeToString(encoded)})
	}
	return json.Marshal(stored)
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (m *MachineSet) UnmarshalJSON(text []byte) error {
	var stored []storedSeries
	if err := exactjson.Unmarshal(text, &stored); err != nil {
		return err
	}
	m.series = nil
	for i := range stored {
		numbers, err := stored[i].decode()
		if err != nil {
			return fmt.Errorf("decode machine numbers of prefix %s: %w", stored[i].Prefix, err)
		}
		if !numbers.IsEmpty() {
			m.series = append(m.series, nameSeries{stored[i].Prefix, stored[i].Digits, numbers})
		}
	}
	slices.SortFunc(m.series, compareSeries)
	return nil
}

// decode returns the bitmap of numbers, which may be empty.
func (s *storedSeries) decode() (*roaring.Bitmap, error) {
	raw, err := base64.RawStdEncoding.DecodeString(s.Numbers)
	if err != nil {
		return nil, err
	}
	numbers := roaring.New()
	if err := numbers.UnmarshalBinary(raw); err != nil {
		return nil, err
	}
	if numbers.IsEmpty() {
		return numbers, nil
	}
	return numbers, numbers.Validate()
}
