package soak

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// Bounds of the promises about zones and cold servers, those of the users' pages.
const (
	// evacuationBound is how long after the acknowledgement nodes in touch may still
	// send to an evacuated zone (evacMs).
	evacuationBound = 5 * time.Second
	// contactBound is how long after a disturbance a node is in touch again (contactMs).
	contactBound = 4 * time.Second
	// coldFactor and coldSlack are what a cold server may get in a second beyond coldRate
	// (coldFactor, coldSlack).
	coldFactor = 1.5
	coldSlack  = 5.0
	coldWindow = time.Second
	// coldGrace is how long after a server turned cold in the midst of its work what it
	// got before cannot be laid to the nodes: the second that is judged.
	coldGrace = time.Second
	// lossGrace is how long the rest has to leave a lost zone's servers out: until their
	// rows lapse, and a second.
	lossGrace = rowTTL + time.Second
	// minServedShare is the part of requests that the rest serves meanwhile.
	minServedShare = 0.5
	// minRequests is how many requests tell something about a part of them.
	minRequests = 10
)

// disturbed reports whether a node or server was disturbed in some part of a time, in some
// way or, without restarts, in another than by a restart.
func (c *checker) disturbed(id string, from, to time.Time, restarts bool) bool {
	for _, d := range c.Disturbances {
		applies := (d.Name == id || d.Name == AllNodes) && (restarts || !d.Restart)
		if applies && d.From.Before(to) && d.To.After(from) {
			return true
		}
	}
	return false
}

// possibleSenders returns the nodes that may have sent a run: the one that was asked for a
// request, any for an item.
func (c *checker) possibleSenders(nodeOf map[string]string, run ServerRun) []string {
	if node, ok := nodeOf[run.ID]; ok {
		return []string{node}
	}
	return slices.Collect(maps.Keys(c.NodeZones))
}

// checkEvacuations: an emptied zone's servers get nothing from nodes in touch.
func (c *checker) checkEvacuations() {
	nodeOf := map[string]string{}
	for _, req := range c.Requests {
		nodeOf[req.ID] = req.Node
	}
	for _, evacuation := range c.Evacuations {
		var late []ServerRun
		for _, run := range c.Runs {
			allowed := !run.At.After(evacuation.From.Add(evacuationBound)) || !run.At.Before(evacuation.To)
			if !allowed && c.ServerZones[run.Server] == evacuation.Zone && c.fromConnectedNode(nodeOf, run) {
				late = append(late, run)
			}
		}
		if len(late) > 0 {
			last := late[len(late)-1]
			c.addViolation(EvacuatedUnused, "%d runs in %s too late, one of them %s at %s %v after it was evacuated",
				len(late), evacuation.Zone, last.ID, last.Server, last.At.Sub(evacuation.From))
		}
	}
}

// fromConnectedNode reports whether a run came from a node in touch, over a server's connections
// that held nothing up. A node that was started again is in touch once it is ready.
func (c *checker) fromConnectedNode(nodeOf map[string]string, run ServerRun) bool {
	from := run.At.Add(-contactBound)
	for _, name := range append(c.possibleSenders(nodeOf, run), run.Server) {
		if c.disturbed(name, from, run.At, false) {
			return false
		}
	}
	return true
}

// checkColdSends: a cold server gets no more in any second than it bears, over all nodes.
func (c *checker) checkColdSends() {
	sent := map[string][]time.Time{}
	for _, send := range c.ColdSends {
		if send.At.Sub(send.Since) >= coldGrace && c.couldAdvertiseCold(send) {
			sent[send.Server] = append(sent[send.Server], send.At)
		}
	}
	allowed := coldRate*coldFactor + coldSlack
	for server, times := range sent {
		if count, from := maxInWindow(times, coldWindow); float64(count) > allowed {
			c.addViolation(ColdWithinRate, "cold server %s got %d requests in %v from %s on, %.1f are allowed",
				server, count, coldWindow, c.timestamp(from), allowed)
		}
	}
}

// couldAdvertiseCold reports whether a server that got a request while it was cold could have said so
// in its row: while that is another writer's, and for a moment after, nobody can know. What
// it gets then is judged by foreign.
func (c *checker) couldAdvertiseCold(send ColdSend) bool {
	for _, overwrite := range c.Overwritten {
		if overwrite.Server == send.Server && send.At.After(overwrite.From) && send.At.Before(overwrite.To.Add(coldGrace)) {
			return false
		}
	}
	return true
}

// checkLosses: while a zone is lost, nodes of the others that nothing disturbs serve.
func (c *checker) checkLosses() {
	for _, loss := range c.Losses {
		from := loss.From.Add(lossGrace)
		sent, whole := 0, 0
		for _, req := range c.Requests {
			if !req.Sent.After(from) || !req.Sent.Before(loss.To) || !c.expectsAnswer(&req, loss.Zone) {
				continue
			}
			sent++
			if req.Answer.Status == http.StatusOK && req.Answer.Whole {
				whole++
			}
		}
		if sent >= minRequests && float64(whole) < minServedShare*float64(sent) {
			c.addViolation(OthersServe, "while %s was lost others served %d of %d requests", loss.Zone, whole, sent)
		}
	}
}

// expectsAnswer reports whether a request is expectsAnswer an answer while a zone is lost. A route that
// was just added may not be known yet.
func (c *checker) expectsAnswer(req *Request, lost string) bool {
	return req.Tenant == tenantMain && c.NodeZones[req.Node] != lost && req.Answer.Status != http.StatusNotFound &&
		!c.disturbed(req.Node, req.Sent.Add(-contactBound), req.Ended, true)
}
