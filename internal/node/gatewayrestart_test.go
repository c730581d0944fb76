package node

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// restartDetectionTime is the time within which callers must get a response after the restart of a
// replica is known, on a busy machine: a request that must not be repeated has 600 ms to show that
// it runs at the new start. The timeout of the routes is 5 s.
const restartDetectionTime = 2 * time.Second

// TestGateway_AbandonsRequestsAtPreviousStart has a server accept requests and then stop
// responding, as if its machine had lost power, and restart under the same ID.
func TestGateway_AbandonsRequestsAtPreviousStart(t *testing.T) {
	for prefix, want := range map[string]int{"resume": http.StatusOK, "once": http.StatusBadGateway} {
		site := newGatewaySite(t, 1)
		site.configure(2, "resume", "once")
		server := site.servers[0]
		gateway := site.start("a")
		site.eventually("configuration in force", func() bool { return gateway.routes.Load().Version == 2 })
		info, _ := gateway.replicas.Get(server.ID)
		info.StartedUnixMs = 2000
		gateway.putReplica(info, 1, false)
		server.SetBehaviour(func(number int) standin.Behaviour {
			if number > 1 {
				return standin.Succeed
			}
			// The server restarts after the clock of its machine was set back.
			info.StartedUnixMs = 1000
			time.AfterFunc(50*time.Millisecond, func() { gateway.putReplica(info, 2, false) })
			return standin.Hang
		})
		start := time.Now()
		status, body, _ := site.call(gateway, http.MethodPost, "/"+prefix+"/x", "q-"+prefix, nil)
		if status != want || time.Since(start) > restartDetectionTime {
			t.Errorf("%s: status %d after %v, %q", prefix, status, time.Since(start), body)
		}
		if want == http.StatusOK && strings.Count(body, "data:") != siteEvents {
			t.Errorf("%s: got %q", prefix, body)
		}
		if runs := len(server.Runs()); want != http.StatusOK && runs != 1 {
			t.Errorf("%s: ran %d times", prefix, runs)
		}
	}
}

// TestCore_CountsAndLogsRestarts checks that each restart counts once, and that other changes of
// the row do not.
func TestCore_CountsAndLogsRestarts(t *testing.T) {
	var log bytes.Buffer
	c := testCore()
	c.sampled = zerolog.New(&log)
	info := replica.Info{ID: "r", Pool: "llm", Address: "a", Slots: 4, StartedUnixMs: 3000}
	c.putReplica(info, 1, false)
	c.replicas.Begin("r", replica.RequestInfo{Batch: true}, time.Now())
	c.replicas.Begin("r", replica.RequestInfo{}, time.Now())
	for version, startedUnixMs := range []int64{3000, 1000, 1000, 0, 1000, 2000} {
		info.StartedUnixMs = startedUnixMs
		c.putReplica(info, uint64(2+version), false)
	}
	if got := counterValue(t, c.metrics, "wheelhoist_gateway_replica_restarts_total"); got != 2 {
		t.Errorf("%v restarts are counted, want 2", got)
	}
	lines := strings.Count(log.String(), "replica started again")
	if lines != 2 || !strings.Contains(log.String(), `"born":1000,"born_before":3000,"open":2,"items":1,"moved":0`) {
		t.Errorf("logged: %s", log.String())
	}
}

// counterValue returns the value of a counter without labels.
func counterValue(t *testing.T, metrics *coreMetrics, name string) float64 {
	t.Helper()
	families, err := metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	t.Fatalf("there is no metric %s", name)
	return 0
}
