package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/kataras/iris/v12"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
)

// TestFailForward_QuarantinedWork checks that a refusal of quarantined work blames the request, says
// whether the request ran, and sends no Retry-After, since a retry would fail too.
func TestFailForward_QuarantinedWork(t *testing.T) {
	refusal := &quarantine.RefusalError{Verdict: quarantine.Verdict{Replicas: []string{"a", "b", "c"}, Quarantined: true}}
	for _, ran := range []bool{false, true} {
		app := iris.New()
		app.Get("/", func(ctx iris.Context) {
			if ran {
				failForward(ctx, outcome.AsUnknown(refusal))
				return
			}
			failForward(ctx, outcome.AsNotDone(refusal))
		})
		if err := app.Build(); err != nil {
			t.Fatal(err)
		}
		recorder := httptest.NewRecorder()
		app.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
		var body openai.ErrorAnswer
		if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
			t.Fatal(err)
		}
		status, executed := http.StatusUnprocessableEntity, "no"
		if ran {
			// An earlier attempt of this request may have run.
			status, executed = http.StatusBadGateway, "unknown"
		}
		if recorder.Code != status || recorder.Header().Get(HeaderExecuted) != executed || recorder.Header().Get("Retry-After") != "" {
			t.Errorf("ran %v: %d, %v", ran, recorder.Code, recorder.Header())
		}
		if !ran && body.Error.Code != openai.CodeQuarantined {
			t.Errorf("error %+v", body.Error)
		}
	}
}
