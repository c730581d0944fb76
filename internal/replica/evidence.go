package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

// Nodes report to each other the replicas that fail for them. In a large fleet a given node rarely
// uses a given replica, so each would learn slowly by itself. A replica that fails for several nodes
// is ejected by all of them for a while. Then two nodes probe it, and the others follow unless these
// report failures. Nodes are counted, not only failures, so that a node that is cut off or faulty
// cannot eject a replica by itself; and a node for which many replicas fail reports no failures.

const (
	// minReporters is the number of nodes for which a replica must fail to be ejected, and
	// minReportedFailures the number of failures, after decay.
	minReporters        = 2
	minReportedFailures = 2.0
	// minFailureShare is the minimum share of failures among the reported answers. Replicas that
	// fail one request in fifty stay far below it.
	minFailureShare = 0.5
	// sharedEjectionFirst is the length of the first ejection. It doubles with each further
	// ejection within ejectionMemory, up to sharedEjectionMax.
	sharedEjectionFirst = 2 * time.Second
	sharedEjectionMax   = 8 * time.Second
	// probation is how long only proberCount nodes send to a replica after an ejection. It leaves
	// time for a few of their requests and for a report to reach all nodes.
	probation   = 1500 * time.Millisecond
	proberCount = 2
	// reejectWindow is the time after probation within which one failure ejects a replica again.
	reejectWindow = 3 * time.Second
	// ejectionMemory is the time after an ejection beyond which the next one counts as the first.
	ejectionMemory = 30 * time.Second
	// maxFailingShare is the share of recently used replicas beyond which a node that sees them
	// fail is more likely faulty itself, if they are more than minFailingReplicas.
	maxFailingShare    = 1.0 / 3
	minFailingReplicas = 2
	// sharedEjectionShare bounds the part of a pool that is ejected on evidence of several nodes.
	sharedEjectionShare = 0.5
	// minReportedSuccesses is the minimum count of complete answers worth reporting.
	minReportedSuccesses = 0.3
	// maxFailureReports bounds the reports of one message, each of some 25 bytes.
	maxFailureReports = 32
	// maxCount bounds the counts accepted from another process.
	maxCount = 1e6
	// failingCost is the penalty, for a request that cannot be sent again, of a replica all of
	// whose recent answers failed: most of an objective of 300 ms.
	failingCost = 200 * time.Millisecond
)

// FailureReport is a node's report on a replica that failed for it, or on one that failed for other
// nodes but not for it.
type FailureReport struct {
	// Replica is the replica's Key, StartedUnixMs the start that the report is about; 0 if
	// unknown to the node.
	Replica       uint64
	StartedUnixMs int64
	// Failures and Successes count the node's answers from it, after decay.
	Failures, Successes float64
	// Age is the time since the last failure, if there was any.
	Age time.Duration
}

// Reporter is a node that sends failure reports.
type Reporter struct{ Node, Zone string }

// SharedEjection describes an ejection on the evidence of several nodes.
type SharedEjection struct {
	Replica Info
	// Nodes is the number of nodes that it failed for; Failures and Successes count their
	// answers, after decay.
	Nodes               int
	Failures, Successes float64
	// For is the length of the ejection, Prober whether this node is to probe the replica then.
	For    time.Duration
	Prober bool
}

// reportedTally is the tally of a replica that another node reported.
type reportedTally struct {
	Tally
	zone string
}

// sharedEjection is the state of a replica's ejections on the evidence of several nodes. The zero
// value is a replica that was never ejected.
type sharedEjection struct {
	since, until time.Time
	count        int
	prober       bool
}

// active reports whether the replica is ejected now.
func (x *sharedEjection) active(now time.Time) bool {
	until := x.until
	if !x.prober {
		until = until.Add(probation)
	}
	return now.Before(until)
}

// onProbation reports whether one failure now ejects the replica again.
func (x *sharedEjection) onProbation(now time.Time) bool {
	return x.count > 0 && now.Before(x.until.Add(probation+reejectWindow))
}

// ejected reports whether the replica is ejected now, on this node's evidence or that of several nodes.
func (e *entry) ejected(now time.Time) bool { return e.health.ejected(now) || e.shared.active(now) }

// FailureReports returns this node's reports on replicas that recently failed for it, and on replicas
// that other nodes report and that answered this node successfully. It reports no failures if so many
// replicas fail that the fault is likely on this node.
func (s *Set) FailureReports(now time.Time) []FailureReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports, successes []FailureReport
	s.updateIndex()
	used := 0
	for e := range s.index.allActive() {
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

// AddFailureReports records the reports of another node.
func (s *Set) AddFailureReports(reporter Reporter, reports []FailureReport, now time.Time) {
	for _, ejection := range s.addFailureReports(reporter, reports, now) {
		s.notifySharedEjection(&ejection)
	}
}

// notifySharedEjection calls OnSharedEjection unless ejection is nil. The caller does not hold mu.
func (s *Set) notifySharedEjection(ejection *SharedEjection) {
	if ejection != nil && s.OnSharedEjection != nil {
		s.OnSharedEjection(*ejection)
	}
}

func (s *Set) addFailureReports(reporter Reporter, reports []FailureReport, now time.Time) []SharedEjection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateIndex()
	var ejections []SharedEjection
	for _, report := range reports[:min(len(reports), maxFailureReports)] {
		e := s.index.byKey[report.Replica]
		if e == nil || !report.valid() || !report.matches(e, now) {
			continue
		}
		if e.own().reports == nil {
			e.reports = map[string]reportedTally{}
		}
		e.reports[reporter.Node] = reportedTally{zone: reporter.Zone, Tally: report.tally(now)}
		if ejection := s.evaluate(e, now); ejection != nil {
			ejections = append(ejections, *ejection)
		}
	}
	return ejections
}

