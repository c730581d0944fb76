package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// network runs states in virtual time over links that lose and delay packets.
type network struct {
	now    time.Time
	random *rand.Rand
	states map[string]*State
	// stopped nodes neither tick nor receive.
	stopped map[string]bool
	// stalled nodes get no processing until the time.
	stalled map[string]time.Time
	loss    float64
	cut     func(from, to string) bool
	queue   []delivery
}

type delivery struct {
	at       time.Time
	from, to string
	message  Message
}

const (
	step  = 50 * time.Millisecond
	delay = 10 * time.Millisecond
)

func newNetwork(seed uint64, zones, perZone int) *network {
	n := &network{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 0)),
		states: map[string]*State{}, stopped: map[string]bool{}, stalled: map[string]time.Time{},
	}
	var all []Member
	for zone := range zones {
		for i := range perZone {
			id := fmt.Sprintf("z%d-n%02d", zone, i)
			all = append(all, Member{ID: id, Zone: fmt.Sprintf("z%d", zone), Address: id})
		}
	}
	for i, member := range all {
		state := NewState(DefaultConfig(), member, rand.New(rand.NewPCG(seed, uint64(i+1))), nil)
		state.Merge(n.now, all)
		n.states[member.ID] = state
	}
	return n
}

func (n *network) send(from string, packets []Packet) {
	for _, packet := range packets {
		if n.random.Float64() < n.loss || (n.cut != nil && n.cut(from, packet.Address)) {
			continue
		}
		n.queue = append(n.queue, delivery{at: n.now.Add(delay), from: from, to: packet.Address, message: packet.Message})
	}
}

func (n *network) runs(id string) bool {
	return !n.stopped[id] && !n.now.Before(n.stalled[id])
}

// run advances virtual time.
func (n *network) run(length time.Duration, each func()) {
	for end := n.now.Add(length); n.now.Before(end); n.now = n.now.Add(step) {
		if each != nil {
			each()
		}
		waiting := n.queue
		n.queue = nil
		for _, one := range waiting {
			switch {
			case n.stopped[one.to]:
			case one.at.After(n.now) || !n.runs(one.to):
				n.queue = append(n.queue, one)
			default:
				n.send(one.to, n.states[one.to].Handle(n.now, one.from, one.message))
			}
		}
		for id, state := range n.states {
			if n.runs(id) {
				n.send(id, state.Tick(n.now))
			}
		}
	}
}

// status returns what an observer believes of a member.
func (n *network) status(observer, id string) Status {
	for _, member := range n.states[observer].Members() {
		if member.ID == id {
			return member.Status
		}
	}
	return Left
}

// believers counts the running nodes that believe a status of a member.
func (n *network) believers(id string, status Status) (count, observers int) {
	for observer := range n.states {
		if observer == id || n.stopped[observer] {
			continue
		}
		observers++
		if n.status(observer, id) == status {
			count++
		}
	}
	return count, observers
}

func (n *network) deaths() uint64 {
	var deaths uint64
	for _, state := range n.states {
		deaths += state.Counters().Deaths
	}
	return deaths
}

func TestState_DeadNodeIsFoundByAllZones(t *testing.T) {
	for seed := range uint64(5) {
		n := newNetwork(seed, 3, 6)
		n.run(5*time.Second, nil)
		n.stopped["z1-n03"] = true
		n.run(20*time.Second, nil)
		if count, observers := n.believers("z1-n03", Dead); count != observers {
			t.Errorf("seed %d: %d of %d nodes know of the death", seed, count, observers)
		}
	}
}

// Under 5% loss and stalls of 200 ms nobody is declared dead, and suspicions
// are refuted.
func TestState_LossAndStallsKillNobody(t *testing.T) {
	for seed := range uint64(5) {
		n := newNetwork(seed, 3, 8)
		n.loss = 0.05
		n.run(120*time.Second, func() {
			for id := range n.states {
				if n.random.Float64() < 0.005 {
					n.stalled[id] = n.now.Add(200 * time.Millisecond)
				}
			}
		})
		if deaths := n.deaths(); deaths > 0 {
			t.Errorf("seed %d: %d false deaths", seed, deaths)
		}
	}
}

