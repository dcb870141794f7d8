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
		send := func(from, method, path, body string) *httptest.ResponseRecorder {
			req := httptest.NewRequest(method, path, strings.NewReader(body))
			req.RemoteAddr = from
			response := httptest.NewRecorder()
			server.ServeHTTP(response, req)
			return response
		}
		validSpec := `{"name":"spring","select":{"older":true},"waveSize":2,"deadline":60,"atDeadline":"wait"}`
		for _, test := range []struct {
			from, method, path, body string
			status                   int
			text                     string
		}{
			{"10.0.0.9:1234", "POST", Path, validSpec, http.StatusForbidden, "own machine only"},
			{"10.0.0.9:1234", "GET", Path, "", http.StatusForbidden, "own machine only"},
			{"nonsense", "GET", Path, "", http.StatusForbidden, "own machine only"},
			{"127.0.0.1:1234", "POST", PlanPath, validSpec, http.StatusOK, `"waves":[["host-000001","host-000002"]`},
			{"127.0.0.1:1234", "GET", Path, "", http.StatusOK, "null"},
			{"127.0.0.1:1234", "POST", Path, `{"name":"spring"`, http.StatusUnprocessableEntity, "invalid rollout request"},
			{"127.0.0.1:1234", "POST", Path, `{"name":"spring"}`, http.StatusUnprocessableEntity, "nothing selects"},
			{"[::1]:1234", "POST", Path, validSpec, http.StatusOK, `"state":"running"`},
			{"127.0.0.1:1234", "POST", Path, strings.Replace(validSpec, `"waveSize":2`, `"waveSize":3`, 1), http.StatusConflict, "another specification"},
			{"127.0.0.1:1234", "GET", Path + "/summer", "", http.StatusNotFound, "no such rollout"},
			{"127.0.0.1:1234", "POST", Path + "/spring/abort", "", http.StatusOK, `"spring"`},
		} {
			response := send(test.from, test.method, test.path, test.body)
			if response.Code != test.status || !strings.Contains(response.Body.String(), test.text) {
				t.Errorf("%s %s from %s: unexpected response, status %d, body %s", test.method, test.path, test.from, response.Code, response.Body)
			}
		}
		h.store.SetDown(true)
		response := send("127.0.0.1:1234", "GET", Path, "")
		if response.Code != http.StatusServiceUnavailable || response.Header().Get("Retry-After") == "" {
			t.Errorf("during an outage of the state service: status %d, header %v; want 503 and Retry-After", response.Code, response.Header())
		}
	})
}
