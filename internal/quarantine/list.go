package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultReplicas is how many replicas work may end until it is kept from all others.
	// Two would condemn what two replicas that end by themselves happen to have had one
	// after the other: a request and its one retry.
	DefaultReplicas = 3
	// DefaultFor is how long the end of a replica counts against the work that ran there.
	DefaultFor = time.Hour
	// maxWorks bounds the works that are remembered: what ran on some thousand replicas
	// when they ended, of 8 to 17 slots each. The oldest ends are forgotten first.
	maxWorks = 10000
	// provenFactor is how many times as many ends it takes for work that is remembered to have
	// ended well: popular work runs on most replicas, and so on those that other work ends,
	// three within a second, maybe all of a small pool. Work that begins to do harm after it
	// did none is found after as many ends.
	provenFactor = 2
	// sameEnd is how far apart two nodes may see the same end of a replica that does not say
	// when it was born: one that was held up hears of it late. A replica is back no sooner
	// than after some seconds.
	sameEnd = 2 * time.Second
	// beganSlack is how much earlier than an end a run may seem to have begun that was sent
	// after it, for their times come from different nodes.
	beganSlack = 15 * time.Millisecond
	// toldSlack is how much later than it was a time may seem that another node tells: a word
	// takes ms, a row of a slow table up to a second.
	toldSlack = time.Second
)

// Report tells that a replica ended while a node's requests ran there.
type Report struct {
	// Replica is its id, Born tells its starts apart; 0 if the replica does not say.
	Replica string
	Born    int64
	// Runs are what the node had there.
	Runs []Run
	// At is when it ended.
	At time.Time
}

// Run is a run of a work.
type Run struct {
	Work Work
	// Began is when it was sent.
	Began time.Time
}

// List tells harmful work from the ends of replicas: a work may end Replicas of them within
// For, and then runs nowhere until the oldest of these ends is For ago. An end counts against
// all that ran there, until a run of the work ends well, but not against work that ended well
// before if work beside it explains the end. Of ends that befell runs side by side
// one counts, for they may have had a cause in common: a rack, a zone, a link; only a run that
// was sent after an end is another try at it. The zero value goes by the defaults. It is safe
// for concurrent use.
type List struct {
	// Replicas and For are set before use; zero means the default.
	Replicas int
	For      time.Duration
	// Unread is set before use if rows that tell what ended well are yet to be read. Until then
	// all work counts as such that did: the node has seen little itself, and where all nodes
	// start at once there is nobody to ask.
	Unread bool

	mu sync.Mutex
	// ends are those of each replica.
	ends  map[string][]*end
	works map[Work]*suspect
	// oldest are the ends in the order in which they were learned.
	oldest []*end
	// well is when works were last seen to end well, or were released.
	well recent
	// count is the number of works, for those who have nothing to look up.
	count atomic.Int64
}

// end is that of a replica.
type end struct {
	replica string
	// born is that of the start which ended; 0 as long as no report has told it.
	born int64
	// at is when a node saw it first.
	at time.Time
	// works are what ran there, by when the newest run began.
	works map[Work]time.Time
}

// suspect is a work that ran on replicas which ended.
type suspect struct {
	ends        map[*end]struct{}
	quarantined bool
	// asked is when other nodes were last asked about it.
	asked time.Time
	// tried is when a trial was last begun here.
	tried time.Time
}

// Limit is how many replicas work may end.
func (l *List) Limit() int {
	if l.Replicas > 0 {
		return l.Replicas
	}
	return DefaultReplicas
}

func (l *List) memory() time.Duration {
	if l.For > 0 {
		return l.For
	}
	return DefaultFor
}

// Empty reports whether nothing is suspected.
func (l *List) Empty() bool { return l.count.Load() == 0 }

// Add takes in a report and returns the verdicts on what it has quarantined. A report that
// comes again changes nothing.
func (l *List) Add(report Report, now time.Time) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	if now.Sub(report.At) >= l.memory() || len(report.Runs) == 0 {
		return nil
	}
	l.note(report)
	var condemned []Verdict
	for work := range report.works() {
		if verdict := l.check(work, now); verdict.Fresh {
			condemned = append(condemned, verdict)
		}
	}
	return condemned
}

// works returns the works of a report, each once.
func (r *Report) works() map[Work]struct{} {
	works := make(map[Work]struct{}, len(r.Runs))
	for _, run := range r.Runs {
		works[run.Work] = struct{}{}
	}
	return works
}

// note notes what a report tells. The caller holds mu.
func (l *List) note(report Report) {
	known := l.endOf(report)
	for _, run := range report.Runs {
		if known.before(run.Began) {
			continue
		}
		if began, ok := known.works[run.Work]; !ok || run.Began.After(began) {
			known.works[run.Work] = run.Began
		}
		if l.works[run.Work] == nil {
			l.works[run.Work] = &suspect{ends: map[*end]struct{}{}}
		}
		l.works[run.Work].ends[known] = struct{}{}
	}
	for len(l.works) > maxWorks && len(l.oldest) > 1 {
		l.forgetOldest()
	}
	l.count.Store(int64(len(l.works)))
}

