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

// testTiming allows for two failed renewals within the time to live.
var testTiming = Timing{TimeToLive: 8 * time.Second, RenewInterval: 2500 * time.Millisecond}

// manualClock is a monotonic clock that tests advance by hand.
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
		t.Fatal("an unchanged session did not expire")
	}
}

// slowReads delivers rows some time after the service read them.
type slowReads struct {
	table.Service
	clock *manualClock
	delay time.Duration
}

func (s *slowReads) Get(ctx context.Context, key table.Key) (table.Row, error) {
	row, err := s.Service.Get(ctx, key)
	s.clock.now = s.clock.now.Add(s.delay)
	return row, err
}

func (s *slowReads) List(ctx context.Context, partition, after string, limit int) ([]table.Row, error) {
	rows, err := s.Service.List(ctx, partition, after, limit)
	s.clock.now = s.clock.now.Add(s.delay)
	return rows, err
}

// Guards against a read that arrives late and counts as of its arrival: the session would look unchanged
// for longer than it is known to be, and its work be taken over from a live node.
func TestWatcher_LateReadExpiresNoSession(t *testing.T) {
	service, _ := newService(t)
	session := NewSession(service, "a", testTiming)
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock := &manualClock{now: time.Unix(100, 0)}
	slow := &slowReads{Service: service, clock: clock}
	watcher := NewWatcher(slow, clock.read, testTiming)
	refreshSession(t, watcher, session.ID())
	clock.now = clock.now.Add(testTiming.TimeToLive / 2)
	slow.delay = testTiming.TimeToLive
	refreshSession(t, watcher, session.ID())
	if watcher.Expired(session.ID()) {
		t.Error("a session that was unchanged for half of its time to live expired")
	}
	slow.delay = 0
	refreshSession(t, watcher, session.ID())
	if !watcher.Expired(session.ID()) {
		t.Error("an unchanged session did not expire")
	}
}

// Guards against sessions that count as of the arrival of a slow read: they are as old as its start.
func TestWatcher_AgeIncludesTheRead(t *testing.T) {
	service, _ := newService(t)
	clock := &manualClock{now: time.Unix(100, 0)}
	slow := &slowReads{Service: service, clock: clock, delay: time.Second}
	watcher := NewWatcher(slow, clock.read, testTiming)
	if err := watcher.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if age := watcher.Age(); age < slow.delay {
		t.Errorf("age %v after a read of %v", age, slow.delay)
	}
}

// overtakenRead delivers its first row only after overtake has returned.
type overtakenRead struct {
	table.Service
	overtake func()
}

func (s *overtakenRead) Get(ctx context.Context, key table.Key) (table.Row, error) {
	row, err := s.Service.Get(ctx, key)
	if overtake := s.overtake; overtake != nil {
		s.overtake = nil
		overtake()
	}
	return row, err
}

// Guards against a read from before a session that is delivered after one that shows it: the session would
// count as deleted by its holder, and its work be taken over from a live node.
func TestWatcher_OvertakenReadEndsNoSession(t *testing.T) {
	service, _ := newService(t)
	session := NewSession(service, "a", testTiming)
	clock := &manualClock{now: time.Unix(100, 0)}
	overtaken := &overtakenRead{Service: service}
	watcher := NewWatcher(overtaken, clock.read, testTiming)
	overtaken.overtake = func() {
		if err := session.Ensure(t.Context()); err != nil {
			t.Error(err)
		}
		clock.now = clock.now.Add(time.Second)
		refreshSession(t, watcher, session.ID())
		clock.now = clock.now.Add(time.Second)
	}
	refreshSession(t, watcher, session.ID())
	if watcher.Expired(session.ID()) {
		t.Error("a session expired because a read from before it was delivered late")
	}
	row, err := service.Get(t.Context(), sessionKey(session.ID()))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := service.Commit(t.Context(), table.NewOperation(), table.Write{Key: row.Key, Kind: table.Delete, Expect: row.Version}); err != nil {
		t.Fatal(err)
	}
	refreshSession(t, watcher, session.ID())
	if !watcher.Expired(session.ID()) {
		t.Error("a deleted session did not expire")
	}
}

