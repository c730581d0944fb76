package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultCrashLimit is the number of replica crashes after which work is quarantined. With a
	// limit of two, two unrelated crashes would quarantine a request that was on the first replica
	// and was then retried on the second.
	DefaultCrashLimit = 3
	// DefaultWindow is how long a crash counts against the work that ran on the replica.
	DefaultWindow = time.Hour
	// maxWorks bounds the suspects: the work of about a thousand crashed replicas with ten slots
	// each. The crashes that were added first are evicted first.
	maxWorks = 10000
	// provenFactor multiplies the crash limit of proven work. Popular work runs on most replicas,
	// so it is present at crashes that other work causes: three within a second, or all replicas of
	// a small pool. Proven work that starts to crash replicas is found at the higher limit.
	provenFactor = 2
	// sameCrashWindow is how far apart two reports of the same crash may be if the replica does not
	// report its start time: a node that was stalled notices the crash late. A replica takes longer
	// than that to start again.
	sameCrashWindow = 2 * time.Second
	// clockSkew is how much earlier than a crash a run may appear to have been sent although it was
	// sent after the crash, since the two times come from different nodes.
	clockSkew = 15 * time.Millisecond
	// reportDelay is how much later than its actual time an event may appear to have happened when
	// another node reports it: a message takes milliseconds, a row of a slow table up to a second.
	reportDelay = time.Second
	// reportTolerance is the difference between two reports of one time that says nothing: reports carry
	// ages, which do not include their time in transit.
	reportTolerance = 200 * time.Millisecond
)

// List identifies harmful work from replica crashes. Work with CrashLimit crashes within Window is
// quarantined until fewer than CrashLimit of them are younger than Window. A crash counts against
// all work that ran on the replica, until a later run of the work succeeds. It does not count
// against proven work if other work on the replica explains it. Of crashes during concurrent runs
// of work only one counts, since they may have a common cause such as the failure of a rack, a zone
// or a link; a further crash counts if its run was sent after the previous crash. The zero value
// uses the defaults. A list of parts of prompts (NewPartList) holds them as works and judges them
// otherwise, by attributing each crash to one of them. A List is safe for concurrent use.
type List struct {
	// CrashLimit and Window are set before use; zero means the default.
	CrashLimit int
	Window     time.Duration
	// RowsPending is set before use if rows with past successes have yet to be read. Until then all
	// work counts as proven: the node has seen little itself, and if all nodes start at the same
	// time there are no peers to ask.
	RowsPending bool
	// WholeRequests is set before use if the list holds parts of prompts, to the list of the whole requests.
	// A Work of such a list identifies a part.
	WholeRequests *List

	mu sync.Mutex
	// crashes holds the crashes of each replica, by its id.
	crashes  map[string][]*crash
	suspects map[Work]*suspect
	// byArrival holds all crashes in the order in which they were added.
	byArrival []*crash
	// successes holds when work last succeeded or was released by an operator.
	successes recentTimes
	// trials holds the latest trials that this node granted.
	trials map[Work]grantedTrial
	// claims holds the replicas that trials have claimed, by their ids, as far as this node granted
	// the claims or was told of them. claimCount is len(claims), so that ClaimedReplicas needs no lock
	// if there are none.
	claims     map[string]ReplicaClaim
	claimCount atomic.Int64
	// suspectCount is len(suspects), so that Empty needs no lock.
	suspectCount atomic.Int64
	// culprits are the parts to which crashes are attributed, unless attributionStale is set; culpritCount
	// is len(culprits), so that AnyQuarantined needs no lock.
	culprits         []*culprit
	attributionStale bool
	culpritCount     atomic.Int64
}

// crash is one crash of a replica.
type crash struct {
	replica string
	// startedUnixMs is that of the start that crashed; 0 until a report contains it.
	startedUnixMs int64
	// at is when a node first noticed the crash.
	at time.Time
	// works holds the work that ran on the replica, with its newest run there.
	works map[Work]crashedRun
	// explainedByPart is set in a list of whole requests if the crash is attributed to a part of prompts.
	// It then counts against no whole request.
	explainedByPart bool
}

// crashedRun is the newest run of a work on a replica that crashed.
type crashedRun struct {
	sentAt time.Time
	// trial is set if any run of the work there was a trial.
	trial bool
}

// suspect is work that ran on replicas that crashed.
type suspect struct {
	crashes     map[*crash]struct{}
	quarantined bool
	// queriedAt is when peers were last queried about it.
	queriedAt time.Time
	// changed, if not nil, is closed when crashes are added or cleared.
	changed chan struct{}
}

