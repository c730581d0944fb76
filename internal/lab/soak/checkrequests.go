package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// checkRequests checks that online requests get complete answers and truthful refusals, and run at
// most once where their route requires it.
func (c *checker) checkRequests() {
	for _, req := range c.Requests {
		ran := len(c.runs[req.ID])
		if req.AtMostOnce && ran > 1 {
			c.addViolation(AtMostOnce, "request %s, sent to %s at %s and answered %d, ran %d times: %s; disrupted answers: %s",
				req.ID, req.Node, c.timestamp(req.Sent), req.Answer.Status, ran, c.describeRuns(req.ID), c.describeDisrupted(req.ID))
		}
		if req.Answer.NotExecuted() {
			if ran > 0 && req.AtMostOnce {
				c.addViolation(NotRunIsTrue, "request %s, sent to %s at %s, got %d and ran: %s; disrupted answers: %s",
					req.ID, req.Node, c.timestamp(req.Sent), req.Answer.Status, c.describeRuns(req.ID), c.describeDisrupted(req.ID))
			}
			if req.Answer.Status == http.StatusServiceUnavailable && !req.Answer.HasRetryAfter {
				c.addViolation(RetryAfterGiven, "request %s got 503 without a time", req.ID)
			}
		}
		if req.Answer.Status == http.StatusOK && req.Answer.Complete && !c.isWhole(req.ID, req.Answer.Events()) {
			c.addViolation(WholeAnswer, "request %s got %.300q; disrupted answers: %s", req.ID, req.Answer.Body, c.describeDisrupted(req.ID))
		}
	}
}

// isWhole reports whether events are all events of the answer to a request in order.
func (c *checker) isWhole(id string, events []string) bool {
	whole := c.wholeEvents(id)
	return slices.EqualFunc(events, whole, func(event, want string) bool { return standin.Unversioned(event) == want })
}

// describeDisrupted describes the disrupted answers to a request.
func (c *checker) describeDisrupted(id string) string {
	var parts []string
	for _, disrupted := range c.Disrupted {
		switch {
		case disrupted.Request != id:
		case disrupted.Disruption.IsLate():
			parts = append(parts, fmt.Sprintf("%s to %s in its place at %s at %s", disrupted.Disruption, disrupted.Of, disrupted.Server, c.timestamp(disrupted.At)))
		default:
			parts = append(parts, fmt.Sprintf("%s at %s at %s", disrupted.Disruption, disrupted.Server, c.timestamp(disrupted.At)))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// lateAnswersTo returns the IDs of the requests in whose place a late answer came.
func (c *checker) lateAnswersTo() map[string]bool {
	requests := map[string]bool{}
	for _, disrupted := range c.Disrupted {
		if disrupted.Disruption.IsLate() {
			requests[disrupted.Request] = true
		}
	}
	return requests
}

// lateToOnce returns the number of late answers that came in place of the answer to a request which may run once.
func (h *History) lateToOnce() int {
	once := map[string]bool{}
	for _, req := range h.Requests {
		once[req.ID] = req.AtMostOnce
	}
	count := 0
	for _, disrupted := range h.Disrupted {
		if disrupted.Disruption.IsLate() && once[disrupted.Request] {
			count++
		}
	}
	return count
}
