package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// coldForwarder returns a forwarder with one replica, which is cold.
func coldForwarder(backend Backend, nodes []string, left time.Duration) *Forwarder {
	forwarder := newForwarder(backend, 0)
	forwarder.Replicas.SetColdLimits(map[string]replica.ColdLimit{testPool: {Rate: 15, Start: 3 * time.Second}})
	forwarder.Replicas.Divide("a", nowhere(nodes...))
	forwarder.Replicas.Put(replica.Info{ID: "cold", Pool: testPool, Address: "cold", Slots: 4, ColdLeft: left})
	return forwarder
}

func TestForward_WaitsForTheNextPlaceAtAColdReplica(t *testing.T) {
	backend := answerAll()
	forwarder := coldForwarder(backend, []string{"a"}, 3*time.Second)
	began := time.Now()
	for range 3 {
		if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
			t.Fatal(err)
		}
	}
	// Twice the time between two requests at 6.5 a second.
	if took := time.Since(began); took < 250*time.Millisecond || took > 2*time.Second {
		t.Errorf("three requests took %v", took)
	}
	if held := forwarder.Replicas.ColdHeldBack(); held == 0 {
		t.Error("no request counts as held back")
	}
}

func TestForward_RefusesEarlyWhatAColdReplicaCannotTakeInTime(t *testing.T) {
	backend := answerAll()
	forwarder := coldForwarder(backend, []string{"b"}, 30*time.Second)
	began := time.Now()
	_, _, err := do(t, forwarder, routeOf(route.Stream, true, 2))
	if !errors.Is(err, ErrBusy) || outcome.Of(err) != outcome.NotDone || len(backend.sent) > 0 {
		t.Fatalf("sent %d times, %v", len(backend.sent), err)
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("was refused after %v", took)
	}
	wait, err := forwarder.Predict(routeOf(route.Stream, true, 2), &Request{}, time.Now())
	if err != nil || wait < 20*time.Second {
		t.Errorf("predicts %v, %v", wait, err)
	}
}

func TestForward_RetriesCountAtAColdReplica(t *testing.T) {
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		return nil, outcome.Failed(ErrRefused)
	}}
	forwarder := coldForwarder(backend, []string{"a"}, 30*time.Second)
	_, _, err := do(t, forwarder, routeOf(route.Stream, true, 2))
	if err == nil {
		t.Fatal("a request that was always refused succeeded")
	}
	// The route's 2 s at 6.5 a second, its part of a bound of 15 for two views, and the
	// first.
	if len(backend.sent) > 14 {
		t.Errorf("a cold replica that refuses was asked %d times in 2 s", len(backend.sent))
	}
}

func TestForward_TakesInThatAReplicaSaysItIsCold(t *testing.T) {
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		answer := streamOf(events(1, 3))
		answer.ColdLeft = time.Minute
		return answer, nil
	}}
	forwarder := coldForwarder(backend, []string{"a"}, 0)
	if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
		t.Fatal(err)
	}
	if forwarder.Replicas.CountCold(time.Now()) != 1 {
		t.Error("the replica is not taken as cold")
	}
}

// scriptedFeeders grant as told.
type scriptedFeeders struct {
	asked []replica.ColdSender
	grant func(number int) bool
}

func (f *scriptedFeeders) Ask(_ context.Context, feeder replica.ColdSender) bool {
	f.asked = append(f.asked, feeder)
	return f.grant(len(f.asked))
}

func TestForward_AsksAFeederWhereItFeedsNoReplica(t *testing.T) {
	backend := answerAll()
	forwarder := coldForwarder(backend, []string{"b"}, 30*time.Second)
	feeders := &scriptedFeeders{grant: func(number int) bool { return number == 3 }}
	forwarder.ColdFeeders = feeders
	if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
		t.Fatal(err)
	}
	if len(backend.sent) != 1 || len(feeders.asked) != 3 || feeders.asked[0].Replica != "cold" || feeders.asked[0].Node != "b" {
		t.Errorf("sent %d times, asked %v", len(backend.sent), feeders.asked)
	}
	if forwarder.Replicas.Begin("cold", replica.RequestInfo{}, time.Now()) != nil {
		t.Error("a place that was granted once lets another request be sent")
	}
}

func TestForward_RefusesInTimeWhereNoFeederGrants(t *testing.T) {
	backend := answerAll()
	forwarder := coldForwarder(backend, []string{"b"}, 30*time.Second)
	forwarder.ColdFeeders = &scriptedFeeders{grant: func(int) bool { return false }}
	_, _, err := do(t, forwarder, routeOf(route.Stream, true, 2))
	if !errors.Is(err, ErrBusy) || outcome.Of(err) != outcome.NotDone || len(backend.sent) > 0 {
		t.Errorf("sent %d times, %v", len(backend.sent), err)
	}
}

func TestReserve_AsksAFeederOnceNoSlotIsSetAside(t *testing.T) {
	backend := answerAll()
	reserver := &scriptedReserver{answer: func(string) (string, error) { return "", errFull }}
	forwarder := crowded(t, backend, reserver)
	forwarder.Replicas.SetColdLimits(map[string]replica.ColdLimit{testPool: {Rate: 15, Start: 3 * time.Second}})
	forwarder.Replicas.Divide("a", nowhere("b", "c"))
	forwarder.Replicas.Put(replica.Info{ID: "cold", Pool: testPool, Address: "cold", Slots: 4, ColdLeft: 3 * time.Second})
	feeders := &scriptedFeeders{grant: func(int) bool { return true }}
	forwarder.ColdFeeders = feeders
	if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
		t.Fatal(err)
	}
	if len(reserver.asked) != reserveTries || len(feeders.asked) != 1 || backend.sent[0].Replica.ID != "cold" {
		t.Errorf("asked %v and %v, sent to %s", reserver.asked, feeders.asked, backend.sent[0].Replica.ID)
	}
}

// nowhere are nodes of which it is not known where they are.
func nowhere(ids ...string) []place.Node {
	var nodes []place.Node
	for _, id := range ids {
		nodes = append(nodes, place.Node{ID: id})
	}
	return nodes
}