// tally returns the reported counts.
func (r *FailureReport) tally(now time.Time) Tally {
	tally := Tally{Failures: r.Failures, Successes: r.Successes, at: now}
	if r.Failures > 0 {
		tally.LastFailure = now.Add(-r.Age)
	}
	return tally
}

// valid reports whether a report of another process has plausible values.
func (r *FailureReport) valid() bool {
	return r.Failures >= 0 && r.Failures < maxCount && r.Successes >= 0 && r.Successes < maxCount && r.Age >= 0
}

// matches reports whether a report is about the start of the replica that an entry describes. If a
// start time is unknown, it is unless the newest failure precedes the time when the restart was
// noticed.
func (r *FailureReport) matches(e *entry, now time.Time) bool {
	if r.StartedUnixMs != 0 && e.info.StartedUnixMs != 0 {
		return r.StartedUnixMs == e.info.StartedUnixMs
	}
	return !now.Add(-r.Age).Before(e.restartedAt)
}

// evidenceSum adds up what several nodes observed of a replica.
type evidenceSum struct {
	Failures, Successes float64
	// reporters is the number of nodes for which it failed.
	reporters int
}

func (s *evidenceSum) add(tally Tally, failing bool) {
	s.Successes += tally.Successes
	if failing {
		s.Failures += tally.Failures
		s.reporters++
	}
}

// mostlyFails reports whether at least minFailureShare of the answers were failures.
func (s *evidenceSum) mostlyFails() bool {
	return s.reporters > 0 && s.Failures >= minFailureShare*(s.Failures+s.Successes)
}

// failsForSeveral reports whether the replica mostly failed, and did so for several nodes.
func (s *evidenceSum) failsForSeveral() bool {
	return s.reporters >= minReporters && s.Failures >= minReportedFailures && s.mostlyFails()
}

// evidence is what nodes observed of a replica: all nodes, and those of this node's zone, since a
// replica may fail for the callers of one zone only.
type evidence struct {
	all, sameZone evidenceSum
	// zones are the zones of the nodes for which it failed.
	zones map[string]bool
}

func (e *evidence) add(tally Tally, failing bool, zone, ownZone string) {
	e.all.add(tally, failing)
	if zone == ownZone {
		e.sameZone.add(tally, failing)
	}
	if failing {
		e.zones[zone] = true
	}
}

// evidenceAbout sums up the evidence of this node and of others that is newer than the last ejection.
// The caller holds mu.
func (s *Set) evidenceAbout(e *entry, now time.Time) evidence {
	seen := evidence{zones: map[string]bool{}}
	e.own().ownTally.advance(now)
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

// evaluate ejects a replica that fails for several nodes, of this node's zone or of several zones. It
// returns nil if there is no new ejection. The caller holds mu.
func (s *Set) evaluate(e *entry, now time.Time) *SharedEjection {
	if now.Before(e.shared.until) {
		return nil
	}
	seen := s.evidenceAbout(e, now)
	if !seen.warrantsEjection(e.shared.onProbation(now)) || !s.mayEject(e.info.Pool, now) {
		return nil
	}
	if now.Sub(e.shared.until) > ejectionMemory {
		e.own().shared.count = 0
	}
	length := min(sharedEjectionFirst<<min(e.shared.count, 8), sharedEjectionMax)
	e.own().shared = sharedEjection{since: now, until: now.Add(length), count: e.shared.count + 1}
	e.shared.prober = s.isProber(e)
	return &SharedEjection{
		Replica: e.info, Nodes: seen.all.reporters, Failures: seen.all.Failures, Successes: seen.all.Successes,
		For: length, Prober: e.shared.prober,
	}
}

// warrantsEjection reports whether the evidence suffices to eject the replica. On probation, a failure
// for one node suffices if at least minFailureShare of the answers failed.
func (e *evidence) warrantsEjection(onProbation bool) bool {
	if onProbation && (e.sameZone.mostlyFails() || e.all.mostlyFails()) {
		return true
	}
	return e.sameZone.failsForSeveral() || len(e.zones) > 1 && e.all.failsForSeveral()
}

// mayEject reports whether one more replica of a pool may be ejected. The caller holds mu.
func (s *Set) mayEject(pool string, now time.Time) bool {
	list := s.pool(pool)
	ejected := 1
	for _, e := range list {
		if e.shared.active(now) {
			ejected++
		}
	}
	return float64(ejected) <= sharedEjectionShare*float64(len(list))
}

// isProber reports whether this node is one of those that probe a replica after its ejection. The
// probers differ each time, so that a faulty one cannot keep the replica ejected. The caller holds mu.
func (s *Set) isProber(e *entry) bool {
	if len(s.nodes) <= proberCount {
		return true
	}
	ejectionHash := division.Mix(e.key + uint64(e.shared.count))
	ownWeight := division.Mix(Key(s.self) ^ ejectionHash)
	before := 0
	for _, node := range s.nodes {
		if division.Mix(Key(node.ID)^ejectionHash) > ownWeight {
			before++
		}
	}
	return before < proberCount
}

// failureShare returns the share of failures among the answers that this node and others reported
// since the last ejection. The caller holds mu.
func (s *Set) failureShare(e *entry, now time.Time) float64 {
	if len(e.reports) == 0 && !e.ownTally.failedSince(e.shared.since, now) {
		return 0
	}
	seen := s.evidenceAbout(e, now)
	// One complete answer is assumed, so that a single failure does not count as 100%.
	return seen.all.Failures / (seen.all.Failures + seen.all.Successes + 1)
}
