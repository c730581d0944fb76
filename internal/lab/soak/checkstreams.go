package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Bounds of the promises about streams, as the platform specifies them.
const (
	// minContinued is the number of continued streams from which on StreamsGoOn is checked.
	minContinued = 12
	// minContinuedShare is the fraction of them that has to go on, relative to that of new streams that
	// begin.
	minContinuedShare = 0.5
	// versionGrace is how long before a request a server of its stream's version must have been usable.
	versionGrace = time.Second
)

// checkVersions checks that each answer, stream and text is of one software version.
func (c *checker) checkVersions() {
	for _, req := range c.Requests {
		c.checkOneVersion("request "+req.ID, req.Answer.WholeEvents(), func() string { return c.describeRuns(req.ID) })
	}
	for i := range c.Streams {
		stream := &c.Streams[i]
		c.checkOneVersion("stream "+stream.ID, stream.events(), func() string { return c.describeStream(stream) })
	}
	checked := map[string]bool{}
	for _, obs := range c.Observations {
		if !obs.DeadLetter && !checked[obs.Item] {
			checked[obs.Item] = true
			c.checkOneVersion("item "+obs.Item, strings.Split(obs.Text, "\n"), func() string { return c.describeRuns(obs.Item) })
		}
	}
}

// checkOneVersion checks that events are of one software version.
func (c *checker) checkOneVersion(name string, events []string, describe func() string) {
	if len(events) == 0 {
		return
	}
	first := standin.EventVersion(events[0])
	for i, event := range events {
		if version := standin.EventVersion(event); version != first {
			c.addViolation(OneVersion, "%s began at %s and has event %d of %s; %s", name, first, i+1, version, describe())
			return
		}
	}
}

// events returns all events that the caller of a stream received.
func (s *Stream) events() []string {
	var events []string
	for _, req := range s.Requests {
		events = append(events, req.Events...)
	}
	return events
}

// describeRuns describes the runs of a request or item.
func (c *checker) describeRuns(id string) string {
	var parts []string
	for _, run := range c.runs[id] {
		parts = append(parts, fmt.Sprintf("run after %d at %s at %s to %s", run.After, run.Server, c.timestamp(run.At), c.timestamp(run.Ended)))
	}
	return strings.Join(parts, ", ")
}

// describeStream describes the requests of a stream.
func (c *checker) describeStream(stream *Stream) string {
	var parts []string
	for number, req := range stream.Requests {
		parts = append(parts, fmt.Sprintf("after %d at %s at %s: %d, %d events, %s", req.After, req.Node, c.timestamp(req.Sent), req.Status, len(req.Events), c.describeRuns(stream.requestID(number))))
	}
	return strings.Join(parts, "; ")
}

// continuations counts requests at undisturbed nodes that began or continued streams.
type continuations struct {
	begun, began         int
	continued, continues int
	// refusals counts the reasons why streams did not go on.
	refusals map[string]int
}

// countContinuations counts the requests of streams that StreamsGoOn judges: those at undisturbed nodes
// while servers of several versions are usable, and to continue a stream one of its version.
func (c *checker) countContinuations() continuations {
	counts := continuations{refusals: map[string]int{}}
	for i := range c.Streams {
		stream := &c.Streams[i]
		for _, req := range stream.Requests {
			if c.requestExcused(&req) || len(c.usableVersions(req.Sent)) < 2 {
				continue
			}
			if req.After == 0 {
				counts.begun++
				counts.began += min(1, len(req.Events))
				continue
			}
			if !slices.Contains(c.usableVersions(req.Sent), standin.EventVersion(stream.Requests[0].Events[0])) {
				continue
			}
			counts.continued++
			if len(req.Events) > 0 {
				counts.continues++
			} else {
				counts.refusals[fmt.Sprintf("%d %s", req.Status, req.Reason)]++
			}
		}
	}
	return counts
}

// requestExcused reports whether the node of a request was not connected: it was disturbed, or the store
// was. While its list of replicas is old, a node may not know at which version a stream began.
func (c *checker) requestExcused(req *StreamRequest) bool {
	read := &Read{Node: req.Node, Sent: req.Sent, Ended: req.Ended}
	return c.excused(read) || c.storeStableFor(read) < contactBound
}

// usableVersions returns the software versions of the servers that were usable for versionGrace.
func (c *checker) usableVersions(at time.Time) []string {
	current := map[string]ServerVersion{}
	for _, start := range c.Versions {
		if known, ok := current[start.Server]; !start.From.After(at) && (!ok || start.From.After(known.From)) {
			current[start.Server] = start
		}
	}
	var versions []string
	for server, start := range current {
		usable := !start.From.After(at.Add(-versionGrace)) && !c.serverOut(server, at.Add(-versionGrace), at)
		if usable && !slices.Contains(versions, start.Version) {
			versions = append(versions, start.Version)
		}
	}
	return versions
}

// serverOut reports whether a server was unusable or had reduced capacity between two times.
func (c *checker) serverOut(server string, from, to time.Time) bool {
	return slices.ContainsFunc(c.ServerOutages, func(outage ServerOutage) bool {
		return outage.Server == server && outage.From.Before(to) && outage.To.After(from)
	})
}

// checkContinuations checks that streams which callers continue go on about as often as new ones begin.
func (c *checker) checkContinuations() {
	counts := c.countContinuations()
	if counts.continued < minContinued || counts.begun == 0 {
		return
	}
	beginning := float64(counts.began) / float64(counts.begun)
	goingOn := float64(counts.continues) / float64(counts.continued)
	if goingOn < minContinuedShare*beginning {
		c.addViolation(StreamsGoOn, "%d of %d continued streams went on, %d of %d new ones began; refusals %v",
			counts.continues, counts.continued, counts.began, counts.begun, counts.refusals)
	}
}

// versionedStreams returns the number of streams, answers and texts that several runs brought.
func (c *checker) versionedStreams() int {
	count := 0
	for _, stream := range c.Streams {
		for _, req := range stream.Requests[1:] {
			if len(req.Events) > 0 {
				count++
				break
			}
		}
	}
	for _, req := range c.Requests {
		if len(c.runs[req.ID]) > 1 && req.Answer.Status == http.StatusOK {
			count++
		}
	}
	return count
}

// judgedContinuations returns the number of continued streams that StreamsGoOn judges.
func (c *checker) judgedContinuations() int {
	counts := c.countContinuations()
	if counts.continued < minContinued || counts.begun == 0 {
		return 0
	}
	return counts.continued
}
