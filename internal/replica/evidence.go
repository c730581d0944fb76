package replica

import (
	"cmp"
	"slices"
	"time"
)

// Nodes tell each other of the replicas that fail for them, for a pair of a node and a
// replica meets seldom in a large fleet, and each node would learn alone what all could
// know. A replica that fails for several nodes is left out by all of them for a while;
// then two nodes try it, and the others follow if these say nothing more. Nodes are
// counted, not only failures, so that one that is itself cut off or wrong condemns
// nobody; and one that blames many replicas is not believed.

const (
	// accusers is the number of nodes that a replica has to fail for, and accusedFailures
	// how many of their answers, faded, have to be failures.
	accusers        = 2
	accusedFailures = 2.0
	// accusedShare is the share of failures among the answers of those nodes. Replicas
	// that spoil one answer in fifty stay far below it.
	accusedShare = 0.5
	// exclusionFirst is how long a replica is left out first; it doubles each time that
	// it fails again soon, up to exclusionMax.
	exclusionFirst = 2 * time.Second
	exclusionMax   = 8 * time.Second
	// probation is how long only probers nodes send to a replica after that: a few of
	// their requests, and the way of a word to all.
	probation = 1500 * time.Millisecond
	probers   = 2
	// relapse is the time after an exclusion within which one failure brings the next.
	relapse = 3 * time.Second
	// pardon is the time after an exclusion from which on the next one is a first one.
	pardon = 30 * time.Second
	// blamedShare is the share of the replicas used of late beyond which a node that
	// blames them is more likely wrong itself, if they are more than blamedLeast.
	blamedShare = 1.0 / 3
	blamedLeast = 2
	// excludedShare bounds the part of a pool that is left out on the word of others.
	excludedShare = 0.5
	// maxBlames bounds the replicas of one message, each of some 25 bytes.
	maxBlames = 32
	// doubtCost is what a replica whose answers all fail of late counts as slower to a
	// request that cannot be sent twice: most of an objective of 300 ms.
	doubtCost = 200 * time.Millisecond
)

// Blame is what a node tells of a replica that failed for it.
type Blame struct {
	// Replica is the replica's Key.
	Replica uint64
	// Failures and Successes count the node's answers from it, fading.
	Failures, Successes float64
	// Age is the time since the last failure.
	Age time.Duration
}

// Witness is a node that tells what it has seen.
type Witness struct{ Node, Zone string }

// Verdict tells why a replica is left out on the evidence of several nodes.
type Verdict struct {
	Replica Info
	// Nodes is the number of nodes that it failed for; Failures and Successes count their
	// answers, fading.
	Nodes               int
	Failures, Successes float64
	// For is how long it is left out, Prober whether this node is the one to try it then.
	For    time.Duration
	Prober bool
}

// testimony is what a node has told of a replica.
type testimony struct {
	Tally
	zone string
}

// sharedExclusion is a replica's being left out on the evidence of several nodes. The zero
// value is a replica that never was.
type sharedExclusion struct {
	since, until time.Time
	count        int
	prober       bool
}

// holds reports whether the replica is left out now.
func (x *sharedExclusion) holds(now time.Time) bool {
	until := x.until
	if !x.prober {
		until = until.Add(probation)
	}
	return now.Before(until)
}

// relapses reports whether one failure now brings the next exclusion.
func (x *sharedExclusion) relapses(now time.Time) bool {
	return x.count > 0 && now.Before(x.until.Add(probation+relapse))
}

// ejected reports whether the replica is left out now, on own evidence or that of others.
func (e *entry) ejected(now time.Time) bool { return e.health.ejected(now) || e.shared.holds(now) }

// Blames returns what this node has to tell of replicas that failed for it of late:
// nothing if these are so many that the fault is likely its own.
func (s *Set) Blames(now time.Time) []Blame {
	s.mu.Lock()
	defer s.mu.Unlock()
	var blames []Blame
	used := 0
	for _, known := range s.entries {
		if known.own.used(now) {
			used++
		}
		if !known.own.blames(time.Time{}, now) {
			continue
		}
		known.own.advance(now)
		blames = append(blames, Blame{
			Replica: known.key, Failures: known.own.Failures, Successes: known.own.Successes, Age: now.Sub(known.own.LastFailure),
		})
	}
	if len(blames) > blamedLeast && float64(len(blames)) > blamedShare*float64(used) {
		return nil
	}
	slices.SortFunc(blames, func(a, b Blame) int { return cmp.Compare(b.Failures, a.Failures) })
	return blames[:min(len(blames), maxBlames)]
}

// TakeBlames takes in what a node tells.
func (s *Set) TakeBlames(witness Witness, blames []Blame, now time.Time) {
	for _, verdict := range s.takeBlames(witness, blames, now) {
		s.condemned(&verdict)
	}
}

