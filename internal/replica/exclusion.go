package replica

import (
	"fmt"
	"strings"
	"time"
)

// Exclusion is the reason why a replica may not take a request now, for picking, reservations, logs
// and metrics. The zero value means that it may.
type Exclusion uint8

const (
	// Usable replicas may take the request.
	Usable Exclusion = iota
	// Evacuated replicas are in a zone that operators evacuate.
	Evacuated
	// Elsewhere replicas are in a region that may not serve the request.
	Elsewhere
	// Unsuitable replicas do not serve the required kind of work, version or adapter.
	Unsuitable
	// Tried replicas have already failed or refused the request.
	Tried
	// Cold replicas are cold, and this node's part of their rate is used up.
	Cold
	// Ejected replicas are ejected for failures.
	Ejected
	// Occupied replicas have no slot for the item.
	Occupied
	// Claimed replicas run a trial of quarantined work.
	Claimed
	// OtherSoftware replicas run another software version than the one required.
	OtherSoftware
	exclusions
)

// String returns the name used in logs and metrics.
func (e Exclusion) String() string {
	names := [exclusions]string{"usable", "evacuated", "elsewhere", "unsuitable", "tried", "cold", "ejected", "occupied", "claimed", "other_software"}
	if e >= exclusions {
		return "unknown"
	}
	return names[e]
}

// persistent reports whether only a change by operators ends the exclusion, so that it is of no use for
// a request to wait.
func (e Exclusion) persistent() bool {
	return e == Evacuated || e == Elsewhere || e == OtherSoftware
}

// NoReplicaError reports that no replica can take the request now, and why. It wraps ErrNoReplica.
type NoReplicaError struct {
	// Counts is the number of replicas considered, by the reason that excluded them.
	Counts [exclusions]int
	// ColdWait is the least time until a cold replica may get the request.
	ColdWait time.Duration
	// ColdEnded is set if a replica is excluded as cold for the end of its pool; see ColdView.Ended.
	ColdEnded bool
	// RegionRestricted is set if the request may be served in some regions only.
	RegionRestricted bool
	// SoftwareRestricted is set if only one software version may serve the request.
	SoftwareRestricted bool
}

// Error implements error.
func (e *NoReplicaError) Error() string { return ErrNoReplica.Error() + ": " + e.Reasons() }

// Reasons formats Counts for the log.
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
	case e.SoftwareRestricted:
		return "none is listed with the required software version"
	default:
		return "none is listed"
	}
}

// Unwrap returns ErrNoReplica.
func (e *NoReplicaError) Unwrap() error { return ErrNoReplica }

// Persistent reports whether waiting is of no use: an evacuation, the regions of the request or the
// software version that it requires exclude all replicas, or none is listed that meets these.
func (e *NoReplicaError) Persistent() bool {
	excluded := 0
	for reason, count := range e.Counts {
		if count > 0 && !Exclusion(reason).persistent() {
			return false
		}
		excluded += count
	}
	return excluded > 0 || e.RegionRestricted || e.SoftwareRestricted
}

// WaitsForCold reports whether the request waits for cold replicas only, one of which would take it if
// it were warm.
func (e *NoReplicaError) WaitsForCold() bool {
	others := e.Counts[Tried] + e.Counts[Ejected] + e.Counts[Occupied] + e.Counts[Claimed]
	return e.Counts[Cold] > 0 && others == 0
}

// count adds a replica that is excluded for a reason.
func (e *NoReplicaError) count(c *Candidate, reason Exclusion) {
	if reason == Cold && (e.Counts[Cold] == 0 || c.Cold.Wait < e.ColdWait) {
		e.ColdWait = c.Cold.Wait
	}
	if reason == Cold && c.Cold.Ended {
		e.ColdEnded = true
	}
	e.Counts[reason]++
}

// placeExclusion returns the reason if the place of a replica excludes it for a request; Usable
// otherwise.
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

// tried reports whether the replica has already failed or refused the request. A restarted replica
// has not.
func (c *Candidate) tried(criteria *Criteria) bool {
	return len(criteria.Exclude) > 0 && (criteria.Exclude[c.Incarnation()] || criteria.Exclude[c.ID])
}

// hardExclusion returns the reason that excludes a replica even as a last resort; Usable if none does.
func (c *Candidate) hardExclusion(criteria *Criteria) Exclusion {
	if reason := c.placeExclusion(criteria); reason != Usable {
		return reason
	}
	switch {
	case !serves(c, criteria):
		return Unsuitable
	case !criteria.allowsSoftware(&c.Info):
		return OtherSoftware
	case c.tried(criteria):
		return Tried
	case c.Cold.Blocks(criteria.Batch):
		return Cold
	default:
		return Usable
	}
}
