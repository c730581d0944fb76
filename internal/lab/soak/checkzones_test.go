package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Times of the outages in a valid history, in seconds after its start.
const (
	evacuatedAt, revokedAt = 20.0, 30.0
	lostAt, recoveredAt    = 40.0, 48.0
	coldAt                 = 60.0
)

// addValidZones adds an evacuated zone, a lost zone and a cold server to a valid history, with
// everything that is just allowed.
func addValidZones(h *History, at func(seconds float64) time.Time) {
	h.Evacuations = []Outage{{Zone: "b", From: at(evacuatedAt), To: at(revokedAt)}}
	h.Losses = []Outage{{Zone: "b", From: at(lostAt), To: at(recoveredAt)}}
	evacuatedRun := func(id string, after float64) ServerRun {
		run := standin.Run{ID: id, At: at(evacuatedAt + after), Header: http.Header{"Tenant": {tenantMain}}}
		return ServerRun{Server: "s2", Run: run}
	}
	h.Runs = append(h.Runs, evacuatedRun("in time", 4.9), evacuatedRun("taken back", 10.1))
	for i := range 2 * minRequests {
		req := Request{
			ID: fmt.Sprintf("lost-%d", i), Tenant: tenantMain, Prefix: "resume", Node: "n", Process: 1,
			Sent: at(lostAt + 3), Ended: at(lostAt + 3.2), Answer: &standin.Response{Status: 503, HasRetryAfter: true},
		}
		if i%2 == 0 {
			req.Answer = &standin.Response{Status: 200, Complete: true, Body: wholeBody()}
		}
		h.Requests = append(h.Requests, req)
	}
	for number := range 16 {
		send := standin.ColdRequest{At: at(coldAt + 1 + 0.14*float64(number)), Since: at(coldAt)}
		h.ColdSends = append(h.ColdSends, ColdSend{Server: "s2", ColdRequest: send})
	}
}

// addLateRequest adds a request to a node and returns a run of it that reaches the evacuated zone
// too late.
func addLateRequest(h *History, node string) ServerRun {
	when := h.Evacuations[0].From.Add(7 * time.Second)
	h.Requests = append(h.Requests, Request{ID: "late", Tenant: tenantMain, Node: node, Answer: &standin.Response{}})
	return ServerRun{Server: "s2", Run: standin.Run{ID: "late", At: when, Header: http.Header{"Tenant": {tenantMain}}}}
}

// zoneMutations returns changes of a valid history that each break one promise.
func zoneMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		EvacuatedUnused: func(h *History) { h.Runs = append(h.Runs, addLateRequest(h, "n")) },
		ColdWithinRate: func(h *History) {
			h.ColdSends = append(h.ColdSends, h.ColdSends[5])
		},
		OthersServe: func(h *History) { h.Requests[len(h.Requests)-2].Answer = &standin.Response{} },
		LimitWhenCutOff: func(h *History) {
			for number := range 50 {
				id := fmt.Sprintf("flood-%d", number)
				h.Requests = append(h.Requests, Request{ID: id, Tenant: tenantFlood, Answer: &standin.Response{}})
				h.Runs = append(h.Runs, ServerRun{Server: "s0", Run: standin.Run{ID: id, At: h.Runs[0].At, Header: http.Header{"Tenant": {tenantFlood}}}})
			}
		},
	}
}

// Late runs in an evacuated zone only count if their sender was connected: for a request the node
// that received it, for an item any node.
func TestCheck_LateRunsOfConnectedNodesCount(t *testing.T) {
	cases := []struct {
		name        string
		item        bool
		disturbance Disturbance
		broken      bool
	}{
		{"receiving node", false, Disturbance{Name: "n"}, false},
		{"other node", false, Disturbance{Name: "m"}, true},
		{"restart of the receiving node", false, Disturbance{Name: "n", Restart: true}, true},
		{"all nodes", false, Disturbance{Name: AllNodes}, false},
		{"server", false, Disturbance{Name: "s2"}, false},
		{"other server", false, Disturbance{Name: "s0"}, true},
		{"item, any node", true, Disturbance{Name: "m"}, false},
		{"item, other server", true, Disturbance{Name: "s0"}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := validHistory()
			run := addLateRequest(h, "n")
			if test.item {
				run.ID = "item"
			}
			h.Runs = append(h.Runs, run)
			test.disturbance.From, test.disturbance.To = run.At.Add(-5*time.Second), run.At.Add(-time.Second)
			h.Disturbances = []Disturbance{test.disturbance}
			found := Check(h)
			if broken := len(found) == 1 && found[0].Promise == EvacuatedUnused; broken != test.broken {
				t.Errorf("got violations %v, want broken = %v", found, test.broken)
			}
			h.Disturbances[0].To = run.At.Add(-contactBound - time.Millisecond)
			if found := Check(h); len(found) != 1 {
				t.Errorf("long after the disturbance: got violations %v, want one", found)
			}
		})
	}
}

