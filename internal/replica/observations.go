package replica

import "time"

// observations is what a node has observed or heard of one start of a replica. A node observes few of
// the replicas of a large fleet, so entries share the empty observations until then.
type observations struct {
	// others estimates the number of other nodes' requests there, as of othersUpdatedAt.
	others          float64
	othersUpdatedAt time.Time
	// waiting is the number of waiting requests in the last load report.
	waiting        int
	loadReportedAt time.Time
	// refusedAt is when the replica last refused a request of this node.
	refusedAt time.Time
	health    health
	// pause is the last time for which the replica accepted no connection.
	pause connectionPause
	// ownTally counts this node's recent answers, reports those that each peer reported.
	ownTally Tally
	reports  map[string]reportedTally
	shared   sharedEjection
	// lastReceived is when this node last received data from the replica.
	lastReceived time.Time
	// awaitedSince is since when this node has had requests at the replica without a break.
	awaitedSince time.Time
	// unreachableAt is when the replica last accepted no connection of this node.
	unreachableAt time.Time
	cold          coldState
}

// unobserved are the observations of all entries about which nothing is known. They must not be
// modified.
var unobserved observations

// newEntry returns the entry of a replica about which nothing is known.
func newEntry(info Info) *entry {
	return &entry{info: info, key: Key(info.ID), observations: &unobserved}
}

// own returns the entry's observations for a modification.
func (e *entry) own() *observations {
	if e.observations == &unobserved {
		e.observations = &observations{}
	}
	return e.observations
}
