package server

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/wheelhoist/wheelhoist/api/openai"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

// PathQuarantine is the path of the quarantine API. A gateway serves it at its metrics address.
const PathQuarantine = "/apis/wheelhoist/v1/quarantine"

// Quarantine lists and releases work that is suspected of crashing replicas. It is safe for
// concurrent use.
type Quarantine interface {
	// Suspects returns all suspects.
	Suspects() v1.SuspectList
	// Release clears the recorded crashes of the work with an ID at all nodes. It returns the suspect
	// as it was, or false if the work was not suspected.
	Release(work string) (v1.Suspect, bool)
}

// QuarantineHandler serves the list of suspects, a single suspect, and the release of a suspect if
// mayRelease allows the request.
func QuarantineHandler(quarantine Quarantine, mayRelease func(*http.Request) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, work, single := strings.Cut(r.URL.Path, PathQuarantine+"/")
		switch {
		case r.Method == http.MethodGet && !single:
			writeJSON(w, http.StatusOK, quarantine.Suspects())
		case r.Method == http.MethodGet:
			showSuspect(w, quarantine, work)
		case r.Method == http.MethodDelete && single && !mayRelease(r):
			writeError(w, http.StatusForbidden, openai.TypePermission, "this needs the operators' key")
		case r.Method == http.MethodDelete && single:
			releaseSuspect(w, quarantine, work)
		default:
			writeError(w, http.StatusMethodNotAllowed, openai.TypeInvalidRequest, "GET the list or a work, DELETE a work to release it")
		}
	})
}

// allowAll allows every request. It is for handlers that only operators can reach.
func allowAll(*http.Request) bool { return true }

func showSuspect(w http.ResponseWriter, quarantine Quarantine, work string) {
	for _, suspect := range quarantine.Suspects().Items {
		if suspect.Work == work {
			writeJSON(w, http.StatusOK, suspect)
			return
		}
	}
	writeUnknownSuspect(w)
}

func releaseSuspect(w http.ResponseWriter, quarantine Quarantine, work string) {
	suspect, found := quarantine.Release(work)
	if !found {
		writeUnknownSuspect(w)
		return
	}
	writeJSON(w, http.StatusOK, suspect)
}

func writeUnknownSuspect(w http.ResponseWriter) {
	writeError(w, http.StatusNotFound, openai.TypeNotFound, "nothing counts against this work")
}

func writeError(w http.ResponseWriter, status int, kind openai.ErrorType, message string) {
	writeJSON(w, status, openai.ErrorAnswer{Error: openai.ErrorDetail{Message: message, Type: kind}})
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An encoding error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}
