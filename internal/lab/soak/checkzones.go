package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Bounds of the promises about zones and cold servers, as the platform specifies them.
const (
	// evacuationBound is how long connected nodes may send requests to an evacuated zone after the
	// evacuation was acknowledged (evacMs).
	evacuationBound = 5 * time.Second
	// contactBound is how long a node may take to be connected again after a disturbance
	// (contactMs).
	contactBound = 4 * time.Second
	// A cold server may get coldRate*coldFactor + coldSlack requests within coldWindow (coldOver,
	// coldSlack).
	coldFactor = 1.5
	coldSlack  = 5.0
	coldWindow = time.Second
	// coldGrace is how long after a server turned cold its requests are ignored, since the window
	// that is checked would contain requests from before.
	coldGrace = time.Second
	// lossGrace is how long nodes may use the servers of a lost zone: until the rows of the servers
	// expire, and one second more.
	lossGrace = rowTTL + time.Second
	// minServedShare is the fraction of requests that the other zones have to serve meanwhile.
	minServedShare = 0.5
	// minRequests is the number of requests from which on that fraction is checked.
	minRequests = 10
)

// disturbed reports whether a node or server was disturbed between two times. Disturbances that
// only restarted processes count if restarts is set.
func (c *checker) disturbed(id string, from, to time.Time, restarts bool) bool {
	for _, d := range c.Disturbances {
		applies := (d.Name == id || d.Name == AllNodes) && (restarts || !d.Restart)
		if applies && d.From.Before(to) && d.To.After(from) {
			return true
		}
	}
	return false
}

// possibleSenders returns the nodes that may have sent a run: for an online request the node that
// received it, for an item all nodes.
func (c *checker) possibleSenders(nodeOf map[string]string, run ServerRun) []string {
	if node, ok := nodeOf[run.ID]; ok {
		return []string{node}
	}
	return slices.Collect(maps.Keys(c.NodeZones))
}

// checkEvacuations checks that servers of evacuated zones get nothing from connected nodes.
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

// fromConnectedNode reports whether a run came from a connected node over undisturbed connections
// to the server. A restarted node is connected as soon as it is ready.
func (c *checker) fromConnectedNode(nodeOf map[string]string, run ServerRun) bool {
	from := run.At.Add(-contactBound)
	for _, name := range append(c.possibleSenders(nodeOf, run), run.Server) {
		if c.disturbed(name, from, run.At, false) {
			return false
		}
	}
	return true
}

// checkColdSends checks that all nodes together keep to the rate of each cold server.
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

// couldAdvertiseCold reports whether a server could announce in its row that it is cold. While
// another writer has overwritten the row, and shortly after, no node can know; checkForeignRows
// checks what the server gets then.
func (c *checker) couldAdvertiseCold(send ColdSend) bool {
	for _, overwrite := range c.Overwritten {
		if overwrite.Server == send.Server && send.At.After(overwrite.From) && send.At.Before(overwrite.To.Add(coldGrace)) {
			return false
		}
	}
	return true
}

// checkLosses checks that undisturbed nodes of the other zones serve requests while a zone is lost.
func (c *checker) checkLosses() {
	for _, loss := range c.Losses {
		from := loss.From.Add(lossGrace)
		sent, whole := 0, 0
		unserved := map[string]int{}
		for _, req := range c.Requests {
			if !req.Sent.After(from) || !req.Sent.Before(loss.To) || !c.expectsAnswer(&req, loss.Zone) {
				continue
			}
			sent++
			if req.Answer.Status == http.StatusOK && req.Answer.Complete {
				whole++
				continue
			}
			unserved[fmt.Sprintf("%s %d %s", req.Node, req.Answer.Status, req.Answer.Reason)]++
		}
		if sent >= minRequests && float64(whole) < minServedShare*float64(sent) {
			c.addViolation(OthersServe, "while %s was lost from %s to %s others served %d of %d requests; unserved by node, status and reason: %v",
				loss.Zone, c.timestamp(loss.From), c.timestamp(loss.To), whole, sent, unserved)
		}
	}
}

// expectsAnswer reports whether a request has to be served while a zone is lost. Requests to
// unknown routes are ignored, because a route that was just added may not be known yet, and so are those
// of nodes that were disturbed, or lost with their own zone, shortly before or meanwhile. So are those
// during which no server at all was usable: harmful work may end as many as its promise allows.
func (c *checker) expectsAnswer(req *Request, lost string) bool {
	from := req.Sent.Add(-contactBound)
	return req.Tenant == tenantMain && c.NodeZones[req.Node] != lost && req.Answer.Status != http.StatusNotFound &&
		!c.disturbed(req.Node, from, req.Ended, true) && !c.lostWithZone(req.Node, from, req.Ended) &&
		c.anyServerUsable(req.Sent, req.Ended)
}

// anyServerUsable reports whether at each moment between two times some server was usable and nodes could
// know it.
func (c *checker) anyServerUsable(from, to time.Time) bool {
	for at := from; ; {
		usableUntil := at
		for server := range c.ServerSlots {
			if until := c.usableUntil(server, at, to); until.After(usableUntil) {
				usableUntil = until
			}
		}
		if !usableUntil.After(at) {
			return false
		}
		if !usableUntil.Before(to) {
			return true
		}
		at = usableUntil
	}
}

// usableUntil returns the time until which a server was usable without a break from at on, or a time after
// limit; at if it was not usable then.
func (c *checker) usableUntil(server string, at, limit time.Time) time.Time {
	until := limit.Add(time.Nanosecond)
	for _, outage := range c.outagesOf(server) {
		switch {
		case !outage.From.After(at) && outage.To.After(at):
			return at
		case outage.From.After(at) && outage.From.Before(until):
			until = outage.From
		}
	}
	return until
}

// outagesOf returns when a server was not usable or in an evacuated zone, or nodes might not know that it
// was usable again.
func (c *checker) outagesOf(server string) []Outage {
	var outages []Outage
	for _, outage := range c.ServerOutages {
		if outage.Server == server {
			outages = append(outages, Outage{From: outage.From, To: outage.To.Add(freeSlotGrace)})
		}
	}
	for _, evacuation := range c.Evacuations {
		if evacuation.Zone == c.ServerZones[server] {
			outages = append(outages, Outage{From: evacuation.From, To: evacuation.To.Add(freeSlotGrace)})
		}
	}
	return outages
}
