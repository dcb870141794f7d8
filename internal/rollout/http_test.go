package rollout

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
)

func TestCommandsAreTakenFromTheMachineItselfOnly(t *testing.T) {
	play(t, 4, func(s *stage) {
		s.lead("b")
		e := echo.New()
		s.service.Routes(e)
		call := func(from, method, path, body string) *httptest.ResponseRecorder {
			req := httptest.NewRequest(method, path, strings.NewReader(body))
			req.RemoteAddr = from
			answer := httptest.NewRecorder()
			e.ServeHTTP(answer, req)
			return answer
		}
		good := `{"name":"spring","select":{"older":true},"waveSize":2,"deadline":60,"atDeadline":"wait"}`
		for _, c := range []struct {
			from, method, path, body string
			status                   int
			text                     string
		}{
			{"10.0.0.9:1234", "POST", Path, good, http.StatusForbidden, "own machine only"},
			{"10.0.0.9:1234", "GET", Path, "", http.StatusForbidden, "own machine only"},
			{"nonsense", "GET", Path, "", http.StatusForbidden, "own machine only"},
			{"127.0.0.1:1234", "POST", PlanPath, good, http.StatusOK, `"waves":[["host-000001","host-000002"]`},
			{"127.0.0.1:1234", "GET", Path, "", http.StatusOK, "null"},
			{"127.0.0.1:1234", "POST", Path, `{"name":"spring"`, http.StatusUnprocessableEntity, "not a rollout"},
			{"127.0.0.1:1234", "POST", Path, `{"name":"spring"}`, http.StatusUnprocessableEntity, "nothing selects"},
			{"[::1]:1234", "POST", Path, good, http.StatusOK, `"state":"running"`},
			{"127.0.0.1:1234", "POST", Path, strings.Replace(good, `"waveSize":2`, `"waveSize":3`, 1), http.StatusConflict, "says something else"},
			{"127.0.0.1:1234", "GET", Path + "/summer", "", http.StatusNotFound, "no such rollout"},
			{"127.0.0.1:1234", "POST", Path + "/spring/abort", "", http.StatusOK, `"spring"`},
		} {
			answer := call(c.from, c.method, c.path, c.body)
			if answer.Code != c.status || !strings.Contains(answer.Body.String(), c.text) {
				t.Errorf("%s %s from %s: %d %s", c.method, c.path, c.from, answer.Code, answer.Body)
			}
		}
		s.store.SetDown(true)
		answer := call("127.0.0.1:1234", "GET", Path, "")
		if answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Retry-After") == "" {
			t.Errorf("without the state service: %d %v", answer.Code, answer.Header())
		}
	})
}
