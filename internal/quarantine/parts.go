package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// RefuseParts returns a RefusalError for a request that holds a quarantined part of prompts, or the parts
// that cannot be told apart. As in RefuseRequest, the request may be held, and it may be returned a
// trial to run as. parts and work, which identify the request, are called only if anything is
// quarantined.
func (g *Guard) RefuseParts(ctx context.Context, parts func() []Work, work func() Work) (*Trial, error) {
	if g.Parts == nil || !g.Parts.AnyQuarantined() {
		return nil, nil
	}
	held := parts()
	verdict := g.checkParts(held, clock.Now())
	if verdict.Quarantined && g.awaitAnswers(ctx, verdict) {
		verdict = g.checkParts(held, clock.Now())
	}
	if !verdict.Quarantined {
		return nil, nil
	}
	if err := g.Refuse(work); err != nil {
		// Its crash would not show that the part is harmful.
		return nil, err
	}
	refusal := &RefusalError{Verdict: verdict}
	if !g.Parts.mayTry(&verdict, held, clock.Now()) {
		return nil, refusal
	}
	return g.awaitTrial(ctx, refusal, func(now time.Time) Verdict { return g.checkParts(held, now) })
}

// checkParts returns the verdict on a request with the given parts.
func (g *Guard) checkParts(parts []Work, now time.Time) Verdict {
	verdict := g.Parts.CheckParts(parts, now)
	if verdict.NewlyQuarantined {
		g.onQuarantined(verdict)
	}
	return verdict
}

// RecordPartSuccess records a complete answer to a request with the given parts.
func (g *Guard) RecordPartSuccess(parts []Work) {
	if g.Parts == nil {
		return
	}
	now := clock.Now()
	for _, part := range parts {
		// Popular parts are at most crashes and succeed at all nodes: only what others need is reported.
		previous := g.Clear(Clearing{Work: part, At: now, Part: true})
		if g.recordResult(part) || previous.Quarantined {
			g.Events.Cleared(previous, now)
		}
	}
}

// Clear records that a run of work or of a request with a part succeeded, or that an operator released
// it. It returns the previous verdict.
func (g *Guard) Clear(clearing Clearing) Verdict {
	if !clearing.Part || g.Parts == nil {
		return g.List.Clear(clearing.Work, clearing.At)
	}
	g.List.endClaims(clearing.Work, clearing.At)
	return g.Parts.Clear(clearing.Work, clearing.At)
}

// listOf returns the list that a verdict is from.
func (g *Guard) listOf(verdict *Verdict) *List {
	if verdict.Part {
		return g.Parts
	}
	return g.List
}

// BeginTrial grants a trial of work or of a part to a request of this node, which owns the trials of it.
// It reports whether it did.
func (g *Guard) BeginTrial(trial Trial, now time.Time) bool {
	if g.holdsPart(trial.Work) {
		return g.GrantTrial(trial, now)
	}
	return g.List.BeginTrial(trial, now)
}

// GrantTrial is like BeginTrial, for a request of another node.
func (g *Guard) GrantTrial(trial Trial, now time.Time) bool {
	if g.holdsPart(trial.Work) {
		if verdict := g.Parts.Check(trial.Work, now); verdict.Quarantined && !verdict.RequestTrialDue(now) {
			return false
		}
	}
	return g.List.GrantTrial(trial, now)
}

// holdsPart reports whether the identity is that of a suspect part of prompts.
func (g *Guard) holdsPart(identity Work) bool { return g.Parts != nil && g.Parts.isSuspect(identity) }

// isSuspect reports whether any crash counts against work.
func (l *List) isSuspect(work Work) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspects[work] != nil
}

// endClaims ends the claims of trials of work that began before at.
func (l *List) endClaims(work Work, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseClaims(work, at)
}

// partRuns returns the runs of the parts of the prompts of runs, one for each part: the newest one, and a
// trial if any of them was.
func partRuns(runs []Run) []Run {
	var parts []Run
	for _, run := range runs {
		for _, part := range run.Parts {
			parts = append(parts, Run{Work: part, SentAt: run.SentAt, Trial: run.TriedPart == part})
		}
	}
	return mergeParts(nil, parts)
}

// mergeParts adds runs of parts to others, so that there is one for each part.
func mergeParts(merged, added []Run) []Run {
	for _, run := range added {
		i := slices.IndexFunc(merged, func(known Run) bool { return known.Work == run.Work })
		if i < 0 {
			merged = append(merged, run)
			continue
		}
		if run.SentAt.After(merged[i].SentAt) {
			merged[i].SentAt = run.SentAt
		}
		merged[i].Trial = merged[i].Trial || run.Trial
	}
	return merged
}
