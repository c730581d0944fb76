package soak

import "time"

// maxOverlap is how long a server may still run a request after it has begun at another one.
const maxOverlap = 400 * time.Millisecond

// checkOverlaps checks that no request or item begins at a server while another one still runs it maxOverlap
// later. The node must have been connected, and both servers within its reach.
func (c *checker) checkOverlaps() {
	nodeOf := c.senders()
	for _, run := range c.Runs {
		for _, other := range c.runs[run.ID] {
			if c.overlap(other, run) && !c.overlapExcused(nodeOf, other, run) {
				c.addViolation(OneRunAtATime, "%s began at %s at %s while %s ran it, from %s to %s",
					run.ID, run.Server, c.timestamp(run.At), other.Server, c.timestamp(other.At), c.timestamp(other.Ended))
			}
		}
	}
}

// overlap reports whether run begins at another server than an earlier one that goes on for longer than maxOverlap.
// The earlier one is that which its server received first, although it may have waited there and begun later.
func (c *checker) overlap(earlier, run ServerRun) bool {
	later := run.At.Add(maxOverlap)
	return earlier.Server != run.Server && earlier.Received.Before(run.Received) && earlier.At.Before(later) &&
		(earlier.Ended.IsZero() || earlier.Ended.After(later))
}

// overlapExcused reports whether a node that may have sent a request was not connected, or one of the servers
// was out of reach, from the begin of the earlier run on or in the contactBound before the later one. A node is
// connected if neither it nor the store was disturbed.
func (c *checker) overlapExcused(nodeOf map[string]string, earlier, run ServerRun) bool {
	from, to := run.At.Add(-contactBound), run.At.Add(maxOverlap)
	if earlier.Received.Before(from) {
		from = earlier.Received
	}
	for _, name := range append(c.possibleSenders(nodeOf, run), earlier.Server, run.Server) {
		if c.disturbed(name, from, to, true) || c.lostWithZone(name, from, to) {
			return true
		}
	}
	for _, server := range []string{earlier.Server, run.Server} {
		if c.zoneLost(c.ServerZones[server], from, to) {
			return true
		}
	}
	return false
}

// senders returns the nodes that received the online requests, by request.
func (c *checker) senders() map[string]string {
	nodeOf := map[string]string{}
	for _, req := range c.Requests {
		nodeOf[req.ID] = req.Node
	}
	for _, req := range c.PartRequests {
		nodeOf[req.ID] = req.Node
	}
	for _, stream := range c.Streams {
		for number, req := range stream.Requests {
			nodeOf[stream.requestID(number)] = req.Node
		}
	}
	return nodeOf
}

// judgedOverlaps returns the number of runs that began at another server than an earlier run of the same
// request or item, and that checkOverlaps could have found wrong.
func (c *checker) judgedOverlaps() int {
	nodeOf := c.senders()
	count := 0
	for _, run := range c.Runs {
		for _, other := range c.runs[run.ID] {
			if other.Server != run.Server && other.Received.Before(run.Received) && !c.overlapExcused(nodeOf, other, run) {
				count++
				break
			}
		}
	}
	return count
}
