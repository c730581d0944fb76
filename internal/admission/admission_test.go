package admission

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

func full(string) float64 { return 1 }

func TestAdmit_Limits(t *testing.T) {
	now := time.Unix(100, 0)
	cases := []struct {
		name   string
		limits Limits
		reason Reason
	}{
		{"request rate", Limits{RequestsPerSecond: 2}, ReasonRequestRate},
		{"token rate", Limits{TokensPerSecond: 20}, ReasonTokenRate},
		{"concurrency", Limits{Concurrency: 2}, ReasonConcurrency},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			controller := NewController(full)
			for range 2 {
				if _, err := controller.Admit("a", test.limits, 10, now); err != nil {
					t.Fatal(err)
				}
			}
			_, err := controller.Admit("a", test.limits, 10, now)
			var refusal *RefusalError
			if !errors.As(err, &refusal) || refusal.Reason != test.reason || refusal.RetryAfter <= 0 {
				t.Fatalf("error %v, want %s with a time to come back", err, test.reason)
			}
			if _, err := controller.Admit("b", test.limits, 10, now); err != nil {
				t.Fatalf("another tenant is refused: %v", err)
			}
		})
	}
}

func TestAdmit_ReleaseFreesOnce(t *testing.T) {
	controller := NewController(full)
	limits := Limits{Concurrency: 1}
	now := time.Unix(100, 0)
	ticket, err := controller.Admit("a", limits, 1, now)
	if err != nil {
		t.Fatal(err)
	}
	ticket.Release()
	ticket.Release()
	if _, err := controller.Admit("a", limits, 1, now); err != nil {
		t.Fatal(err)
	}
	if _, err := controller.Admit("a", limits, 1, now); err == nil {
		t.Fatal("a second release freed a second place")
	}
}

// Under overload a heavy user is refused at a wait that others still get.
func TestOverloaded_HeavyUserFirst(t *testing.T) {
	controller := NewController(full)
	now := time.Unix(100, 0)
	for i := range 100 {
		name := "heavy"
		if i%10 == 0 {
			name = "light"
		}
		if _, err := controller.Admit(name, Limits{}, 1, now); err != nil {
			t.Fatal(err)
		}
	}
	limit, predicted := 2*time.Second, 1500*time.Millisecond
	if err := controller.Overloaded("heavy", predicted, limit, now); err == nil {
		t.Error("the heavy user is let in")
	}
	if err := controller.Overloaded("light", predicted, limit, now); err != nil {
		t.Errorf("the light user is refused: %v", err)
	}
}

// cluster connects the shares of many nodes in virtual time.
type cluster struct {
	now    time.Time
	nodes  []Node
	shares map[string]*Shares
}

func newCluster(size int) *cluster {
	c := &cluster{now: time.Unix(100, 0), shares: map[string]*Shares{}}
	for i := range size {
		c.nodes = append(c.nodes, Node{ID: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("n%d", i)})
	}
	for _, node := range c.nodes {
		c.shares[node.ID] = &Shares{
			self: node.ID, nodes: func() []Node { return c.nodes }, now: func() time.Time { return c.now },
			grants: map[uint64]grant{}, reports: map[uint64]map[string]grant{},
			send: func(address string, message any) error {
				c.shares[address].handle(message.(shareMessage))
				return nil
			},
		}
	}
	return c
}

func (c *cluster) report(demand map[string]map[string]float64) {
	for range 4 {
		c.now = c.now.Add(ShareInterval)
		for node, tenants := range demand {
			c.shares[node].Report(tenants)
		}
	}
}

func (c *cluster) total(tenant string) float64 {
	total := 0.0
	for _, shares := range c.shares {
		total += shares.Of(tenant)
	}
	return total
}

// The parts follow the demand and never add up to more than the whole.
func TestShares_FollowDemand(t *testing.T) {
	c := newCluster(8)
	c.report(map[string]map[string]float64{"n0": {"a": 30}, "n1": {"a": 10}})
	if total := c.total("a"); total > 1.0001 {
		t.Fatalf("parts add up to %.3f", total)
	}
	busy, quiet := c.shares["n0"].Of("a"), c.shares["n1"].Of("a")
	if busy < 0.65 || quiet < 0.2 || quiet > 0.3 {
		t.Fatalf("parts %.3f and %.3f for a demand of 30 and 10", busy, quiet)
	}
	c.report(map[string]map[string]float64{"n5": {"a": 40}})
	c.now = c.now.Add(grantLife)
	c.report(map[string]map[string]float64{"n5": {"a": 40}})
	if moved := c.shares["n5"].Of("a"); moved < 0.85 {
		t.Fatalf("the node that now has all demand has %.3f", moved)
	}
	if total := c.total("a"); total > 1.0001 {
		t.Fatalf("parts add up to %.3f after the move", total)
	}
}
