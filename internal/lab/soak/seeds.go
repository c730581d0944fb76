package soak

import (
	"math/rand/v2"

	"github.com/wheelhoist/wheelhoist/internal/lab/port"
)

const (
	// maxNodeSeeds is the number of other nodes that the settings of a node name. Of one node in
	// staleSeedEvery, one of them is an address at which no node listens.
	maxNodeSeeds   = 3
	staleSeedEvery = 2
	// seedsStream distinguishes the random choice of seeds from that of faults.
	seedsStream = 0x5eed
)

// assignSeeds chooses for each node the others that its settings name, and writes the settings.
func (s *soak) assignSeeds() error {
	random := rand.New(rand.NewPCG(s.Seed, seedsStream))
	for number, node := range s.gateways {
		for _, other := range random.Perm(len(s.gateways)) {
			if other != number && len(node.seeds) < maxNodeSeeds {
				node.seeds = append(node.seeds, s.gateways[other].peers)
			}
		}
		if len(node.seeds) > 1 && random.IntN(staleSeedEvery) == 0 {
			stale, err := port.Free()
			if err != nil {
				return Error.Wrap(err)
			}
			node.seeds[random.IntN(len(node.seeds))] = stale
		}
		if err := node.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}
