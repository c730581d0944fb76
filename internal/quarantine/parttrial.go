package quarantine

import "slices"

// The crash of a trial of a part says nothing if something else may have crashed the replica: a part outside
// the tried set, held by the same request or by another one that ran there, or a whole request. Such a
// trial is unclear, and does not put off the next one by the long delays.

// maxUnclearTrials is the number of trials that do not put off the next one. A harmful part whose trials run
// beside other harmful work crashes that many replicas more.
const maxUnclearTrials = 1

// countPartTrials counts the trials of a part among the crashes of a verdict, given all parts of which they
// were trials. The caller holds mu.
func (l *List) countPartTrials(verdict *Verdict, crashes []*crash, tried []Work) {
	unclear := 0
	for _, c := range crashes {
		if !c.works[verdict.Work].trial {
			continue
		}
		verdict.FailedTrials++
		verdict.LastTrial = c.at
		if l.hasOtherCause(c, tried) {
			unclear++
		}
	}
	if unclear > 0 && l.mostHaveOtherCause(crashes, tried) {
		verdict.UnclearTrials = min(unclear, maxUnclearTrials)
	}
}

// mostHaveOtherCause reports whether something other than the given parts may have caused more than half of the
// crashes. Of a harmful part only the trial may happen to have another possible cause. The caller holds mu.
func (l *List) mostHaveOtherCause(crashes []*crash, parts []Work) bool {
	count := 0
	for _, c := range crashes {
		if l.hasOtherCause(c, parts) {
			count++
		}
	}
	return 2*count > len(crashes)
}

// hasOtherCause reports whether something other than the given parts may have crashed a replica. The caller
// holds mu.
func (l *List) hasOtherCause(c *crash, parts []Work) bool {
	for part := range c.works {
		if !slices.Contains(parts, part) && l.isSuspicious(part) {
			return true
		}
	}
	return l.WholeRequests.ranSuspiciousAt(c)
}

// ranSuspiciousAt reports whether a whole request that never succeeded and that was at several crashes ran on the
// replica of a crash that another list holds.
func (l *List) ranSuspiciousAt(other *crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.sameCrash(other)
	return own != nil && l.ranSuspiciousWork(own)
}
