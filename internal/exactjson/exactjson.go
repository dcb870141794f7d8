// Package exactjson decodes JSON like encoding/json, except that the name of an object's member must be
// spelled exactly like that of the field. encoding/json also takes names that differ in case only for the
// field's, although the protocol requires that unknown members are ignored.
//
// Values are encoded with encoding/json.
package exactjson

import (
	"io"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// options are those of encoding/json, with exact names.
var options = json.JoinOptions(jsonv1.DefaultOptionsV1(), json.MatchCaseInsensitiveNames(false))

// Unmarshal decodes a JSON text into the value that a pointer points to. It returns an error if anything
// but white space follows the JSON value.
func Unmarshal(text []byte, value any) error { return json.Unmarshal(text, value, options) }

// Decoder decodes a stream of JSON values.
type Decoder struct{ values *jsontext.Decoder }

// NewDecoder returns a decoder that reads from reader, and may read beyond the values that are decoded.
func NewDecoder(reader io.Reader) *Decoder {
	return &Decoder{jsontext.NewDecoder(reader, options)}
}

// Decode decodes the next JSON value of the stream into the value that a pointer points to. It returns
// io.EOF at the end of the stream.
func (d *Decoder) Decode(value any) error { return json.UnmarshalDecode(d.values, value, options) }
