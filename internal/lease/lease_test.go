package lease

import (
	"context"
	"sync/atomic"

	"errors"
	"fmt"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lab/emulator"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// testTiming leaves room for two failed renewals.
var testTiming = Timing{TimeToLive: 8 * time.Second, RenewInterval: 2500 * time.Millisecond}

// clock is a monotonic clock that tests move.
type manualClock struct{ now time.Time }

func (c *manualClock) read() time.Time { return c.now }

func newService(t *testing.T) (table.Service, *emulator.TableStore) {
	t.Helper()
	store := emulator.NewTableStore(1, nil)
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return table.NewDynamo(table.DynamoConfig{
		Endpoint: server.URL, Region: "local", Table: "t", AccessKey: "a", SecretKey: "s",
	}), store
}

func refreshSession(t *testing.T, watcher *Watcher, id string) {
	t.Helper()
	if err := watcher.RefreshSession(t.Context(), id); err != nil {
		t.Fatal(err)
	}
}

func TestWatcher_ExpiresOnlyUnchangedSessions(t *testing.T) {
	service, _ := newService(t)
	session := NewSession(service, "a", testTiming)
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock := &manualClock{now: time.Unix(100, 0)}
	watcher := NewWatcher(service, clock.read, testTiming)
	refreshSession(t, watcher, session.ID())
	clock.now = clock.now.Add(testTiming.TimeToLive)
	if err := session.Renew(t.Context()); err != nil {
		t.Fatal(err)
	}
	refreshSession(t, watcher, session.ID())
	if watcher.Expired(session.ID()) {
		t.Fatal("a renewed session expired")
	}
	clock.now = clock.now.Add(testTiming.TimeToLive)
	refreshSession(t, watcher, session.ID())
	if !watcher.Expired(session.ID()) {
		t.Fatal("a session that stood still did not expire")
	}
}

// While the store is down nobody sees anything, so nothing expires however long
// it takes; after its return a holder has a whole time to live.
func TestWatcher_NothingExpiresDuringStoreOutage(t *testing.T) {
	service, store := newService(t)
	session := NewSession(service, "a", testTiming)
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock := &manualClock{now: time.Unix(100, 0)}
	watcher := NewWatcher(service, clock.read, testTiming)
	refreshSession(t, watcher, session.ID())
	store.Faults.Set(emulator.Condition{Down: true})
	clock.now = clock.now.Add(100 * testTiming.TimeToLive)
	if watcher.RefreshSession(t.Context(), session.ID()) == nil {
		t.Fatal("the store answered while it was down")
	}
	if watcher.Expired(session.ID()) {
		t.Fatal("a session expired while the store was down")
	}
	store.Faults.Set(emulator.Condition{})
	refreshSession(t, watcher, session.ID())
	clock.now = clock.now.Add(testTiming.TimeToLive / 2)
	refreshSession(t, watcher, session.ID())
	if watcher.Expired(session.ID()) {
		t.Fatal("a session expired before a whole time to live after the outage")
	}
	clock.now = clock.now.Add(testTiming.TimeToLive)
	refreshSession(t, watcher, session.ID())
	if !watcher.Expired(session.ID()) {
		t.Fatal("a dead session does not expire after an outage")
	}
}

func TestWatcher_EndedSessionExpiresImmediately(t *testing.T) {
	service, _ := newService(t)
	session := NewSession(service, "a", testTiming)
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	watcher := NewWatcher(service, (&manualClock{now: time.Unix(100, 0)}).read, testTiming)
	refreshSession(t, watcher, session.ID())
	if err := session.End(t.Context()); err != nil {
		t.Fatal(err)
	}
	refreshSession(t, watcher, session.ID())
	if !watcher.Expired(session.ID()) {
		t.Fatal("an ended session holds its work")
	}
}

// A named lease has one holder, and each next holder a higher epoch.
func TestAcquire_EpochIncreasesPerHolder(t *testing.T) {
	service, _ := newService(t)
	clock := &manualClock{now: time.Unix(100, 0)}
	first, second := NewSession(service, "a", testTiming), NewSession(service, "b", testTiming)
	watcher := NewWatcher(service, clock.read, testTiming)
	grant, err := Acquire(t.Context(), service, first, watcher, "placement/p")
	if err != nil || grant.Epoch != 1 {
		t.Fatalf("grant %+v, error %v", grant, err)
	}
	for range 2 {
		if _, err := Acquire(t.Context(), service, second, watcher, "placement/p"); !errors.Is(err, ErrHeld) {
			t.Fatalf("second holder: %v", err)
		}
		clock.now = clock.now.Add(testTiming.TimeToLive / 2)
	}
	clock.now = clock.now.Add(testTiming.TimeToLive)
	grant, err = Acquire(t.Context(), service, second, watcher, "placement/p")
	if err != nil || grant.Epoch != 2 {
		t.Fatalf("takeover: grant %+v, error %v", grant, err)
	}
	if _, err := Acquire(t.Context(), service, first, watcher, "placement/p"); !errors.Is(err, ErrHeld) {
		t.Fatalf("the old holder, woken: %v", err)
	}
}

func TestSameNode(t *testing.T) {
	if !SameNode("a#1", "a#2") || SameNode("a#1", "ab#1") {
		t.Fatal("sessions of a node are told apart by its whole id")
	}
}

// Every piece of work is one live session's, and the sessions have like shares.
func TestWatcher_ShareAssignsEachWorkToOneSession(t *testing.T) {
	service, _ := newService(t)
	watcher := NewWatcher(service, time.Now, testTiming)
	var ids []string
	for _, node := range []string{"a", "b", "c", "d"} {
		session := NewSession(service, node, testTiming)
		if err := session.Ensure(t.Context()); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, session.ID())
	}
	if err := watcher.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	works := make([]string, 400)
	for i := range works {
		works[i] = fmt.Sprintf("replica-%03d", i)
	}
	owners := map[string]int{}
	for _, id := range ids {
		share := watcher.Share(id, works)
		if len(share) < len(works)/8 || len(share) > len(works)/2 {
			t.Errorf("session %s has %d of %d", id, len(share), len(works))
		}
		for work := range share {
			owners[work]++
		}
	}
	for _, work := range works {
		if owners[work] != 1 {
			t.Fatalf("%s is done by %d sessions", work, owners[work])
		}
	}
}

