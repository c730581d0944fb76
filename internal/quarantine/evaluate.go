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
// may have crashed says little, so it does not delay the next one much. Harmful work that crashes
// replicas beside other suspects gets at most maxExplainedTrials trials for that. The caller holds
// mu.
func (l *List) countTrials(verdict *Verdict, crashes []*crash, now time.Time) {
	explained := 0
	for _, c := range crashes {
		if !c.works[verdict.Work].trial {
			continue
		}
		verdict.LastTrial = c.at
		if explained < maxExplainedTrials && l.explainedByOther(c, verdict.Work, now) {
			explained++
			continue
		}
		verdict.FailedTrials++
	}
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

// explainedByOther reports whether other work that ran on the replica explains the crash: work that
// reached the crash limit, at least once on a replica that did not run this work, and that never
// succeeded. Such crashes do not count against proven work, and as trials of other work. They count
// in full as crashes of unproven work. Otherwise popular work that has not succeeded yet would
// explain the crashes of harmful work that runs beside it. The caller holds mu.
func (l *List) explainedByOther(c *crash, work Work, now time.Time) bool {
	for other := range c.works {
		if other == work || !l.successes.at(other).IsZero() || len(l.suspects[other].crashes) < l.Limit() {
			continue
		}
		crashes := l.countedCrashes(other, now, time.Time{})
		elsewhere := slices.ContainsFunc(crashes, func(candidate *crash) bool { return !candidate.hasWork(work) })
		if elsewhere && len(longestSequence(crashes, other)) >= l.Limit() {
			return true
		}
	}
	return false
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
