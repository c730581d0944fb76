package replica

import (
	"os"
	"reflect"
	"testing"
	"time"
	"unsafe"
)

// TestMain fails if any test of the package has modified the observations that entries share.
func TestMain(m *testing.M) {
	code := m.Run()
	if !reflect.ValueOf(unobserved).IsZero() {
		println("unobserved was modified")
		code = 1
	}
	os.Exit(code)
}

// Guards against an entry that grows with what a node observes: a node of a large fleet observes few
// of the listed replicas.
func TestEntry_UnobservedIsSmall(t *testing.T) {
	const maxBytes = 352
	if size := unsafe.Sizeof(entry{}); size > maxBytes {
		t.Errorf("an entry has %d bytes, want at most %d", size, maxBytes)
	}
	for _, size := range []int{400, 800} {
		set, _ := largeFleet(size)
		observed := 0
		for i := range 20 {
			set.Begin(largeFleetReplica(i).ID, RequestInfo{}, time.Now()).End(Succeeded, time.Now())
		}
		set.UpdateDemand(time.Now())
		set.FailureReports(time.Now())
		set.Snapshot(testPool, 3, time.Now())
		for _, e := range set.entries {
			if e.observations != &unobserved {
				observed++
			}
		}
		if observed != 20 {
			t.Errorf("%d of %d entries have observations, want 20", observed, len(set.entries))
		}
	}
}
