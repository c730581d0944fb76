// Package soak runs real gateway processes before stand-ins of the users'
// platform, makes faults from outside, and checks what callers and servers see
// against what is promised. A seed fixes the plan of faults.
package soak

import (
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Request is an online request as its caller saw it.
type Request struct {
	ID     string
	Prefix string
	// Once requests may run once only.
	Once bool
	// Tenant is whose key it carried.
	Tenant string
	// Node is the gateway that was asked, Life counts its processes.
	Node   string
	Life   int
	Sent   time.Time
	Ended  time.Time
	Answer *standin.Answer
}

// Job is a job as its caller saw it.
type Job struct {
	ID       string
	Items    []string
	Tokens   int
	Accepted bool
	// Refused tells that each answer promised that nothing runs.
	Refused bool
	// At is when it was accepted.
	At time.Time
	// EndedAt is when its end was acknowledged; zero if it was not ended.
	EndedAt time.Time
}

// Reading is a result as one reading of a job's list showed it.
type Reading struct {
	Job      string
	Position int
	standin.Listed
}

// Drain is a server that was listed as draining in calm.
type Drain struct {
	Server string
	At     time.Time
}

// ServerRun is a request or item that a server began to work on.
type ServerRun struct {
	Server string
	standin.Run
}

// ColdSend is a request that a server got while it was cold.
type ColdSend struct {
	Server string
	standin.ColdSend
}

// HarmSend is a request with work that ends the servers which run it.
type HarmSend struct {
	ID, Work, Node string
	Sent           time.Time
	Answer         *standin.Answer
}

// HarmEnd is the end of a server under a request.
type HarmEnd struct {
	ID, Work, Server string
	// Reached is when the request came to the server, At when the server ended.
	Reached, At time.Time
}

// Outage is a time in which a zone was emptied, or lost.
type Outage struct {
	Zone     string
	From, To time.Time
}

// AllNodes is the name of a disturbance of all nodes.
const AllNodes = ""

// Disturbance is a time in which a node or server was disturbed from outside.
type Disturbance struct {
	// Name is the node's or server's.
	Name     string
	From, To time.Time
	// Restart tells that all it did was to end processes, which are started again.
	Restart bool
}

// History is all that callers and servers have seen. It is safe for concurrent
// use while it is recorded.
type History struct {
	mu       sync.Mutex
	Requests []Request
	Jobs     []Job
	Readings []Reading
	Drains   []Drain
	Runs     []ServerRun
	// ColdSends are in no order.
	ColdSends []ColdSend
	// Evacuations are from the acknowledgement until just before they are taken back.
	Evacuations  []Outage
	Losses       []Outage
	Disturbances []Disturbance
	// NodeZones and ServerZones are the zones, by the names of those in them.
	NodeZones, ServerZones map[string]string
	// HarmSends are the requests with harmful work, HarmEnds the ends of servers under it.
	HarmSends []HarmSend
	HarmEnds  []HarmEnd
	// Ended are the ends of nodes that nobody had asked for.
	Ended []EndedError
	// Calm tells when nothing was disturbed any more.
	Calm time.Time
	// Events is the number of events of a whole answer.
	Events int
	// Quota bounds the tokens of unfinished items.
	Quota int
	// Final are the lists read at the very end, by job.
	Final map[string][]standin.Listed
}

// record adds one to a list of a history.
func record[T any](h *History, list *[]T, one T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, one)
}

func (h *History) reading(job string, from int, results []standin.Listed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, one := range results {
		h.Readings = append(h.Readings, Reading{Job: job, Position: from + i, Listed: one})
	}
}

// disturbed notes a disturbance that ends now.
func (h *History) disturbed(one Disturbance) {
	one.To = time.Now()
	record(h, &h.Disturbances, one)
}

// jobs returns the jobs so far.
func (h *History) jobs() []Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Job(nil), h.Jobs...)
}
