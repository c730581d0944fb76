package steward

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/membership"
)

// ownership tells which node is the steward of a replica: the member of the
// replica's zone with the highest rendezvous weight that is not full yet. No
// member gets more than loadFactor times its part, since the highest node
// decides whether the budget is kept.
//
// It is worked out once for each state of the member and machine lists.
type ownership struct {
	// list is the member list last taken in; lists are never changed in place.
	list    []membership.Member
	version uint64
	members []candidate
	owners  map[string]string
	byID    map[string]string
}

// loadFactor bounds a steward's replicas, as a multiple of the zone's mean.
// Higher factors keep more replicas in place when a member comes or goes.
const loadFactor = 1.25

// candidate is a member that may be a steward.
type candidate struct {
	id   string
	zone string
	hash uint64
}

func newOwnership() *ownership {
	return &ownership{owners: map[string]string{}, byID: map[string]string{}}
}

// current reports whether the lists are those taken in last.
func (o *ownership) current(members []membership.Member, version uint64) bool {
	same := len(members) > 0 && len(o.list) == len(members) && &o.list[0] == &members[0]
	return same && version == o.version
}

// reset takes in the lists; it reports whether they have changed.
func (o *ownership) reset(members []membership.Member, replicas []machines.Machine, version uint64) bool {
	o.list = members
	var next []candidate
	for _, member := range members {
		if member.Status == membership.Alive || member.Status == membership.Suspect {
			next = append(next, candidate{id: member.ID, zone: member.Zone, hash: xxhash.Sum64String(member.ID)})
		}
	}
	if version == o.version && sameCandidates(o.members, next) {
		return false
	}
	o.members, o.version = next, version
	clear(o.byID)
	for _, member := range members {
		o.byID[member.ID] = member.Address
	}
	clear(o.owners)
	for zone, group := range byZone(replicas) {
		o.assign(group, o.inZone(zone))
	}
	return true
}

func sameCandidates(a, b []candidate) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func byZone(replicas []machines.Machine) map[string][]string {
	zones := map[string][]string{}
	for _, replica := range replicas {
		zones[replica.Zone] = append(zones[replica.Zone], replica.ID)
	}
	return zones
}

// inZone returns the candidates of a zone, or all if the zone has none.
func (o *ownership) inZone(zone string) []candidate {
	var local []candidate
	for _, member := range o.members {
		if member.zone == zone {
			local = append(local, member)
		}
	}
	if len(local) == 0 {
		return o.members
	}
	return local
}

// assign gives each replica its steward, in an order that all nodes share.
func (o *ownership) assign(replicas []string, members []candidate) {
	if len(members) == 0 {
		return
	}
	sort.Strings(replicas)
	limit := int(loadFactor*float64(len(replicas))/float64(len(members))) + 1
	load := make([]int, len(members))
	for _, replica := range replicas {
		key := xxhash.Sum64String(replica)
		best := -1
		var highest uint64
		for i, member := range members {
			weight := mix(member.hash ^ key)
			if load[i] < limit && (best < 0 || weight > highest) {
				best, highest = i, weight
			}
		}
		load[best]++
		o.owners[replica] = members[best].id
	}
}

// of returns the id of a replica's steward, empty if there is none.
func (o *ownership) of(replica string) string { return o.owners[replica] }

// address returns a member's peer address.
func (o *ownership) address(id string) string { return o.byID[id] }

// mix spreads a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
