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
	// minReporters is the number of nodes that a replica has to fail for, and reportedFailures
	// how many of their answers, faded, have to be failures.
	minReporters        = 2
	minReportedFailures = 2.0
	// minFailureShare is the share of failures among the answers that nodes tell of. Replicas
	// that spoil one answer in fifty stay far below it.
	minFailureShare = 0.5
	// sharedEjectionFirst is how long a replica is left out first; it doubles each time that
	// it fails again soon, up to sharedEjectionMax.
	sharedEjectionFirst = 2 * time.Second
	sharedEjectionMax   = 8 * time.Second
	// probation is how long only probers nodes send to a replica after that: a few of
	// their requests, and the way of a word to all.
	probation   = 1500 * time.Millisecond
	proberCount = 2
	// reejectWindow is the time after an ejection within which one failure brings the next.
	reejectWindow = 3 * time.Second
	// ejectionMemory is the time after an ejection from which on the next one is a first one.
	ejectionMemory = 30 * time.Second
	// maxFailingShare is the share of the replicas used of late beyond which a node that
	// reports them is more likely wrong itself, if they are more than failingLeast.
	maxFailingShare    = 1.0 / 3
	minFailingReplicas = 2
	// sharedEjectionShare bounds the part of a pool that is left out on the word of others.
	sharedEjectionShare = 0.5
	// minReportedSuccesses is the least count of whole answers that is worth telling.
	minReportedSuccesses = 0.3
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
	Replica       uint64
	StartedUnixMs int64
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

// active reports whether the replica is left out now.
func (x *sharedEjection) active(now time.Time) bool {
	until := x.until
	if !x.prober {
		until = until.Add(probation)
	}
	return now.Before(until)
}

// onProbation reports whether one failure now brings the next ejection.
func (x *sharedEjection) onProbation(now time.Time) bool {
	return x.count > 0 && now.Before(x.until.Add(probation+reejectWindow))
}

// ejected reports whether the replica is left out now, on own evidence or that of others.
func (e *entry) ejected(now time.Time) bool { return e.health.ejected(now) || e.shared.active(now) }

// FailureReports returns what this node has to tell of replicas that failed for it of late,
// and of those that others report and that answered it well. It tells of no failures if the
// replicas are so many that the fault is likely its own.
func (s *Set) FailureReports(now time.Time) []FailureReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports, successes []FailureReport
	used := 0
	for _, e := range s.entries {
		if !e.ownTally.recent(now) {
			continue
		}
		used++
		e.ownTally.advance(now)
		report := FailureReport{Replica: e.key, StartedUnixMs: e.info.StartedUnixMs, Successes: e.ownTally.Successes}
		switch {
		case e.ownTally.failedSince(time.Time{}, now):
			report.Failures, report.Age = e.ownTally.Failures, now.Sub(e.ownTally.LastFailure)
			reports = append(reports, report)
		case len(e.reports) > 0 && report.Successes > minReportedSuccesses:
			successes = append(successes, report)
		}
	}
	if len(reports) > minFailingReplicas && float64(len(reports)) > maxFailingShare*float64(used) {
		reports = nil
	}
	slices.SortFunc(reports, func(a, b FailureReport) int { return cmp.Compare(b.Failures, a.Failures) })
	reports = append(reports, successes...)
	return reports[:min(len(reports), maxFailureReports)]
}

// AddFailureReports takes in what a node tells.
func (s *Set) AddFailureReports(reporter Reporter, reports []FailureReport, now time.Time) {
	for _, ejection := range s.addFailureReports(reporter, reports, now) {
		s.notifySharedEjection(&ejection)
	}
}

// notifySharedEjection tells that a replica is left out, outside the lock; nil is none.
func (s *Set) notifySharedEjection(ejection *SharedEjection) {
	if ejection != nil && s.OnSharedEjection != nil {
		s.OnSharedEjection(*ejection)
	}
}

func (s *Set) addFailureReports(reporter Reporter, reports []FailureReport, now time.Time) []SharedEjection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.indexStale {
		s.rebuild()
	}
	var ejections []SharedEjection
	for _, report := range reports[:min(len(reports), maxFailureReports)] {
		e := s.byKey[report.Replica]
		if e == nil || !report.valid() || !report.matches(e, now) {
			continue
		}
		if e.reports == nil {
			e.reports = map[string]reportedTally{}
		}
		e.reports[reporter.Node] = reportedTally{zone: reporter.Zone, Tally: report.tally(now)}
		if ejection := s.evaluate(e, now); ejection != nil {
			ejections = append(ejections, *ejection)
		}
	}
	return ejections
}

// tally returns the counts that were told.
func (r *FailureReport) tally(now time.Time) Tally {
	tally := Tally{Failures: r.Failures, Successes: r.Successes, at: now}
	if r.Failures > 0 {
		tally.LastFailure = now.Add(-r.Age)
	}
	return tally
}

// valid reports whether what another process tells can be.
func (r *FailureReport) valid() bool {
	return r.Failures >= 0 && r.Failures < maxCount && r.Successes >= 0 && r.Successes < maxCount && r.Age >= 0
}

