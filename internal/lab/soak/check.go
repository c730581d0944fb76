package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"
)

// Promise is the name of a guarantee that the system under test has to keep.
type Promise string

// The promises that Check verifies.
const (
	// An item keeps one position of its job, and a position keeps one item.
	OnePosition Promise = "one-position-for-good"
	// The content of a result does not change once it was read.
	ResultNeverChanges Promise = "result-never-changes"
	// The result of an item is its complete text.
	WholeText Promise = "whole-text"
	// All items of an accepted job are listed eventually, unless the job is ended.
	JobFinishes Promise = "accepted-job-finishes"
	// An item is only dead after an invalid answer or maxFailures failures.
	DeadWithCause Promise = "dead-only-with-cause"
	// A request to an at-most-once route runs at most once.
	AtMostOnce Promise = "at-most-once"
	// A request or item does not begin at a server while another one still runs it.
	OneRunAtATime Promise = "one-run-at-a-time"
	// A request to an at-most-once route that was answered as not run has not run.
	NotRunIsTrue Promise = "not-run-is-true"
	// A stream that ended normally contains every event in order.
	WholeAnswer Promise = "whole-answer"
	// A process never loses a route that it has served.
	ConfigNeverBack Promise = "configuration-never-back"
	// A draining server gets no new requests.
	DrainingUnused Promise = "draining-gets-nothing"
	// The items of an ended job are no longer started.
	EndedJobStops Promise = "ended-job-stops"
	// The tokens of unfinished items stay within the quota.
	WithinQuota Promise = "within-quota"
	// No item of a refused job runs.
	RefusedNotRun Promise = "refused-job-never-runs"
	// An answer with status 503 contains a time after which to retry.
	RetryAfterGiven Promise = "refusal-says-when-to-come-back"
	// Servers receive the name of the tenant and never an API key.
	KeyNotForwarded Promise = "back-end-learns-tenant-never-key"
	// The rate limit of a tenant holds over all nodes in any window.
	WithinLimit Promise = "within-limit-in-any-window"
	// A node only exits on request, and then without a failure.
	NodeKeepsRunning Promise = "node-ends-only-when-told"
	// An evacuated zone gets no requests from connected nodes.
	EvacuatedUnused Promise = "evacuated-zone-gets-nothing"
	// A cold server gets requests at most at its cold rate.
	ColdWithinRate Promise = "cold-within-its-rate"
	// The other zones serve requests while a zone is lost.
	OthersServe Promise = "lost-zone-others-serve"
	// The rate limit of a tenant holds while a node is cut off from the store.
	LimitWhenCutOff Promise = "limit-holds-when-cut"
	// Harmful work crashes a limited number of servers.
	HarmBounded Promise = "harmful-work-ends-few-servers"
	// A harmful part of prompts crashes a limited number of servers.
	PartBounded Promise = "harmful-part-ends-few-servers"
	// Sound requests are served while others with the same first part and a harmful one come.
	BesideHarmServed Promise = "requests-beside-harmful-part-served"
	// A node that gets most new connections serves them.
	CrowdServed Promise = "crowded-node-serves"
	// Harmless work is not quarantined.
	HarmlessServed Promise = "harmless-work-is-not-quarantined"
	// An accepted job can be read at the end of the run.
	JobReadable Promise = "accepted-job-can-be-read"
	// Items are listed within listBound once load and faults have ended.
	ItemListedInCalm Promise = "item-listed-in-calm"
	// No item waits too long while a server has a free slot.
	NoWaitBesideFreeSlots Promise = "no-item-waits-beside-free-slots"
	// A server row that another writer has put into the table is ignored.
	ForeignUnused Promise = "foreign-row-names-no-server"
	// A result that was read at one node can be read at all nodes.
	ReadEverywhere Promise = "result-read-once-is-read-everywhere"
	// An answer about a job is at least as recent as it says.
	AsRecentAsSaid Promise = "answer-is-as-recent-as-it-says"
	// A change of the configuration leaves hardly more requests without an answer than calm does.
	AnsweredBesideConfig Promise = "requests-answered-beside-configuration"
	// A stream or text is of one software version, over all requests of its caller.
	OneVersion Promise = "stream-has-one-version"
	// Streams that callers continue at undisturbed nodes go on.
	StreamsGoOn Promise = "streams-taken-up-go-on"
)

