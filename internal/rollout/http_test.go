package rollout

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
)

func TestCommandsAreAcceptedFromLoopbackOnly(t *testing.T) {
	runHarness(t, 4, func(h *harness) {
		h.startLeader("b")
		server := echo.New()
		h.service.Routes(server)
		call := func(from, method, path, body string) *httptest.ResponseRecorder {
			req := httptest.NewRequest(method, path, strings.NewReader(body))
			req.RemoteAddr = from
			answer := httptest.NewRecorder()
			server.ServeHTTP(answer, req)
			return answer
		}
		good := `{"name":"spring","select":{"older":true},"waveSize":2,"deadline":60,"atDeadline":"wait"}`
		for _, test := range []struct {
			from, method, path, body string
			status                   int
			text                     string
		}{
			{"10.0.0.9:1234", "POST", Path, good, http.StatusForbidden, "own machine only"},
			{"10.0.0.9:1234", "GET", Path, "", http.StatusForbidden, "own machine only"},
			{"nonsense", "GET", Path, "", http.StatusForbidden, "own machine only"},
			{"127.0.0.1:1234", "POST", PlanPath, good, http.StatusOK, `"waves":[["host-000001","host-000002"]`},
			{"127.0.0.1:1234", "GET", Path, "", http.StatusOK, "null"},
			{"127.0.0.1:1234", "POST", Path, `{"name":"spring"`, http.StatusUnprocessableEntity, "invalid rollout request"},
			{"127.0.0.1:1234", "POST", Path, `{"name":"spring"}`, http.StatusUnprocessableEntity, "nothing selects"},
			{"[::1]:1234", "POST", Path, good, http.StatusOK, `"state":"running"`},
			{"127.0.0.1:1234", "POST", Path, strings.Replace(good, `"waveSize":2`, `"waveSize":3`, 1), http.StatusConflict, "another specification"},
			{"127.0.0.1:1234", "GET", Path + "/summer", "", http.StatusNotFound, "no such rollout"},
			{"127.0.0.1:1234", "POST", Path + "/spring/abort", "", http.StatusOK, `"spring"`},
		} {
			answer := call(test.from, test.method, test.path, test.body)
			if answer.Code != test.status || !strings.Contains(answer.Body.String(), test.text) {
				t.Errorf("%s %s from %s: unexpected response, status %d, body %s", test.method, test.path, test.from, answer.Code, answer.Body)
			}
		}
		h.store.SetDown(true)
		answer := call("127.0.0.1:1234", "GET", Path, "")
		if answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Retry-After") == "" {
			t.Errorf("during an outage of the state service: status %d, header %v; want 503 and Retry-After", answer.Code, answer.Header())
		}
	})
}
