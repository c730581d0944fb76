package replica

import "time"

// A replica may become cold again before it is warm. At the end of the first period, which all nodes know,
// none may know of the second: the replica reports it with its next heartbeat, and the list of a node is
// older still. All requests that wait would be sent at that moment. So a replica that has reported to be
// cold counts as cold until it reports that it is warm, which it does with its first heartbeat after the
// end.

// maxWarmReportDelay is how long after the end of the cold period that a replica reported the list may
// take to show its next report. A replica without one does not repeat its report, or does not reach the
// store and is dropped from the list soon. The report takes as long as that of a restart.
const maxWarmReportDelay = startListedDelay

// recordListedCold records what the listed description of an entry reports. The row of a draining replica
// does not tell whether it is cold. The caller holds mu.
func (s *Set) recordListedCold(e *entry, now time.Time) {
	switch {
	case e.info.ColdLeft > 0:
		s.markReportedCold(e, e.info.ColdLeft, now)
	case !e.info.Leaving && !e.cold.reportedUntil.IsZero():
		e.cold.reportedUntil = time.Time{}
	}
}

// markReportedCold marks an entry that reports to be cold for some time longer. The caller holds mu.
func (s *Set) markReportedCold(e *entry, left time.Duration, now time.Time) {
	until := now.Add(left)
	s.markCold(e, until, ColdReported, now)
	if until.After(e.cold.reportedUntil) {
		e.own().cold.reportedUntil = until
	}
	if due := until.Add(maxWarmReportDelay); due.After(s.warmReportsDue) {
		s.warmReportsDue = due
	}
}

// awaitsWarmReport reports whether an entry has reported to be cold and the list does not show yet that it
// is warm. The caller holds mu.
func (s *Set) awaitsWarmReport(e *entry) bool {
	if e.cold.reportedUntil.IsZero() || s.listTime.IsZero() {
		return false
	}
	return s.listTime.Before(e.cold.reportedUntil.Add(maxWarmReportDelay))
}
