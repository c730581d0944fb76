package node

import (
	"errors"
	"maps"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// TestMetrics_ServedCountsByDistance checks that requests are counted by the distance of their
// replica, and failed ones not at all.
func TestMetrics_ServedCountsByDistance(t *testing.T) {
	metrics, target := newCoreMetrics(), &route.Route{Kind: route.Stream}
	for _, distance := range []place.Distance{place.SameZone, place.OtherRegion, place.OtherRegion} {
		metrics.observeForwarded(target, forward.Result{Distance: distance}, nil)
	}
	metrics.observeForwarded(target, forward.Result{Distance: place.SameRegion}, outcome.AsNotDone(errors.New("full")))
	families, err := metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	served := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "wheelhoist_gateway_served_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			served[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	if want := map[string]float64{"zone": 1, "elsewhere": 2}; !maps.Equal(served, want) {
		t.Errorf("served requests are %v, want %v", served, want)
	}
}
