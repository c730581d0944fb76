package quarantine

import "slices"

// Known returns the newest crashes that this node knows, up to limit of whole requests and as many of parts
// of prompts, and when the work that they may be attributed to last succeeded, if it has. They are for a
// node that has just started.
func (g *Guard) Known(limit int) ([]CrashReport, []Clearing) {
	reports, clearings := g.List.known(limit)
	if g.Parts == nil {
		return reports, clearings
	}
	ofParts, cleared := g.Parts.known(limit)
	for _, report := range ofParts {
		report.Runs, report.Parts = nil, report.Runs
		reports = append(reports, report)
	}
	for _, clearing := range cleared {
		clearing.Part = true
		clearings = append(clearings, clearing)
	}
	return reports, clearings
}

// known returns the newest crashes of the list, up to limit, and the last successes of their works.
func (l *List) known(limit int) ([]CrashReport, []Clearing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []CrashReport
	var clearings []Clearing
	cleared := map[Work]bool{}
	for _, c := range l.byArrival[max(0, len(l.byArrival)-limit):] {
		reports = append(reports, c.report())
		for work := range c.works {
			if at := l.successes.at(work); !at.IsZero() && !cleared[work] {
				cleared[work] = true
				clearings = append(clearings, Clearing{Work: work, At: at})
			}
		}
	}
	return reports, clearings
}

// report returns a report of the crash with the runs of all its works.
func (c *crash) report() CrashReport {
	report := CrashReport{Replica: c.replica, StartedUnixMs: c.startedUnixMs, At: c.at}
	for work, run := range c.works {
		report.Runs = append(report.Runs, Run{Work: work, SentAt: run.sentAt, Trial: run.trial})
	}
	slices.SortFunc(report.Runs, func(a, b Run) int { return a.SentAt.Compare(b.SentAt) })
	return report
}

// KnownCrashes returns the number of crashes that this node knows, of requests or of parts of prompts,
// whichever is greater.
func (g *Guard) KnownCrashes() int {
	if g.Parts == nil {
		return g.List.crashCount()
	}
	return max(g.List.crashCount(), g.Parts.crashCount())
}

func (l *List) crashCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byArrival)
}
