package soak

import (
	"fmt"
	"slices"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/settings"
)

// Guards against nodes that start without the addresses of others, which the users' platform gives them, or with
// their own only.
func TestAssignSeeds(t *testing.T) {
	s := newSoak(Options{Seed: 7, Nodes: 8})
	t.Cleanup(s.close)
	directory := t.TempDir()
	for i := range s.Nodes {
		node, err := newGateway(fmt.Sprintf("node-%d", i), s.zones[0].name, places(s.zones), "127.0.0.1:1", directory, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.store.close)
		s.gateways = append(s.gateways, node)
	}
	if err := s.assignSeeds(); err != nil {
		t.Fatal(err)
	}
	live, stale := 0, 0
	for _, node := range s.gateways {
		config, err := settings.Load(node.settings, nil)
		if err != nil {
			t.Fatal(err)
		}
		if seeds := config.Gateway.SeedAddresses(); len(seeds) != maxNodeSeeds {
			t.Errorf("%s has seeds %v", node.id, seeds)
		}
		for _, seed := range config.Gateway.Seeds {
			if slices.ContainsFunc(s.gateways, func(other *gateway) bool { return other.peers == seed }) {
				live++
			} else {
				stale++
			}
		}
	}
	if stale == 0 || live <= stale {
		t.Errorf("%d seeds are nodes, %d are not", live, stale)
	}
}
