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
// counted, not only failures, so that one that is itself cut off or wrong has no replica
// left out; and one for which many replicas fail tells nothing.

const (
	// reporters is the number of nodes that a replica has to fail for, and reportedFailures
	// how many of their answers, faded, have to be failures.
	reporters        = 2
	reportedFailures = 2.0
	// reportedShare is the share of failures among the answers that nodes tell of. Replicas
	// that spoil one answer in fifty stay far below it.
	reportedShare = 0.5
	// sharedEjectionFirst is how long a replica is left out first; it doubles each time that
	// it fails again soon, up to sharedEjectionMax.
	sharedEjectionFirst = 2 * time.Second
	sharedEjectionMax   = 8 * time.Second
	// probation is how long only probers nodes send to a replica after that: a few of
	// their requests, and the way of a word to all.
	probation = 1500 * time.Millisecond
	probers   = 2
	// ejectAgainWithin is the time after an ejection within which one failure brings the next.
	ejectAgainWithin = 3 * time.Second
	// ejectionMemory is the time after an ejection from which on the next one is a first one.
	ejectionMemory = 30 * time.Second
	// failingShare is the share of the replicas used of late beyond which a node that
	// reports them is more likely wrong itself, if they are more than failingLeast.
	failingShare = 1.0 / 3
	failingLeast = 2
	// sharedEjectionShare bounds the part of a pool that is left out on the word of others.
	sharedEjectionShare = 0.5
	// successesLeast is the least count of whole answers that is worth telling.
	successesLeast = 0.3
	// maxFailureReports bounds the replicas of one message, each of some 25 bytes.
	maxFailureReports = 32
	// maxCount bounds a count that another process may tell.
	maxCount = 1e6
	// failingCost is what a replica whose answers all fail of late counts as slower to a
	// request that cannot be sent twice: most of an objective of 300 ms.
	failingCost = 200 * time.Millisecond
)

// FailureReport is what a node tells of a replica that failed for it, or of one that failed
// for others and not for it.
type FailureReport struct {
	// Replica is the replica's Key, Born that of its start which the report is about; 0 if
	// the node does not say.
	Replica uint64
	Born    int64
	// Failures and Successes count the node's answers from it, fading.
	Failures, Successes float64
	// Age is the time since the last failure, if there are any.
	Age time.Duration
}

// Reporter is a node that tells what it has seen.
type Reporter struct{ Node, Zone string }

// SharedEjection tells why a replica is left out on the evidence of several nodes.
type SharedEjection struct {
	Replica Info
	// Nodes is the number of nodes that it failed for; Failures and Successes count their
	// answers, fading.
	Nodes               int
	Failures, Successes float64
	// For is how long it is left out, Prober whether this node is the one to try it then.
	For    time.Duration
	Prober bool
}

// reportedTally is what a node has told of a replica.
type reportedTally struct {
	Tally
	zone string
}

// sharedEjection is a replica's being left out on the evidence of several nodes. The zero
// value is a replica that never was.
type sharedEjection struct {
	since, until time.Time
	count        int
	prober       bool
}

// holds reports whether the replica is left out now.
func (x *sharedEjection) holds(now time.Time) bool {
	until := x.until
	if !x.prober {
		until = until.Add(probation)
	}
	return now.Before(until)
}

// probed reports whether one failure now brings the next ejection.
func (x *sharedEjection) probed(now time.Time) bool {
	return x.count > 0 && now.Before(x.until.Add(probation+ejectAgainWithin))
}

// ejected reports whether the replica is left out now, on own evidence or that of others.
func (e *entry) ejected(now time.Time) bool { return e.health.ejected(now) || e.shared.holds(now) }

// FailureReports returns what this node has to tell of replicas that failed for it of late,
// and of those that others report and that answered it well. It tells of no failures if the
// replicas are so many that the fault is likely its own.
func (s *Set) FailureReports(now time.Time) []FailureReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports, successes []FailureReport
	used := 0
	for _, known := range s.entries {
		if !known.own.used(now) {
			continue
		}
		used++
		known.own.advance(now)
		told := FailureReport{Replica: known.key, Born: known.info.Born, Successes: known.own.Successes}
		switch {
		case known.own.failedSince(time.Time{}, now):
			told.Failures, told.Age = known.own.Failures, now.Sub(known.own.LastFailure)
			reports = append(reports, told)
		case len(known.told) > 0 && told.Successes > successesLeast:
			successes = append(successes, told)
		}
	}
	if len(reports) > failingLeast && float64(len(reports)) > failingShare*float64(used) {
		reports = nil
	}
	slices.SortFunc(reports, func(a, b FailureReport) int { return cmp.Compare(b.Failures, a.Failures) })
	reports = append(reports, successes...)
	return reports[:min(len(reports), maxFailureReports)]
}

// TakeFailureReports takes in what a node tells.
func (s *Set) TakeFailureReports(reporter Reporter, reports []FailureReport, now time.Time) {
	for _, ejection := range s.takeFailureReports(reporter, reports, now) {
		s.ejectedByMany(&ejection)
	}
}

// ejectedByMany tells that a replica is left out, outside the lock; nil is none.
func (s *Set) ejectedByMany(ejection *SharedEjection) {
	if ejection != nil && s.EjectedByMany != nil {
		s.EjectedByMany(*ejection)
	}
}

