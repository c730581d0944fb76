package history

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Rule identifies an invariant of a history.
type Rule string

// Rules that Check verifies.
const (
	RuleItemOnce       Rule = "item-exactly-once"
	RuleItemResult     Rule = "item-result-readable"
	RuleJobFinishes    Rule = "accepted-job-finishes"
	RuleAtMostOnce     Rule = "not-repeatable-at-most-once"
	RuleNotRun         Rule = "not-run-is-true"
	RuleWholeAnswer    Rule = "whole-answer"
	RuleBehindBatch    Rule = "online-behind-batch"
	RuleLeaving        Rule = "leaving-gets-nothing"
	RulePlannedStop    Rule = "planned-stop-cuts-nothing"
	RuleCancelStops    Rule = "cancel-stops"
	RuleConfigReverts  Rule = "config-never-reverts"
	RuleConfigAccepted Rule = "config-accepted-in-force"
	RuleConfigWrites   Rule = "config-writes-linearizable"
	RuleFencedOrders   Rule = "orders-fenced"
)

// Grace periods of the rules.
const (
	// LeavingGrace is the time after which a leaving replica must not receive requests.
	LeavingGrace = 3 * time.Second
	// CancelGrace is the time within which the items of a cancelled job must stop.
	CancelGrace = 2 * time.Second
)

// Violation describes one violation of a rule.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

// String formats the violation on one line.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// checker holds a history sorted by time and the violations found in it.
type checker struct {
	events     []Event
	violations []Violation
	// crashed reports whether the history contains failures other than planned stops.
	crashed bool
}

// Check returns the violations found in a history. The events need not be sorted.
func Check(events []Event) []Violation {
	sorted := append([]Event(nil), events...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Time < sorted[j].Time })
	c := &checker{events: sorted, crashed: crashed(sorted)}
	c.checkJobs()
	c.checkItems()
	c.checkAtMostOnce()
	c.checkNotRun()
	c.checkAnswers()
	c.checkBehindBatch()
	c.checkLeaving()
	c.checkPlannedStops()
	c.checkCancel()
	c.checkOrders()
	c.checkConfigReverts()
	c.checkConfigAccepted()
	c.checkConfigWrites()
	return c.violations
}

func (c *checker) report(rule Rule, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, arguments...)})
}

// requestOf returns the request ID of an attempt ID, "request~...".
func requestOf(attempt string) string {
	request, _, _ := strings.Cut(attempt, "~")
	return request
}

// jobOf returns the job ID of a batch attempt ID, "job-line~...".
func jobOf(attempt string) string {
	request := requestOf(attempt)
	if cut := strings.LastIndexByte(request, '-'); cut > 0 {
		return request[:cut]
	}
	return request
}

// checkJobs checks that every accepted job that is not cancelled reaches a final state, that all its
// items are counted in it, and that cancelled jobs do not end in another state.
func (c *checker) checkJobs() {
	itemCounts := map[string]int{}
	final := map[string]Event{}
	cancelled := map[string]bool{}
	for _, event := range c.events {
		switch event.Type {
		case BatchAccepted:
			itemCounts[event.Job] = event.Count
		case BatchFinal:
			final[event.Job] = event
		case BatchCancelled:
			cancelled[event.Job] = true
		}
	}
	for job, count := range itemCounts {
		end, ended := final[job]
		switch {
		case !ended && !cancelled[job]:
			c.report(RuleJobFinishes, "job %s was accepted and never finished", job)
		case ended && cancelled[job] && end.Outcome != "cancelled":
			c.report(RuleCancelStops, "job %s was cancelled and ended as %s", job, end.Outcome)
		case ended && (end.Outcome == "completed" || end.Outcome == "expired") && end.Count != count:
			c.report(RuleItemOnce, "job %s has %d items ended of %d", job, end.Count, count)
		}
	}
}

// checkItems checks that a finished job has exactly one result per item and that it is correct.
func (c *checker) checkItems() {
	results := map[string]map[string]int{}
	finished := map[string]bool{}
	itemCounts := map[string]int{}
	for _, event := range c.events {
		switch event.Type {
		case BatchAccepted:
			itemCounts[event.Job] = event.Count
		case BatchFinal:
			finished[event.Job] = event.Outcome == "completed" || event.Outcome == "expired"
		case BatchResult:
			if results[event.Job] == nil {
				results[event.Job] = map[string]int{}
			}
			results[event.Job][event.Item]++
			if !event.Match {
				c.report(RuleItemResult, "job %s item %s: result is not the item's own (%s)", event.Job, event.Item, event.Outcome)
			}
			if event.Outcome == "outcome_unknown" && (event.Repeatable || !c.crashed) {
				c.report(RuleItemResult, "job %s item %s ended as unknown, repeatable %v, crashes %v", event.Job, event.Item, event.Repeatable, c.crashed)
			}
			if event.Outcome == "item_failed" {
				c.report(RuleItemResult, "job %s item %s failed: %s", event.Job, event.Item, event.Detail)
			}
		}
	}
	for job, items := range results {
		for item, count := range items {
			if count != 1 {
				c.report(RuleItemOnce, "job %s item %s has %d results", job, item, count)
			}
		}
	}
	for job, done := range finished {
		if done && len(results[job]) != itemCounts[job] {
			c.report(RuleItemOnce, "job %s has results for %d of %d items", job, len(results[job]), itemCounts[job])
		}
	}
}

// checkAtMostOnce checks that a request or item that is not repeatable starts at most once across all
// engines.
func (c *checker) checkAtMostOnce() {
	notRepeatable := map[string]bool{}
	starts := map[string]int{}
	for _, event := range c.events {
		switch {
		case event.Type == ClientSend && !event.Repeatable:
			notRepeatable[event.Request] = true
		case event.Type == EngineStart && strings.HasSuffix(event.Attempt, "~once"):
			notRepeatable[requestOf(event.Attempt)] = true
		}
		if event.Type == EngineStart {
			starts[requestOf(event.Attempt)]++
		}
	}
	for request := range notRepeatable {
		if starts[request] > 1 {
			c.report(RuleAtMostOnce, "%s ran %d times", request, starts[request])
		}
	}
}

// checkNotRun checks that a request that was refused as not run started on no engine, neither before
// the refusal nor between the refusal and the next send.
func (c *checker) checkNotRun() {
	type send struct {
		starts  int
		refused bool
	}
	sends := map[string]*send{}
	for _, event := range c.events {
		switch event.Type {
		case ClientSend:
			sends[event.Request] = &send{}
		case EngineStart:
			current := sends[requestOf(event.Attempt)]
			if current == nil {
				continue
			}
			current.starts++
			if current.refused {
				c.report(RuleNotRun, "%s started after it was refused as not run", requestOf(event.Attempt))
			}
		case ClientRefused:
			current := sends[event.Request]
			if current == nil || event.Executed != "no" {
				continue
			}
			current.refused = true
			if current.starts > 0 {
				c.report(RuleNotRun, "%s was refused as not run and had started: %s", event.Request, event.Detail)
			}
		}
	}
}

// checkAnswers checks that every answer is complete and belongs to its request.
func (c *checker) checkAnswers() {
	for _, event := range c.events {
		if event.Type == ClientAnswer && (!event.Whole || !event.Match) {
			c.report(RuleWholeAnswer, "%s got an answer that is not its own or not whole", event.Request)
		}
	}
}
