package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// heapInUse returns the bytes of live objects.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against memory that grows with the list by more than a node can spare in a fleet of 10,000
// replicas: what a node keeps of a replica that it does not use.
func TestGateway_MemoryPerListedReplica(t *testing.T) {
	const maxBytes = 1000
	var used [2]uint64
	sizes := [2]int{2000, 10000}
	for i, listed := range sizes {
		site := newGatewaySite(t, 0)
		row := standin.ServerRow("10.123.45.67:12345", "hall-bezigrad", 8, false)
		for number := range listed {
			site.store.Put("servers", fmt.Sprintf("i-%08x", number*7919), row)
		}
		before := heapInUse()
		gateway := site.launch("a", nil)
		site.eventually("the node knows the list", func() bool {
			count, _ := gateway.replicas.Count(time.Now())
			return gateway.Ready() && count == listed
		})
		time.Sleep(300 * time.Millisecond)
		used[i] = heapInUse() - before
		gateway.Kill()
	}
	each := float64(used[1]-used[0]) / float64(sizes[1]-sizes[0])
	t.Logf("%d and %d replicas: %d and %d KB, %.0f bytes each", sizes[0], sizes[1], used[0]>>10, used[1]>>10, each)
	if each > maxBytes {
		t.Errorf("%.0f bytes a replica, want at most %d", each, maxBytes)
	}
}
