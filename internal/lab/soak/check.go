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
	OnePosition    Promise = "one-position-for-good"
	WholeText      Promise = "whole-text"
	JobFinishes    Promise = "accepted-job-finishes"
	TrueDead       Promise = "dead-only-with-cause"
	AtMostOnce     Promise = "at-most-once"
	NotRunTrue     Promise = "not-run-is-true"
	WholeAnswer    Promise = "whole-answer"
	ConfigForward  Promise = "configuration-never-back"
	Drained        Promise = "draining-gets-nothing"
	EndStops       Promise = "ended-job-stops"
	WithinQuota    Promise = "within-quota"
	RefusedNotRun  Promise = "refused-job-never-runs"
	ComeBackIsSaid Promise = "refusal-says-when-to-come-back"
	TenantNotKey   Promise = "back-end-learns-tenant-never-key"
	WithinLimit    Promise = "within-limit-in-any-window"
	NodeLives      Promise = "node-ends-only-when-told"
	ZoneEmpty      Promise = "evacuated-zone-gets-nothing"
	ColdSpared     Promise = "cold-within-its-rate"
	OthersServe    Promise = "lost-zone-others-serve"
	LimitWhenCut   Promise = "limit-holds-when-cut"
	HarmBounded    Promise = "harmful-work-ends-few-servers"
	HarmlessServed Promise = "harmless-work-is-not-quarantined"
	JobReadable    Promise = "accepted-job-can-be-read"
	ListedInCalm   Promise = "item-listed-in-calm"
	NoIdleWait     Promise = "no-item-waits-beside-free-slots"
	ForeignUnused  Promise = "foreign-row-names-no-server"
	ReadEverywhere Promise = "result-read-once-is-read-everywhere"
)

// Bounds of the promises, those of the users' pages.
const (
	drainBound  = 2 * time.Second
	cancelBound = 3 * time.Second
	// quotaOver is the part by which the quota may be exceeded.
	quotaOver = 0.1
	// failuresToDie is the number of reported failures that end an item.
	failuresToDie = 3
)

// Promises lists all promises that Check looks at.
func Promises() []Promise {
	return []Promise{
		OnePosition, WholeText, JobFinishes, TrueDead, AtMostOnce, NotRunTrue, WholeAnswer, ConfigForward,
		Drained, EndStops, WithinQuota, RefusedNotRun, ComeBackIsSaid,
		TenantNotKey, WithinLimit, NodeLives, ZoneEmpty, ColdSpared, OthersServe, LimitWhenCut, HarmBounded, HarmlessServed,
		JobReadable, ListedInCalm, NoIdleWait, ForeignUnused, ReadEverywhere,
	}
}

// Broken is a promise that was not kept.
type Broken struct {
	Promise Promise
	Detail  string
}

func (b Broken) String() string { return string(b.Promise) + ": " + b.Detail }

// check is the state of one check.
type check struct {
	*History
	runs  map[string][]ServerRun
	found []Broken
}

// Check returns the promises that a history shows broken.
func Check(h *History) []Broken {
	c := &check{History: h, runs: map[string][]ServerRun{}}
	for _, run := range h.Runs {
		c.runs[run.ID] = append(c.runs[run.ID], run)
	}
	c.positions()
	c.jobsFinish()
	c.requests()
	c.configuration()
	c.drains()
	c.ends()
	c.quota()
	c.tenants()
	c.limit(tenantLimited, WithinLimit)
	c.limit(tenantFlood, LimitWhenCut)
	c.evacuations()
	c.coldSends()
	c.losses()
	c.harm()
	c.listings()
	c.waits()
	c.foreign()
	c.reads()
	c.lives()
	return c.found
}

func (c *check) broken(promise Promise, format string, arguments ...any) {
	c.found = append(c.found, Broken{promise, fmt.Sprintf(format, arguments...)})
}

// positions: an item has one position and a position one result, for good.
func (c *check) positions() {
	type place struct {
		job      string
		position int
	}
	at := map[place]standin.JobResult{}
	positionOf := map[string]int{}
	for _, one := range c.Readings {
		key := place{one.Job, one.Position}
		if known, ok := at[key]; ok && known != one.JobResult {
			c.broken(OnePosition, "position %d of job %s was %q and is %q", one.Position, one.Job, known.Item, one.Item)
		}
		at[key] = one.JobResult
		if known, ok := positionOf[one.Item]; ok && known != one.Position {
			c.broken(OnePosition, "item %s stands at %d and at %d", one.Item, known, one.Position)
		}
		positionOf[one.Item] = one.Position
	}
	for key, one := range at {
		c.result(key.job, one)
	}
}

// result checks one result's text, or that it has cause to be dead.
func (c *check) result(job string, one standin.JobResult) {
	if !one.DeadLetter {
		if one.Text != c.wholeText() {
			c.broken(WholeText, "item %s of job %s has the text %q", one.Item, job, one.Text)
		}
		return
	}
	failed := 0
	for _, run := range c.runs[one.Item] {
		switch run.Behaviour {
		case standin.RejectInvalid:
			return
		case standin.Fail:
			failed++
		}
	}
	if failed < failuresToDie && c.Calm.IsZero() {
		return
	}
	if failed < failuresToDie {
		c.broken(TrueDead, "item %s of job %s is dead after %d failures", one.Item, job, failed)
	}
}

