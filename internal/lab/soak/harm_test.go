package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// addValidHarm adds harmful work to a valid history: it crashed three servers, one more shortly
// after, and three when all nodes had to know of it.
func addValidHarm(h *History, at func(float64) time.Time) {
	for number, second := range []float64{20, 20.5, 21, 21.5, 26, 27, 28} {
		addHarm(h, number, at(second))
	}
}

// addHarm adds a harmful request and the crash that it caused.
func addHarm(h *History, number int, when time.Time) {
	id := fmt.Sprintf("harm-0-%d", number)
	h.HarmfulRequests = append(h.HarmfulRequests, HarmfulRequest{ID: id, Work: "harm-0", Node: "n", Sent: when, Answer: &standin.Response{Status: 502}})
	h.HarmfulCrashes = append(h.HarmfulCrashes, HarmfulCrash{ID: id, Work: "harm-0", Server: "s0", Reached: when, At: when.Add(crashDelay)})
}

// harmMutations returns changes of a valid history that each break one promise.
func harmMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		HarmBounded:    func(h *History) { addHarm(h, 7, h.HarmfulCrashes[6].At.Add(time.Second)) },
		HarmlessServed: func(h *History) { h.Requests[1].Answer.Reason = quarantinedReason },
	}
}

// Crashes caused by requests of disturbed nodes do not count.
func TestCheck_HarmByConnectedNodesCounts(t *testing.T) {
	history := validHistory()
	last := history.HarmfulCrashes[6].At
	addHarm(history, 7, last.Add(time.Second))
	if violations := Check(history); len(violations) != 1 {
		t.Fatalf("got violations %v, want one", violations)
	}
	history.Disturbances = append(history.Disturbances, Disturbance{Name: "n", From: last, To: last.Add(time.Second)})
	if violations := Check(history); len(violations) != 0 {
		t.Fatalf("got violations %v of a disturbed node", violations)
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
		t.Errorf("status %d after connections are accepted again", status)
	}
}
