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
	// coldOver and coldSlack are what a cold server may get in a second beyond coldRate
	// (coldOver, coldSlack).
	coldOver   = 1.5
	coldSlack  = 5.0
	coldWindow = time.Second
	// coldKnown is how long after a server turned cold in the midst of its work what it
	// got before cannot be laid to the nodes: the second that is judged.
	coldKnown = time.Second
	// lossKnown is how long the rest has to leave a lost zone's servers out: until their
	// rows lapse, and a second.
	lossKnown = lapse + time.Second
	// leastServed is the part of requests that the rest serves meanwhile.
	leastServed = 0.5
	// leastAsked is how many requests tell something about a part of them.
	leastAsked = 10
)

// disturbed reports whether a node or server was disturbed in some part of a time, in some
// way or, without restarts, in another than by a restart.
func (c *check) disturbed(name string, from, to time.Time, restarts bool) bool {
	for _, one := range c.Disturbances {
		concerns := (one.Name == name || one.Name == AllNodes) && (restarts || !one.Restart)
		if concerns && one.From.Before(to) && one.To.After(from) {
			return true
		}
	}
	return false
}

// senders returns the nodes that may have sent a run: the one that was asked for a
// request, any for an item.
func (c *check) senders(nodeOf map[string]string, run ServerRun) []string {
	if node, ok := nodeOf[run.ID]; ok {
		return []string{node}
	}
	return slices.Collect(maps.Keys(c.NodeZones))
}

// evacuations: an emptied zone's servers get nothing from nodes in touch.
func (c *check) evacuations() {
	nodeOf := map[string]string{}
	for _, one := range c.Requests {
		nodeOf[one.ID] = one.Node
	}
	for _, one := range c.Evacuations {
		var late []ServerRun
		for _, run := range c.Runs {
			inTime := !run.At.After(one.From.Add(evacuationBound)) || !run.At.Before(one.To)
			if !inTime && c.ServerZones[run.Server] == one.Zone && c.inTouch(nodeOf, run) {
				late = append(late, run)
			}
		}
		if len(late) > 0 {
			last := late[len(late)-1]
			c.broken(ZoneEmpty, "%d runs in %s too late, one of them %s at %s %v after it was evacuated",
				len(late), one.Zone, last.ID, last.Server, last.At.Sub(one.From))
		}
	}
}

// inTouch reports whether a run came from a node in touch, over a server's connections
// that held nothing up. A node that was started again is in touch once it is ready.
func (c *check) inTouch(nodeOf map[string]string, run ServerRun) bool {
	from := run.At.Add(-contactBound)
	for _, name := range append(c.senders(nodeOf, run), run.Server) {
		if c.disturbed(name, from, run.At, false) {
			return false
		}
	}
	return true
}

// coldSends: a cold server gets no more in any second than it bears, over all nodes.
func (c *check) coldSends() {
	sent := map[string][]time.Time{}
	for _, one := range c.ColdSends {
		if one.At.Sub(one.Since) >= coldKnown && c.couldSay(one) {
			sent[one.Server] = append(sent[one.Server], one.At)
		}
	}
	allowed := coldRate*coldOver + coldSlack
	for server, moments := range sent {
		if count, from := most(moments, coldWindow); float64(count) > allowed {
			c.broken(ColdSpared, "cold server %s got %d requests in %v from %s on, %.1f are allowed",
				server, count, coldWindow, c.moment(from), allowed)
		}
	}
}

// couldSay reports whether a server that got a request while it was cold could have said so
// in its row: while that is another writer's, and for a moment after, nobody can know. What
// it gets then is judged by foreign.
func (c *check) couldSay(send ColdSend) bool {
	for _, one := range c.Overwritten {
		if one.Server == send.Server && send.At.After(one.From) && send.At.Before(one.To.Add(coldKnown)) {
			return false
		}
	}
	return true
}

// losses: while a zone is lost, nodes of the others that nothing disturbs serve.
func (c *check) losses() {
	for _, loss := range c.Losses {
		from := loss.From.Add(lossKnown)
		asked, whole := 0, 0
		for _, one := range c.Requests {
			if !one.Sent.After(from) || !one.Sent.Before(loss.To) || !c.owed(&one, loss.Zone) {
				continue
			}
			asked++
			if one.Answer.Status == http.StatusOK && one.Answer.Complete {
				whole++
			}
		}
		if asked >= leastAsked && float64(whole) < leastServed*float64(asked) {
			c.broken(OthersServe, "while %s was lost others served %d of %d requests", loss.Zone, whole, asked)
		}
	}
}

// owed reports whether a request is owed an answer while a zone is lost. A route that
// was just added may not be known yet.
func (c *check) owed(one *Request, lost string) bool {
	return one.Tenant == tenantMain && c.NodeZones[one.Node] != lost && one.Answer.Status != http.StatusNotFound &&
		!c.disturbed(one.Node, one.Sent.Add(-contactBound), one.Ended, true)
}