// A zone that is cut off and comes back: its members do not die, the others
// know that the zone is cut, and afterwards that it is not.
func TestState_ZoneCutAndHeal(t *testing.T) {
	n := newNetwork(1, 3, 5)
	n.run(5*time.Second, nil)
	n.cut = func(from, to string) bool { return (from[:2] == "z2") != (to[:2] == "z2") }
	n.run(30*time.Second, nil)
	if deaths := n.deaths(); deaths > 0 {
		t.Errorf("%d members of a cut zone declared dead", deaths)
	}
	if cut := n.states["z0-n01"].CutZones(); len(cut) != 1 || cut[0] != "z2" {
		t.Errorf("zones believed cut: %v, want z2", cut)
	}
	n.cut = nil
	n.run(15*time.Second, nil)
	for id, state := range n.states {
		if cut := state.CutZones(); len(cut) != 0 {
			t.Errorf("%s still believes %v cut", id, cut)
		}
	}
}

// In a small zone everybody judges; after a split the two sides find each
// other again and refute the deaths.
func TestState_SmallZonesHealAfterDeaths(t *testing.T) {
	n := newNetwork(2, 4, 1)
	n.run(5*time.Second, nil)
	n.cut = func(from, to string) bool { return (from[:2] == "z0") != (to[:2] == "z0") }
	n.run(20*time.Second, nil)
	if n.status("z1-n00", "z0-n00") != Dead {
		t.Fatalf("lost node is %s", n.status("z1-n00", "z0-n00"))
	}
	n.cut = nil
	n.run(30*time.Second, nil)
	for id := range n.states {
		if count, observers := n.believers(id, Alive); count != observers {
			t.Errorf("%s is alive to %d of %d nodes", id, count, observers)
		}
	}
}

// A node that was paused suspects nobody for the answers it did not hear.
func TestState_PausedNodeAccusesNobody(t *testing.T) {
	n := newNetwork(3, 1, 8)
	n.run(5*time.Second, nil)
	n.stalled["z0-n00"] = n.now.Add(2500 * time.Millisecond)
	n.run(10*time.Second, nil)
	if accused := n.states["z0-n00"].Counters().Suspicions; accused > 0 {
		t.Errorf("the paused node raised %d suspicions", accused)
	}
	if count, observers := n.believers("z0-n00", Alive); count != observers {
		t.Errorf("the paused node is alive to %d of %d nodes", count, observers)
	}
}

// A planned stop is told, and a restart overrides it.
func TestState_LeaveAndReturn(t *testing.T) {
	n := newNetwork(4, 2, 4)
	n.run(3*time.Second, nil)
	leaver := n.states["z0-n02"]
	leaver.Leave(Left)
	n.run(3*time.Second, nil)
	n.stopped["z0-n02"] = true
	n.run(10*time.Second, nil)
	if count, observers := n.believers("z0-n02", Left); count != observers {
		t.Errorf("%d of %d nodes know that it left", count, observers)
	}
	fresh := NewState(DefaultConfig(), Member{ID: "z0-n02", Zone: "z0", Address: "z0-n02"}, rand.New(rand.NewPCG(9, 9)), nil)
	fresh.Merge(n.now, n.states["z0-n00"].Members())
	n.states["z0-n02"] = fresh
	n.stopped["z0-n02"] = false
	n.run(15*time.Second, nil)
	if count, observers := n.believers("z0-n02", Alive); count != observers {
		t.Errorf("%d of %d nodes know that it is back", count, observers)
	}
}

// The number of packets a node sends does not grow with the fleet.
func TestState_CostDoesNotGrowWithTheFleet(t *testing.T) {
	perNode := func(perZone int) float64 {
		n := newNetwork(5, 3, perZone)
		n.run(30*time.Second, nil) // the news of the start has died down
		sent := 0
		for range 100 {
			for id, state := range n.states {
				packets := state.Tick(n.now)
				sent += len(packets)
				n.send(id, packets)
			}
			n.run(step, nil)
		}
		return float64(sent) / float64(len(n.states))
	}
	small, large := perNode(4), perNode(20)
	if large > 1.5*small {
		t.Errorf("packets a node grew from %.1f at 12 nodes to %.1f at 60", small, large)
	}
}