// endOf returns the end that a report tells of. The caller holds mu.
func (l *List) endOf(report Report) *end {
	if l.ends == nil {
		l.ends, l.works = map[string][]*end{}, map[Work]*suspect{}
	}
	for _, known := range l.ends[report.Replica] {
		if known.tells(&report) {
			known.born = cmp.Or(known.born, report.Born)
			l.sawEarlier(known, &report)
			return known
		}
	}
	known := &end{replica: report.Replica, born: report.Born, at: report.At, works: map[Work]time.Time{}}
	l.ends[report.Replica] = append(l.ends[report.Replica], known)
	l.oldest = append(l.oldest, known)
	return known
}

// tells reports whether a report is about this end. A start of a replica ends once; where it
// is not known which start ended, ends are told apart by their times.
func (e *end) tells(report *Report) bool {
	if e.born != 0 && report.Born != 0 {
		return e.born == report.Born
	}
	return report.At.Sub(e.at).Abs() <= sameEnd
}

// before reports whether the end was over when a run was sent, so that it is not due to it: a
// node with an old list sends to a replica that is gone, and what is at its address now breaks
// the answer off.
func (e *end) before(sent time.Time) bool { return sent.After(e.at.Add(toldSlack)) }

// sawEarlier takes in that a node saw an end earlier than it was known to be, and forgets what
// was sent after it. The caller holds mu.
func (l *List) sawEarlier(known *end, report *Report) {
	if report.Born == 0 || !report.At.Before(known.at) {
		return
	}
	known.at = report.At
	for work, sent := range known.works {
		if known.before(sent) {
			delete(known.works, work)
			l.acquit(work, known)
		}
	}
}

// acquit has an end count against a work no more. The caller holds mu.
func (l *List) acquit(work Work, of *end) {
	known := l.works[work]
	delete(known.ends, of)
	if len(known.ends) == 0 {
		delete(l.works, work)
	}
}

// prune forgets what is too long ago to count. The caller holds mu.
func (l *List) prune(now time.Time) {
	for len(l.oldest) > 0 && now.Sub(l.oldest[0].at) >= l.memory() {
		l.forgetOldest()
	}
	l.count.Store(int64(len(l.works)))
}

// forgetOldest forgets the end that was learned first. The caller holds mu.
func (l *List) forgetOldest() {
	forgotten := l.oldest[0]
	l.oldest = l.oldest[1:]
	for work := range forgotten.works {
		l.acquit(work, forgotten)
	}
	left := slices.DeleteFunc(l.ends[forgotten.replica], func(one *end) bool { return one == forgotten })
	if len(left) == 0 {
		delete(l.ends, forgotten.replica)
	} else {
		l.ends[forgotten.replica] = left
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
	verdict := l.judge(work, now)
	if known := l.works[work]; known != nil {
		verdict.Fresh = verdict.Quarantined && !known.quarantined
		known.quarantined, verdict.Asked = verdict.Quarantined, known.asked
	}
	return verdict
}

// read notes that rows have been read, and returns the verdicts on what is quarantined by that.
func (l *List) read(now time.Time) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.Unread {
		return nil
	}
	l.Unread = false
	var condemned []Verdict
	for work := range l.works {
		if verdict := l.check(work, now); verdict.Fresh {
			condemned = append(condemned, verdict)
		}
	}
	return condemned
}

// noteAsked notes that other nodes were asked about a work.
func (l *List) noteAsked(work Work, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.works[work]; known != nil {
		known.asked = now
	}
}

// BeginTrial reports whether quarantined work may be tried at this node now, which it is then
// taken to be.
func (l *List) BeginTrial(work Work, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := l.judge(work, now)
	known := l.works[work]
	if !verdict.RareTrialDue(now) || now.Sub(known.tried) < trialLasts {
		return false
	}
	known.tried = now
	return true
}

// Clear has nothing before a time count against a work: a run of it ended well then, or an
// operator released it. It returns the verdict until then, which holds no replicas if there
// was nothing to clear.
func (l *List) Clear(work Work, at time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.judge(work, at)
	l.well.note(work, at)
	l.check(work, at)
	return before
}

// EndedWell returns when a work was last seen to end well, or was released; false if that is
// not known.
func (l *List) EndedWell(work Work) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.well.at(work)
	return at, !at.IsZero()
}

// All returns the verdicts on all works against which something counts, the most suspected
// first.
func (l *List) All(now time.Time) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	var all []Verdict
	for work := range l.works {
		if verdict := l.check(work, now); len(verdict.Replicas) > 0 {
			all = append(all, verdict)
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(len(b.Replicas), len(a.Replicas)), b.Last.Compare(a.Last), cmp.Compare(a.Work.String(), b.Work.String()))
	})
	return all
}
