package soak

import (
	"testing"
	"time"
)

// addValidWaits adds the slots of the servers, the phases of the load and the times at which items
// were listed to a valid history.
func addValidWaits(h *History, at func(float64) time.Time) {
	h.LoadStart, h.LoadEnd = at(0), at(70)
	h.ServerSlots = map[string]int{"s0": 1, "s1": 1}
	h.ForeignRows = []FaultKind{ForeignRow}
	for i := range h.Runs {
		h.Runs[i].Ended = h.Runs[i].At.Add(200 * time.Millisecond)
	}
	for i := range h.Observations {
		h.Observations[i].At = at(2.5)
	}
}

// moveItem shifts the runs and the listing of an item.
func moveItem(h *History, item string, by time.Duration) {
	for i := range h.Runs {
		if h.Runs[i].ID == item {
			h.Runs[i].At, h.Runs[i].Ended = h.Runs[i].At.Add(by), h.Runs[i].Ended.Add(by)
		}
	}
	for i := range h.Observations {
		if h.Observations[i].Item == item {
			h.Observations[i].At = h.Observations[i].At.Add(by)
		}
	}
}

// waitMutations returns changes of a valid history that each break one promise.
func waitMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		// The server runs the item until it is listed, so that the item does not wait.
		ItemListedInCalm: func(h *History) {
			h.Runs[2].Ended = h.LoadEnd.Add(time.Minute)
			for i := range h.Observations {
				if h.Observations[i].Item == "j-0" {
					h.Observations[i].At = h.LoadEnd.Add(listBound + time.Second)
				}
			}
		},
		NoWaitBesideFreeSlots: func(h *History) { moveItem(h, "j-0", 10*time.Second) },
		JobReadable:           func(h *History) { delete(h.Final, "j") },
		ForeignUnused: func(h *History) {
			h.Runs[2].Server = foreignServerName
		},
	}
}

// Waits do not count while no slot is free, no server is usable or no node is able to work.
func TestCheck_WaitsCountBesideFreeSlots(t *testing.T) {
	excuses := map[string]func(h *History){
		"no server has a slot": func(h *History) { h.ServerSlots = map[string]int{"s0": 0, "s1": 0} },
		"no server can be used": func(h *History) {
			for _, server := range []string{"s0", "s1"} {
				h.ServerOutages = append(h.ServerOutages, ServerOutage{Server: server, From: h.LoadStart, To: h.LoadEnd})
			}
		},
		"all zones are evacuated": func(h *History) {
			h.Evacuations = append(h.Evacuations, Outage{Zone: "a", From: h.LoadStart.Add(8 * time.Second), To: h.LoadEnd})
		},
		"all nodes are disturbed": func(h *History) {
			h.Disturbances = append(h.Disturbances, Disturbance{Name: AllNodes, From: h.LoadStart, To: h.LoadEnd})
		},
		"wait is shorter than the bound": func(h *History) { moveItem(h, "j-0", -3*time.Second) },
	}
	for name, excuse := range excuses {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			moveItem(h, "j-0", 10*time.Second)
			if found := Check(h); len(found) != 1 || found[0].Promise != NoWaitBesideFreeSlots {
				t.Fatalf("without an excuse: got violations %v, want one", found)
			}
			excuse(h)
			for _, violation := range Check(h) {
				if violation.Promise == NoWaitBesideFreeSlots {
					t.Errorf("unexpected violation %v", violation)
				}
			}
		})
	}
}

// A run must report how near to the bound its items came, also if none exceeded it.
func TestLongestCalmWait_OfRunsWithinTheBound(t *testing.T) {
	h := validHistory()
	before := LongestCalmWait(h)
	moveItem(h, "j-0", 7*time.Second)
	if longest := LongestCalmWait(h); longest-before < 2*time.Second || longest > maxCalmWait {
		t.Errorf("longest wait is %v after an item was moved by 7 s, %v before", longest, before)
	}
}

// Outside the calm phase the longer bound applies.
func TestCheck_WaitsUnderFaults(t *testing.T) {
	for _, test := range []struct {
		by     time.Duration
		broken bool
	}{{10 * time.Second, false}, {maxWait + 2*time.Second, true}} {
		h := validHistory()
		h.CalmFrom = h.LoadStart.Add(time.Minute)
		moveItem(h, "j-0", test.by)
		if found := Check(h); (len(found) > 0) != test.broken {
			t.Errorf("shifted by %v: got violations %v", test.by, found)
		}
	}
}

// Runs of connected nodes at a server whose row is overwritten are reported after a grace period.
func TestCheck_OverwrittenRowsNameNoServer(t *testing.T) {
	h := validHistory()
	run := h.Runs[0]
	h.Overwritten = []ServerOutage{{Server: run.Server, From: run.At.Add(-foreignGrace - time.Second), To: run.At.Add(time.Second)}}
	if found := Check(h); len(found) != 1 || found[0].Promise != ForeignUnused {
		t.Fatalf("got violations %v, want one", found)
	}
	h.Overwritten[0].From = run.At.Add(-foreignGrace)
	if found := Check(h); len(found) > 0 {
		t.Errorf("within the grace period: unexpected violations %v", found)
	}
}

// The bound in the calm phase applies to uninterrupted waits, since a slot that is free briefly
// between two requests cannot be used.
func TestCheck_CalmWaitsMustBeUninterrupted(t *testing.T) {
	h := validHistory()
	moveItem(h, "j-0", 10*time.Second)
	middle := h.LoadStart.Add(9 * time.Second)
	for _, server := range []string{"s0", "s1"} {
		h.ServerOutages = append(h.ServerOutages, ServerOutage{Server: server, From: middle.Add(-freeSlotGrace), To: middle.Add(-freeSlotGrace)})
	}
	if found := Check(h); len(found) > 0 {
		t.Errorf("unexpected violations %v", found)
	}
}
