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

// multiRegionForwarder has two replicas in region "n", three in "s" and one in an unknown region.
// All of their slots are taken.
func multiRegionForwarder(backend Backend) *Forwarder {
	set := replica.NewSet()
	for id, region := range map[string]string{"n1": "n", "n2": "n", "s1": "s", "s2": "s", "s3": "s", "x1": ""} {
		set.Put(replica.Info{ID: id, Pool: testPool, Address: id, Slots: 1, Region: region})
	}
	set.Divide("a", nodesWithoutPlace("a", "b"))
	now := time.Now()
	for _, candidate := range set.List(now) {
		set.Begin(candidate.ID, replica.RequestInfo{}, now)
	}
	return &Forwarder{Replicas: set, Backend: backend, Budget: retry.NewBudget(1)}
}

func requestInRegions(regions place.Regions) *Request {
	return &Request{
		ID: "q", Method: http.MethodPost, Target: "/x", Received: time.Now(),
		Prompt: route.Prompt{Tokens: 100, MaxOutput: 20}, Regions: regions,
	}
}

func TestDo_StaysInAllowedRegions(t *testing.T) {
	for name, test := range map[string]struct{ ofRoute, ofTenant place.Regions }{
		"of the route":  {ofRoute: place.Regions{"n"}},
		"of the tenant": {ofTenant: place.Regions{"n"}},
		"of both":       {place.Regions{"n", "m"}, place.Regions{"s", "n"}},
	} {
		t.Run(name, func(t *testing.T) {
			// A truncated answer, refusals and a success: each failure makes the request try
			// another replica.
			backend := &scriptedBackend{answer: func(_ context.Context, attempt *Attempt, number int) (*Answer, error) {
				switch {
				case number == 1:
					return streamAnswer(events(1, 3) + "id: 4\nda"), nil
				case number < 8:
					return nil, outcome.AsNotDone(ErrRefused)
				default:
					return streamAnswer(events(attempt.LastEventID+1, 6)), nil
				}
			}}
			forwarder := multiRegionForwarder(backend)
			reserver := &scriptedReserver{answer: func(string) (string, error) { return "", errFull }}
			forwarder.Reserver = reserver
			target := routeOf(route.Stream, true, 9)
			target.Regions = test.ofRoute
			if _, err := forwarder.Do(t.Context(), target, requestInRegions(test.ofTenant), &recordingSink{}); err != nil {
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

// TestDo_NoReplicaInAllowedRegionsFailsAtOnce covers replicas that were removed or are leaving, and
// regions without any.
func TestDo_NoReplicaInAllowedRegionsFailsAtOnce(t *testing.T) {
	forwarder := multiRegionForwarder(&scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		t.Error("the request was sent")
		return nil, outcome.AsNotDone(ErrRefused)
	}})
	leaving := multiRegionForwarder(forwarder.Backend)
	for _, id := range []string{"n1", "n2"} {
		forwarder.Replicas.Remove(id, time.Now())
		leaving.Replicas.Put(replica.Info{ID: id, Pool: testPool, Address: id, Slots: 1, Region: "n", Leaving: true})
	}
	empty := &Forwarder{Replicas: replica.NewSet(), Backend: forwarder.Backend, Budget: retry.NewBudget(1)}
	for name, test := range map[string]struct {
		forwarder *Forwarder
		regions   place.Regions
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
			_, err := test.forwarder.Do(t.Context(), routeOf(route.Stream, true, 2), requestInRegions(test.regions), &recordingSink{})
			var noReplicaErr *replica.NoReplicaError
			if !errors.As(err, &noReplicaErr) || !noReplicaErr.Persistent() || outcome.Of(err) != outcome.NotDone {
				t.Fatalf("ended with %v", err)
			}
			if took := time.Since(began); took > time.Second {
				t.Fatalf("held for %v", took)
			}
		})
	}
}