// notify wakes the requests that wait for a change.
func (s *suspect) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// holdsParts reports whether the works of the list are parts of prompts.
func (l *List) holdsParts() bool { return l.WholeRequests != nil }

// Limit returns the number of crashes after which work is quarantined, before provenFactor.
func (l *List) Limit() int {
	if l.CrashLimit > 0 {
		return l.CrashLimit
	}
	return DefaultCrashLimit
}

// window returns how long a crash counts.
func (l *List) window() time.Duration {
	if l.Window > 0 {
		return l.Window
	}
	return DefaultWindow
}

// Empty reports whether no work is suspect.
func (l *List) Empty() bool { return l.suspectCount.Load() == 0 }

// Add records the Runs of a report and returns the verdicts on newly quarantined work. Duplicate reports have
// no effect.
func (l *List) Add(report CrashReport, now time.Time) []Verdict {
	verdicts, _ := l.add(report, now)
	return verdicts
}

// add is like Add, and reports whether the report had anything new. Otherwise nothing is evaluated.
func (l *List) add(report CrashReport, now time.Time) (verdicts []Verdict, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	if now.Sub(report.At) >= l.window() || len(report.Runs) == 0 || !l.record(report) {
		return nil, false
	}
	for work := range report.works() {
		if verdict := l.check(work, now); verdict.NewlyQuarantined {
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts, true
}

// record adds the runs of a report to its crash and to the suspects. It reports whether that changed
// anything. The caller holds mu.
func (l *List) record(report CrashReport) bool {
	l.releaseCrashed(report.Replica, report.At)
	c, changed := l.crashFor(report)
	for _, run := range report.Runs {
		if c.precedes(run.SentAt) || l.holdsParts() && !c.at.After(l.successes.at(run.Work)) {
			continue
		}
		if !c.addRun(run) {
			continue
		}
		changed = true
		s := l.suspects[run.Work]
		if s == nil {
			s = &suspect{crashes: map[*crash]struct{}{}}
			l.suspects[run.Work] = s
		}
		s.crashes[c] = struct{}{}
		l.recordChange(s)
		s.notify()
	}
	for len(l.suspects) > maxWorks && len(l.byArrival) > 1 {
		l.evictOldest()
	}
	l.suspectCount.Store(int64(len(l.suspects)))
	return changed
}

// addRun records a run on the replica that crashed. It reports whether that changed more than its time by
// less than reportTolerance.
func (c *crash) addRun(run Run) bool {
	known, ok := c.works[run.Work]
	updated := known
	if !ok || run.SentAt.After(known.sentAt) {
		updated.sentAt = run.SentAt
	}
	updated.trial = known.trial || run.Trial
	c.works[run.Work] = updated
	return !ok || updated.trial != known.trial || updated.sentAt.Sub(known.sentAt) >= reportTolerance
}

// crashFor returns the crash that a report is about, and adds it if it is new. It reports whether that
// changed what is known of crashes. The caller holds mu.
func (l *List) crashFor(report CrashReport) (found *crash, changed bool) {
	if l.crashes == nil {
		l.crashes, l.suspects = map[string][]*crash{}, map[Work]*suspect{}
	}
	for _, c := range l.crashes[report.Replica] {
		if c.matches(&report) {
			c.startedUnixMs = cmp.Or(c.startedUnixMs, report.StartedUnixMs)
			return c, l.moveEarlier(c, &report)
		}
	}
	c := &crash{replica: report.Replica, startedUnixMs: report.StartedUnixMs, at: report.At, works: map[Work]crashedRun{}}
	l.crashes[report.Replica] = append(l.crashes[report.Replica], c)
	l.byArrival = append(l.byArrival, c)
	return c, true
}

// matches reports whether a report is about this crash. One start of a replica crashes once. If the
// start is not known, crashes are distinguished by time.
func (c *crash) matches(report *CrashReport) bool {
	if c.startedUnixMs != 0 && report.StartedUnixMs != 0 {
		return c.startedUnixMs == report.StartedUnixMs
	}
	return report.At.Sub(c.at).Abs() <= sameCrashWindow
}

// precedes reports whether the crash happened before a run was sent, so that the run cannot have
// caused it: a node with an outdated list still sends to a crashed replica, and the connection
// fails at whatever is at its address now.
func (c *crash) precedes(sentAt time.Time) bool { return sentAt.After(c.at.Add(reportDelay)) }

// moveEarlier corrects the time of a crash if a report has an earlier one, and removes work that
// was sent after that time. It reports whether that changed more than the time by less than
// reportTolerance. The caller holds mu.
func (l *List) moveEarlier(c *crash, report *CrashReport) (changed bool) {
	if report.StartedUnixMs == 0 || !report.At.Before(c.at) {
		return false
	}
	changed = c.at.Sub(report.At) >= reportTolerance
	c.at = report.At
	for work, run := range c.works {
		if c.precedes(run.sentAt) {
			delete(c.works, work)
			l.unlink(work, c)
			changed = true
		}
	}
	return changed
}

// unlink removes a crash from the ones that count against work. The caller holds mu.
func (l *List) unlink(work Work, c *crash) {
	s := l.suspects[work]
	l.recordChange(s)
	delete(s.crashes, c)
	s.notify()
	if len(s.crashes) == 0 {
		delete(l.suspects, work)
	}
}

// prune removes crashes that are older than the window. The caller holds mu.
func (l *List) prune(now time.Time) {
	for len(l.byArrival) > 0 && now.Sub(l.byArrival[0].at) >= l.window() {
		l.evictOldest()
	}
	l.suspectCount.Store(int64(len(l.suspects)))
}

// evictOldest removes the crash that was added first. The caller holds mu.
func (l *List) evictOldest() {
	evicted := l.byArrival[0]
	l.byArrival = l.byArrival[1:]
	for work := range evicted.works {
		l.unlink(work, evicted)
	}
	l.forgetReplica(evicted)
}

// forgetReplica removes a crash from the crashes of its replica. The caller holds mu.
func (l *List) forgetReplica(forgotten *crash) {
	remaining := slices.DeleteFunc(l.crashes[forgotten.replica], func(c *crash) bool { return c == forgotten })
	if len(remaining) == 0 {
		delete(l.crashes, forgotten.replica)
	} else {
		l.crashes[forgotten.replica] = remaining
	}
}

// Check returns the verdict on work, with NewlyQuarantined set if it was not known to be
// quarantined.
func (l *List) Check(work Work, now time.Time) Verdict {
	if l.Empty() {
		return Verdict{Work: work}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(work, now)
}

// check evaluates work and records whether it is quarantined. The caller holds mu.
func (l *List) check(work Work, now time.Time) Verdict {
	verdict := l.evaluate(work, now)
	if s := l.suspects[work]; s != nil {
		verdict.NewlyQuarantined = verdict.Quarantined && !s.quarantined
		s.quarantined, verdict.QueriedAt = verdict.Quarantined, s.queriedAt
		if verdict.NewlyQuarantined {
			verdict.OtherSuspects = l.otherSuspects(work, now)
		}
	}
	return verdict
}

// rowsLoaded ends RowsPending and returns the verdicts on work that this quarantines.
func (l *List) rowsLoaded(now time.Time) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.RowsPending {
		return nil
	}
	l.RowsPending = false
	var verdicts []Verdict
	for work := range l.suspects {
		if verdict := l.check(work, now); verdict.NewlyQuarantined {
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts
}

// recordQuery records that peers were queried about work.
func (l *List) recordQuery(work Work, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspects[work]; s != nil {
		s.queriedAt = now
	}
}

// Clear discards the crashes before at that count against work: a run succeeded at that time, or an
// operator released the work. It returns the previous verdict, which has no replicas if there was
// nothing to clear.
func (l *List) Clear(work Work, at time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !at.After(l.successes.at(work)) {
		// A success that is as recent has cleared the work.
		return Verdict{Work: work, Part: l.holdsParts()}
	}
	previous := l.evaluate(work, at)
	l.successes.record(work, at)
	l.releaseClaims(work, at)
	if l.holdsParts() {
		l.unlinkBefore(work, at)
		l.attribute(at)
	}
	l.check(work, at)
	if s := l.suspects[work]; s != nil {
		s.notify()
	}
	return previous
}

// LastSuccess returns when work last succeeded or was released, and false if that is not known.
func (l *List) LastSuccess(work Work) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.successes.at(work)
	return at, !at.IsZero()
}

// All returns the verdicts on all work that crashes count against, those with the most crashes
// first.
func (l *List) All(now time.Time) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	var all []Verdict
	for work := range l.suspects {
		if verdict := l.check(work, now); len(verdict.Replicas) > 0 {
			all = append(all, verdict)
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(len(b.Replicas), len(a.Replicas)), b.LastCrash.Compare(a.LastCrash), cmp.Compare(a.Work.String(), b.Work.String()))
	})
	return all
}
