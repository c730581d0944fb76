// Package replica tracks the replicas behind a node's routes and picks one for each request. It
// keeps which replicas are listed, the load they last reported, this node's requests in flight at
// each, and which replicas are ejected, on this node's evidence or on that of its peers.
//
// A replica is one start of a model server with a fixed number of slots, each of which runs one
// request. Requests are online, or batch items that may be preempted. The slots of a pool are
// divided among the nodes; see package division.
package replica

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

// Info describes a listed replica.
type Info struct {
	// ID names the replica. A restarted replica may keep its ID.
	ID string
	// StartedUnixMs is the start time that the replica reports, in Unix milliseconds; 0 if it
	// reports none. It distinguishes starts under the same ID. Compare it for equality only, since
	// clocks differ between machines and may step back.
	StartedUnixMs int64
	Pool          string
	Address       string
	Zone          string
	// Region is the region of Zone; empty if unknown.
	Region string
	// Slots is the number of requests that the replica runs concurrently.
	Slots int
	// PrefillRate is the prompt processing rate in tokens per second; 0 if not reported.
	PrefillRate float64
	// ColdLeft is how much longer the replica will be cold, as it reported when it was listed.
	ColdLeft time.Duration
	// Leaving is set while the replica drains: it finishes its requests and accepts no new ones.
	Leaving bool
	// Version is the version of the model that it serves; empty if unknown.
	Version string
	// SoftwareVersion is the version of the model server's software; empty if not reported. Versions
	// have no order.
	SoftwareVersion string
	// Adapters lists the loaded adapters.
	Adapters []string
	// NoOnline and NoBatch exclude online requests and batch items.
	NoOnline bool
	NoBatch  bool
}

// place returns the zone and region of the replica.
func (i *Info) place() place.Place { return place.Place{Zone: i.Zone, Region: i.Region} }

// Load is the load that a replica reports for the requests of all callers.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// queued returns the number of requests that wait for a slot. Replicas also report a request as
// waiting while it has a slot and its prompt is being read.
func (l Load) queued() int { return max(0, l.Running+l.Waiting-l.Slots) }

// Candidate is a snapshot of a replica for picking.
type Candidate struct {
	Info
	// Key is a hash of the ID, for orders on which all nodes agree.
	Key uint64
	// Open is the number of this node's requests in flight there, Batch the items among them.
	Open  int
	Batch int
	// Others estimates the number of other nodes' requests there.
	Others float64
	// PendingTokens is the number of prompt tokens that this node sent there in requests without
	// a first event yet.
	PendingTokens int
	// Silence is the time for which the replica has sent nothing although it has requests of this node.
	Silence time.Duration
	// Ejected is set while the replica is ejected for failures.
	Ejected bool
	// FailureShare is the share of failures, from 0 to 1, among the recent answers that this
	// node and its peers report.
	FailureShare float64
	// Evacuated is set if operators evacuate the zone of the replica.
	Evacuated bool
	// Cold is what this node may send to the replica while it is cold.
	Cold ColdView
	// Share is the number of its slots that are allotted to this node.
	Share int
	// SlotTime is the expected time until one of its slots becomes free.
	SlotTime time.Duration
	// FirstEvent is the usual time to the first event of a request that does not wait.
	FirstEvent time.Duration
	// MinFirstEvent is the least time to the first event that can be expected.
	MinFirstEvent time.Duration
	// PatienceShare is the part of the time left until its objective that a request waits for a
	// slot before it preempts an item.
	PatienceShare float64
	// LoadAge is the age of the last load report; -1 if there is none.
	LoadAge time.Duration
	// Waiting estimates the number of requests that wait there for a slot.
	Waiting float64
	// FleetUsage is the part of the pool's slots that online requests of all nodes need; 0 if
	// unknown.
	FleetUsage float64
	// Fresh is set if this node received data from the replica within freshFor, and so has an open
	// connection to it and recent knowledge of its load.
	Fresh bool
}

// Busy estimates the number of requests of all nodes that run or wait there.
func (c *Candidate) Busy() float64 { return float64(c.Open) + c.Others }

// Free estimates the number of free slots. It is negative if requests wait.
func (c *Candidate) Free() float64 { return float64(c.Slots) - c.Busy() }

// Key returns the hash of a replica's or node's ID.
func Key(id string) uint64 { return division.Key(id) }
