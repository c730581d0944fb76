package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Promise names what is promised.
type Promise string

// Promises.
const (
	OnePosition           Promise = "one-position-for-good"
	WholeText             Promise = "whole-text"
	JobFinishes           Promise = "accepted-job-finishes"
	DeadWithCause         Promise = "dead-only-with-cause"
	AtMostOnce            Promise = "at-most-once"
	NotRunIsTrue          Promise = "not-run-is-true"
	WholeAnswer           Promise = "whole-answer"
	ConfigNeverBack       Promise = "configuration-never-back"
	DrainingUnused        Promise = "draining-gets-nothing"
	EndedJobStops         Promise = "ended-job-stops"
	WithinQuota           Promise = "within-quota"
	RefusedNotRun         Promise = "refused-job-never-runs"
	RetryAfterGiven       Promise = "refusal-says-when-to-come-back"
	KeyNotForwarded       Promise = "back-end-learns-tenant-never-key"
	WithinLimit           Promise = "within-limit-in-any-window"
	NodeKeepsRunning      Promise = "node-ends-only-when-told"
	EvacuatedUnused       Promise = "evacuated-zone-gets-nothing"
	ColdWithinRate        Promise = "cold-within-its-rate"
	OthersServe           Promise = "lost-zone-others-serve"
	LimitWhenCutOff       Promise = "limit-holds-when-cut"
	HarmBounded           Promise = "harmful-work-ends-few-servers"
	HarmlessServed        Promise = "harmless-work-is-not-quarantined"
	JobReadable           Promise = "accepted-job-can-be-read"
	ItemListedInCalm      Promise = "item-listed-in-calm"
	NoWaitBesideFreeSlots Promise = "no-item-waits-beside-free-slots"
	ForeignUnused         Promise = "foreign-row-names-no-server"
	ReadEverywhere        Promise = "result-read-once-is-read-everywhere"
)

// Bounds of the promises, those of the users' pages.
const (
	drainBound  = 2 * time.Second
	cancelBound = 3 * time.Second
	// quotaTolerance is the part by which the quota may be exceeded.
	quotaTolerance = 0.1
	// maxFailures is the number of reported failures that end an item.
	maxFailures = 3
)

// Promises lists all promises that Check looks at.
func Promises() []Promise {
	return []Promise{
		OnePosition, WholeText, JobFinishes, DeadWithCause, AtMostOnce, NotRunIsTrue, WholeAnswer, ConfigNeverBack,
		DrainingUnused, EndedJobStops, WithinQuota, RefusedNotRun, RetryAfterGiven,
		KeyNotForwarded, WithinLimit, NodeKeepsRunning, EvacuatedUnused, ColdWithinRate, OthersServe, LimitWhenCutOff, HarmBounded, HarmlessServed,
		JobReadable, ItemListedInCalm, NoWaitBesideFreeSlots, ForeignUnused, ReadEverywhere,
	}
}

// Violation is a promise that was not kept.
type Violation struct {
	Promise Promise
	Detail  string
}

func (v Violation) String() string { return string(v.Promise) + ": " + v.Detail }

// checker is the state of one checker.
type checker struct {
	*History
	runs       map[string][]ServerRun
	violations []Violation
}

// Check returns the promises that a history shows broken.
func Check(h *History) []Violation {
	c := &checker{History: h, runs: map[string][]ServerRun{}}
	for _, run := range h.Runs {
		c.runs[run.ID] = append(c.runs[run.ID], run)
	}
	c.checkPositions()
	c.checkJobs()
	c.checkRequests()
	c.checkConfiguration()
	c.checkDrains()
	c.checkEndedJobs()
	c.checkQuota()
	c.checkTenants()
	c.checkLimit(tenantLimited, WithinLimit)
	c.checkLimit(tenantFlood, LimitWhenCutOff)
	c.checkEvacuations()
	c.checkColdSends()
	c.checkLosses()
	c.checkHarm()
	c.checkListings()
	c.checkWaits()
	c.checkForeignRows()
	c.checkReads()
	c.checkNodeExits()
	return c.violations
}

func (c *checker) addViolation(promise Promise, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{promise, fmt.Sprintf(format, arguments...)})
}

// checkPositions: an item has one position and a position one result, for good.
func (c *checker) checkPositions() {
	type jobPosition struct {
		job      string
		position int
	}
	resultAt := map[jobPosition]standin.Listed{}
	positionOf := map[string]int{}
	for _, obs := range c.Observations {
		key := jobPosition{obs.Job, obs.Position}
		if previous, ok := resultAt[key]; ok && previous != obs.Listed {
			c.addViolation(OnePosition, "position %d of job %s was %q and is %q", obs.Position, obs.Job, previous.Item, obs.Item)
		}
		resultAt[key] = obs.Listed
		if previous, ok := positionOf[obs.Item]; ok && previous != obs.Position {
			c.addViolation(OnePosition, "item %s stands at %d and at %d", obs.Item, previous, obs.Position)
		}
		positionOf[obs.Item] = obs.Position
	}
	for key, result := range resultAt {
		c.checkResult(key.job, result)
	}
}

// checkResult checks one checkResult's text, or that it has cause to be dead.
func (c *checker) checkResult(job string, result standin.Listed) {
	if !result.Dead {
		if result.Text != c.wholeText() {
			c.addViolation(WholeText, "item %s of job %s has the text %q", result.Item, job, result.Text)
		}
		return
	}
	failed := 0
	for _, run := range c.runs[result.Item] {
		switch run.Did {
		case standin.Invalid:
			return
		case standin.Fail:
			failed++
		}
	}
	if failed < maxFailures && c.CalmFrom.IsZero() {
		return
	}
	if failed < maxFailures {
		c.addViolation(DeadWithCause, "item %s of job %s is dead after %d failures", result.Item, job, failed)
	}
}