// hangingService lets commits hang until their callers give up, as lost answers do.
type hangingService struct {
	table.Service
	calls atomic.Int64
	// hangs tells which calls hang.
	hangs func(call int64) bool
}

func (s *hangingService) Commit(ctx context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	if s.hangs(s.calls.Add(1)) {
		<-ctx.Done()
		return nil, outcome.Undecided(ctx.Err())
	}
	return s.Service.Commit(ctx, operation, writes...)
}

// A finding (urnik scale-1, seed 11): with answers of the store lost now and then,
// nodes that lived were taken for lost, and their items were run again elsewhere. A
// renewal waited a whole second for an answer that was lost.
func TestSession_RunRenewsDespiteLostResponses(t *testing.T) {
	service, _ := newService(t)
	hanging := &hangingService{Service: service, hangs: func(call int64) bool { return call > 1 && call%4 != 0 }}
	timing := Timing{TimeToLive: 1200 * time.Millisecond, RenewInterval: 400 * time.Millisecond}
	session := NewSession(hanging, "a", timing)
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	go session.Run(t.Context())
	watcher := NewWatcher(service, time.Now, timing)
	for range 80 {
		time.Sleep(50 * time.Millisecond)
		refreshSession(t, watcher, session.ID())
		if watcher.Expired(session.ID()) {
			t.Fatal("a session that is renewed expired")
		}
	}
}

// TestSession_EndedSessionIsNotRenewed guards that a stopping node, whose renewals go on
// until the process leaves, does not write its session anew after it has ended it.
func TestSession_EndedSessionIsNotRenewed(t *testing.T) {
	shared := tabletest.New()
	session := NewSession(shared, "n", Timing{TimeToLive: 3 * time.Second, RenewInterval: time.Second})
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := session.End(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		// What a renewal after the end answers does not matter.
		_ = session.Renew(t.Context())
		_ = session.Ensure(t.Context())
	}
	if rows, err := listSessions(t.Context(), shared); err != nil || len(rows) != 0 {
		t.Fatalf("rows %v, %v, want none", rows, err)
	}
}

// unresponsiveTable answers no commit until it is told to.
type unresponsiveTable struct {
	table.Service
	unresponsive atomic.Bool
}

func (s *unresponsiveTable) Commit(ctx context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	if s.unresponsive.Load() {
		<-ctx.Done()
		return nil, outcome.Undecided(ctx.Err())
	}
	return s.Service.Commit(ctx, operation, writes...)
}

// A finding (aspsc-dakar trouble-2): a node that started while the part with the sessions
// was silent waited for its first write for good, and took no items for the whole day.
func TestSession_EnsureTimesOutOnUnresponsiveStore(t *testing.T) {
	service := &unresponsiveTable{Service: tabletest.New()}
	service.unresponsive.Store(true)
	session := NewSession(service, "n", Timing{TimeToLive: 60 * time.Millisecond, RenewInterval: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := session.Ensure(ctx); err == nil || ctx.Err() != nil {
		t.Fatalf("%v, %v, want an error long before the caller's own time is up", err, ctx.Err())
	}
	service.unresponsive.Store(false)
	if err := session.Ensure(ctx); err != nil {
		t.Fatalf("once the store answers: %v", err)
	}
}
