package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultCrashLimit is how many replicas work may end until it is kept from all others.
	// Two would condemn what two replicas that end by themselves happen to have had one
	// after the other: a request and its one retry.
	DefaultCrashLimit = 3
	// DefaultWindow is how long the end of a replica counts against the work that ran there.
	DefaultWindow = time.Hour
	// maxWorks bounds the works that are remembered: what ran on some thousand replicas
	// when they ended, of 8 to 17 slots each. The oldest ends are forgotten first.
	maxWorks = 10000
	// provenFactor is how many times as many ends it takes for work that is remembered to have
	// ended well: popular work runs on most replicas, and so on those that other work ends,
	// three within a second, maybe all of a small pool. Work that begins to do harm after it
	// did none is found after as many ends.
	provenFactor = 2
	// sameCrashWindow is how far apart two nodes may see the same end of a replica that does not say
	// when it was born: one that was held up hears of it late. A replica is back no sooner
	// than after some seconds.
	sameCrashWindow = 2 * time.Second
	// clockSkew is how much earlier than an end a run may seem to have begun that was sent
	// after it, for their times come from different nodes.
	clockSkew = 15 * time.Millisecond
	// reportDelay is how much later than it was a time may seem that another node tells: a word
	// takes ms, a row of a slow table up to a second.
	reportDelay = time.Second
)

// CrashReport tells that a replica ended while a node's requests ran there.
type CrashReport struct {
	// Replica is its id, Born tells its starts apart; 0 if the replica does not say.
	Replica   string
	StartTime int64
	// Runs are what the node had there.
	Runs []Run
	// At is when it ended.
	At time.Time
}

// Run is a run of a work.
type Run struct {
	Work Work
	// SentAt is when it was sent.
	SentAt time.Time
}

// List tells harmful work from the ends of replicas: a work may end Replicas of them within
// For, and then runs nowhere until the oldest of these ends is For ago. An end counts against
// all that ran there, until a run of the work ends well, but not against work that ended well
// before if work beside it explains the end. Of ends that befell runs side by side
// one counts, for they may have had a cause in common: a rack, a zone, a link; only a run that
// was sent after an end is another try at it. The zero value goes by the defaults. It is safe
// for concurrent use.
type List struct {
	// CrashLimit and For are set before use; zero means the default.
	CrashLimit int
	Window     time.Duration
	// RowsPending is set before use if rows that tell what ended well are yet to be read. Until then
	// all work counts as such that did: the node has seen little itself, and where all nodes
	// start at once there is nobody to ask.
	RowsPending bool

	mu sync.Mutex
	// crashes are those of each replica.
	crashes  map[string][]*crash
	suspects map[Work]*suspect
	// byArrival are the ends in the order in which they were learned.
	byArrival []*crash
	// successes is when works were last seen to end successes, or were released.
	successes recentTimes
	// suspectCount is the number of works, for those who have nothing to look up.
	suspectCount atomic.Int64
}

// crash is that of a replica.
type crash struct {
	replica string
	// startTime is that of the start which ended; 0 as long as no report has told it.
	startTime int64
	// at is when a node saw it first.
	at time.Time
	// works are what ran there, by when the newest run began.
	works map[Work]time.Time
}

// suspect is a work that ran on replicas which ended.
type suspect struct {
	crashes     map[*crash]struct{}
	quarantined bool
	// queriedAt is when other nodes were last queriedAt about it.
	queriedAt time.Time
	// trialAt is when a trial was last begun here.
	trialAt time.Time
}

// Limit is how many replicas work may end.
func (l *List) Limit() int {
	if l.CrashLimit > 0 {
		return l.CrashLimit
	}
	return DefaultCrashLimit
}

func (l *List) window() time.Duration {
	if l.Window > 0 {
		return l.Window
	}
	return DefaultWindow
}

// Empty reports whether nothing is suspected.
func (l *List) Empty() bool { return l.suspectCount.Load() == 0 }

