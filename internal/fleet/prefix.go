package fleet

import "sync"

// blocksPerReplica bounds the remembered cache blocks of one replica.
const blocksPerReplica = 4096

// PrefixIndex remembers which prompt blocks replicas are believed to hold,
// from their cache events and from what this node sent there. Events are late
// and some are lost, so it is a guess: a wrong one costs time, never an answer.
type PrefixIndex struct {
	mu       sync.RWMutex
	replicas map[string]*blockSet
}

// blockSet is a set with first-in-first-out eviction.
type blockSet struct {
	member map[uint64]struct{}
	ring   []uint64
	next   int
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{replicas: map[string]*blockSet{}} }

// Cached implements routing.PrefixIndex.
func (p *PrefixIndex) Cached(replica string, blocks []uint64) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	set := p.replicas[replica]
	if set == nil {
		return 0
	}
	for i, block := range blocks {
		if _, ok := set.member[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Add remembers blocks of a replica.
func (p *PrefixIndex) Add(replica string, blocks []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.replicas[replica]
	if set == nil {
		set = &blockSet{member: map[uint64]struct{}{}}
		p.replicas[replica] = set
	}
	for _, block := range blocks {
		set.add(block)
	}
}

func (s *blockSet) add(block uint64) {
	if _, ok := s.member[block]; ok {
		return
	}
	if len(s.ring) < blocksPerReplica {
		s.ring = append(s.ring, block)
	} else {
		delete(s.member, s.ring[s.next])
		s.ring[s.next] = block
		s.next = (s.next + 1) % blocksPerReplica
	}
	s.member[block] = struct{}{}
}

// Remove forgets blocks of a replica.
func (p *PrefixIndex) Remove(replica string, blocks []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.replicas[replica]
	if set == nil {
		return
	}
	for _, block := range blocks {
		delete(set.member, block)
	}
}

// Clear forgets all blocks of a replica, after a gap in its events.
func (p *PrefixIndex) Clear(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replicas, replica)
}
