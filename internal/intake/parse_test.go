package intake

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// requiredFields are the fields without which a submission is malformed.
var requiredFields = []string{"uid", "jobkind", "owner", "shape", "urgency", "pieces", "cores", "accelerators", "ramGb",
	"bundle", "pullGb", "together", "spread", "loaners", "guessS", "bookmarkS", "stashS"}

// misspellings returns names that differ from a field's name in case only. U+017F and U+212A are letters
// that Unicode folds to s and k.
func misspellings(name string) []string {
	spellings := []string{strings.ToUpper(name), strings.ToUpper(name[:1]) + name[1:], name[:len(name)-1] + strings.ToUpper(name[len(name)-1:]),
		strings.ToLower(name), strings.Replace(name, "s", "\u017f", 1), strings.Replace(name, "S", "\u017f", 1), strings.Replace(name, "k", "\u212a", 1)}
	var others []string
	for _, spelling := range spellings {
		if spelling != name {
			others = append(others, spelling)
		}
	}
	return others
}

// Guards against a submission that is accepted although it lacks a field, because an unknown field whose
// name differs in case only is taken for it.
func TestUnknownFieldIsNotTakenForMissingOne(t *testing.T) {
	for _, name := range requiredFields {
		for _, other := range misspellings(name) {
			body := submissionOf("job-000001")
			body[other] = body[name]
			delete(body, name)
			_, _, handler := newHandler()
			if code := serve(handler, "POST", "/v2/runs", body).Code; code != 400 {
				t.Errorf("submission with %q instead of %q: code %d, want 400", other, name, code)
			}
		}
	}
}

// Guards against an unknown field that replaces a known one, or sets an optional one, because its name
// differs in case only.
func TestUnknownFieldChangesNothing(t *testing.T) {
	want, err := parseSubmission(bytes.NewReader(marshal(submissionOf("job-000001"))))
	if err != nil {
		t.Fatal(err)
	}
	others := map[string]string{"builds": `["other"]`, "yard": `"other"`, "dueS": `77`, "awaits": `["job-000009"]`}
	for name, value := range submissionOf("job-000002") {
		others[name] = string(marshal(value))
	}
	maps.Copy(others, map[string]string{"owner": `"other"`, "pieces": `7`, "urgency": `"low"`, "spread": `true`})
	for name, value := range others {
		for _, other := range misspellings(name) {
			known := strings.TrimSuffix(string(marshal(submissionOf("job-000001"))), "}")
			text := known + "," + string(marshal(other)) + ":" + value + "}"
			if !json.Valid([]byte(text)) {
				t.Fatalf("not JSON: %s", text)
			}
			got, err := parseSubmission(strings.NewReader(text))
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("unknown field %q: %+v, error %v, want %+v", other, got, err, want)
			}
		}
	}
}

// reportRecorder keeps the last report that it receives.
type reportRecorder struct{ report *worker.Report }

func (r *reportRecorder) Heartbeat(_ context.Context, report *worker.Report) (*worker.CommandBatch, int, worker.Redirect) {
	r.report = report
	return nil, 421, worker.Redirect{}
}

// Guards against a worker's report in which an unknown field replaces a known one, such as the sequence
// number or a task's state, because its name differs in case only.
func TestUnknownFieldOfReportChangesNothing(t *testing.T) {
	const text = `{"host":"m1","stint":1,"tick":8,"baton":4,"warningS":null,"pieces":[{"piece":"job-1/0","try":2,"status":"running",
		"Status":"ended","TRY":9}],"Host":"m2","Tick":99,"BATON":99,"warnings":5,"Pieces":[]}`
	_, _, service := newJobService()
	recorder := &reportRecorder{}
	server := &Server{Jobs: service, Heartbeats: recorder, Ready: func() bool { return true }}
	response := httptest.NewRecorder()
	server.Handler().ServeHTTP(response, httptest.NewRequest("POST", "/agent/beat", strings.NewReader(text)))
	want := &worker.Report{Machine: "m1", Incarnation: 1, Sequence: 8, FencingToken: 4,
		Tasks: []worker.TaskStatus{{Task: "job-1/0", Attempt: 2, State: "running"}}}
	if !reflect.DeepEqual(recorder.report, want) {
		t.Errorf("code %d, report %+v, want %+v", response.Code, recorder.report, want)
	}
}
