package replica

import (
	"cmp"
	"iter"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

// index holds the listed entries by pool and by key. Entries that come and go are merged at the next
// use, so a change of the list does not sort all of it. The zero value is empty.
type index struct {
	pools map[string]*poolIndex
	byKey map[uint64]*entry
	// shard is the part of the fleet among which this node's slots are divided.
	shard division.Shard
	// divisionStale is set if the division must be computed again.
	divisionStale bool
	// added, removed and activated are the changes since the last merge.
	added, removed, activated []*entry
}

// poolIndex holds the entries of a pool in the order of their IDs.
type poolIndex struct {
	all []*entry
	// shard are those entries whose slots are divided among the nodes of this node's shard.
	shard []*entry
	// active are those entries that this node has slots of or used recently.
	active []*entry
}

// newIndex returns an index of entries.
func newIndex(entries map[string]*entry, shard division.Shard) index {
	x := index{shard: shard, divisionStale: true}
	for _, e := range entries {
		wasActive := e.active
		e.removing, e.active = false, false
		x.add(e)
		if wasActive {
			x.activate(e)
		}
	}
	return x
}

// setShard replaces this node's shard.
func (x *index) setShard(shard division.Shard) {
	x.merge()
	x.shard, x.divisionStale = shard, true
	for _, p := range x.pools {
		p.shard = p.shard[:0]
		for _, e := range p.all {
			if x.inShard(e) {
				p.shard = append(p.shard, e)
			} else {
				e.share = 0
			}
		}
	}
}

func (x *index) add(e *entry) {
	if e.removing {
		x.merge()
		e.removing = false
	}
	if x.byKey == nil {
		x.byKey = map[uint64]*entry{}
	}
	x.byKey[e.key] = e
	x.added = append(x.added, e)
	if e.open > 0 {
		x.activate(e)
	}
}

// activate adds a listed entry to the active ones.
func (x *index) activate(e *entry) {
	if !e.active && x.byKey[e.key] == e {
		e.active = true
		x.activated = append(x.activated, e)
	}
}

// allActive returns the active entries of all pools.
func (x *index) allActive() iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		for _, p := range x.pools {
			for _, e := range p.active {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// deactivate removes entries from the active ones of all pools.
func (x *index) deactivate(unused func(*entry) bool) {
	for _, p := range x.pools {
		p.active = slices.DeleteFunc(p.active, func(e *entry) bool {
			e.active = !unused(e)
			return !e.active
		})
	}
}

func (x *index) remove(e *entry) {
	if x.byKey[e.key] == e {
		delete(x.byKey, e.key)
	}
	e.removing = true
	x.removed = append(x.removed, e)
}

// merge applies the pending changes.
func (x *index) merge() {
	if len(x.added) == 0 && len(x.removed) == 0 && len(x.activated) == 0 {
		return
	}
	for _, e := range x.removed {
		x.divisionStale = x.divisionStale || x.inShard(e)
	}
	added, removed, activated := byPool(x.added), byPool(x.removed), byPool(x.activated)
	for name := range removed {
		x.mergePool(name, added[name])
		delete(added, name)
	}
	for name, entries := range added {
		x.mergePool(name, entries)
	}
	for name, entries := range activated {
		if p := x.pools[name]; p != nil {
			p.active = mergeSorted(p.active, entries)
		}
	}
	for _, e := range x.removed {
		e.removing, e.active, e.share = false, false, 0
	}
	x.added, x.removed, x.activated = nil, nil, nil
}

// byPool groups entries by pool, each group in the order of IDs.
func byPool(entries []*entry) map[string][]*entry {
	groups := map[string][]*entry{}
	for _, e := range entries {
		groups[e.info.Pool] = append(groups[e.info.Pool], e)
	}
	for _, group := range groups {
		slices.SortFunc(group, byID)
	}
	return groups
}

// mergePool adds sorted entries to a pool and drops those that are being removed.
func (x *index) mergePool(name string, added []*entry) {
	p := x.pools[name]
	if p == nil {
		p = &poolIndex{}
	}
	ofShard := slices.DeleteFunc(slices.Clone(added), func(e *entry) bool { return !x.inShard(e) })
	x.divisionStale = x.divisionStale || len(ofShard) > 0
	p.all, p.shard, p.active = mergeSorted(p.all, added), mergeSorted(p.shard, ofShard), mergeSorted(p.active, nil)
	if x.pools == nil {
		x.pools = map[string]*poolIndex{}
	}
	x.pools[name] = p
	if len(p.all) == 0 {
		delete(x.pools, name)
	}
}

func (x *index) inShard(e *entry) bool { return x.shard.Contains(e.slots()) }

func byID(a, b *entry) int { return cmp.Compare(a.info.ID, b.info.ID) }

// mergeSorted merges two sorted lists, without the entries that are being removed.
func mergeSorted(list, added []*entry) []*entry {
	removing := func(e *entry) bool { return e.removing }
	list, added = slices.DeleteFunc(list, removing), slices.DeleteFunc(added, removing)
	read, unread := len(list), len(added)
	list = slices.Grow(list, unread)[:read+unread]
	for write := len(list) - 1; unread > 0; write-- {
		if read > 0 && byID(list[read-1], added[unread-1]) > 0 {
			read--
			list[write] = list[read]
		} else {
			unread--
			list[write] = added[unread]
		}
	}
	return list
}
