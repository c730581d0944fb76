package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/streams"
)

// scriptedReserver answers reservation calls with its answer function and records them.
type scriptedReserver struct {
	mu     sync.Mutex
	asked  []string
	answer func(id string) (string, error)
}

func (r *scriptedReserver) Reserve(_ context.Context, asked replica.Info, _ int, _ time.Duration) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = append(r.asked, asked.ID)
	return r.answer(asked.ID)
}

var errFull = outcome.AsNotDone(ErrRefused)

// saturatedForwarder returns a forwarder of one of two nodes, with all slots taken.
func saturatedForwarder(t *testing.T, backend Backend, reserver Reserver) *Forwarder {
	t.Helper()
	forwarder := newForwarder(backend, 6)
	forwarder.Reserver = reserver
	saturate(forwarder)
	return forwarder
}

// saturatedVersionedForwarder is like saturatedForwarder, with replicas of the given software versions, by ID.
func saturatedVersionedForwarder(backend Backend, reserver Reserver, versions map[string]string) *Forwarder {
	forwarder := newVersionedForwarder(backend, versions)
	forwarder.Reserver = reserver
	saturate(forwarder)
	return forwarder
}

// saturate takes all slots of the replicas of a forwarder, which becomes one of two nodes.
func saturate(forwarder *Forwarder) {
	forwarder.Replicas.Divide("a", []place.Node{{ID: "a"}, {ID: "b"}})
	now := time.Now()
	for _, candidate := range forwarder.Replicas.List(now) {
		for range candidate.Slots {
			forwarder.Replicas.Begin(candidate.ID, replica.RequestInfo{}, now)
		}
	}
}

func answerAll() *scriptedBackend {
	return &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) { return streamAnswer(events(1, 3)), nil }}
}

func TestReserve_UsesReplicaThatReservedASlot(t *testing.T) {
	backend := answerAll()
	reserver := &scriptedReserver{}
	reserver.answer = func(id string) (string, error) {
		if len(reserver.asked) < reserveTries {
			return "", errFull
		}
		return "slot-at-" + id, nil
	}
	if _, _, err := do(t, saturatedForwarder(t, backend, reserver), routeOf(route.Stream, true, 2)); err != nil {
		t.Fatal(err)
	}
	last := reserver.asked[len(reserver.asked)-1]
	if sent := backend.sent[0]; sent.Replica.ID != last || sent.Reservation != "slot-at-"+last {
		t.Fatalf("asked %v, sent to %s with %q", reserver.asked, sent.Replica.ID, sent.Reservation)
	}
	if slices.Sort(reserver.asked); len(slices.Compact(reserver.asked)) != reserveTries {
		t.Fatalf("asked %v, want %d different replicas", reserver.asked, reserveTries)
	}
}

// TestReserve_EquivalentReplicasAreAskedEvenly guards against a fixed order of replicas for
// requests without a shared prefix: all nodes then asked the same few replicas, and the others
// stayed idle if the full ones did not report it (soak --overcommit --seed 6005).
func TestReserve_EquivalentReplicasAreAskedEvenly(t *testing.T) {
	// In real time, replicas whose requests bring no data would become less preferred during the calls.
	synctest.Test(t, func(t *testing.T) {
		reserver := &scriptedReserver{answer: func(id string) (string, error) { return "slot-at-" + id, nil }}
		forwarder := saturatedForwarder(t, answerAll(), reserver)
		for _, candidate := range forwarder.Replicas.List(time.Now()) {
			forwarder.Replicas.Begin(candidate.ID, replica.RequestInfo{}, time.Now()).Received(time.Now())
		}
		const calls = 120
		for range calls {
			if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
				t.Fatal(err)
			}
		}
		asked := map[string]int{}
		for _, id := range reserver.asked {
			asked[id]++
		}
		for id, count := range asked {
			if count > calls/2 {
				t.Errorf("%s was asked in %d of %d calls: %v", id, count, calls, asked)
			}
		}
	})
}

