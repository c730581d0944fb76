package routing

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// The verdict must be the same every time.
func init() { _ = flag.Set("rapid.seed", "1") }

func drawReplica(t *rapid.T, i int) *Replica {
	return &Replica{
		ID:       fmt.Sprintf("r%d", i),
		Zone:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
		Model:    "m",
		Version:  rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
		Adapters: rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 0, 2).Draw(t, "adapters"),
		Role:     rapid.SampledFrom([]engine.Role{engine.RoleMixed, engine.RoleOnline, engine.RoleBatch}).Draw(t, "role"),
		State:    rapid.SampledFrom([]engine.State{engine.StateReady, engine.StateLoading, engine.StateLeaving}).Draw(t, "state"),
		Ejected:  rapid.Bool().Draw(t, "ejected"),
		Load:     engine.Load{MaxSequences: 8, WaitingOnline: rapid.IntRange(0, 20).Draw(t, "waiting"), PrefillPerSec: 8000},
		Reported: true,
		Usage:    &Usage{},
	}
}

func newTestRouter(policy Policy, seed uint64) *Router {
	random := rand.New(rand.NewPCG(seed, 1))
	turn := uint64(0)
	router := NewRouter(policy, nil, func() uint64 { turn++; return turn })
	router.Random = random.IntN
	return router
}

// Whatever the replicas, each policy picks one that may take the request, or
// says rightly that there is none.
func TestPick_OnlyAllowedReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := &Snapshot{Zone: "a"}
		for i := range rapid.IntRange(0, 8).Draw(t, "count") {
			snapshot.Replicas = append(snapshot.Replicas, drawReplica(t, i))
		}
		request := &Request{
			Model: "m", Words: 50, Blocks: []uint64{1, 2, 3},
			Adapter: rapid.SampledFrom([]string{"", "x"}).Draw(t, "adapter"),
			Version: rapid.SampledFrom([]string{"", "v1"}).Draw(t, "wanted"),
			Exclude: map[string]bool{"r0": rapid.Bool().Draw(t, "exclude")},
		}
		policy := rapid.SampledFrom([]Policy{PolicyPredict, PolicyRoundRobin, PolicyLeastInFlight, PolicyAffinity}).Draw(t, "policy")
		decision, err := newTestRouter(policy, 1).Pick(snapshot, request)
		allowed := 0
		for _, replica := range snapshot.Replicas {
			if passesAll(replica, request) {
				allowed++
			}
		}
		switch {
		case err == nil && !passesAll(decision.Replica, request):
			t.Fatalf("picked %+v, which may not take the request", decision.Replica)
		case err == nil && allowed == 0, err != nil && allowed > 0:
			t.Fatalf("error %v with %d allowed replicas", err, allowed)
		case errors.Is(err, ErrNoModel) != (len(snapshot.Replicas) == 0):
			t.Fatalf("error %v with %d replicas", err, len(snapshot.Replicas))
		}
	})
}

// Many routers that see the same old report do not all choose one replica: with
// two random choices the share of the best one stays near 2/n.
func TestPick_NoHerdingOnAFreshReport(t *testing.T) {
	const replicas, picks = 12, 6000
	snapshot := &Snapshot{Zone: "a"}
	for i := range replicas {
		snapshot.Replicas = append(snapshot.Replicas, &Replica{
			ID: fmt.Sprintf("r%d", i), Zone: "a", Model: "m", State: engine.StateReady, Role: engine.RoleMixed,
			Load: engine.Load{WaitingOnline: i, PrefillPerSec: 8000, MaxSequences: 64}, Reported: true, Usage: &Usage{},
		})
	}
	router := newTestRouter(PolicyPredict, 7)
	counts := map[string]int{}
	for range picks {
		decision, err := router.Pick(snapshot, &Request{Model: "m", Words: 100})
		if err != nil {
			t.Fatal(err)
		}
		counts[decision.Replica.ID]++
	}
	for id, count := range counts {
		if share := float64(count) / picks; share > 2.5/replicas {
			t.Errorf("%s got %.2f of the picks", id, share)
		}
	}
}

// All turns of a conversation have one owner, and a lost replica moves only the
// conversations that it owned.
func TestOwner_StableUnderLoss(t *testing.T) {
	var all []*Replica
	for i := range 10 {
		all = append(all, &Replica{ID: fmt.Sprintf("r%d", i), Key: mix(uint64(i + 1))})
	}
	for conversation := range uint64(200) {
		first := owner(all, []uint64{conversation, conversation + 1000})
		longer := owner(all, []uint64{conversation, conversation + 1000, conversation + 2000})
		if first != longer {
			t.Fatalf("conversation %d moved from %s to %s as it grew", conversation, first.ID, longer.ID)
		}
		without := append(append([]*Replica{}, all[:3]...), all[4:]...)
		if after := owner(without, []uint64{conversation, conversation + 1000}); first.ID != "r3" && after != first {
			t.Fatalf("conversation %d moved though its owner stayed", conversation)
		}
	}
}
