package replica

import (
	"fmt"
	"strings"
	"time"
)

// Exclusion says why a replica may not take a request now. Choice, reservation, log
// and metrics share it. The zero value says that it may.
type Exclusion uint8

const (
	// Usable replicas may take the request.
	Usable Exclusion = iota
	// Evacuated replicas stand in a zone that an operator empties.
	Evacuated
	// Elsewhere replicas stand in a region that may not serve the request.
	Elsewhere
	// Unsuitable replicas do not serve what is asked for: the kind of work, the
	// version, the adapter.
	Unsuitable
	// Tried replicas have failed or refused the request already.
	Tried
	// Cold replicas have been sent as much as they bear while they are cold.
	Cold
	// Ejected replicas are left out for their failures.
	Ejected
	// Occupied replicas have no slot for an item.
	Occupied
	exclusions
)

// String returns the name used in logs and metrics.
func (e Exclusion) String() string {
	names := [exclusions]string{"usable", "evacuated", "elsewhere", "unsuitable", "tried", "cold", "ejected", "occupied"}
	if e >= exclusions {
		return "unknown"
	}
	return names[e]
}

// persistent reports whether the exclusion goes only by a change of what operators declare:
// it is of no use to wait for it within a request.
func (e Exclusion) persistent() bool { return e == Evacuated || e == Elsewhere }

// NoReplicaError reports that no replica can take the request now, and why. It is
// ErrNoReplica.
type NoReplicaError struct {
	// Counts counts the replicas looked at, by what excluded them.
	Counts [exclusions]int
	// ColdWait is the least time until a cold replica may get the request.
	ColdWait time.Duration
	// RegionRestricted says that the request may be served in some regions only.
	RegionRestricted bool
}

// Error implements error.
func (e *NoReplicaError) Error() string { return ErrNoReplica.Error() + ": " + e.Reasons() }

// Reasons counts the replicas that were looked at by what excluded them, for the log.
func (e *NoReplicaError) Reasons() string {
	var reasons []string
	for reason, count := range e.Counts {
		if count > 0 {
			reasons = append(reasons, fmt.Sprintf("%d %s", count, Exclusion(reason)))
		}
	}
	switch {
	case len(reasons) > 0:
		return strings.Join(reasons, ", ")
	case e.RegionRestricted:
		return "none is listed where the request may be served"
	default:
		return "none is listed"
	}
}

// Unwrap makes it ErrNoReplica.
func (e *NoReplicaError) Unwrap() error { return ErrNoReplica }

// Persistent reports whether waiting is of no use: there are replicas, and all of them are
// excluded by what operators declare, or none stands where the request may be served.
func (e *NoReplicaError) Persistent() bool {
	lasting := 0
	for reason, count := range e.Counts {
		if count > 0 && !Exclusion(reason).persistent() {
			return false
		}
		lasting += count
	}
	return lasting > 0 || e.RegionRestricted
}

// WaitsForCold reports whether the request waits for cold replicas alone: without the rate that
// they bear, one of them would take it.
func (e *NoReplicaError) WaitsForCold() bool {
	others := e.Counts[Tried] + e.Counts[Ejected] + e.Counts[Occupied]
	return e.Counts[Cold] > 0 && others == 0
}

// count takes in what excludes a replica.
func (e *NoReplicaError) count(c *Candidate, why Exclusion) {
	if why == Cold && (e.Counts[Cold] == 0 || c.Cold.Wait < e.ColdWait) {
		e.ColdWait = c.Cold.Wait
	}
	e.Counts[why]++
}

// placeExclusion reports what keeps a request from a replica for where it stands.
func (c *Candidate) placeExclusion(criteria *Criteria) Exclusion {
	switch {
	case c.Evacuated:
		return Evacuated
	case !criteria.Regions.Allows(c.Region):
		return Elsewhere
	default:
		return Usable
	}
}

// tried reports whether the replica has failed or refused the request. One that has started
// again since has not.
func (c *Candidate) tried(criteria *Criteria) bool {
	return len(criteria.Exclude) > 0 && (criteria.Exclude[c.Incarnation()] || criteria.Exclude[c.ID])
}

// hardExclusion reports what keeps a request from a replica for good: trying it as a last
// resort does not help.
func (c *Candidate) hardExclusion(criteria *Criteria) Exclusion {
	if why := c.placeExclusion(criteria); why != Usable {
		return why
	}
	switch {
	case !serves(c, criteria):
		return Unsuitable
	case c.tried(criteria):
		return Tried
	case c.Cold.Blocks(criteria.Batch):
		return Cold
	default:
		return Usable
	}
}
