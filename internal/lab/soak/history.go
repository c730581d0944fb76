// Package soak runs real gateway processes before stand-ins of the users'
// platform, makes faults from outside, and checks what callers and servers see
// against what is promised. A seed fixes the plan of faults.
package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Request is an online request as its caller saw it.
type Request struct {
	ID     string
	Prefix string
	// AtMostOnce requests may run once only.
	AtMostOnce bool
	// Tenant is whose key it carried.
	Tenant string
	// Node is the gateway that was asked, Life counts its processes.
	Node    string
	Process int
	Sent    time.Time
	Ended   time.Time
	Answer  *standin.Answer
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

// Observation is a result as one reading of a job's list showed it, at a moment.
type Observation struct {
	Job      string
	Position int
	At       time.Time
	standin.Listed
}

// Read is a call that reads a job's list from a position on, or an item's content, as its
// caller saw it.
type Read struct {
	Job string
	// Item is the item whose content was read; empty if the list was.
	Item     string
	Position int
	// Wait is how long the node might wait for a result.
	Wait time.Duration
	// Node is the gateway that was asked.
	Node        string
	Sent, Ended time.Time
	// Status is 0 if no answer came to its end.
	Status  int
	Results []standin.Listed
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

// HarmfulRequest is a request with work that ends the servers which run it.
type HarmfulRequest struct {
	ID, Work, Node string
	Sent           time.Time
	Answer         *standin.Answer
}

// HarmfulCrash is the end of a server under a request.
type HarmfulCrash struct {
	ID, Work, Server string
	// Reached is when the request came to the server, At when the server ended.
	Reached, At time.Time
}

// Outage is a time in which a zone was emptied, or lost.
type Outage struct {
	Zone     string
	From, To time.Time
}

// ServerOutage is a time in which a server could not be used, or not to the full.
type ServerOutage struct {
	Server   string
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
	// Store tells that it was the store's, alike for all nodes, and not a node's own.
	Store bool
}

// History is all that callers and servers have seen. It is safe for concurrent
// use while it is recorded.
type History struct {
	mu           sync.Mutex
	Requests     []Request
	Jobs         []Job
	Observations []Observation
	Reads        []Read
	Drains       []Drain
	Runs         []ServerRun
	// ColdSends are in no order.
	ColdSends []ColdSend
	// Evacuations are from the acknowledgement until just before they are taken back.
	Evacuations  []Outage
	Losses       []Outage
	Disturbances []Disturbance
	// NodeZones and ServerZones are the zones, by the names of those in them.
	NodeZones, ServerZones map[string]string
	// HarmfulRequests are the requests with harmful work, HarmEnds the ends of servers under it.
	HarmfulRequests []HarmfulRequest
	HarmfulCrashes  []HarmfulCrash
	// Exits are the ends of nodes that nobody had asked for.
	Exits []ExitError
	// ServerOutages are in no order and may overlap.
	ServerOutages []ServerOutage
	// Overwritten are the times in which a server's row was another writer's.
	Overwritten []ServerOutage
	// ServerSlots are the slots of servers, by their names.
	ServerSlots map[string]int
	// Silences, ServerStarts and ForeignRows are the faults of these kinds that were made.
	Silences, ServerStarts, ForeignRows, HistoryLosses []FaultKind
	// LoadStart is when the load began, LoadEnd when it was over. CalmFrom tells when nothing was
	// disturbed any more, which is before that.
	LoadStart, CalmFrom, LoadEnd time.Time
	// Backlog is the time that the servers need for what was not listed when the load was over.
	Backlog time.Duration
	// Events is the number of events of a whole answer.
	Events int
	// Quota bounds the tokens of unfinished items.
	Quota int
	// Final are the lists read at the very end, by job; a job that nobody could read has none.
	Final map[string][]standin.Listed

	// listed are the items that some reading has shown.
	listed map[string]bool
	// listOrder are the results in the listOrder in which readings have shown them.
	listOrder []resultPosition
}

// record adds one to a list of a history.
func record[T any](h *History, list *[]T, entry T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, entry)
}

func (h *History) observe(job string, position int, results []standin.Listed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for i, result := range results {
		h.Observations = append(h.Observations, Observation{Job: job, Position: position + i, At: now, Listed: result})
		if !h.listed[result.Item] {
			h.listOrder = append(h.listOrder, resultPosition{job, position + i})
		}
		h.listed[result.Item] = true
	}
}

// latestListed returns the last results that readings have shown, up to some.
func (h *History) latestListed(limit int) []resultPosition {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.listOrder[max(0, len(h.listOrder)-limit):])
}

// recordFinal notes a job's list as it was read at the end.
func (h *History) recordFinal(job string, results []standin.Listed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Final[job] = results
}

// unlistedCount returns how many of a job's items no reading has shown.
func (h *History) unlistedCount(job *Job) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, item := range job.Items {
		if !h.listed[item] {
			count++
		}
	}
	return count
}

// recordDisturbance notes a disturbance that ends now.
func (h *History) recordDisturbance(d Disturbance) {
	d.To = time.Now()
	record(h, &h.Disturbances, d)
}

// jobs returns the jobs so far.
func (h *History) jobs() []Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Job(nil), h.Jobs...)
}
