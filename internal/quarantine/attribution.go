package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Most parts of prompts at a crash are bystanders: a replica runs many requests, each with several parts.
// A list of parts therefore counts a crash against one cause only. Of the parts that have not
// succeeded since, the one that was present at the most crashes is blamed for all of them, and the
// others are judged by the crashes that remain. A part that crashed the replica of a trial comes first,
// so that it stays quarantined while crashes of other causes are added, and a part that has ever
// succeeded comes last: parts that all requests hold are at every crash.

// partWindow is how long a crash counts against a part of prompts. The only thing that ends it earlier is a
// success, because harmful requests may keep coming for as long.
const partWindow = 24 * time.Hour

const (
	// provenPartFactor multiplies the crash limit of parts that have ever succeeded.
	provenPartFactor = 2
	// suspiciousCrashes is the number of crashes at which a part that never succeeded may be the cause
	// of crashes that count against another one.
	suspiciousCrashes = 2
	// maxTrialWaitForCleanRequest is how long a trial of a part waits for a request without other suspicious
	// parts, whose crash would say nothing.
	maxTrialWaitForCleanRequest = 30 * time.Second
)

// culprit is a set of parts of prompts to which crashes are attributed. Several parts that were present at
// the same crashes cannot be told apart: only requests that hold all of them are refused, and
// requests that hold some of them show which one is harmful.
type culprit struct {
	// parts are in the order of their bytes, so that all nodes name the set by the same one.
	parts   []Work
	crashes []*crash
}

// isHeldBy reports whether a request with the given parts holds all parts of the culprit.
func (c *culprit) isHeldBy(parts []Work) bool {
	return !slices.ContainsFunc(c.parts, func(part Work) bool { return !slices.Contains(parts, part) })
}

// candidate is a part of prompts with the crashes that no culprit explains, in time order.
type candidate struct {
	part    Work
	crashes []*crash
	// tried is set if a trial of the part crashed its replica. It had been quarantined before, and is not
	// judged again. proven is set if the part has ever succeeded.
	tried, proven bool
}

// NewPartList returns a list of parts of prompts, which many requests hold. whole is the list of the whole
// requests.
func NewPartList(whole *List) *List {
	// A crash says less about each of the many parts that were present than about a request.
	return &List{WholeRequests: whole, CrashLimit: whole.Limit() + 1, Window: partWindow}
}

// CheckParts returns the verdict on the parts that a request holds. It is not Quarantined if the request
// may be sent.
func (l *List) CheckParts(parts []Work, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	for _, culprit := range l.attribute(now) {
		if culprit.isHeldBy(parts) {
			return l.check(culprit.parts[0], now)
		}
	}
	return Verdict{Part: true}
}

// AnyQuarantined reports whether the list attributes crashes to any part. It needs no lock.
func (l *List) AnyQuarantined() bool { return l.culpritCount.Load() > 0 }

// evaluatePart returns the verdict on a part. The caller holds mu.
func (l *List) evaluatePart(part Work, now time.Time) Verdict {
	verdict := Verdict{Work: part, Part: true, Limit: l.Limit()}
	if l.suspects[part] == nil {
		return verdict
	}
	crashes := l.countedCrashes(part, now, l.successes.at(part))
	for _, c := range crashes {
		verdict.addCrash(c)
	}
	tried := []Work{part}
	for _, culprit := range l.attribute(now) {
		if slices.Contains(culprit.parts, part) {
			verdict.Quarantined, verdict.Group = true, culprit.parts
			verdict.Until = verdict.LastCrash.Add(l.window())
			tried = culprit.parts
		}
	}
	l.countPartTrials(&verdict, crashes, tried)
	return verdict
}

// ReportsOf returns the newest crashes that count against a quarantined part, up to limit of them, for a node
// that reports a crash under it at the given time and seems not to know them. It returns none if the part
// was quarantined so shortly before that the node could not know.
func (l *List) ReportsOf(part Work, at time.Time, limit int) []CrashReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := l.evaluatePart(part, at)
	if !verdict.Quarantined || len(verdict.CrashTimes) < l.Limit() || at.Sub(verdict.CrashTimes[l.Limit()-1]) < reportDelay {
		return nil
	}
	crashes := l.countedCrashes(part, at, l.successes.at(part))
	var reports []CrashReport
	for _, c := range crashes[max(0, len(crashes)-limit):] {
		run := c.works[part]
		reports = append(reports, CrashReport{
			Replica: c.replica, StartedUnixMs: c.startedUnixMs, At: c.at, Parts: []Run{{Work: part, SentAt: run.sentAt, Trial: run.trial}},
		})
	}
	return reports
}

