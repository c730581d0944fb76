package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// checkPositions checks OnePosition and ResultNeverChanges, and the results that were read. No disturbance is an
// excuse, at any node at any time.
func (c *checker) checkPositions() {
	seen := map[resultPosition][]Observation{}
	positionOf := map[string]int{}
	for _, obs := range c.Observations {
		key := resultPosition{obs.Job, obs.Position}
		if !slices.ContainsFunc(seen[key], func(previous Observation) bool { return previous.JobResult == obs.JobResult }) {
			c.checkResult(obs.Job, obs.JobResult)
			if len(seen[key]) > 0 {
				c.addChange(seen[key][0], obs)
			}
			seen[key] = append(seen[key], obs)
		}
		if previous, ok := positionOf[obs.Item]; ok && previous != obs.Position {
			c.addViolation(OnePosition, "item %s stands at %d and at %d", obs.Item, previous, obs.Position)
		}
		positionOf[obs.Item] = obs.Position
	}
}

// addChange adds the violation that a position has another result than the one which was read first.
func (c *checker) addChange(first, obs Observation) {
	if first.Item != obs.Item {
		c.addViolation(OnePosition, "position %d of job %s was %q and is %q", obs.Position, obs.Job, first.Item, obs.Item)
		return
	}
	c.addViolation(ResultNeverChanges, "position %d of job %s, item %s, was %s at %s and is %s at %s; %s",
		obs.Position, obs.Job, obs.Item, describeResult(first.JobResult), c.timestamp(first.At), describeResult(obs.JobResult), c.timestamp(obs.At), c.describeRuns(obs.Item))
}

// describeResult describes a result without its text.
func describeResult(result standin.JobResult) string {
	if result.DeadLetter {
		return "dead"
	}
	versions := standin.TextVersions(result.Text)
	return fmt.Sprintf("a text of %d bytes by %v", len(result.Text), slices.Sorted(maps.Keys(versions)))
}

// checkResult checks that the text of a result is complete, or that a dead item has a cause.
func (c *checker) checkResult(job string, result standin.JobResult) {
	if !result.DeadLetter {
		if text := standin.Unversioned(result.Text); text != strings.Join(c.wholeEvents(result.Item), "\n") {
			c.addViolation(WholeText, "item %s of job %s has the text %.200q", result.Item, job, result.Text)
		}
		return
	}
	failed := 0
	for _, run := range c.runs[result.Item] {
		switch run.Behaviour {
		case standin.RejectInvalid:
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

// wholeEvents returns the data of all events of a request or item.
func (c *checker) wholeEvents(id string) []string {
	data := standin.EventData
	if isLong(id) {
		data = standin.LongEventData
	}
	var events []string
	for event := 1; event <= c.Events; event++ {
		events = append(events, data(event))
	}
	return events
}
