package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Occasions returns how often each promise could have been broken in a history: the observations that
// its check judges. A promise without an occasion says nothing.
func Occasions(h *History) map[Promise]int {
	c := newChecker(h)
	occasions := map[Promise]int{
		OnePosition:          len(h.Observations),
		DrainingUnused:       len(h.Drains),
		KeyNotForwarded:      len(h.Runs),
		NodeKeepsRunning:     len(h.NodeZones),
		EvacuatedUnused:      countLonger(h.Evacuations, evacuationBound),
		OthersServe:          countLonger(h.Losses, lossGrace),
		ColdWithinRate:       c.judgedColdSends(),
		HarmBounded:          c.harmfulWorks(),
		HarmlessServed:       c.harmlessSuspects(),
		ForeignUnused:        len(h.ForeignRows),
		ReadEverywhere:       c.judgedReads(),
		OneVersion:           c.versionedStreams(),
		StreamsGoOn:          c.judgedContinuations(),
		PartBounded:          c.judgedParts(),
		BesideHarmServed:     c.judgedBesideHarm(),
		CrowdServed:          c.judgedCrowds(),
		AsRecentAsSaid:       c.judgedAges(),
		AnsweredBesideConfig: c.judgedBesideConfig(),
		OneRunAtATime:        c.judgedOverlaps(),
		ResultNeverChanges:   c.repeatedReads(),
	}
	c.countJobs(occasions)
	c.countResults(occasions)
	lateAnswersTo := c.lateAnswersTo()
	for i := range h.Requests {
		req := &h.Requests[i]
		c.countRequest(req, lateAnswersTo[req.ID], occasions)
	}
	return occasions
}

// WithoutOccasion returns the promises that have no occasion, in the order of Promises.
func WithoutOccasion(occasions map[Promise]int) []Promise {
	var without []Promise
	for _, promise := range Promises() {
		if occasions[promise] == 0 {
			without = append(without, promise)
		}
	}
	return without
}

// countLonger returns the number of outages that last longer than a bound.
func countLonger(outages []Outage, bound time.Duration) int {
	count := 0
	for _, outage := range outages {
		if outage.To.Sub(outage.From) > bound {
			count++
		}
	}
	return count
}

// countJobs counts the jobs and items that checkJobs, checkQuota, checkEndedJobs, checkListings and
// checkWaits judge.
func (c *checker) countJobs(occasions map[Promise]int) {
	for _, job := range c.Jobs {
		items := len(job.Items)
		if !job.Accepted {
			if job.Refused {
				occasions[RefusedNotRun] += items
			}
			continue
		}
		occasions[JobReadable]++
		occasions[WithinQuota]++
		switch {
		case job.EndedAt.IsZero():
			occasions[JobFinishes] += items
			occasions[ItemListedInCalm] += items
		case !job.EndedAt.Before(c.CalmFrom):
			occasions[EndedJobStops] += items
		}
	}
	occasions[NoWaitBesideFreeSlots] = c.itemsBesideFreeSlots()
}

// itemsBesideFreeSlots returns the number of items that waited beside a free slot.
func (c *checker) itemsBesideFreeSlots() int {
	firstListed, freeSlots := c.firstListed(), c.freeSlots()
	end := c.LoadEnd.Add(listBound)
	count := 0
	for _, job := range c.Jobs {
		if !job.Accepted || !job.EndedAt.IsZero() {
			continue
		}
		for _, item := range job.Items {
			if w := c.longestWait(item, &job, firstListed, freeSlots, end); w.besideFree > 0 {
				count++
			}
		}
	}
	return count
}

// countResults counts the distinct results that were read.
func (c *checker) countResults(occasions map[Promise]int) {
	seen := map[standin.JobResult]bool{}
	for _, obs := range c.Observations {
		if seen[obs.JobResult] {
			continue
		}
		seen[obs.JobResult] = true
		if obs.DeadLetter {
			occasions[DeadWithCause]++
		} else {
			occasions[WholeText]++
		}
	}
}

// repeatedReads returns the number of times that a result was read again.
func (c *checker) repeatedReads() int {
	positions := map[resultPosition]bool{}
	for _, obs := range c.Observations {
		positions[resultPosition{obs.Job, obs.Position}] = true
	}
	return len(c.Observations) - len(positions)
}

// countRequest counts the promises that the answer to a request could have broken. Requests that run at most once
// count if a late answer came in place of one to them, since a node has no cause to repeat others, or if
// they break a promise.
func (c *checker) countRequest(req *Request, gotLateAnswer bool, occasions map[Promise]int) {
	runs := len(c.runs[req.ID])
	ran := runs > 0
	if req.AtMostOnce && (gotLateAnswer && ran || runs > 1) {
		occasions[AtMostOnce]++
	}
	if req.AtMostOnce && req.Answer.NotExecuted() && (gotLateAnswer || ran) {
		occasions[NotRunIsTrue]++
	}
	switch req.Answer.Status {
	case http.StatusServiceUnavailable:
		occasions[RetryAfterGiven]++
	case http.StatusOK:
		occasions[ConfigNeverBack]++
		if req.Answer.Complete {
			occasions[WholeAnswer]++
		}
	}
	if !ran {
		return
	}
	switch req.Tenant {
	case tenantLimited:
		occasions[WithinLimit]++
	case tenantFlood:
		occasions[LimitWhenCutOff]++
	}
}

// judgedColdSends returns the number of requests to cold servers that checkColdSends judges.
func (c *checker) judgedColdSends() int {
	count := 0
	for _, send := range c.ColdSends {
		if send.At.Sub(send.Since) >= coldGrace && c.couldAdvertiseCold(send) {
			count++
		}
	}
	return count
}

// harmfulWorks returns the number of harmful works that crashed harmThreshold servers.
func (c *checker) harmfulWorks() int { return c.countHarmful(false, harmThreshold) }

// judgedParts returns the number of harmful parts that crashed partThreshold servers.
func (c *checker) judgedParts() int { return c.countHarmful(true, partThreshold) }

// countHarmful returns the number of harmful works, or of harmful parts, that crashed at least threshold
// servers.
func (c *checker) countHarmful(parts bool, threshold int) int {
	count := 0
	for work, crashes := range c.crashesByWork() {
		if isHarmfulPart(work) == parts && len(crashes) >= threshold {
			count++
		}
	}
	return count
}

// harmlessSuspects returns the number of harmless requests that were refused as harmful, or that ran
// on a server when harmful work crashed it.
func (c *checker) harmlessSuspects() int {
	count := 0
	for _, req := range c.Requests {
		if req.Answer.Reason == quarantinedReason || slices.ContainsFunc(c.runs[req.ID], c.crashedDuring) {
			count++
		}
	}
	return count
}

// crashedDuring reports whether harmful work crashed the server during a run.
func (c *checker) crashedDuring(run ServerRun) bool {
	for _, crash := range c.HarmfulCrashes {
		if crash.Server == run.Server && !run.At.After(crash.At) && (run.Ended.IsZero() || !run.Ended.Before(crash.At)) {
			return true
		}
	}
	return false
}

// judgedReads returns the number of answers of undisturbed nodes about jobs that had been accepted
// for longer than readBound.
func (c *checker) judgedReads() int {
	expected := c.expectReads()
	count := 0
	for i := range c.Reads {
		read := &c.Reads[i]
		acceptedAt, known := expected.accepted[read.Job]
		answered := read.Status == http.StatusOK || read.Status == http.StatusNotFound
		if known && answered && read.Sent.Sub(acceptedAt) > readBound && !c.excused(read) {
			count++
		}
	}
	return count
}
