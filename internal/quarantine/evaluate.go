package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// evaluate returns the verdict on work. The caller holds mu.
func (l *List) evaluate(work Work, now time.Time) Verdict {
	lastSuccess := l.successes.at(work)
	verdict := Verdict{Work: work, Limit: l.Limit()}
	var crashes []*crash
	if l.suspects[work] != nil {
		crashes = l.countedCrashes(work, now, lastSuccess)
	}
	if !lastSuccess.IsZero() {
		crashes = slices.DeleteFunc(crashes, func(c *crash) bool { return l.explainedByOther(c, work, now) })
	}
	l.countTrials(&verdict, crashes, now)
	crashes = longestSequence(crashes, work)
	if !lastSuccess.IsZero() || l.RowsPending {
		verdict.Limit *= provenFactor
	}
	for _, c := range crashes {
		verdict.Replicas = append(verdict.Replicas, c.replica)
		verdict.CrashTimes = append(verdict.CrashTimes, c.at)
		verdict.LastCrash = c.at
	}
	if excess := len(crashes) - verdict.Limit; excess >= 0 {
		verdict.Quarantined = true
		verdict.Until = crashes[excess].at.Add(l.window())
	}
	return verdict
}

// countTrials counts the trials among the crashes of a verdict. A trial on a replica that other work
// crashed says nothing, so it does not delay the next one much. The caller holds mu.
func (l *List) countTrials(verdict *Verdict, crashes []*crash, now time.Time) {
	equallySuspect := 0
	for _, c := range crashes {
		if !c.works[verdict.Work].trial {
			continue
		}
		verdict.Trials++
		verdict.LastTrial = c.at
		verdict.LastTrialShared = l.hasOtherSuspect(c, verdict.Work)
		failed := false
		switch l.explainTrial(c, verdict.Work, now) {
		case notExplained:
			failed = true
		case causeUnclear:
			failed = true
			verdict.UnclearTrials++
		case explainedByEquallySuspect:
			equallySuspect++
			failed = equallySuspect > maxExplainedTrials
		}
		if failed {
			verdict.FailedTrials++
		}
	}
}

// explanation is how other work that ran on the replica explains the crash of a trial.
type explanation int

const (
	notExplained explanation = iota
	// causeUnclear means that no other suspect explains it, but something else may have ended the
	// replica.
	causeUnclear
	// explainedByEquallySuspect means that either work may have crashed the replica.
	explainedByEquallySuspect
	// explainedByMoreSuspect means that the other work has more sole crashes. Harmful work is not
	// explained like this for long, since each of its trials that meets no other suspect adds a sole
	// crash.
	explainedByMoreSuspect
)

// explainTrial returns how other work explains the crash of a trial of work. It compares the sole
// crashes of the other work with those of work before the trial, because a later one of work may have
// another cause. The caller holds mu.
func (l *List) explainTrial(c *crash, work Work, now time.Time) explanation {
	result := notExplained
	if l.isCauseUnclear(c, work) {
		result = causeUnclear
	}
	own := l.soleCrashes(work, now, c.at)
	for other := range c.works {
		if other == work || !l.explains(other, work, now) {
			continue
		}
		switch others := l.soleCrashes(other, now, time.Time{}); {
		case others > own:
			return explainedByMoreSuspect
		case others == own:
			result = explainedByEquallySuspect
		}
	}
	return result
}

// isCauseUnclear reports whether work that never succeeded and is not suspect yet ran on the replica as
// well, or other replicas crashed at the same time without running work. The caller holds mu.
func (l *List) isCauseUnclear(c *crash, work Work) bool {
	for other := range c.works {
		if other != work && l.successes.at(other).IsZero() && !l.unprovenSuspect(other) {
			return true
		}
	}
	simultaneous := 0
	for _, other := range l.byArrival {
		if other.replica != c.replica && !other.hasWork(work) && other.at.Sub(c.at).Abs() <= sameCauseWindow {
			simultaneous++
		}
	}
	return simultaneous >= sameCauseCrashes
}

// soleCrashes returns the number of crashes of replicas on which no other suspect ran, of those that
// count against work and, if before is not zero, happened before it. The caller holds mu.
func (l *List) soleCrashes(work Work, now, before time.Time) int {
	crashes := l.countedCrashes(work, now, l.successes.at(work))
	sole := slices.DeleteFunc(crashes, func(c *crash) bool {
		return !before.IsZero() && !c.at.Before(before) || l.hasOtherSuspect(c, work)
	})
	return len(longestSequence(sole, work))
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
	var crashes []*crash
	for c := range l.suspects[work].crashes {
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