func (s *Set) takeFailureReports(reporter Reporter, reports []FailureReport, now time.Time) []SharedEjection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		s.rebuild()
	}
	var ejections []SharedEjection
	for _, report := range reports[:min(len(reports), maxFailureReports)] {
		known := s.byKey[report.Replica]
		if known == nil || !report.sound() || !report.about(known, now) {
			continue
		}
		if known.told == nil {
			known.told = map[string]reportedTally{}
		}
		known.told[reporter.Node] = reportedTally{zone: reporter.Zone, Tally: report.tally(now)}
		if ejection := s.evaluate(known, now); ejection != nil {
			ejections = append(ejections, *ejection)
		}
	}
	return ejections
}

// tally returns the counts that were told.
func (r *FailureReport) tally(now time.Time) Tally {
	told := Tally{Failures: r.Failures, Successes: r.Successes, at: now}
	if r.Failures > 0 {
		told.LastFailure = now.Add(-r.Age)
	}
	return told
}

// sound reports whether what another process tells can be.
func (r *FailureReport) sound() bool {
	return r.Failures >= 0 && r.Failures < maxCount && r.Successes >= 0 && r.Successes < maxCount && r.Age >= 0
}

// about reports whether a report is about the start of a replica that an entry is for. One
// that does not say is taken as such unless its newest failure was seen before the start was
// noticed.
func (r *FailureReport) about(known *entry, now time.Time) bool {
	if r.Born != 0 && known.info.Born != 0 {
		return r.Born == known.info.Born
	}
	return !now.Add(-r.Age).Before(known.restartedAt)
}

// sum adds up what several nodes have seen of a replica.
type sum struct {
	Failures, Successes float64
	// reporters counts the nodes for which it failed.
	reporters int
}

func (s *sum) add(seen Tally, failed bool) {
	s.Successes += seen.Successes
	if failed {
		s.Failures += seen.Failures
		s.reporters++
	}
}

// mostlyFails reports whether at least half of the answers were failures.
func (s *sum) mostlyFails() bool {
	return s.reporters > 0 && s.Failures >= reportedShare*(s.Failures+s.Successes)
}

// failsForSeveral reports whether the replica failed for several nodes, and mostly.
func (s *sum) failsForSeveral() bool {
	return s.reporters >= reporters && s.Failures >= reportedFailures && s.mostlyFails()
}

// evidence is what nodes have seen of a replica: all of them, and those of this node's
// zone, for a replica may fail for the callers of one zone alone.
type evidence struct {
	all, near sum
	// zones are those of the nodes for which it failed.
	zones map[string]bool
}

func (e *evidence) add(seen Tally, failed bool, zone, own string) {
	e.all.add(seen, failed)
	if zone == own {
		e.near.add(seen, failed)
	}
	if failed {
		e.zones[zone] = true
	}
}

// evidenceAbout sums up the evidence of this node and of others that is newer than the last
// ejection. The caller holds mu.
func (s *Set) evidenceAbout(known *entry, now time.Time) evidence {
	seen := evidence{zones: map[string]bool{}}
	known.own.advance(now)
	seen.add(known.own, known.own.failedSince(known.shared.since, now), s.Zone, s.Zone)
	for node, told := range known.told {
		failed := told.failedSince(known.shared.since, now)
		told.advance(now)
		if !failed && told.Successes <= successesLeast {
			delete(known.told, node)
			continue
		}
		known.told[node] = told
		seen.add(told.Tally, failed, told.zone, s.Zone)
	}
	return seen
}

// evaluate leaves a replica out if it fails for several nodes: of this node's zone, or of
// several zones. The caller holds mu.
func (s *Set) evaluate(known *entry, now time.Time) *SharedEjection {
	if now.Before(known.shared.until) {
		return nil
	}
	seen := s.evidenceAbout(known, now)
	if !seen.warrantsEjection(known.shared.probed(now)) || !s.mayEject(known.info.Pool, now) {
		return nil
	}
	if now.Sub(known.shared.until) > ejectionMemory {
		known.shared.count = 0
	}
	length := min(sharedEjectionFirst<<min(known.shared.count, 8), sharedEjectionMax)
	known.shared = sharedEjection{since: now, until: now.Add(length), count: known.shared.count + 1}
	known.shared.prober = s.probes(known)
	return &SharedEjection{
		Replica: known.info, Nodes: seen.all.reporters, Failures: seen.all.Failures, Successes: seen.all.Successes,
		For: length, Prober: known.shared.prober,
	}
}

// warrantsEjection reports whether the evidence is enough to leave the replica out: one
// failure is, while it is being tried after an ejection.
func (e *evidence) warrantsEjection(probed bool) bool {
	if probed && (e.near.mostlyFails() || e.all.mostlyFails()) {
		return true
	}
	return e.near.failsForSeveral() || len(e.zones) > 1 && e.all.failsForSeveral()
}

// mayEject reports whether a pool bears to lose one more replica. The caller holds mu.
func (s *Set) mayEject(pool string, now time.Time) bool {
	list := s.pool(pool)
	excluded := 1
	for _, known := range list {
		if known.shared.holds(now) {
			excluded++
		}
	}
	return float64(excluded) <= sharedEjectionShare*float64(len(list))
}

// probes reports whether this node is one of those that try a replica first after its
// ejection. They are others each time, so that one that is wrong cannot keep it out.
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

// failureShare is the share of failures among the answers that nodes have told of, this one
// included, since the last ejection. The caller holds mu.
func (s *Set) failureShare(known *entry, now time.Time) float64 {
	if len(known.told) == 0 && !known.own.failedSince(known.shared.since, now) {
		return 0
	}
	seen := s.evidenceAbout(known, now)
	// One whole answer is presumed, so that a single failure does not weigh as all.
	return seen.all.Failures / (seen.all.Failures + seen.all.Successes + 1)
}
