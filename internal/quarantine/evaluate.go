package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// evaluate returns the verdict on work. The caller holds mu.
func (l *List) evaluate(work Work, now time.Time) Verdict {
	if l.holdsParts() {
		return l.evaluatePart(work, now)
	}
	crashes := l.countedCrashes(work, now, l.successes.at(work))
	isExplained := func(c *crash) bool { return c.explainedByPart }
	return l.judge(work, slices.DeleteFunc(crashes, isExplained), now)
}

// judge returns the verdict on work given the crashes that count against it. The caller holds mu.
func (l *List) judge(work Work, crashes []*crash, now time.Time) Verdict {
	lastSuccess := l.successes.at(work)
	verdict := Verdict{Work: work, Limit: l.Limit()}
	if !lastSuccess.IsZero() {
		crashes = slices.DeleteFunc(crashes, func(c *crash) bool { return l.explainedByOther(c, work, now) })
	}
	l.countTrials(&verdict, crashes, now)
	crashes = longestSequence(crashes, work)
	if !lastSuccess.IsZero() || l.RowsPending {
		verdict.Limit *= provenFactor
	}
	for _, c := range crashes {
		verdict.addCrash(c)
	}
	if excess := len(crashes) - verdict.Limit; excess >= 0 {
		verdict.Quarantined = true
		verdict.Until = crashes[excess].at.Add(l.window())
	}
	return verdict
}

// countTrials counts the trials among the crashes of a verdict. The caller holds mu.
func (l *List) countTrials(verdict *Verdict, crashes []*crash, now time.Time) {
	trials := slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return !c.works[verdict.Work].trial })
	verdict.FailedTrials = len(trials)
	if len(trials) == 0 {
		return
	}
	last := trials[len(trials)-1]
	verdict.LastTrial = last.at
	verdict.LastTrialShared = l.hasOtherSuspect(last, verdict.Work)
	verdict.EarlyTrial = len(trials) == earlyTrialAfter &&
		slices.ContainsFunc(trials, func(c *crash) bool { return l.isCauseUnclear(c, verdict.Work, now) })
}

// isCauseUnclear reports whether something other than work may have crashed the replica: other work that
// ran there, or what crashed other replicas at the same time without running work. The caller holds mu.
func (l *List) isCauseUnclear(c *crash, work Work, now time.Time) bool {
	for other := range c.works {
		if other != work && l.mayBeHarmful(other, work, now) {
			return true
		}
	}
	simultaneous := 0
	for _, other := range l.byArrival {
		if other.at.Sub(c.at).Abs() > sameCauseWindow || other.replica == c.replica || other.hasWork(work) {
			continue
		}
		if simultaneous++; simultaneous >= sameCauseCrashes {
			return true
		}
	}
	return false
}

// mayBeHarmful reports whether other work may have caused a crash that counts against work: it never
// succeeded, and either it is below the crash limit or it crashed replicas that did not run work. The
// caller holds mu.
func (l *List) mayBeHarmful(other, work Work, now time.Time) bool {
	if l.unprovenSuspect(other) {
		return l.explains(other, work, now)
	}
	return l.successes.at(other).IsZero()
}

// hasOtherSuspect reports whether an unproven suspect other than work ran on the replica that crashed.
// The caller holds mu.
func (l *List) hasOtherSuspect(c *crash, work Work) bool {
	for other := range c.works {
		if other != work && l.unprovenSuspect(other) {
			return true
		}
	}
	return false
}

// unprovenSuspect reports whether work reached the crash limit and never succeeded. The caller holds
// mu.
func (l *List) unprovenSuspect(work Work) bool {
	return l.successes.at(work).IsZero() && len(l.suspects[work].crashes) >= l.Limit()
}

// countedCrashes returns the crashes during runs of work that are later than after and within the
// window, in time order. The caller holds mu.
func (l *List) countedCrashes(work Work, now, after time.Time) []*crash {
	s := l.suspects[work]
	if s == nil {
		return nil
	}
	var crashes []*crash
	for c := range s.crashes {
		if c.at.After(after) && now.Sub(c.at) < l.window() {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.replica, b.replica))
	})
	return crashes
}

// explainedByOther reports whether other work that ran on the replica explains the crash. Such crashes
// do not count against proven work. They count in full as crashes of unproven work. Otherwise popular
// work that has not succeeded yet would explain the crashes of harmful work that runs beside it. The
// caller holds mu.
func (l *List) explainedByOther(c *crash, work Work, now time.Time) bool {
	for other := range c.works {
		if other != work && l.explains(other, work, now) {
			return true
		}
	}
	return false
}

// explains reports whether other work may have caused crashes that count against work: it reached the
// crash limit, at least once on a replica that did not run work, and never succeeded. The caller
// holds mu.
func (l *List) explains(other, work Work, now time.Time) bool {
	if !l.unprovenSuspect(other) {
		return false
	}
	crashes := l.countedCrashes(other, now, time.Time{})
	elsewhere := slices.ContainsFunc(crashes, func(candidate *crash) bool { return !candidate.hasWork(work) })
	return elsewhere && len(longestSequence(crashes, other)) >= l.Limit()
}

// hasWork reports whether work ran on the replica when it crashed.
func (c *crash) hasWork(work Work) bool {
	_, ran := c.works[work]
	return ran
}

// longestSequence returns the longest subsequence of crashes, given in time order, in which each
// run of work was sent after the previous crash.
func longestSequence(crashes []*crash, work Work) []*crash {
	var sequence []*crash
	for _, c := range crashes {
		if len(sequence) == 0 || !c.works[work].sentAt.Before(sequence[len(sequence)-1].at.Add(-clockSkew)) {
			sequence = append(sequence, c)
		}
	}
	return sequence
}

// otherSuspects returns the other work that ran on the replicas of the crashes which count against
// work, and that has reached the crash limit as well. The caller holds mu.
func (l *List) otherSuspects(work Work, now time.Time) []Work {
	var others []Work
	for _, c := range l.countedCrashes(work, now, l.successes.at(work)) {
		for other := range c.works {
			if other != work && !slices.Contains(others, other) && len(l.suspects[other].crashes) >= l.Limit() {
				others = append(others, other)
			}
		}
	}
	return others
}
