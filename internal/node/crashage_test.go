package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
)

// TestGateway_LateSuccessClearsNoNewerCrash guards against a node that starts, asks another one for crashes and
// successes, and takes a success for as recent as its arrival: work that crashes replicas meanwhile would be sent
// on.
func TestGateway_LateSuccessClearsNoNewerCrash(t *testing.T) {
	const delay = 400 * time.Millisecond
	work := quarantine.Work{1}
	for name, known := range map[string]knownCrashes{
		"success": {Clearings: []clearingEntry{{Work: work, AgeMs: 1}}},
		"success before another crash": {Crashes: []crashEntry{{
			Replica: "other", Works: []quarantine.Work{work}, Durations: []int64{5}, SuccessAges: []int64{1},
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newGatewaySite(t, 1).start("a")
			body, err := cbor.Marshal(known)
			if err != nil {
				t.Fatal(err)
			}
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for i := range quarantine.DefaultCrashLimit {
					sentAt := time.Now()
					time.Sleep(10 * time.Millisecond)
					gateway.quarantine.guard.RecordCrash(quarantine.CrashReport{
						Replica: fmt.Sprintf("gone-%d", i), Runs: []quarantine.Run{{Work: work, SentAt: sentAt}}, At: time.Now(),
					})
				}
				time.Sleep(delay)
				if _, err := w.Write(body); err != nil {
					t.Error(err)
				}
			}))
			defer peer.Close()
			if !gateway.fetchCrashes(t.Context(), http.DefaultClient, peer.Listener.Addr().String()) {
				t.Fatal("no answer")
			}
			if verdict := gateway.quarantine.Check(work, time.Now()); len(verdict.Replicas) < quarantine.DefaultCrashLimit {
				t.Errorf("%d crashes count, %d were seen after the success", len(verdict.Replicas), quarantine.DefaultCrashLimit)
			}
		})
	}
}
