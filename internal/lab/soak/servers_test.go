package soak

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// serverRows returns the values of the servers' rows in a store, by their keys.
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

// startOf returns the start in a row, in Unix milliseconds.
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

// newServers returns a soak with a store and two servers; faults hit the second one.
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
			// Starts within one millisecond could not be told apart.
			time.Sleep(2 * time.Millisecond)
			s.restartServer(t.Context(), Fault{Kind: test.kind, Duration: test.downtime})
			rows := serverRows(t, s.store)
			if len(rows) != len(s.servers) || rows[test.key] == nil {
				t.Fatalf("rows %q", rows)
			}
			if started := startOf(t, rows[test.key]); started > before != test.later {
				t.Errorf("born at %d, before that at %d", started, before)
			}
			if outages := srv.outagesUntil(time.Now()); len(outages) != 1 || len(s.ServerStarts) != 1 {
				t.Errorf("outages %v, starts %v", outages, s.ServerStarts)
			}
		})
	}
}

// A server that has left may come back under its id, and what was to remove the row of its
// former life does not remove that of the new one.
func TestRestartServer_AfterDraining(t *testing.T) {
	s, srv := newServers(t)
	if !srv.startDraining() {
		t.Fatal("it does not leave")
	}
	previous := srv.current()
	s.restartServer(t.Context(), Fault{Kind: BlinkServer})
	srv.removeRow(previous)
	if rows := serverRows(t, s.store); rows["server-1"] == nil {
		t.Fatalf("rows %q", rows)
	}
	if !srv.startDraining() {
		t.Error("it does not leave a second time")
	}
}

func TestOverwriteRow_UntilItIsWrittenAgain(t *testing.T) {
	s, srv := newServers(t)
	since := srv.overwrite([]byte("not JSON"))
	srv.writeRow()
	if row := serverRows(t, s.store)["server-1"]; string(row) != "not JSON" {
		t.Fatalf("row %q while it is overwritten", row)
	}
	srv.restoreRow(since)
	if started := startOf(t, serverRows(t, s.store)["server-1"]); started != srv.startedAt.UnixMilli() {
		t.Errorf("born at %d, the server is of %d", started, srv.startedAt.UnixMilli())
	}
	if len(srv.overwritten) != 1 || len(srv.outagesUntil(time.Now())) != 1 {
		t.Errorf("overwritten %v, outages %v", srv.overwritten, srv.outagesUntil(time.Now()))
	}
	// What comes too late does not count for another time.
	again := srv.overwrite(nil)
	srv.restoreRow(since)
	if srv.overwrittenSince != again {
		t.Error("an earlier fault ended a later one")
	}
}
