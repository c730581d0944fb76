package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// followersPerRelay is the number of nodes of a zone per relay.
	followersPerRelay = 32
	// alternatives is the number of relays that a follower may ask, one after the other.
	alternatives = 2
)

// Candidate is a node that may be a relay.
type Candidate struct {
	Node, Address string
	// Cores and LinkMbps are the resources of its machine; 0 means unknown.
	Cores, LinkMbps float64
}

// Relays returns the relays of a zone, given all of its nodes: those with the most cores, then those with
// the fastest links, then by hash. Nodes that know the same nodes choose the same relays.
func Relays(zone []Candidate) []Candidate {
	ranked := slices.SortedFunc(slices.Values(zone), func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hash(a.Node), hash(b.Node)))
	})
	return ranked[:(len(zone)+followersPerRelay-1)/followersPerRelay]
}

// Choose returns the role of a node, given the relays of its zone.
func Choose(self string, relays []Candidate) Role {
	if slices.ContainsFunc(relays, func(c Candidate) bool { return c.Node == self }) {
		return Role{Relay: true}
	}
	var role Role
	for i := range min(alternatives, len(relays)) {
		if relay := relays[(hash(self)+uint64(i))%uint64(len(relays))]; relay.Address != "" {
			role.Follows = append(role.Follows, relay.Address)
		}
	}
	return role
}

// Followers returns the nodes of a zone that follow a node before other relays; none if it is no relay.
func Followers(self string, zone, relays []Candidate) []string {
	index := slices.IndexFunc(relays, func(c Candidate) bool { return c.Node == self })
	if index < 0 {
		return nil
	}
	var followers []string
	for _, c := range zone {
		isRelay := slices.ContainsFunc(relays, func(relay Candidate) bool { return relay.Node == c.Node })
		if !isRelay && hash(c.Node)%uint64(len(relays)) == uint64(index) {
			followers = append(followers, c.Node)
		}
	}
	return followers
}

func hash(node string) uint64 { return xxhash.Sum64String(node) }