// matches reports whether a report is matches the start of a replica that an entry is for. One
// that does not say is taken as such unless its newest failure was seen before the start was
// noticed.
func (r *FailureReport) matches(e *entry, now time.Time) bool {
	if r.StartedUnixMs != 0 && e.info.StartedUnixMs != 0 {
		return r.StartedUnixMs == e.info.StartedUnixMs
	}
	return !now.Add(-r.Age).Before(e.restartedAt)
}

// evidenceSum adds up what several nodes have seen of a replica.
type evidenceSum struct {
	Failures, Successes float64
	// reporters counts the nodes for which it failed.
	reporters int
}

func (s *evidenceSum) add(seen Tally, failing bool) {
	s.Successes += seen.Successes
	if failing {
		s.Failures += seen.Failures
		s.reporters++
	}
}

// mostlyFails reports whether at least half of the answers were failures.
func (s *evidenceSum) mostlyFails() bool {
	return s.reporters > 0 && s.Failures >= minFailureShare*(s.Failures+s.Successes)
}

// failsForSeveral reports whether the replica failed for several nodes, and mostly.
func (s *evidenceSum) failsForSeveral() bool {
	return s.reporters >= minReporters && s.Failures >= minReportedFailures && s.mostlyFails()
}

// evidence is what nodes have seen of a replica: all of them, and those of this node's
// zone, for a replica may fail for the callers of one zone alone.
type evidence struct {
	all, sameZone evidenceSum
	// zones are those of the nodes for which it failed.
	zones map[string]bool
}

func (e *evidence) add(seen Tally, failing bool, zone, ownZone string) {
	e.all.add(seen, failing)
	if zone == ownZone {
		e.sameZone.add(seen, failing)
	}
	if failing {
		e.zones[zone] = true
	}
}

// evidenceAbout sums up the evidence of this node and of others that is newer than the last
// ejection. The caller holds mu.
func (s *Set) evidenceAbout(e *entry, now time.Time) evidence {
	seen := evidence{zones: map[string]bool{}}
	e.ownTally.advance(now)
	seen.add(e.ownTally, e.ownTally.failedSince(e.shared.since, now), s.Zone, s.Zone)
	for node, tally := range e.reports {
		failing := tally.failedSince(e.shared.since, now)
		tally.advance(now)
		if !failing && tally.Successes <= minReportedSuccesses {
			delete(e.reports, node)
			continue
		}
		e.reports[node] = tally
		seen.add(tally.Tally, failing, tally.zone, s.Zone)
	}
	return seen
}

// evaluate leaves a replica out if it fails for several nodes: of this node's zone, or of
// several zones. The caller holds mu.
func (s *Set) evaluate(e *entry, now time.Time) *SharedEjection {
	if now.Before(e.shared.until) {
		return nil
	}
	seen := s.evidenceAbout(e, now)
	if !seen.warrantsEjection(e.shared.onProbation(now)) || !s.mayEject(e.info.Pool, now) {
		return nil
	}
	if now.Sub(e.shared.until) > ejectionMemory {
		e.shared.count = 0
	}
	length := min(sharedEjectionFirst<<min(e.shared.count, 8), sharedEjectionMax)
	e.shared = sharedEjection{since: now, until: now.Add(length), count: e.shared.count + 1}
	e.shared.prober = s.isProber(e)
	return &SharedEjection{
		Replica: e.info, Nodes: seen.all.reporters, Failures: seen.all.Failures, Successes: seen.all.Successes,
		For: length, Prober: e.shared.prober,
	}
}

// warrantsEjection reports whether the evidence is enough to leave the replica out: one
// failure is, while it is being tried after an ejection.
func (e *evidence) warrantsEjection(probed bool) bool {
	if probed && (e.sameZone.mostlyFails() || e.all.mostlyFails()) {
		return true
	}
	return e.sameZone.failsForSeveral() || len(e.zones) > 1 && e.all.failsForSeveral()
}

// mayEject reports whether a pool bears to lose one more replica. The caller holds mu.
func (s *Set) mayEject(pool string, now time.Time) bool {
	list := s.pool(pool)
	excluded := 1
	for _, e := range list {
		if e.shared.active(now) {
			excluded++
		}
	}
	return float64(excluded) <= sharedEjectionShare*float64(len(list))
}

// isProber reports whether this node is one of those that try a replica first after its
// ejection. They are others each time, so that one that is wrong cannot keep it out.
func (s *Set) isProber(e *entry) bool {
	if len(s.nodes) <= proberCount {
		return true
	}
	turn := mix(e.key + uint64(e.shared.count))
	own := mix(Key(s.self) ^ turn)
	before := 0
	for _, node := range s.nodes {
		if mix(Key(node.ID)^turn) > own {
			before++
		}
	}
	return before < proberCount
}

// failureShare is the share of failures among the answers that nodes have told of, this one
// included, since the last ejection. The caller holds mu.
func (s *Set) failureShare(e *entry, now time.Time) float64 {
	if len(e.reports) == 0 && !e.ownTally.failedSince(e.shared.since, now) {
		return 0
	}
	seen := s.evidenceAbout(e, now)
	// One whole answer is presumed, so that a single failure does not weigh as all.
	return seen.all.Failures / (seen.all.Failures + seen.all.Successes + 1)
}
