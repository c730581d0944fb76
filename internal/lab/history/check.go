package history

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Rule names an invariant.
type Rule string

// Rules.
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

// Limits of the rules.
const (
	// LeavingGrace is the time after which a leaving replica must get nothing.
	LeavingGrace = 3 * time.Second
	// CancelGrace is the time in which a cancelled job's items must stop.
	CancelGrace = 2 * time.Second
)

// Violation is a broken rule.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

// String renders the violation in one line.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// checker holds a history in the order of time.
type checker struct {
	events []Event
	found  []Violation
	// crashed tells whether anything but planned stops happened.
	crashed bool
}

// Check returns the violations of a history.
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
	return c.found
}

func (c *checker) violate(rule Rule, format string, arguments ...any) {
	c.found = append(c.found, Violation{Rule: rule, Detail: fmt.Sprintf(format, arguments...)})
}

// logical returns the request that an attempt belongs to.
func logical(attempt string) string {
	request, _, _ := strings.Cut(attempt, "~")
	return request
}

// jobOf returns the job of a batch attempt, "job-line~...".
func jobOf(attempt string) string {
	request := logical(attempt)
	if cut := strings.LastIndexByte(request, '-'); cut > 0 {
		return request[:cut]
	}
	return request
}

// checkJobs: every accepted job reaches a final state, with all its items.
func (c *checker) checkJobs() {
	accepted := map[string]int{}
	final := map[string]Event{}
	cancelled := map[string]bool{}
	for _, event := range c.events {
		switch event.Type {
		case BatchAccepted:
			accepted[event.Job] = event.Count
		case BatchFinal:
			final[event.Job] = event
		case BatchCancelled:
			cancelled[event.Job] = true
		}
	}
	for job, count := range accepted {
		end, ended := final[job]
		switch {
		case !ended && !cancelled[job]:
			c.violate(RuleJobFinishes, "job %s was accepted and never finished", job)
		case ended && cancelled[job] && end.Outcome != "cancelled":
			c.violate(RuleCancelStops, "job %s was cancelled and ended as %s", job, end.Outcome)
		case ended && (end.Outcome == "completed" || end.Outcome == "expired") && end.Count != count:
			c.violate(RuleItemOnce, "job %s has %d items ended of %d", job, end.Count, count)
		}
	}
}

// checkItems: a finished job has exactly one right result for each item.
func (c *checker) checkItems() {
	results := map[string]map[string]int{}
	ended := map[string]bool{}
	accepted := map[string]int{}
	for _, event := range c.events {
		switch event.Type {
		case BatchAccepted:
			accepted[event.Job] = event.Count
		case BatchFinal:
			ended[event.Job] = event.Outcome == "completed" || event.Outcome == "expired"
		case BatchResult:
			if results[event.Job] == nil {
				results[event.Job] = map[string]int{}
			}
			results[event.Job][event.Item]++
			if !event.Match {
				c.violate(RuleItemResult, "job %s item %s: result is not the item's own (%s)", event.Job, event.Item, event.Outcome)
			}
			if event.Outcome == "outcome_unknown" && (event.Repeatable || !c.crashed) {
				c.violate(RuleItemResult, "job %s item %s ended as unknown, repeatable %v, crashes %v", event.Job, event.Item, event.Repeatable, c.crashed)
			}
			if event.Outcome == "item_failed" {
				c.violate(RuleItemResult, "job %s item %s failed: %s", event.Job, event.Item, event.Detail)
			}
		}
	}
	for job, items := range results {
		for item, times := range items {
			if times != 1 {
				c.violate(RuleItemOnce, "job %s item %s has %d results", job, item, times)
			}
		}
	}
	for job, done := range ended {
		if done && len(results[job]) != accepted[job] {
			c.violate(RuleItemOnce, "job %s has results for %d of %d items", job, len(results[job]), accepted[job])
		}
	}
}

// checkAtMostOnce: a request or item that is not repeatable starts at most
// once at all engines together.
func (c *checker) checkAtMostOnce() {
	once := map[string]bool{}
	starts := map[string]int{}
	for _, event := range c.events {
		switch {
		case event.Type == ClientSend && !event.Repeatable:
			once[event.Request] = true
		case event.Type == EngineStart && strings.HasSuffix(event.Attempt, "~once"):
			once[logical(event.Attempt)] = true
		}
		if event.Type == EngineStart {
			starts[logical(event.Attempt)]++
		}
	}
	for request := range once {
		if starts[request] > 1 {
			c.violate(RuleAtMostOnce, "%s ran %d times", request, starts[request])
		}
	}
}

// checkNotRun: between a sending and its refusal as not run, and from there to
// the next sending, the request does not start at any engine.
func (c *checker) checkNotRun() {
	type sending struct {
		starts  int
		refused bool
	}
	open := map[string]*sending{}
	for _, event := range c.events {
		switch event.Type {
		case ClientSend:
			open[event.Request] = &sending{}
		case EngineStart:
			state := open[logical(event.Attempt)]
			if state == nil {
				continue
			}
			state.starts++
			if state.refused {
				c.violate(RuleNotRun, "%s started after it was refused as not run", logical(event.Attempt))
			}
		case ClientRefused:
			state := open[event.Request]
			if state == nil || event.Executed != "no" {
				continue
			}
			state.refused = true
			if state.starts > 0 {
				c.violate(RuleNotRun, "%s was refused as not run and had started: %s", event.Request, event.Detail)
			}
		}
	}
}

// checkAnswers: an answer that ended as whole is the request's own.
func (c *checker) checkAnswers() {
	for _, event := range c.events {
		if event.Type == ClientAnswer && (!event.Whole || !event.Match) {
			c.violate(RuleWholeAnswer, "%s got an answer that is not its own or not whole", event.Request)
		}
	}
}
