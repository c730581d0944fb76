package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// addValidHarm adds harmful work that ended three servers, one more just after, and three when
// all nodes had to know of it.
func addValidHarm(h *History, at func(float64) time.Time) {
	for number, second := range []float64{20, 20.5, 21, 21.5, 26, 27, 28} {
		addHarm(h, number, at(second))
	}
}

func addHarm(h *History, number int, when time.Time) {
	id := fmt.Sprintf("harm-0-%d", number)
	h.HarmfulRequests = append(h.HarmfulRequests, HarmfulRequest{ID: id, Work: "harm-0", Node: "n", Sent: when, Answer: &standin.Answer{Status: 502}})
	h.HarmfulCrashes = append(h.HarmfulCrashes, HarmfulCrash{ID: id, Work: "harm-0", Server: "s0", Reached: when, At: when.Add(crashDelay)})
}

func harmMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		HarmBounded:    func(h *History) { addHarm(h, 7, h.HarmfulCrashes[6].At.Add(time.Second)) },
		HarmlessServed: func(h *History) { h.Requests[1].Answer.Reason = quarantinedReason },
	}
}

// TestCheck_HarmOfNodesInTouchCounts: what a node sends that was disturbed is not laid to it.
func TestCheck_HarmOfNodesInTouchCounts(t *testing.T) {
	history := validHistory()
	last := history.HarmfulCrashes[6].At
	addHarm(history, 7, last.Add(time.Second))
	if violations := Check(history); len(violations) != 1 {
		t.Fatalf("found %v", violations)
	}
	history.Disturbances = append(history.Disturbances, Disturbance{Name: "n", From: last, To: last.Add(time.Second)})
	if violations := Check(history); len(violations) != 0 {
		t.Fatalf("found %v of a node that was disturbed", violations)
	}
}

func TestProxy_RefusesAndAcceptsAgain(t *testing.T) {
	s := &soak{store: standin.NewStore()}
	t.Cleanup(s.close)
	address, err := s.listen(s.store)
	if err != nil {
		t.Fatal(err)
	}
	proxy, err := startProxy(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.close)
	getStatus := func() int {
		client := standin.Client{Address: proxy.address(), Host: host}
		return client.Stream(t.Context(), "unknown", "id", time.Second).Status
	}
	proxy.refuse()
	if status := getStatus(); status != 0 {
		t.Errorf("status %d while connections are refused", status)
	}
	if err := proxy.acceptAgain(); err != nil {
		t.Fatal(err)
	}
	if status := getStatus(); status != 404 {
		t.Errorf("status %d after that", status)
	}
}
