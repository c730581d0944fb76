package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// placedForwarder forwards to two replicas at home, in "n", three elsewhere and one of an
// unknown region. Their slots are taken.
func placedForwarder(backend Backend) *Forwarder {
	set := replica.NewSet()
	for id, region := range map[string]string{"n1": "n", "n2": "n", "s1": "s", "s2": "s", "s3": "s", "x1": ""} {
		set.Put(replica.Info{ID: id, Pool: testPool, Address: id, Slots: 1, Region: region})
	}
	set.Divide("a", nowhere("a", "b"))
	now := time.Now()
	for _, one := range set.List(now) {
		set.Begin(one.ID, replica.RequestInfo{}, now)
	}
	return &Forwarder{Replicas: set, Backend: backend, Budget: retry.NewBudget(1)}
}

func homeRequest(homes place.Regions) *Request {
	return &Request{
		ID: "q", Method: http.MethodPost, Target: "/x", Received: time.Now(),
		Prompt: route.Prompt{Tokens: 100, MaxOutput: 20}, Regions: homes,
	}
}

func TestDo_NeverLeavesItsHomes(t *testing.T) {
	for name, one := range map[string]struct{ ofRoute, ofTenant place.Regions }{
		"of the route":  {ofRoute: place.Regions{"n"}},
		"of the tenant": {ofTenant: place.Regions{"n"}},
		"of both":       {place.Regions{"n", "m"}, place.Regions{"s", "n"}},
	} {
		t.Run(name, func(t *testing.T) {
			// Half of an answer, refusals and failures: each makes the request go elsewhere.
			backend := &scriptedBackend{answer: func(_ context.Context, attempt *Attempt, number int) (*Answer, error) {
				switch {
				case number == 1:
					return streamOf(events(1, 3) + "id: 4\nda"), nil
				case number < 8:
					return nil, outcome.Failed(ErrRefused)
				default:
					return streamOf(events(attempt.After+1, 6)), nil
				}
			}}
			forwarder := placedForwarder(backend)
			reserver := &scriptedReserver{answer: func(string) (string, error) { return "", errFull }}
			forwarder.Reserver = reserver
			target := routeOf(route.Stream, true, 9)
			target.Regions = one.ofRoute
			if _, err := forwarder.Do(t.Context(), target, homeRequest(one.ofTenant), &recordedSink{}); err != nil {
				t.Fatal(err)
			}
			for _, attempt := range backend.sent {
				if attempt.Replica.Region != "n" {
					t.Errorf("sent to %s in region %q", attempt.Replica.ID, attempt.Replica.Region)
				}
			}
			if len(reserver.asked) == 0 {
				t.Error("no replica was asked for a slot")
			}
			for _, id := range reserver.asked {
				if id[0] != 'n' {
					t.Errorf("asked %s for a slot", id)
				}
			}
		})
	}
}

// TestDo_NobodyAtHomeFailsAtOnce takes the replicas at home away, marks them as leaving,
// and asks for homes that have none.
func TestDo_NobodyAtHomeFailsAtOnce(t *testing.T) {
	forwarder := placedForwarder(&scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		t.Error("the request was sent")
		return nil, outcome.Failed(ErrRefused)
	}})
	leaving := placedForwarder(forwarder.Backend)
	for _, id := range []string{"n1", "n2"} {
		forwarder.Replicas.Remove(id, time.Now())
		leaving.Replicas.Put(replica.Info{ID: id, Pool: testPool, Address: id, Slots: 1, Region: "n", Leaving: true})
	}
	empty := &Forwarder{Replicas: replica.NewSet(), Backend: forwarder.Backend, Budget: retry.NewBudget(1)}
	for name, one := range map[string]struct {
		forwarder *Forwarder
		homes     place.Regions
	}{
		"gone":            {forwarder, place.Regions{"n"}},
		"leaving":         {leaving, place.Regions{"n"}},
		"no replicas":     {empty, place.Regions{"n"}},
		"no region":       {leaving, place.Regions{}},
		"unknown region":  {leaving, place.Regions{"nowhere"}},
		"the unknown one": {leaving, place.Regions{""}},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			_, err := one.forwarder.Do(t.Context(), routeOf(route.Stream, true, 2), homeRequest(one.homes), &recordedSink{})
			var none *replica.NoReplicaError
			if !errors.As(err, &none) || !none.Persistent() || outcome.Of(err) != outcome.NotDone {
				t.Fatalf("ended with %v", err)
			}
			if took := time.Since(began); took > time.Second {
				t.Fatalf("held for %v", took)
			}
		})
	}
}
