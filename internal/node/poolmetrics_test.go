package node

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wheelhoist/wheelhoist/internal/replica"
)

func TestPoolCollector_ExportsEachPool(t *testing.T) {
	replicas := replica.NewSet()
	replicas.Put(replica.Info{ID: "a", Pool: "one", Slots: 8})
	replicas.Put(replica.Info{ID: "b", Pool: "two", Slots: 4})
	registry := prometheus.NewPedanticRegistry()
	if err := registry.Register(&poolCollector{replicas: replicas, now: time.Now}); err != nil {
		t.Fatal(err)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if len(families) != len(poolMetrics) {
		t.Fatalf("%d metrics, want %d", len(families), len(poolMetrics))
	}
	for _, family := range families {
		if len(family.GetMetric()) != 2 {
			t.Errorf("%s has %d pools, want 2", family.GetName(), len(family.GetMetric()))
		}
	}
}