func (c *checker) wholeText() string {
	var pieces []string
	for id := 1; id <= c.Events; id++ {
		pieces = append(pieces, standin.Event(id))
	}
	return strings.Join(pieces, "\n")
}

// checkJobs: an accepted job can be read at the end, and has all its items listed.
func (c *checker) checkJobs() {
	for _, job := range c.Jobs {
		if !job.Accepted {
			if job.Refused {
				c.checkRefusedJob(job)
			}
			continue
		}
		final, read := c.Final[job.ID]
		if !read {
			c.addViolation(JobReadable, "job %s of %d items: no node answered with its list", job.ID, len(job.Items))
			continue
		}
		if !job.EndedAt.IsZero() {
			continue
		}
		listed := map[string]bool{}
		for _, result := range final {
			listed[result.Item] = true
		}
		for _, item := range job.Items {
			if !listed[item] {
				c.addViolation(JobFinishes, "item %s of job %s is not listed", item, job.ID)
			}
		}
	}
}

func (c *checker) checkRefusedJob(job Job) {
	for _, item := range job.Items {
		if len(c.runs[item]) > 0 {
			c.addViolation(RefusedNotRun, "item %s of refused job %s ran", item, job.ID)
		}
	}
}

// checkRequests: whole answers, at most one run, true refusals.
func (c *checker) checkRequests() {
	for _, req := range c.Requests {
		ran := len(c.runs[req.ID])
		if req.AtMostOnce && ran > 1 {
			c.addViolation(AtMostOnce, "request %s ran %d times", req.ID, ran)
		}
		if req.Answer.NotRun() {
			if ran > 0 && req.AtMostOnce {
				c.addViolation(NotRunIsTrue, "request %s got %d and ran", req.ID, req.Answer.Status)
			}
			if req.Answer.Status == http.StatusServiceUnavailable && !req.Answer.ComeBack {
				c.addViolation(RetryAfterGiven, "request %s got 503 without a time", req.ID)
			}
		}
		if req.Answer.Status == http.StatusOK && req.Answer.Whole && !c.isWhole(req.Answer.Events()) {
			c.addViolation(WholeAnswer, "request %s got %v", req.ID, req.Answer.Events())
		}
	}
}

func (c *checker) isWhole(events []string) bool {
	if len(events) != c.Events {
		return false
	}
	for i, event := range events {
		if event != standin.Event(i+1) {
			return false
		}
	}
	return true
}

// checkConfiguration: a process that has served a route does not lose it again. Routes
// are only ever added.
func (c *checker) checkConfiguration() {
	type routeOfProcess struct {
		node    string
		process int
		prefix  string
	}
	servedSince := map[routeOfProcess]time.Time{}
	ordered := slices.Clone(c.Requests)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Ended.Before(ordered[j].Ended) })
	for _, req := range ordered {
		key := routeOfProcess{req.Node, req.Process, req.Prefix}
		switch req.Answer.Status {
		case http.StatusOK:
			if servedSince[key].IsZero() {
				servedSince[key] = req.Ended
			}
		case http.StatusNotFound:
			if since := servedSince[key]; !since.IsZero() && req.Sent.After(since) {
				c.addViolation(ConfigNeverBack, "node %s served %s and then did not know it", req.Node, req.Prefix)
			}
		}
	}
}

// checkDrains: a draining server gets nothing new.
func (c *checker) checkDrains() {
	for _, drain := range c.Drains {
		for _, run := range c.Runs {
			if run.Server == drain.Server && run.At.After(drain.At.Add(drainBound)) {
				c.addViolation(DrainingUnused, "server %s got %s %v after it was draining", drain.Server, run.ID, run.At.Sub(drain.At))
			}
		}
	}
}

// checkEndedJobs: an ended job's items stop. Faults may hold up who runs them, so only checkEndedJobs
// in calm count.
func (c *checker) checkEndedJobs() {
	for _, job := range c.Jobs {
		if job.EndedAt.IsZero() || job.EndedAt.Before(c.CalmFrom) {
			continue
		}
		for _, item := range job.Items {
			for _, run := range c.runs[item] {
				if run.At.After(job.EndedAt.Add(cancelBound)) {
					c.addViolation(EndedJobStops, "item %s began %v after the end of job %s", item, run.At.Sub(job.EndedAt), job.ID)
				}
			}
		}
	}
}

// checkQuota: when a job is accepted, the tokens of items that no server has finished
// stay within the checkQuota.
func (c *checker) checkQuota() {
	if c.Quota == 0 {
		return
	}
	firstRun := map[string]time.Time{}
	for _, run := range c.Runs {
		// A run has ended at the latest when the last event was due.
		if earliest, ok := firstRun[run.ID]; !ok || run.At.Before(earliest) {
			firstRun[run.ID] = run.At
		}
	}
	for _, job := range c.Jobs {
		if !job.Accepted {
			continue
		}
		waiting := 0
		for _, other := range c.Jobs {
			if !other.Accepted || other.At.After(job.At) || !other.EndedAt.IsZero() {
				continue
			}
			for _, item := range other.Items {
				if startedAt, ok := firstRun[item]; !ok || startedAt.After(job.At) {
					waiting += other.Tokens
				}
			}
		}
		if float64(waiting) > float64(c.Quota)*(1+quotaTolerance) {
			c.addViolation(WithinQuota, "with job %s %d tokens wait, %d may", job.ID, waiting, c.Quota)
		}
	}
}

// checkNodeExits: a node ends only when it is told to, and then without a failure.
func (c *checker) checkNodeExits() {
	for _, exit := range c.Exits {
		c.addViolation(NodeKeepsRunning, "%s", exit.Error())
	}
}