// Add takes in a report and returns the verdicts on what it has quarantined. A report that
// comes again changes nothing.
func (l *List) Add(report CrashReport, now time.Time) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	if now.Sub(report.At) >= l.window() || len(report.Runs) == 0 {
		return nil
	}
	l.record(report)
	var verdicts []Verdict
	for work := range report.works() {
		if verdict := l.check(work, now); verdict.NewlyQuarantined {
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts
}

// works returns the works of a report, each once.
func (r *CrashReport) works() map[Work]struct{} {
	works := make(map[Work]struct{}, len(r.Runs))
	for _, run := range r.Runs {
		works[run.Work] = struct{}{}
	}
	return works
}

// record notes what a report tells. The caller holds mu.
func (l *List) record(report CrashReport) {
	c := l.crashFor(report)
	for _, run := range report.Runs {
		if c.precedes(run.SentAt) {
			continue
		}
		if sentAt, ok := c.works[run.Work]; !ok || run.SentAt.After(sentAt) {
			c.works[run.Work] = run.SentAt
		}
		if l.suspects[run.Work] == nil {
			l.suspects[run.Work] = &suspect{crashes: map[*crash]struct{}{}}
		}
		l.suspects[run.Work].crashes[c] = struct{}{}
	}
	for len(l.suspects) > maxWorks && len(l.byArrival) > 1 {
		l.evictOldest()
	}
	l.suspectCount.Store(int64(len(l.suspects)))
}

// crashFor returns the end that a report tells of. The caller holds mu.
func (l *List) crashFor(report CrashReport) *crash {
	if l.crashes == nil {
		l.crashes, l.suspects = map[string][]*crash{}, map[Work]*suspect{}
	}
	for _, c := range l.crashes[report.Replica] {
		if c.matches(&report) {
			c.startTime = cmp.Or(c.startTime, report.StartTime)
			l.moveEarlier(c, &report)
			return c
		}
	}
	c := &crash{replica: report.Replica, startTime: report.StartTime, at: report.At, works: map[Work]time.Time{}}
	l.crashes[report.Replica] = append(l.crashes[report.Replica], c)
	l.byArrival = append(l.byArrival, c)
	return c
}

// matches reports whether a report is about this end. A start of a replica ends once; where it
// is not known which start ended, ends are told apart by their times.
func (c *crash) matches(report *CrashReport) bool {
	if c.startTime != 0 && report.StartTime != 0 {
		return c.startTime == report.StartTime
	}
	return report.At.Sub(c.at).Abs() <= sameCrashWindow
}

// precedes reports whether the end was over when a run was sent, so that it is not due to it: a
// node with an old list sends to a replica that is gone, and what is at its address now breaks
// the answer off.
func (c *crash) precedes(sentAt time.Time) bool { return sentAt.After(c.at.Add(reportDelay)) }

// moveEarlier takes in that a node saw an end earlier than it was known to be, and forgets what
// was sent after it. The caller holds mu.
func (l *List) moveEarlier(c *crash, report *CrashReport) {
	if report.StartTime == 0 || !report.At.Before(c.at) {
		return
	}
	c.at = report.At
	for work, sentAt := range c.works {
		if c.precedes(sentAt) {
			delete(c.works, work)
			l.unlink(work, c)
		}
	}
}

// unlink has an end count against a work no more. The caller holds mu.
func (l *List) unlink(work Work, c *crash) {
	s := l.suspects[work]
	delete(s.crashes, c)
	if len(s.crashes) == 0 {
		delete(l.suspects, work)
	}
}

// prune forgets what is too long ago to count. The caller holds mu.
func (l *List) prune(now time.Time) {
	for len(l.byArrival) > 0 && now.Sub(l.byArrival[0].at) >= l.window() {
		l.evictOldest()
	}
	l.suspectCount.Store(int64(len(l.suspects)))
}

// evictOldest forgets the end that was learned first. The caller holds mu.
func (l *List) evictOldest() {
	evicted := l.byArrival[0]
	l.byArrival = l.byArrival[1:]
	for work := range evicted.works {
		l.unlink(work, evicted)
	}
	remaining := slices.DeleteFunc(l.crashes[evicted.replica], func(c *crash) bool { return c == evicted })
	if len(remaining) == 0 {
		delete(l.crashes, evicted.replica)
	} else {
		l.crashes[evicted.replica] = remaining
	}
}

// Check returns the verdict on a work. It is Fresh if the work was not known to be quarantined.
func (l *List) Check(work Work, now time.Time) Verdict {
	if l.Empty() {
		return Verdict{Work: work}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(work, now)
}

// check returns the verdict on a work, and notes whether it is quarantined. The caller holds
// mu.
func (l *List) check(work Work, now time.Time) Verdict {
	verdict := l.evaluate(work, now)
	if s := l.suspects[work]; s != nil {
		verdict.NewlyQuarantined = verdict.Quarantined && !s.quarantined
		s.quarantined, verdict.QueriedAt = verdict.Quarantined, s.queriedAt
	}
	return verdict
}

// rowsLoaded notes that rows have been rowsLoaded, and returns the verdicts on what is quarantined by that.
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

// recordQuery notes that other nodes were asked about a work.
func (l *List) recordQuery(work Work, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspects[work]; s != nil {
		s.queriedAt = now
	}
}

// BeginTrial reports whether quarantined work may be tried at this node now, which it is then
// taken to be.
func (l *List) BeginTrial(work Work, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := l.evaluate(work, now)
	s := l.suspects[work]
	if !verdict.RequestTrialDue(now) || now.Sub(s.trialAt) < trialTimeout {
		return false
	}
	s.trialAt = now
	return true
}

// Clear has nothing before a time count against a work: a run of it ended well then, or an
// operator released it. It returns the verdict until then, which holds no replicas if there
// was nothing to clear.
func (l *List) Clear(work Work, at time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.evaluate(work, at)
	l.successes.record(work, at)
	l.check(work, at)
	return previous
}

// LastSuccess returns when a work was last seen to end well, or was released; false if that is
// not known.
func (l *List) LastSuccess(work Work) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.successes.at(work)
	return at, !at.IsZero()
}

// All returns the verdicts on all works against which something counts, the most suspected
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