func TestReserve_FallsBackWithoutReservation(t *testing.T) {
	for name, answer := range map[string]error{"full": errFull, "silent": outcome.AsUnknown(errors.New("no answer"))} {
		backend := answerAll()
		reserver := &scriptedReserver{answer: func(string) (string, error) { return "", answer }}
		if _, _, err := do(t, saturatedForwarder(t, backend, reserver), routeOf(route.Stream, true, 2)); err != nil {
			t.Fatal(err)
		}
		if len(reserver.asked) != reserveTries || backend.sent[0].Reservation != "" {
			t.Fatalf("%s: asked %v, sent with %q", name, reserver.asked, backend.sent[0].Reservation)
		}
	}
}

func TestReserve_NotUsedWhileOwnSlotIsFree(t *testing.T) {
	reserver := &scriptedReserver{answer: func(string) (string, error) { return "slot", nil }}
	forwarder := newForwarder(answerAll(), 3)
	forwarder.Reserver = reserver
	if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil || len(reserver.asked) != 0 {
		t.Fatalf("asked %v, %v", reserver.asked, err)
	}
}

func TestReserve_ReservationServesOneAttempt(t *testing.T) {
	backend := &scriptedBackend{answer: func(_ context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number == 1 {
			return streamAnswer(events(1, 1) + "id: 2\nda"), nil
		}
		return streamAnswer(events(attempt.LastEventID+1, 3)), nil
	}}
	reserver := &scriptedReserver{}
	reserver.answer = func(id string) (string, error) {
		if len(reserver.asked) > 1 {
			return "", errFull
		}
		return "slot", nil
	}
	if _, _, err := do(t, saturatedForwarder(t, backend, reserver), routeOf(route.Stream, true, 3)); err != nil {
		t.Fatal(err)
	}
	if backend.sent[0].Reservation != "slot" || backend.sent[1].Reservation != "" {
		t.Fatalf("sent with %q and %q", backend.sent[0].Reservation, backend.sent[1].Reservation)
	}
}

// TestReserve_SkippedForUnknownSize covers requests for which a replica cannot reserve memory.
func TestReserve_SkippedForUnknownSize(t *testing.T) {
	reserver := &scriptedReserver{answer: func(string) (string, error) { return "slot", nil }}
	forwarder := saturatedForwarder(t, answerAll(), reserver)
	request := &Request{ID: "q", Method: "POST", Target: "/x", Received: time.Now()}
	if _, err := forwarder.Do(t.Context(), routeOf(route.Stream, true, 2), request, &recordingSink{}); err != nil || len(reserver.asked) != 0 {
		t.Fatalf("asked %v, %v", reserver.asked, err)
	}
}

// twoRegions returns a forwarder in region "north", with the given number of replicas in each
// region and all slots of its node taken. A call between regions costs 40 ms.
func twoRegions(t *testing.T, reserver Reserver, north, south int) *Forwarder {
	t.Helper()
	forwarder := newForwarder(answerAll(), 0)
	forwarder.Reserver, forwarder.Zone, forwarder.Region = reserver, "n", "north"
	forwarder.Weights.CrossRegion = 40 * time.Millisecond
	for i := range north + south {
		info := replica.Info{ID: fmt.Sprintf("north-%d", i), Pool: testPool, Zone: "n", Region: "north", Slots: 4}
		if i >= north {
			info.ID, info.Zone, info.Region = fmt.Sprintf("south-%d", i), "s", "south"
		}
		forwarder.Replicas.Put(info)
	}
	own, other := place.Place{Zone: "n", Region: "north"}, place.Place{Zone: "s", Region: "south"}
	forwarder.Replicas.Divide("a", []place.Node{{ID: "a", Place: own}, {ID: "b", Place: own}, {ID: "c", Place: other}, {ID: "d", Place: other}})
	now := time.Now()
	for _, candidate := range forwarder.Replicas.List(now) {
		for range candidate.Share {
			forwarder.Replicas.Begin(candidate.ID, replica.RequestInfo{}, now)
		}
	}
	return forwarder
}

func routeWithObjective(objective time.Duration) *route.Route {
	target := routeOf(route.Stream, true, 2)
	target.Objective = objective
	return target
}

