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
	forwarder.Replicas.Divide("a", nodesWithoutPlace(nodes...))
	forwarder.Replicas.Put(replica.Info{ID: "cold", Pool: testPool, Address: "cold", Slots: 4, ColdLeft: left})
	return forwarder
}

func TestDo_WaitsForColdReplicaRateLimit(t *testing.T) {
	backend := answerAll()
	forwarder := coldForwarder(backend, []string{"a"}, 3*time.Second)
	began := time.Now()
	for range 3 {
		if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
			t.Fatal(err)
		}
	}
	// Twice the interval between requests at 6.5 per second.
	if took := time.Since(began); took < 250*time.Millisecond || took > 2*time.Second {
		t.Errorf("three requests took %v", took)
	}
	if held := forwarder.Replicas.ColdHeldBack(); held == 0 {
		t.Error("no request counts as held back")
	}
}

func TestDo_RejectsEarlyWhenColdReplicaCannotServeInTime(t *testing.T) {
	backend := answerAll()
	forwarder := coldForwarder(backend, []string{"b"}, 30*time.Second)
	began := time.Now()
	_, _, err := do(t, forwarder, routeOf(route.Stream, true, 2))
	if !errors.Is(err, ErrBusy) || outcome.Of(err) != outcome.NotDone || len(backend.sent) > 0 {
		t.Fatalf("sent %d times, %v", len(backend.sent), err)
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	wait, err := forwarder.Predict(routeOf(route.Stream, true, 2), &Request{}, time.Now())
	if err != nil || wait < 20*time.Second {
		t.Errorf("Predict returned %v, %v", wait, err)
	}
}

func TestDo_RetriesCountAgainstColdRateLimit(t *testing.T) {
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		return nil, outcome.AsNotDone(ErrRefused)
	}}
	forwarder := coldForwarder(backend, []string{"a"}, 30*time.Second)
	_, _, err := do(t, forwarder, routeOf(route.Stream, true, 2))
	if err == nil {
		t.Fatal("a request that was always refused succeeded")
	}
	// 2 s at 6.5 requests per second, this node's share of a limit of 15 between two views, plus
	// the first request.
	if len(backend.sent) > 14 {
		t.Errorf("a cold replica that refuses was asked %d times in 2 s", len(backend.sent))
	}
}

func TestDo_RecordsReportedColdState(t *testing.T) {
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		answer := streamAnswer(events(1, 3))
		answer.ColdLeft = time.Minute
		return answer, nil
	}}
	forwarder := coldForwarder(backend, []string{"a"}, 0)
	if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
		t.Fatal(err)
	}
	if forwarder.Replicas.CountCold(time.Now()) != 1 {
		t.Error("the replica does not count as cold")
	}
}

// scriptedGranter answers requests for grants with its grant function.
type scriptedGranter struct {
	asked []replica.ColdSender
	grant func(number int) bool
}

func (g *scriptedGranter) RequestGrant(_ context.Context, sender replica.ColdSender) bool {
	g.asked = append(g.asked, sender)
	return g.grant(len(g.asked))
}

func TestDo_RequestsGrantFromOtherNode(t *testing.T) {
	backend := answerAll()
	forwarder := coldForwarder(backend, []string{"b"}, 30*time.Second)
	granter := &scriptedGranter{grant: func(number int) bool { return number == 3 }}
	forwarder.ColdGranter = granter
	if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
		t.Fatal(err)
	}
	if len(backend.sent) != 1 || len(granter.asked) != 3 || granter.asked[0].Replica != "cold" || granter.asked[0].Node != "b" {
		t.Errorf("sent %d times, asked %v", len(backend.sent), granter.asked)
	}
	if forwarder.Replicas.Begin("cold", replica.RequestInfo{}, time.Now()) != nil {
		t.Error("a grant for one request admitted another")
	}
}

func TestDo_RejectsInTimeWithoutGrant(t *testing.T) {
	backend := answerAll()
	forwarder := coldForwarder(backend, []string{"b"}, 30*time.Second)
	forwarder.ColdGranter = &scriptedGranter{grant: func(int) bool { return false }}
	_, _, err := do(t, forwarder, routeOf(route.Stream, true, 2))
	if !errors.Is(err, ErrBusy) || outcome.Of(err) != outcome.NotDone || len(backend.sent) > 0 {
		t.Errorf("sent %d times, %v", len(backend.sent), err)
	}
}

func TestReserve_RequestsGrantWhenNoSlotIsReserved(t *testing.T) {
	backend := answerAll()
	reserver := &scriptedReserver{answer: func(string) (string, error) { return "", errFull }}
	forwarder := saturatedForwarder(t, backend, reserver)
	forwarder.Replicas.SetColdLimits(map[string]replica.ColdLimit{testPool: {Rate: 15, Start: 3 * time.Second}})
	forwarder.Replicas.Divide("a", nodesWithoutPlace("b", "c"))
	forwarder.Replicas.Put(replica.Info{ID: "cold", Pool: testPool, Address: "cold", Slots: 4, ColdLeft: 3 * time.Second})
	granter := &scriptedGranter{grant: func(int) bool { return true }}
	forwarder.ColdGranter = granter
	if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
		t.Fatal(err)
	}
	if len(reserver.asked) != reserveTries || len(granter.asked) != 1 || backend.sent[0].Replica.ID != "cold" {
		t.Errorf("asked %v and %v, sent to %s", reserver.asked, granter.asked, backend.sent[0].Replica.ID)
	}
}

// nodesWithoutPlace returns nodes whose location is unknown.
func nodesWithoutPlace(ids ...string) []place.Node {
	var nodes []place.Node
	for _, id := range ids {
		nodes = append(nodes, place.Node{ID: id})
	}
	return nodes
}
