package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// evaluate sums up what counts against a work. The caller holds mu.
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
	crashes = longestSequence(crashes, work)
	if !lastSuccess.IsZero() || l.RowsPending {
		verdict.Limit *= provenFactor
	}
	for _, c := range crashes {
		verdict.Replicas = append(verdict.Replicas, c.replica)
		verdict.LastCrash = c.at
	}
	if excess := len(crashes) - verdict.Limit; excess >= 0 {
		verdict.Quarantined = true
		verdict.Until = crashes[excess].at.Add(l.window())
	}
	return verdict
}

// countedCrashes returns the ends of replicas on which a work ran that are later than a time and not too
// long ago, in order. The caller holds mu.
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

// explainedByOther reports whether an end is due to other work that ran there: to one that ended its
// full number of replicas, one of them without this work, and was never seen to end well. That
// speaks for work which was, and for no other: popular work that nobody has seen end well yet
// would explain the ends of the harmful work beside it. The caller holds mu.
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

func (c *crash) hasWork(work Work) bool {
	_, ran := c.works[work]
	return ran
}

// longestSequence returns the most ends, of some in order, such that each befell a run of a
// work that was sent after the one before.
func longestSequence(crashes []*crash, work Work) []*crash {
	var chain []*crash
	for _, c := range crashes {
		if len(chain) == 0 || !c.works[work].Before(chain[len(chain)-1].at.Add(-clockSkew)) {
			chain = append(chain, c)
		}
	}
	return chain
}
