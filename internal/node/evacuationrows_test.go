package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// newLoggedGateway returns a gateway that is not started, and its log.
func newLoggedGateway(places place.Map) (*Gateway, *bytes.Buffer) {
	var log bytes.Buffer
	shared := tabletest.New()
	return &Gateway{core: newCore(zerolog.New(&log), newCoreMetrics(), dependencies{
		id: "n", places: places, table: shared, jobFeed: shared.Feed(jobs.Group), timing: fastTiming(),
		sessions: func(*lease.Session) sessionView { return lease.NewWatcher(shared, time.Now, fastTiming()) },
	})}, &log
}

func opRow(key string, version uint64, removed bool) table.Change {
	return table.Change{Row: table.Row{Key: table.Key{Partition: "op", Sort: key}, Version: version, Body: []byte("{}")}, Removed: removed}
}

func TestApplyConfig_Evacuations(t *testing.T) {
	cases := []struct {
		name    string
		changes []table.Change
		want    []string
	}{
		{"put", []table.Change{opRow("evacuate/a", 1, false)}, []string{"a"}},
		{"put and removed in one response", []table.Change{opRow("evacuate/a", 1, false), opRow("evacuate/a", 2, true)}, nil},
		{"removed and put again", []table.Change{opRow("evacuate/a", 1, false), opRow("evacuate/a", 2, true), opRow("evacuate/a", 3, false)}, []string{"a"}},
		{"removed without being put", []table.Change{opRow("evacuate/a", 2, true)}, nil},
		{"no zone", []table.Change{opRow("evacuate/", 1, false), opRow("evacuated/a", 1, false)}, nil},
		{"a zone with a slash", []table.Change{opRow("evacuate/a/b", 1, false)}, []string{"a/b"}},
	}
	for _, tt := range cases {
		gateway, _ := newLoggedGateway(nil)
		gateway.applyConfig(table.Changes{Changes: tt.changes}, false)
		if !hasEvacuated(gateway.core, tt.want...) {
			t.Errorf("%s: %v, want %v", tt.name, gateway.replicas.Evacuated(), tt.want)
		}
	}
}

func TestApplyConfig_UnknownZoneIsEvacuatedAndLogged(t *testing.T) {
	gateway, log := newLoggedGateway(place.Map{"a": "north"})
	gateway.applyConfig(table.Changes{Changes: []table.Change{opRow("evacuate/odd", 7, false)}}, true)
	for _, want := range []string{`"level":"warn"`, `"zone_known":false`, `"row_version":7`, `"replicas":0`, "zone evacuated"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %s: %s", want, log)
		}
	}
	// The zone had no replica when it was evacuated.
	gateway.putReplica(replica.Info{ID: "r", Pool: "p", Zone: "odd", Slots: 1}, 8, false)
	criteria := &replica.Criteria{}
	if chosen, err := replica.Pick(gateway.replicas.SnapshotFor("p", criteria, time.Now()), criteria, replica.Weights{}); err == nil {
		t.Errorf("chose %s", chosen.ID)
	}
	log.Reset()
	gateway.applyConfig(table.Changes{Revision: 9, Changes: []table.Change{opRow("evacuate/odd", 9, true)}}, false)
	for _, want := range []string{"evacuation ended", `"row_version":7`, `"revision":9`, `"age_ms"`} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %s: %s", want, log)
		}
	}
}

func TestRequestLog_AttemptsNameEvacuatedZones(t *testing.T) {
	gateway, log := newLoggedGateway(nil)
	logAttempt := func() string {
		log.Reset()
		gateway.forwarder.Observer.Sent(&forward.Request{ID: "q"}, 1, &replica.Candidate{Info: replica.Info{ID: "r", Zone: "c"}}, 0)
		return log.String()
	}
	if line := logAttempt(); strings.Contains(line, "evacuated") || !strings.Contains(line, `"zone":"c"`) {
		t.Errorf("without an evacuation: %s", line)
	}
	gateway.applyConfig(table.Changes{Changes: []table.Change{opRow("evacuate/b", 1, false), opRow("evacuate/a", 2, false)}}, false)
	if line := logAttempt(); !strings.Contains(line, `"evacuated":["a","b"]`) {
		t.Errorf("with two: %s", line)
	}
}

func TestApplyConfig_RewrittenRowIsOneEvacuation(t *testing.T) {
	gateway, log := newLoggedGateway(nil)
	gateway.applyConfig(table.Changes{Changes: []table.Change{opRow("evacuate/a", 1, false)}}, false)
	since := gateway.evacuations.all()["a"].Since
	gateway.applyConfig(table.Changes{Changes: []table.Change{opRow("evacuate/a", 4, false)}}, false)
	if evac := gateway.evacuations.all()["a"]; evac.Version != 4 || evac.Since != since {
		t.Errorf("evacuation is %+v", evac)
	}
	if lines := strings.Count(log.String(), "zone evacuated"); lines != 1 {
		t.Errorf("%d log lines", lines)
	}
}