func TestReserve_AsksOtherRegionsLast(t *testing.T) {
	reserver := &scriptedReserver{answer: func(string) (string, error) { return "", errFull }}
	if _, _, err := do(t, twoRegions(t, reserver, 6, 40), routeWithObjective(time.Second)); err != nil {
		t.Fatal(err)
	}
	crossRegion := 0
	for i, id := range reserver.asked {
		if strings.HasPrefix(id, "south") {
			crossRegion++
		} else if crossRegion > 0 {
			t.Errorf("asked %v: %s, the %dth, is in this node's region", reserver.asked, id, i)
		}
	}
	if crossRegion == 0 || crossRegion > crossRegionTries {
		t.Errorf("asked %v, want up to %d in the other region", reserver.asked, crossRegionTries)
	}
}

func TestReserve_SkipsOtherRegionsWithoutTime(t *testing.T) {
	reserver := &scriptedReserver{answer: func(string) (string, error) { return "", errFull }}
	if _, _, err := do(t, twoRegions(t, reserver, 6, 40), routeWithObjective(100*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for _, id := range reserver.asked {
		if strings.HasPrefix(id, "south") {
			t.Errorf("%s was asked although the round trip exceeds the time left", id)
		}
	}
}

// TestReserve_WaitsForOtherRegion checks that the timeout includes the round trip to another
// region; otherwise every slot reserved there is lost.
func TestReserve_WaitsForOtherRegion(t *testing.T) {
	reserver := &slowReserver{delay: reserveTimeout + 10*time.Millisecond}
	backend := answerAll()
	forwarder := twoRegions(t, reserver, 0, 40)
	forwarder.Backend = backend
	if _, _, err := do(t, forwarder, routeWithObjective(time.Second)); err != nil {
		t.Fatal(err)
	}
	if backend.sent[0].Reservation == "" {
		t.Fatal("sent without the reserved slot")
	}
}

// slowReserver reserves slots after a delay.
type slowReserver struct{ delay time.Duration }

func (r *slowReserver) Reserve(ctx context.Context, _ replica.Info, _ int, _ time.Duration) (string, error) {
	select {
	case <-ctx.Done():
		return "", outcome.AsUnknown(ctx.Err())
	case <-time.After(r.delay):
		return "slot", nil
	}
}

// recordedOrigins records the origins of streams and knows none.
type recordedOrigins struct{ recorded []streams.Origin }

func (r *recordedOrigins) Record(_ streams.ID, origin streams.Origin, _ time.Time) {
	r.recorded = append(r.recorded, origin)
}

func (*recordedOrigins) Find(context.Context, streams.Query) (streams.Origin, bool) {
	return streams.Origin{}, false
}

// Guards against a stream that is recorded as begun by the listed version of a replica which refused a connection
// for a reservation just before, so that another start may answer, and then goes on at that version elsewhere.
func TestReserve_ReplicaThatWasNotListeningMayHaveRestarted(t *testing.T) {
	for name, test := range map[string]struct {
		err       error
		ambiguous bool
	}{
		"refused connection": {ErrUnreachable, true},
		"another replica":    {ErrMoved, true},
		"no connection yet":  {errors.Join(ErrUnreachable, ErrNotAccepted), false},
		"full":               {ErrRefused, false},
	} {
		t.Run(name, func(t *testing.T) {
			reserver := &scriptedReserver{answer: func(string) (string, error) { return "", outcome.AsNotDone(test.err) }}
			forwarder := saturatedVersionedForwarder(answerAll(), reserver, map[string]string{"a": "v1", "b": "v1"})
			origins := &recordedOrigins{}
			forwarder.Origins = origins
			_, _, err := do(t, forwarder, routeOf(route.Stream, true, 3))
			if err != nil || len(reserver.asked) != 2 || len(origins.recorded) == 0 {
				t.Fatalf("%v, asked %v, recorded %v", err, reserver.asked, origins.recorded)
			}
			if got := origins.recorded[0].Ambiguous; got != test.ambiguous {
				t.Errorf("recorded %+v, want ambiguous %v", origins.recorded[0], test.ambiguous)
			}
		})
	}
}