// Requests that need not be served while a zone is lost do not count.
func TestCheck_LossesCountExpectedAnswersOnly(t *testing.T) {
	changes := map[string]func(h *History, req *Request){
		"node of the lost zone": func(_ *History, req *Request) { req.Node = "m" },
		"restarted node": func(h *History, req *Request) {
			h.Disturbances = []Disturbance{{Name: "n", From: req.Sent.Add(-time.Second), To: req.Sent, Restart: true}}
		},
		"before other nodes can know": func(h *History, req *Request) { req.Sent = h.Losses[0].From.Add(time.Second) },
		"after the zone is back":      func(h *History, req *Request) { req.Sent = h.Losses[0].To.Add(time.Second) },
		"limited tenant":              func(_ *History, req *Request) { req.Tenant = tenantLimited },
		"node lost with its own zone meanwhile": func(h *History, req *Request) {
			h.Losses = append(h.Losses, Outage{Zone: "a", From: req.Sent, To: req.Ended.Add(time.Second)})
		},
		"node whose own zone has just returned": func(h *History, req *Request) {
			h.Losses = append(h.Losses, Outage{Zone: "a", From: req.Sent.Add(-2 * time.Second), To: req.Sent.Add(-time.Second)})
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			for i := len(h.Requests) - 2*minRequests; i < len(h.Requests); i++ {
				h.Requests[i].Answer = &standin.Response{}
				change(h, &h.Requests[i])
			}
			if found := Check(h); len(found) > 0 {
				t.Errorf("unexpected violations %v", found)
			}
		})
	}
}

// Guards against a check that excuses nodes whose own zone was lost long before.
func TestCheck_LossesCountNodesWhoseZoneReturnedBefore(t *testing.T) {
	h := validHistory()
	for i := len(h.Requests) - 2*minRequests; i < len(h.Requests); i++ {
		h.Requests[i].Answer = &standin.Response{}
	}
	sent := h.Requests[len(h.Requests)-1].Sent
	h.Losses = append(h.Losses, Outage{Zone: "a", From: sent.Add(-2 * contactBound), To: sent.Add(-contactBound)})
	if found := Check(h); len(found) != 1 || found[0].Promise != OthersServe {
		t.Errorf("unserved requests of nodes in touch: %v", found)
	}
}

// Requests to a cold server do not count while its row is overwritten and in the second after that.
// Earlier and later ones do.
func TestCheck_ColdServersWithOverwrittenRows(t *testing.T) {
	for _, test := range []struct {
		from, to float64
		broken   bool
	}{{0, 2, false}, {1.1, 1.9, false}, {-2, -1, true}, {4, 5, true}} {
		h := validHistory()
		zoneMutations()[ColdWithinRate](h)
		coldSince := h.ColdSends[0].Since
		after := func(seconds float64) time.Time { return coldSince.Add(time.Duration(seconds * float64(time.Second))) }
		h.Overwritten = []ServerOutage{{Server: "s2", From: after(test.from), To: after(test.to)}}
		if found := Check(h); (len(found) > 0) != test.broken {
			t.Errorf("overwritten from %v to %v: got violations %v", test.from, test.to, found)
		}
	}
}

// Requests beside a lost zone count unless there was a moment at which no server was usable.
func TestCheck_RequestsWithoutAnyServerDoNotCount(t *testing.T) {
	const sent = lostAt + 3
	for _, test := range []struct {
		name string
		// up is the server that stays usable; the others are out from before the requests until outUntil.
		up       string
		outUntil float64
		evacuate bool
		broken   bool
	}{
		{"no server", "", sent + 1, false, false},
		{"one server", "s0", sent + 1, false, true},
		{"servers back and known to be", "", sent - freeSlotGrace.Seconds(), false, true},
		{"servers just back", "", sent - freeSlotGrace.Seconds() + 0.1, false, false},
		{"the only server is evacuated", "s0", sent + 1, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := validHistory()
			at := func(seconds float64) time.Time {
				return h.Losses[0].From.Add(time.Duration((seconds - lostAt) * float64(time.Second)))
			}
			for i := range h.Requests {
				if strings.HasPrefix(h.Requests[i].ID, "lost-") {
					h.Requests[i].Answer = &standin.Response{}
				}
			}
			for server := range h.ServerSlots {
				if server != test.up {
					h.ServerOutages = append(h.ServerOutages, ServerOutage{Server: server, From: at(lostAt), To: at(test.outUntil)})
				}
			}
			if test.evacuate {
				h.Evacuations = append(h.Evacuations, Outage{Zone: h.ServerZones[test.up], From: at(lostAt), To: at(sent + 1)})
			}
			broken := slices.ContainsFunc(Check(h), func(v Violation) bool { return v.Promise == OthersServe })
			if broken != test.broken {
				t.Errorf("broken: %v", broken)
			}
		})
	}
}