// condemned tells that a replica is left out, outside the lock; nil is none.
func (s *Set) condemned(verdict *Verdict) {
	if verdict != nil && s.Condemned != nil {
		s.Condemned(*verdict)
	}
}

func (s *Set) takeBlames(witness Witness, blames []Blame, now time.Time) []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		s.rebuild()
	}
	var verdicts []Verdict
	for _, blame := range blames[:min(len(blames), maxBlames)] {
		known := s.byKey[blame.Replica]
		if known == nil || !blame.sound() {
			continue
		}
		if known.told == nil {
			known.told = map[string]testimony{}
		}
		known.told[witness.Node] = testimony{zone: witness.Zone, Tally: Tally{
			Failures: blame.Failures, Successes: blame.Successes, LastFailure: now.Add(-blame.Age), at: now,
		}}
		if verdict := s.judge(known, now); verdict != nil {
			verdicts = append(verdicts, *verdict)
		}
	}
	return verdicts
}

// sound reports whether what another process tells can be.
func (b *Blame) sound() bool {
	return b.Failures >= 0 && b.Failures < 1e6 && b.Successes >= 0 && b.Successes < 1e6 && b.Age >= 0
}

// charge sums up what nodes have seen of a replica.
type charge struct {
	Tally
	nodes int
	zones map[string]bool
	// near counts the nodes of this node's zone.
	near int
}

func (c *charge) add(tally Tally, zone, own string) {
	c.Failures += tally.Failures
	c.Successes += tally.Successes
	c.nodes++
	c.zones[zone] = true
	if zone == own {
		c.near++
	}
}

// charges sums up the evidence of this node and of others that is newer than the last
// exclusion. The caller holds mu.
func (s *Set) charges(known *entry, now time.Time) charge {
	sum := charge{zones: map[string]bool{}}
	known.own.advance(now)
	if known.own.blames(known.shared.since, now) {
		sum.add(known.own, s.Zone, s.Zone)
	}
	for node, told := range known.told {
		told.advance(now)
		if !told.blames(known.shared.since, now) {
			delete(known.told, node)
			continue
		}
		known.told[node] = told
		sum.add(told.Tally, told.zone, s.Zone)
	}
	return sum
}

// judge leaves a replica out if it fails for several nodes: of this node's zone, or of
// several zones, for a replica may fail for the callers of one zone alone. The caller
// holds mu.
func (s *Set) judge(known *entry, now time.Time) *Verdict {
	if now.Before(known.shared.until) {
		return nil
	}
	sum := s.charges(known, now)
	if !s.guilty(known, &sum, now) || !s.mayExclude(known.info.Pool, now) {
		return nil
	}
	if now.Sub(known.shared.until) > pardon {
		known.shared.count = 0
	}
	length := min(exclusionFirst<<min(known.shared.count, 8), exclusionMax)
	known.shared = sharedExclusion{since: now, until: now.Add(length), count: known.shared.count + 1}
	known.shared.prober = s.probes(known)
	return &Verdict{
		Replica: known.info, Nodes: sum.nodes, Failures: sum.Failures, Successes: sum.Successes,
		For: length, Prober: known.shared.prober,
	}
}

// guilty reports whether the evidence is enough. The caller holds mu.
func (s *Set) guilty(known *entry, sum *charge, now time.Time) bool {
	if sum.nodes == 0 || sum.Failures < accusedShare*(sum.Failures+sum.Successes) {
		return false
	}
	if known.shared.relapses(now) {
		return true
	}
	concerns := sum.near >= accusers || len(sum.zones) >= accusers
	return sum.nodes >= accusers && concerns && sum.Failures >= accusedFailures
}

// mayExclude reports whether a pool bears to lose one more replica. The caller holds mu.
func (s *Set) mayExclude(pool string, now time.Time) bool {
	list := s.pool(pool)
	excluded := 1
	for _, known := range list {
		if known.shared.holds(now) {
			excluded++
		}
	}
	return float64(excluded) <= excludedShare*float64(len(list))
}

// probes reports whether this node is one of those that try a replica first after its
// exclusion. They are others each time, so that one that is wrong cannot keep it out.
func (s *Set) probes(known *entry) bool {
	if len(s.nodes) <= probers {
		return true
	}
	turn := mix(known.key + uint64(known.shared.count))
	own := mix(Key(s.self) ^ turn)
	before := 0
	for _, node := range s.nodes {
		if mix(Key(node)^turn) > own {
			before++
		}
	}
	return before < probers
}

// doubt is the share of failures among the answers that nodes have told of, this one
// included, since the last exclusion. The caller holds mu.
func (s *Set) doubt(known *entry, now time.Time) float64 {
	if len(known.told) == 0 && !known.own.blames(known.shared.since, now) {
		return 0
	}
	sum := s.charges(known, now)
	if sum.nodes == 0 {
		return 0
	}
	// One whole answer is presumed, so that a single failure does not weigh as all.
	return sum.Failures / (sum.Failures + sum.Successes + 1)
}
