package steward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/internal/membership"
)

// ownership tells which node is the steward of a replica. It is worked out
// once for each state of the member and machine lists: done anew each time, it
// would cost a fleet of 320 nodes and 600 replicas 192,000 hashes a look.
type ownership struct {
	// list is the member list last taken in; lists are never changed in place.
	list     []membership.Member
	members  []candidate
	replicas uint64
	memo     map[string]string
	byID     map[string]string
}

// candidate is a member that may be a steward.
type candidate struct {
	id   string
	zone string
	hash uint64
}

func newOwnership() *ownership {
	return &ownership{memo: map[string]string{}, byID: map[string]string{}}
}

// current reports whether the lists are those taken in last.
func (o *ownership) current(members []membership.Member, replicas uint64) bool {
	same := len(members) > 0 && len(o.list) == len(members) && &o.list[0] == &members[0]
	return same && replicas == o.replicas
}

// reset takes in the lists; it reports whether they have changed.
func (o *ownership) reset(members []membership.Member, replicas uint64) bool {
	o.list = members
	var next []candidate
	for _, member := range members {
		if member.Status == membership.Alive || member.Status == membership.Suspect {
			next = append(next, candidate{id: member.ID, zone: member.Zone, hash: xxhash.Sum64String(member.ID)})
		}
	}
	if replicas == o.replicas && sameCandidates(o.members, next) {
		return false
	}
	o.members, o.replicas = next, replicas
	clear(o.memo)
	clear(o.byID)
	for _, member := range members {
		o.byID[member.ID] = member.Address
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

// of returns the id of a replica's steward: the member of its zone with the
// highest rendezvous weight, or of all members if its zone has none.
func (o *ownership) of(replica, zone string) string {
	if owner, ok := o.memo[replica]; ok {
		return owner
	}
	owner := o.best(replica, zone)
	if owner == "" {
		owner = o.best(replica, "")
	}
	o.memo[replica] = owner
	return owner
}

func (o *ownership) best(replica, zone string) string {
	key := xxhash.Sum64String(replica)
	owner := ""
	var highest uint64
	for _, member := range o.members {
		if zone != "" && member.zone != zone {
			continue
		}
		weight := mix(member.hash ^ key)
		if owner == "" || weight > highest {
			owner, highest = member.id, weight
		}
	}
	return owner
}

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
