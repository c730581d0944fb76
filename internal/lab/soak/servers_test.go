package soak

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// serverRows returns the values of the server rows in a store by key.
func serverRows(t *testing.T, store *standin.Store) map[string][]byte {
	t.Helper()
	answer := httptest.NewRecorder()
	store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/v1/rows-get?table=servers", nil))
	var page struct {
		Rows []standin.Row `json:"rows"`
	}
	if err := json.Unmarshal(answer.Body.Bytes(), &page); err != nil {
		t.Fatal(err)
	}
	rows := map[string][]byte{}
	for _, row := range page.Rows {
		rows[row.Key] = row.Value
	}
	return rows
}

// startOf returns the start time in a row, in Unix milliseconds.
func startOf(t *testing.T, row []byte) int64 {
	t.Helper()
	var entry struct {
		Born int64 `json:"born"`
	}
	if err := json.Unmarshal(row, &entry); err != nil {
		t.Fatalf("row %q: %v", row, err)
	}
	return entry.Born
}

// newServers returns a soak with a store and two servers, and the server that faults apply to.
func newServers(t *testing.T) (*soak, *server) {
	t.Helper()
	s := newSoak(Options{})
	t.Cleanup(s.close)
	for _, name := range []string{"server-0", "server-1"} {
		if err := s.addServer(name, s.zones[0]); err != nil {
			t.Fatal(err)
		}
	}
	return s, s.servers[1]
}

func TestRestartServer_KeepsOrChangesItsID(t *testing.T) {
	for _, test := range []struct {
		kind     FaultKind
		downtime time.Duration
		key      string
		later    bool
	}{
		{RenewServer, 10 * time.Millisecond, "server-1-1", true},
		{ReturnServer, rowTTL + 100*time.Millisecond, "server-1", true},
		{BlinkServer, 10 * time.Millisecond, "server-1", true},
		{TurnBackServer, 10 * time.Millisecond, "server-1", false},
	} {
		t.Run(string(test.kind), func(t *testing.T) {
			t.Parallel()
			s, srv := newServers(t)
			before := startOf(t, serverRows(t, s.store)["server-1"])
			// Two starts within a millisecond have the same start time in their rows.
			time.Sleep(2 * time.Millisecond)
			s.restartServer(t.Context(), Fault{Kind: test.kind, Duration: test.downtime})
			rows := serverRows(t, s.store)
			if len(rows) != len(s.servers) || rows[test.key] == nil {
				t.Fatalf("rows %q", rows)
			}
			if started := startOf(t, rows[test.key]); started > before != test.later {
				t.Errorf("start time is %d, was %d before", started, before)
			}
			if outages := srv.outagesUntil(time.Now()); len(outages) != 1 || len(s.ServerStarts) != 1 {
				t.Errorf("outages %v, starts %v", outages, s.ServerStarts)
			}
		})
	}
}

// Guards against removal of the new row when a drained server is restarted under its former ID
// before the removal of its previous row.
func TestRestartServer_AfterDraining(t *testing.T) {
	s, srv := newServers(t)
	if !srv.startDraining() {
		t.Fatal("server does not start draining")
	}
	previous := srv.current()
	s.restartServer(t.Context(), Fault{Kind: BlinkServer})
	srv.removeRow(previous)
	if rows := serverRows(t, s.store); rows["server-1"] == nil {
		t.Fatalf("rows %q", rows)
	}
	if !srv.startDraining() {
		t.Error("restarted server does not start draining")
	}
}

func TestOverwriteRow_UntilItIsWrittenAgain(t *testing.T) {
	s, srv := newServers(t)
	since := srv.overwrite([]byte("not JSON"))
	srv.writeRow()
	if row := serverRows(t, s.store)["server-1"]; string(row) != "not JSON" {
		t.Fatalf("overwritten row is %q", row)
	}
	srv.restoreRow(since)
	if started := startOf(t, serverRows(t, s.store)["server-1"]); started != srv.startedAt.UnixMilli() {
		t.Errorf("start time in the row is %d, want %d", started, srv.startedAt.UnixMilli())
	}
	if len(srv.overwritten) != 1 || len(srv.outagesUntil(time.Now())) != 1 {
		t.Errorf("overwritten %v, outages %v", srv.overwritten, srv.outagesUntil(time.Now()))
	}
	// The revert of an earlier fault does not end a later one.
	again := srv.overwrite(nil)
	srv.restoreRow(since)
	if srv.overwrittenSince != again {
		t.Error("an earlier fault ended a later one")
	}
}