// attribute returns the culprits of the crashes in the list. The caller holds mu.
func (l *List) attribute(now time.Time) []*culprit {
	if !l.attributionStale {
		return l.culprits
	}
	l.attributionStale, l.culprits = false, nil
	candidates := l.candidates(now)
	for len(candidates) > 0 {
		strongest := slices.MinFunc(candidates, compareCandidates)
		if !l.isConclusive(strongest) {
			candidates = slices.DeleteFunc(candidates, func(c *candidate) bool { return c == strongest })
			continue
		}
		found := newCulprit(strongest, candidates)
		l.culprits = append(l.culprits, found)
		candidates = found.removeExplained(candidates)
	}
	l.culpritCount.Store(int64(len(l.culprits)))
	l.WholeRequests.markExplained(l.culprits)
	return l.culprits
}

// recordChange records that the crashes of a suspect change. Those of a suspect with a single one do not
// matter, unless it is quarantined. The caller holds mu.
func (l *List) recordChange(s *suspect) {
	l.attributionStale = l.attributionStale || s.quarantined || len(s.crashes) >= suspiciousCrashes
}

// candidates returns the parts with enough crashes to be quarantined, and those that were tried. The caller
// holds mu.
func (l *List) candidates(now time.Time) []*candidate {
	var candidates []*candidate
	for part, s := range l.suspects {
		tried := s.hasTrial(part)
		if !tried && len(s.crashes) < l.Limit() {
			continue
		}
		found := &candidate{part: part, crashes: l.countedCrashes(part, now, l.successes.at(part)), tried: tried, proven: !l.successes.at(part).IsZero()}
		if found.proven && !found.tried {
			found.crashes = slices.DeleteFunc(found.crashes, func(c *crash) bool { return l.ranSuspiciousWork(c) })
		}
		candidates = append(candidates, found)
	}
	return candidates
}

// hasTrial reports whether a trial of the part crashed its replica.
func (s *suspect) hasTrial(part Work) bool {
	for c := range s.crashes {
		if c.works[part].trial {
			return true
		}
	}
	return false
}

// ranSuspiciousWork reports whether work of this list that never succeeded may have crashed the replica. The
// caller holds mu.
func (l *List) ranSuspiciousWork(c *crash) bool {
	for work := range c.works {
		if l.isSuspicious(work) {
			return true
		}
	}
	return false
}

// isSuspicious reports whether work may be the cause of crashes that count against other work. The caller
// holds mu.
func (l *List) isSuspicious(work Work) bool {
	s := l.suspects[work]
	return s != nil && len(s.crashes) >= suspiciousCrashes && l.successes.at(work).IsZero()
}

