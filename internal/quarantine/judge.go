package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// judge sums up what counts against a work. The caller holds mu.
func (l *List) judge(work Work, now time.Time) Verdict {
	well := l.well.at(work)
	verdict := Verdict{Work: work, Limit: l.Limit()}
	var counted []*end
	if l.works[work] != nil {
		counted = l.counted(work, now, well)
	}
	if !well.IsZero() {
		counted = slices.DeleteFunc(counted, func(ended *end) bool { return l.explained(ended, work, now) })
	}
	counted = oneAfterTheOther(counted, work)
	if !well.IsZero() || l.Unread {
		verdict.Limit *= provenFactor
	}
	for _, ended := range counted {
		verdict.Replicas = append(verdict.Replicas, ended.replica)
		verdict.Last = ended.at
	}
	if beyond := len(counted) - verdict.Limit; beyond >= 0 {
		verdict.Quarantined = true
		verdict.Until = counted[beyond].at.Add(l.memory())
	}
	return verdict
}

// counted returns the ends of replicas on which a work ran that are later than a time and not too
// long ago, in order. The caller holds mu.
func (l *List) counted(work Work, now, after time.Time) []*end {
	var counted []*end
	for ended := range l.works[work].ends {
		if ended.at.After(after) && now.Sub(ended.at) < l.memory() {
			counted = append(counted, ended)
		}
	}
	slices.SortFunc(counted, func(a, b *end) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.replica, b.replica))
	})
	return counted
}

// explained reports whether an end is due to other work that ran there: to one that ended its
// full number of replicas, one of them without this work, and was never seen to end well. That
// speaks for work which was, and for no other: popular work that nobody has seen end well yet
// would explain the ends of the harmful work beside it. The caller holds mu.
func (l *List) explained(ended *end, work Work, now time.Time) bool {
	for other := range ended.works {
		if other == work || !l.well.at(other).IsZero() || len(l.works[other].ends) < l.Limit() {
			continue
		}
		ends := l.counted(other, now, time.Time{})
		apart := slices.ContainsFunc(ends, func(one *end) bool { return !one.ranHere(work) })
		if apart && len(oneAfterTheOther(ends, other)) >= l.Limit() {
			return true
		}
	}
	return false
}

func (e *end) ranHere(work Work) bool {
	_, ran := e.works[work]
	return ran
}

// oneAfterTheOther returns the most ends, of some in order, such that each befell a run of a
// work that was sent after the one before.
func oneAfterTheOther(ends []*end, work Work) []*end {
	var chain []*end
	for _, ended := range ends {
		if len(chain) == 0 || !ended.works[work].Before(chain[len(chain)-1].at.Add(-beganSlack)) {
			chain = append(chain, ended)
		}
	}
	return chain
}
