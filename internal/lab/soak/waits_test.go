package soak

import (
	"testing"
	"time"
)

// keptWaits adds to a sound history the slots of its servers, when its load was over and
// when its items were seen listed.
func keptWaits(h *History, at func(float64) time.Time) {
	h.Began, h.LoadOver = at(0), at(70)
	h.ServerSlots = map[string]int{"s0": 1, "s1": 1}
	for i := range h.Runs {
		h.Runs[i].Ended = h.Runs[i].At.Add(200 * time.Millisecond)
	}
	for i := range h.Readings {
		h.Readings[i].At = at(2.5)
	}
}

// moveItem has an item run, and be seen listed, later.
func moveItem(h *History, item string, by time.Duration) {
	for i := range h.Runs {
		if h.Runs[i].ID == item {
			h.Runs[i].At, h.Runs[i].Ended = h.Runs[i].At.Add(by), h.Runs[i].Ended.Add(by)
		}
	}
	for i := range h.Readings {
		if h.Readings[i].Item == item {
			h.Readings[i].At = h.Readings[i].At.Add(by)
		}
	}
}

func waitMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		// The server had it until it was listed, so that it did not wait.
		ListedInCalm: func(h *History) {
			h.Runs[2].Ended = h.LoadOver.Add(time.Minute)
			for i := range h.Readings {
				if h.Readings[i].Item == "j-0" {
					h.Readings[i].At = h.LoadOver.Add(listBound + time.Second)
				}
			}
		},
		NoIdleWait:  func(h *History) { moveItem(h, "j-0", 10*time.Second) },
		JobReadable: func(h *History) { delete(h.Final, "j") },
		ForeignUnused: func(h *History) {
			h.Runs[2].Server = strangerName
		},
	}
}

// What keeps an item waiting does not count: that no server has a slot, that none can be
// used, or that no node can work.
func TestCheck_WaitsCountBesideFreeSlots(t *testing.T) {
	excuses := map[string]func(h *History){
		"no server has a slot": func(h *History) { h.ServerSlots = map[string]int{"s0": 0, "s1": 0} },
		"no server can be used": func(h *History) {
			for _, server := range []string{"s0", "s1"} {
				h.ServerOutages = append(h.ServerOutages, ServerOutage{Server: server, From: h.Began, To: h.LoadOver})
			}
		},
		"all zones are evacuated": func(h *History) {
			h.Evacuations = append(h.Evacuations, Outage{Zone: "a", From: h.Began.Add(8 * time.Second), To: h.LoadOver})
		},
		"all nodes are disturbed": func(h *History) {
			h.Disturbances = append(h.Disturbances, Disturbance{Name: AllNodes, From: h.Began, To: h.LoadOver})
		},
		"it is shorter than the bound": func(h *History) { moveItem(h, "j-0", -3*time.Second) },
	}
	for name, excuse := range excuses {
		t.Run(name, func(t *testing.T) {
			h := kept()
			moveItem(h, "j-0", 10*time.Second)
			if found := Check(h); len(found) != 1 || found[0].Promise != NoIdleWait {
				t.Fatalf("without an excuse: found %v", found)
			}
			excuse(h)
			for _, one := range Check(h) {
				if one.Promise == NoIdleWait {
					t.Errorf("found %v", one)
				}
			}
		})
	}
}

// Under faults the bound is longer.
func TestCheck_WaitsUnderFaults(t *testing.T) {
	for _, one := range []struct {
		by     time.Duration
		broken bool
	}{{10 * time.Second, false}, {anyWait + 2*time.Second, true}} {
		h := kept()
		h.Calm = h.Began.Add(time.Minute)
		moveItem(h, "j-0", one.by)
		if found := Check(h); (len(found) > 0) != one.broken {
			t.Errorf("after %v: found %v", one.by, found)
		}
	}
}

// A server whose row another writer has overwritten gets nothing, from nodes in touch.
func TestCheck_OverwrittenRowsNameNoServer(t *testing.T) {
	h := kept()
	run := h.Runs[0]
	h.Overwritten = []ServerOutage{{Server: run.Server, From: run.At.Add(-foreignKnown - time.Second), To: run.At.Add(time.Second)}}
	if found := Check(h); len(found) != 1 || found[0].Promise != ForeignUnused {
		t.Fatalf("found %v", found)
	}
	h.Overwritten[0].From = run.At.Add(-foreignKnown)
	if found := Check(h); len(found) > 0 {
		t.Errorf("in time: found %v", found)
	}
}

// In calm the bound is for one time without a break: slots that are free between two
// requests are nobody's to wait for.
func TestCheck_WaitsInCalmWithoutABreak(t *testing.T) {
	h := kept()
	moveItem(h, "j-0", 10*time.Second)
	middle := h.Began.Add(9 * time.Second)
	for _, server := range []string{"s0", "s1"} {
		h.ServerOutages = append(h.ServerOutages, ServerOutage{Server: server, From: middle.Add(-roomKnown), To: middle.Add(-roomKnown)})
	}
	if found := Check(h); len(found) > 0 {
		t.Errorf("found %v", found)
	}
}
