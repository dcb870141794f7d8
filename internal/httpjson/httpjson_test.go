package httpjson

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// newTestClient starts a server and returns a client for it.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"), server.Client())
}

func TestDoSendsJSONAndReturnsAnyStatusWithItsBody(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		w.WriteHeader(http.StatusConflict)
		if _, err := io.WriteString(w, r.Method+" "+r.URL.String()+" "+r.Header.Get("Content-Type")+" "+string(body)); err != nil {
			t.Error(err)
		}
	})
	for _, test := range []struct {
		name, method, path string
		body               any
		want               string
	}{
		{"with a body", "POST", "/a?b=c", map[string]int{"n": 1}, `POST /a?b=c application/json {"n":1}`},
		{"without a body", "GET", "/a", nil, "GET /a  "},
	} {
		t.Run(test.name, func(t *testing.T) {
			response, err := client.Do(context.Background(), test.method, test.path, test.body)
			if err != nil {
				t.Fatal(err)
			}
			if response.Status != http.StatusConflict || string(response.Body) != test.want {
				t.Errorf("status %d, body %q, want %q", response.Status, response.Body, test.want)
			}
		})
	}
}

func TestDoDistinguishesLostResponseFromUnsentRequest(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		if _, err := io.WriteString(w, "cut off"); err != nil {
			t.Error(err)
		}
	})
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, test := range []struct {
		name string
		ctx  context.Context
		body any
		lost bool
	}{
		{"answer cut off", context.Background(), nil, true},
		{"context ended", canceled, nil, true},
		{"body that is no JSON", context.Background(), func() {}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := client.Do(test.ctx, "POST", "/a", test.body)
			var noResponse *NoResponseError
			if err == nil || errors.As(err, &noResponse) != test.lost {
				t.Errorf("got error %v, want a NoResponseError: %v", err, test.lost)
			}
		})
	}
}