// While the store is down no observation succeeds, so nothing may expire. After an outage every
// holder has its full time to live again.
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
		t.Fatal("a read succeeded while the store was down")
	}
	if watcher.Expired(session.ID()) {
		t.Fatal("a session expired while the store was down")
	}
	store.Faults.Set(emulator.Condition{})
	refreshSession(t, watcher, session.ID())
	clock.now = clock.now.Add(testTiming.TimeToLive / 2)
	refreshSession(t, watcher, session.ID())
	if watcher.Expired(session.ID()) {
		t.Fatal("a session expired before its full time to live after the outage")
	}
	clock.now = clock.now.Add(testTiming.TimeToLive)
	refreshSession(t, watcher, session.ID())
	if !watcher.Expired(session.ID()) {
		t.Fatal("a session that is no longer renewed did not expire after the outage")
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
		t.Fatal("an ended session has not expired")
	}
}

// A named lease has one holder at a time, and every new holder gets a higher epoch.
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
		t.Fatalf("previous holder: %v", err)
	}
}

func TestSameNode(t *testing.T) {
	if !SameNode("a#1", "a#2") || SameNode("a#1", "ab#1") {
		t.Fatal("sessions must be compared by the whole node ID")
	}
}

// Every piece of work is assigned to exactly one live session, and the shares are balanced.
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
			t.Errorf("session %s has %d of %d pieces of work", id, len(share), len(works))
		}
		for work := range share {
			owners[work]++
		}
	}
	for _, work := range works {
		if owners[work] != 1 {
			t.Fatalf("%s is assigned to %d sessions, want 1", work, owners[work])
		}
	}
}

// hangingService is a Service whose selected commits block until their context is done, like commits
// whose response is lost.
type hangingService struct {
	table.Service
	calls atomic.Int64
	// hangs reports whether a call hangs; calls are counted from 1.
	hangs func(call int64) bool
}

func (s *hangingService) Commit(ctx context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	if s.hangs(s.calls.Add(1)) {
		<-ctx.Done()
		return nil, outcome.AsUnknown(ctx.Err())
	}
	return s.Service.Commit(ctx, operation, writes...)
}

// Guards against sessions that expire although their node is alive: a renewal that waits too long
// for a lost response misses the time to live.
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
			t.Fatal("the session expired although Run renews it")
		}
	}
}

// Guards against a stopping node that writes its session again after End, since Run continues
// until the process exits.
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
		// Whether these calls return an error does not matter.
		_ = session.Renew(t.Context())
		_ = session.Ensure(t.Context())
	}
	if rows, err := listSessions(t.Context(), shared); err != nil || len(rows) != 0 {
		t.Fatalf("session rows after End: %v, error %v, want none", rows, err)
	}
}

// unresponsiveTable is a Service whose commits block until their context is done while unresponsive
// is set.
type unresponsiveTable struct {
	table.Service
	unresponsive atomic.Bool
}

func (s *unresponsiveTable) Commit(ctx context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	if s.unresponsive.Load() {
		<-ctx.Done()
		return nil, outcome.AsUnknown(ctx.Err())
	}
	return s.Service.Commit(ctx, operation, writes...)
}

// Guards against a starting node that waits forever for its first write because the partition of
// the session rows does not respond.
func TestSession_EnsureTimesOutOnUnresponsiveStore(t *testing.T) {
	service := &unresponsiveTable{Service: tabletest.New()}
	service.unresponsive.Store(true)
	session := NewSession(service, "n", Timing{TimeToLive: 60 * time.Millisecond, RenewInterval: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := session.Ensure(ctx); err == nil || ctx.Err() != nil {
		t.Fatalf("error %v, context error %v, want an error before the context is done", err, ctx.Err())
	}
	service.unresponsive.Store(false)
	if err := session.Ensure(ctx); err != nil {
		t.Fatalf("after the store has recovered: %v", err)
	}
}