func (c *check) wholeText() string {
	var pieces []string
	for id := 1; id <= c.Events; id++ {
		pieces = append(pieces, standin.EventData(id))
	}
	return strings.Join(pieces, "\n")
}

// jobsFinish: an accepted job can be read at the end, and has all its items listed.
func (c *check) jobsFinish() {
	for _, job := range c.Jobs {
		if !job.Accepted {
			if job.Refused {
				c.refused(job)
			}
			continue
		}
		final, read := c.Final[job.ID]
		if !read {
			c.broken(JobReadable, "job %s of %d items: no node answered with its list", job.ID, len(job.Items))
			continue
		}
		if !job.EndedAt.IsZero() {
			continue
		}
		listed := map[string]bool{}
		for _, one := range final {
			listed[one.Item] = true
		}
		for _, item := range job.Items {
			if !listed[item] {
				c.broken(JobFinishes, "item %s of job %s is not listed", item, job.ID)
			}
		}
	}
}

func (c *check) refused(job Job) {
	for _, item := range job.Items {
		if len(c.runs[item]) > 0 {
			c.broken(RefusedNotRun, "item %s of refused job %s ran", item, job.ID)
		}
	}
}

// requests: whole answers, at most one run, true refusals.
func (c *check) requests() {
	for _, one := range c.Requests {
		ran := len(c.runs[one.ID])
		if one.Once && ran > 1 {
			c.broken(AtMostOnce, "request %s ran %d times", one.ID, ran)
		}
		if one.Answer.NotExecuted() {
			if ran > 0 && one.Once {
				c.broken(NotRunTrue, "request %s got %d and ran", one.ID, one.Answer.Status)
			}
			if one.Answer.Status == http.StatusServiceUnavailable && !one.Answer.HasRetryAfter {
				c.broken(ComeBackIsSaid, "request %s got 503 without a time", one.ID)
			}
		}
		if one.Answer.Status == http.StatusOK && one.Answer.Complete && !c.whole(one.Answer.Events()) {
			c.broken(WholeAnswer, "request %s got %v", one.ID, one.Answer.Events())
		}
	}
}

func (c *check) whole(events []string) bool {
	if len(events) != c.Events {
		return false
	}
	for i, event := range events {
		if event != standin.EventData(i+1) {
			return false
		}
	}
	return true
}

// configuration: a process that has served a route does not lose it again. Routes
// are only ever added.
func (c *check) configuration() {
	type process struct {
		node   string
		life   int
		prefix string
	}
	served := map[process]time.Time{}
	ordered := slices.Clone(c.Requests)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Ended.Before(ordered[j].Ended) })
	for _, one := range ordered {
		key := process{one.Node, one.Life, one.Prefix}
		switch one.Answer.Status {
		case http.StatusOK:
			if served[key].IsZero() {
				served[key] = one.Ended
			}
		case http.StatusNotFound:
			if since := served[key]; !since.IsZero() && one.Sent.After(since) {
				c.broken(ConfigForward, "node %s served %s and then did not know it", one.Node, one.Prefix)
			}
		}
	}
}

// drains: a draining server gets nothing new.
func (c *check) drains() {
	for _, drain := range c.Drains {
		for _, run := range c.Runs {
			if run.Server == drain.Server && run.At.After(drain.At.Add(drainBound)) {
				c.broken(Drained, "server %s got %s %v after it was draining", drain.Server, run.ID, run.At.Sub(drain.At))
			}
		}
	}
}

// ends: an ended job's items stop. Faults may hold up who runs them, so only ends
// in calm count.
func (c *check) ends() {
	for _, job := range c.Jobs {
		if job.EndedAt.IsZero() || job.EndedAt.Before(c.Calm) {
			continue
		}
		for _, item := range job.Items {
			for _, run := range c.runs[item] {
				if run.At.After(job.EndedAt.Add(cancelBound)) {
					c.broken(EndStops, "item %s began %v after the end of job %s", item, run.At.Sub(job.EndedAt), job.ID)
				}
			}
		}
	}
}

// quota: when a job is accepted, the tokens of items that no server has finished
// stay within the quota.
func (c *check) quota() {
	if c.Quota == 0 {
		return
	}
	finished := map[string]time.Time{}
	for _, run := range c.Runs {
		// A run has ended at the latest when the last event was due.
		if known, ok := finished[run.ID]; !ok || run.At.Before(known) {
			finished[run.ID] = run.At
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
				if begun, ok := finished[item]; !ok || begun.After(job.At) {
					waiting += other.Tokens
				}
			}
		}
		if float64(waiting) > float64(c.Quota)*(1+quotaOver) {
			c.broken(WithinQuota, "with job %s %d tokens wait, %d may", job.ID, waiting, c.Quota)
		}
	}
}

// lives: a node ends only when it is told to, and then without a failure.
func (c *check) lives() {
	for _, one := range c.Ended {
		c.broken(NodeLives, "%s", one.Error())
	}
}