// mayTry reports whether a request with the given parts may run as the trial that a verdict allows.
func (l *List) mayTry(verdict *Verdict, parts []Work, now time.Time) bool {
	dueSince := verdict.LastCrash
	if next := verdict.nextRequestTrial(); next.After(dueSince) {
		dueSince = next
	}
	if now.Sub(dueSince) >= maxTrialWaitForCleanRequest {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(parts, func(part Work) bool { return !slices.Contains(verdict.Group, part) && l.isSuspicious(part) })
}

// compareCandidates orders candidates by how likely they are the cause, the likeliest first. All nodes with
// the same reports agree.
func compareCandidates(a, b *candidate) int {
	return cmp.Or(compareBool(b.tried, a.tried), compareBool(a.proven, b.proven), cmp.Compare(len(b.crashes), len(a.crashes)), bytes.Compare(a.part[:], b.part[:]))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// isConclusive reports whether the crashes of a candidate suffice to quarantine it: one of them was under a
// trial, or enough of them followed each other and no single quarantined request was present at
// all of them. The caller holds mu.
func (l *List) isConclusive(c *candidate) bool {
	if c.tried {
		return true
	}
	limit := l.Limit()
	if c.proven {
		limit *= provenPartFactor
	}
	return len(longestSequence(c.crashes, c.part)) >= limit && !l.WholeRequests.explainsAll(c.crashes)
}

// newCulprit returns the culprit that consists of a candidate and all others with the same crashes.
func newCulprit(strongest *candidate, candidates []*candidate) *culprit {
	found := &culprit{crashes: slices.Clone(strongest.crashes)}
	for _, other := range candidates {
		if slices.Equal(other.crashes, strongest.crashes) {
			found.parts = append(found.parts, other.part)
		}
	}
	slices.SortFunc(found.parts, func(a, b Work) int { return bytes.Compare(a[:], b[:]) })
	return found
}

// removeExplained removes the crashes of the culprit from the candidates, and returns those that have any
// left.
func (c *culprit) removeExplained(candidates []*candidate) []*candidate {
	explained := make(map[*crash]struct{}, len(c.crashes))
	for _, crash := range c.crashes {
		explained[crash] = struct{}{}
	}
	return slices.DeleteFunc(candidates, func(other *candidate) bool {
		if other.tried {
			return slices.Contains(c.parts, other.part)
		}
		other.crashes = slices.DeleteFunc(other.crashes, func(crash *crash) bool {
			_, found := explained[crash]
			return found
		})
		return len(other.crashes) == 0
	})
}

// explainsAll reports whether one quarantined request ran on all of the replicas that crashed.
func (l *List) explainsAll(crashes []*crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var common []Work
	for i, c := range crashes {
		own := l.sameCrash(c)
		if own == nil {
			return false
		}
		if i == 0 {
			common = l.quarantinedWorks(own, crashes[len(crashes)-1].at)
		}
		common = slices.DeleteFunc(common, func(work Work) bool { return !own.hasWork(work) })
	}
	return len(common) > 0
}

// markExplained records which crashes are attributed to parts of prompts, and wakes the requests that wait
// for a change of work which they counted against.
func (l *List) markExplained(culprits []*culprit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	explained := map[*crash]bool{}
	for _, culprit := range culprits {
		for _, c := range culprit.crashes {
			if own := l.sameCrash(c); own != nil {
				explained[own] = true
			}
		}
	}
	for _, c := range l.byArrival {
		if c.explainedByPart == explained[c] {
			continue
		}
		c.explainedByPart = explained[c]
		for work := range c.works {
			if s := l.suspects[work]; s != nil {
				s.notify()
			}
		}
	}
}

// sameCrash returns this list's record of a crash that another list holds; nil if there is none. The
// caller holds mu.
func (l *List) sameCrash(other *crash) *crash {
	report := CrashReport{Replica: other.replica, StartedUnixMs: other.startedUnixMs, At: other.at}
	for _, c := range l.crashes[other.replica] {
		if c.matches(&report) {
			return c
		}
	}
	return nil
}

// quarantinedWorks returns the quarantined works that ran on a replica that crashed. The caller holds mu.
func (l *List) quarantinedWorks(c *crash, now time.Time) []Work {
	var quarantined []Work
	for work := range c.works {
		// Crashes count here although a part explains them: whether it does is the question.
		crashes := l.countedCrashes(work, now, l.successes.at(work))
		if verdict := l.judge(work, crashes, now); verdict.Quarantined {
			quarantined = append(quarantined, work)
		}
	}
	return quarantined
}

// unlinkBefore removes the crashes up to at from a part that has succeeded since. The caller holds mu.
func (l *List) unlinkBefore(part Work, at time.Time) {
	s := l.suspects[part]
	if s == nil {
		return
	}
	for c := range s.crashes {
		if c.at.After(at) {
			continue
		}
		delete(c.works, part)
		l.unlink(part, c)
		if len(c.works) == 0 {
			l.forget(c)
		}
	}
	l.suspectCount.Store(int64(len(l.suspects)))
}

// forget removes a crash that counts against nothing. The caller holds mu.
func (l *List) forget(forgotten *crash) {
	isForgotten := func(c *crash) bool { return c == forgotten }
	l.byArrival = slices.DeleteFunc(l.byArrival, isForgotten)
	l.forgetReplica(forgotten)
}