// Bounds of the promises, as the platform specifies them. In this package, a name in parentheses
// after the description of a bound is its name in the specification.
const (
	drainBound  = 2 * time.Second
	cancelBound = 3 * time.Second
	// quotaTolerance is the fraction by which the quota may be exceeded.
	quotaTolerance = 0.1
	// maxFailures is the number of reported failures after which an item is dead.
	maxFailures = 3
)

// Promises returns all promises that Check verifies.
func Promises() []Promise {
	return []Promise{
		OnePosition, WholeText, JobFinishes, DeadWithCause, AtMostOnce, NotRunIsTrue, WholeAnswer, ConfigNeverBack,
		DrainingUnused, EndedJobStops, WithinQuota, RefusedNotRun, RetryAfterGiven,
		KeyNotForwarded, WithinLimit, NodeKeepsRunning, EvacuatedUnused, ColdWithinRate, OthersServe, LimitWhenCutOff, HarmBounded, HarmlessServed,
		JobReadable, ItemListedInCalm, NoWaitBesideFreeSlots, ForeignUnused, ReadEverywhere,
		OneVersion, StreamsGoOn, PartBounded, BesideHarmServed, CrowdServed, AsRecentAsSaid, AnsweredBesideConfig,
		OneRunAtATime, ResultNeverChanges,
	}
}

// Violation describes how a promise was broken.
type Violation struct {
	Promise Promise
	Detail  string
}

func (v Violation) String() string { return string(v.Promise) + ": " + v.Detail }

// checker holds the state of one call of Check or Occasions.
type checker struct {
	*History
	runs       map[string][]ServerRun
	violations []Violation
}

// newChecker returns a checker of a history.
func newChecker(h *History) *checker {
	c := &checker{History: h, runs: map[string][]ServerRun{}}
	for _, run := range h.Runs {
		c.runs[run.ID] = append(c.runs[run.ID], run)
	}
	return c
}

// Check returns the violations that a history contains.
func Check(h *History) []Violation {
	c := newChecker(h)
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
	c.checkBesideHarmfulParts()
	c.checkCrowds()
	c.checkListings()
	c.checkWaits()
	c.checkForeignRows()
	c.checkReads()
	c.checkStatedAges()
	c.checkConfigChanges()
	c.checkVersions()
	c.checkContinuations()
	c.checkOverlaps()
	c.checkNodeExits()
	return c.violations
}

func (c *checker) addViolation(promise Promise, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{promise, fmt.Sprintf(format, arguments...)})
}

// checkJobs checks that accepted jobs can be read at the end with all their items listed, and that
// no item of a refused job ran.
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

// checkConfiguration checks that a process which has served a route does not answer later that the
// route is unknown. The configuration only ever gains routes.
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

// checkDrains checks that draining servers get no new requests. Requests that arrived before may wait
// there for a slot and begin to run later.
func (c *checker) checkDrains() {
	for _, drain := range c.Drains {
		for _, run := range c.Runs {
			if run.Server == drain.Server && run.Received.After(drain.At.Add(drainBound)) {
				c.addViolation(DrainingUnused, "server %s got %s %v after it was draining", drain.Server, run.ID, run.Received.Sub(drain.At))
			}
		}
	}
}

// checkEndedJobs checks that items of ended jobs are no longer started. Faults may delay the nodes
// that run the items, so only jobs that are ended in the calm phase are checked.
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

// checkQuota checks that the tokens of unfinished items are within the quota whenever a job is
// accepted.
func (c *checker) checkQuota() {
	if c.Quota == 0 {
		return
	}
	firstRun := map[string]time.Time{}
	for _, run := range c.Runs {
		// An item counts as finished from the start of its first run on.
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

// checkNodeExits reports nodes that exited without a request, or with a failure.
func (c *checker) checkNodeExits() {
	for _, exit := range c.Exits {
		c.addViolation(NodeKeepsRunning, "%s", exit.Error())
	}
}
