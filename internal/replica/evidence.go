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
	// accusedShare is the share of failures among the answers that nodes tell of. Replicas
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
	// defendsLeast is the least count of whole answers that is worth telling.
	defendsLeast = 0.3
	// maxBlames bounds the replicas of one message, each of some 25 bytes.
	maxBlames = 32
	// doubtCost is what a replica whose answers all fail of late counts as slower to a
	// request that cannot be sent twice: most of an objective of 300 ms.
	doubtCost = 200 * time.Millisecond
)

// Blame is what a node tells of a replica that failed for it, or of one that failed for
// others and not for it.
type Blame struct {
	// Replica is the replica's Key.
	Replica uint64
	// Failures and Successes count the node's answers from it, fading.
	Failures, Successes float64
	// Age is the time since the last failure, if there are any.
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

// Blames returns what this node has to tell of replicas that failed for it of late, and
// of those that others blame and that answered it well. It tells of no failures if the
// replicas are so many that the fault is likely its own.
func (s *Set) Blames(now time.Time) []Blame {
	s.mu.Lock()
	defer s.mu.Unlock()
	var blames, defences []Blame
	used := 0
	for _, known := range s.entries {
		if !known.own.used(now) {
			continue
		}
		used++
		known.own.advance(now)
		told := Blame{Replica: known.key, Successes: known.own.Successes}
		switch {
		case known.own.blames(time.Time{}, now):
			told.Failures, told.Age = known.own.Failures, now.Sub(known.own.LastFailure)
			blames = append(blames, told)
		case len(known.told) > 0 && told.Successes > defendsLeast:
			defences = append(defences, told)
		}
	}
	if len(blames) > blamedLeast && float64(len(blames)) > blamedShare*float64(used) {
		blames = nil
	}
	slices.SortFunc(blames, func(a, b Blame) int { return cmp.Compare(b.Failures, a.Failures) })
	blames = append(blames, defences...)
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
		known.told[witness.Node] = testimony{zone: witness.Zone, Tally: blame.tally(now)}
		if verdict := s.judge(known, now); verdict != nil {
			verdicts = append(verdicts, *verdict)
		}
	}
	return verdicts
}

// tally returns the counts that were told.
func (b *Blame) tally(now time.Time) Tally {
	told := Tally{Failures: b.Failures, Successes: b.Successes, at: now}
	if b.Failures > 0 {
		told.LastFailure = now.Add(-b.Age)
	}
	return told
}

// sound reports whether what another process tells can be.
func (b *Blame) sound() bool {
	return b.Failures >= 0 && b.Failures < 1e6 && b.Successes >= 0 && b.Successes < 1e6 && b.Age >= 0
}

// sum adds up what several nodes have seen of a replica.
type sum struct {
	Failures, Successes float64
	// accusers counts the nodes for which it failed.
	accusers int
}

func (s *sum) add(seen Tally, accuses bool) {
	s.Successes += seen.Successes
	if accuses {
		s.Failures += seen.Failures
		s.accusers++
	}
}

// mostlyFails reports whether at least half of the answers were failures.
func (s *sum) mostlyFails() bool {
	return s.accusers > 0 && s.Failures >= accusedShare*(s.Failures+s.Successes)
}

// condemns reports whether the replica failed for several nodes, and mostly.
func (s *sum) condemns() bool {
	return s.accusers >= accusers && s.Failures >= accusedFailures && s.mostlyFails()
}

// charge is what nodes have seen of a replica: all of them, and those of this node's
// zone, for a replica may fail for the callers of one zone alone.
type charge struct {
	all, near sum
	// zones are those of the nodes for which it failed.
	zones map[string]bool
}

func (c *charge) add(seen Tally, accuses bool, zone, own string) {
	c.all.add(seen, accuses)
	if zone == own {
		c.near.add(seen, accuses)
	}
	if accuses {
		c.zones[zone] = true
	}
}

// charges sums up the evidence of this node and of others that is newer than the last
// exclusion. The caller holds mu.
func (s *Set) charges(known *entry, now time.Time) charge {
	seen := charge{zones: map[string]bool{}}
	known.own.advance(now)
	seen.add(known.own, known.own.blames(known.shared.since, now), s.Zone, s.Zone)
	for node, told := range known.told {
		accuses := told.blames(known.shared.since, now)
		told.advance(now)
		if !accuses && told.Successes <= defendsLeast {
			delete(known.told, node)
			continue
		}
		known.told[node] = told
		seen.add(told.Tally, accuses, told.zone, s.Zone)
	}
	return seen
}

// judge leaves a replica out if it fails for several nodes: of this node's zone, or of
// several zones. The caller holds mu.
func (s *Set) judge(known *entry, now time.Time) *Verdict {
	if now.Before(known.shared.until) {
		return nil
	}
	seen := s.charges(known, now)
	if !seen.guilty(known.shared.relapses(now)) || !s.mayExclude(known.info.Pool, now) {
		return nil
	}
	if now.Sub(known.shared.until) > pardon {
		known.shared.count = 0
	}
	length := min(exclusionFirst<<min(known.shared.count, 8), exclusionMax)
	known.shared = sharedExclusion{since: now, until: now.Add(length), count: known.shared.count + 1}
	known.shared.prober = s.probes(known)
	return &Verdict{
		Replica: known.info, Nodes: seen.all.accusers, Failures: seen.all.Failures, Successes: seen.all.Successes,
		For: length, Prober: known.shared.prober,
	}
}

// guilty reports whether the evidence is enough to leave the replica out, at once if it
// was left out a moment ago.
func (c *charge) guilty(relapsed bool) bool {
	if relapsed && (c.near.mostlyFails() || c.all.mostlyFails()) {
		return true
	}
	return c.near.condemns() || len(c.zones) > 1 && c.all.condemns()
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
		if mix(Key(node.ID)^turn) > own {
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
	seen := s.charges(known, now)
	// One whole answer is presumed, so that a single failure does not weigh as all.
	return seen.all.Failures / (seen.all.Failures + seen.all.Successes + 1)
}
