package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// keptHarm adds harmful work that ended three servers, one more just after, and three when
// all nodes had to know of it.
func keptHarm(h *History, at func(float64) time.Time) {
	for number, second := range []float64{20, 20.5, 21, 21.5, 26, 27, 28} {
		addHarm(h, number, at(second))
	}
}

func addHarm(h *History, number int, when time.Time) {
	id := fmt.Sprintf("harm-0-%d", number)
	h.HarmSends = append(h.HarmSends, HarmSend{ID: id, Work: "harm-0", Node: "n", Sent: when, Answer: &standin.Response{Status: 502}})
	h.HarmEnds = append(h.HarmEnds, HarmEnd{ID: id, Work: "harm-0", Server: "s0", Reached: when, At: when.Add(fuse)})
}

func harmMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		HarmBounded:    func(h *History) { addHarm(h, 7, h.HarmEnds[6].At.Add(time.Second)) },
		HarmlessServed: func(h *History) { h.Requests[1].Answer.Reason = quarantined },
	}
}

// TestCheck_HarmOfNodesInTouchCounts: what a node sends that was disturbed is not laid to it.
func TestCheck_HarmOfNodesInTouchCounts(t *testing.T) {
	history := kept()
	last := history.HarmEnds[6].At
	addHarm(history, 7, last.Add(time.Second))
	if broken := Check(history); len(broken) != 1 {
		t.Fatalf("found %v", broken)
	}
	history.Disturbances = append(history.Disturbances, Disturbance{Name: "n", From: last, To: last.Add(time.Second)})
	if broken := Check(history); len(broken) != 0 {
		t.Fatalf("found %v of a node that was disturbed", broken)
	}
}

func TestProxy_RefusesAndAcceptsAgain(t *testing.T) {
	store := &soak{store: standin.NewStore()}
	t.Cleanup(store.close)
	address, err := store.listen(store.store)
	if err != nil {
		t.Fatal(err)
	}
	before, err := startProxy(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(before.close)
	asked := func() int {
		client := standin.Client{Address: before.address(), Host: host}
		return client.Stream(t.Context(), "unknown", "id", time.Second).Status
	}
	before.refuse()
	if status := asked(); status != 0 {
		t.Errorf("status %d while connections are refused", status)
	}
	if err := before.accepts(); err != nil {
		t.Fatal(err)
	}
	if status := asked(); status != 404 {
		t.Errorf("status %d after that", status)
	}
}
