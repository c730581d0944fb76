// Package replica keeps a node's view of the replicas behind its routes: which
// are listed, what they last said of their load, what this node has open there
// and which of them misbehave, as far as this node's own evidence goes.
package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Info describes a listed replica.
type Info struct {
	// ID names the replica. It may start again under the same one.
	ID string
	// StartedUnixMs is when it started, as it says, in Unix milliseconds; 0 if it does not say. A
	// replica that starts again under its ID is told from the one before by it. It is for
	// comparing alone: clocks of machines differ and step back.
	StartedUnixMs int64
	Pool          string
	Address       string
	Zone          string
	// Region is the region of its zone; empty if it is not known.
	Region string
	// Slots is the number of requests that it runs at the same time.
	Slots int
	// ReadingRate is how fast it reads prompts, in tokens a second; 0 if it does
	// not say.
	ReadingRate float64
	// ColdLeft is how long it said, when it was listed, that it is cold yet.
	ColdLeft time.Duration
	// Leaving replicas finish what they have and take nothing new.
	Leaving bool
	// Version is the version of the model that it serves; empty if unknown.
	Version string
	// Adapters are those that it has loaded.
	Adapters []string
	// NoOnline and NoBatch keep a kind of work away.
	NoOnline bool
	NoBatch  bool
}

// place is where the replica stands.
func (i *Info) place() place.Place { return place.Place{Zone: i.Zone, Region: i.Region} }

// Load is what a replica said of its requests from all callers.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// queued counts the requests that wait for a slot. A replica also counts those
// as waiting that have a slot and whose prompt is being read.
func (l Load) queued() int { return max(0, l.Running+l.Waiting-l.Slots) }

// Candidate is a replica in a snapshot, as the picker sees it.
type Candidate struct {
	Info
	// Key is a hash of the ID, for orders that all nodes agree on.
	Key uint64
	// Open counts this node's requests there, Batch those of them that are items.
	Open  int
	Batch int
	// Others estimates the requests of other nodes there.
	Others float64
	// PendingTokens counts prompt tokens that this node sent there and that
	// have not led to a first event yet.
	PendingTokens int
	// Ejected replicas are left out for their failures or slowness.
	Ejected bool
	// FailureShare is the share of failures among the answers of late that nodes tell of, from 0
	// to 1.
	FailureShare float64
	// Evacuated replicas stand in a zone that operators empty.
	Evacuated bool
	// Cold is what this node may do with it while it is cold.
	Cold ColdView
	// Share is the number of its slots that are this node's by the division among
	// the nodes.
	Share int
	// SlotTime is how long it usually takes until one of its slots is free.
	SlotTime time.Duration
	// FirstEvent is the usual time to the first event of a request that need not wait.
	FirstEvent time.Duration
	// MinFirstEvent is the least time to the first event that is to be expected.
	MinFirstEvent time.Duration
	// PatienceShare is the part of the time left to its objective which a request
	// waits for a slot before an item gives way.
	PatienceShare float64
	// LoadAge is the age of what the replica last said of its load; -1 if it said nothing.
	LoadAge time.Duration
	// Waiting estimates the requests that wait there for a slot.
	Waiting float64
	// FleetUsage is the part of the pool's slots that online requests of all nodes need; 0 if
	// it is not known.
	FleetUsage float64
	// Fresh is set if something came from the replica a moment ago: this node has a
	// connection to it and knows something of its load.
	Fresh bool
}

// Busy estimates the requests running or waiting there, of all nodes.
func (c *Candidate) Busy() float64 { return float64(c.Open) + c.Others }

// Free estimates the free slots; negative when requests wait.
func (c *Candidate) Free() float64 { return float64(c.Slots) - c.Busy() }

// Key is the hash of a replica's id.
func Key(id string) uint64 { return xxhash.Sum64String(id) }
