// Package soak runs gateway processes against stand-ins of the platform (store and servers),
// injects faults from outside, and checks what callers and servers observe against the promises of
// the system. The seed determines the plan of faults.
//
// A run has three phases: load with faults, load without random faults (the calm phase, in which
// bounds are stricter), and a final phase without load in which all jobs are read.
package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Request is an online request as its caller observed it.
type Request struct {
	ID     string
	Prefix string
	// AtMostOnce is set if the route allows at most one run of the request.
	AtMostOnce bool
	// Tenant is the tenant whose API key the request carried.
	Tenant string
	// Node is the gateway that received the request, Process the number of its process.
	Node    string
	Process int
	Sent    time.Time
	Ended   time.Time
	Answer  *standin.Response
}

// Job is a job as its caller observed it.
type Job struct {
	ID       string
	Items    []string
	Tokens   int
	Accepted bool
	// Refused is set if every answer guaranteed that nothing of the job runs.
	Refused bool
	// At is when the job was accepted.
	At time.Time
	// EndedAt is when the end of the job was acknowledged; zero if it was not ended.
	EndedAt time.Time
}

// Observation is one result in the list of a job, as a read returned it.
type Observation struct {
	Job      string
	Position int
	At       time.Time
	standin.JobResult
}

// Read is a call that reads the list of a job from a position on, or the content of an item, as its
// caller observed it.
type Read struct {
	Job string
	// Item is the item whose content was read; empty if the list was read.
	Item     string
	Position int
	// Wait is how long the node was allowed to wait for a result.
	Wait time.Duration
	// Node is the gateway that received the call.
	Node        string
	Sent, Ended time.Time
	// Status is 0 if no complete answer arrived.
	Status  int
	Results []standin.JobResult
	// State is what the answer says that it was made from.
	State standin.JobState
}

// Drain is a server that was listed as draining in the calm phase.
type Drain struct {
	Server string
	At     time.Time
}

// ServerRun is a request or item that a server started to run.
type ServerRun struct {
	Server string
	standin.Run
}

// ColdSend is a request that a server received while it was cold.
type ColdSend struct {
	Server string
	standin.ColdRequest
}

// HarmfulRequest is a request with work that crashes the servers which run it.
type HarmfulRequest struct {
	ID, Work, Node string
	Sent           time.Time
	Answer         *standin.Response
}

// HarmfulCrash is a crash of a server under a harmful request.
type HarmfulCrash struct {
	ID, Work, Server string
	// Reached is when the request arrived at the server, At when the server crashed.
	Reached, At time.Time
}

// Outage is a period in which a zone was evacuated or lost.
type Outage struct {
	Zone     string
	From, To time.Time
}

// ServerOutage is a period in which a server was unusable or had reduced capacity.
type ServerOutage struct {
	Server   string
	From, To time.Time
}

// AllNodes is the name of disturbances that affect all nodes.
const AllNodes = ""

// Overload is a period in which callers sent more requests than the servers could run.
type Overload struct {
	From, To time.Time
}

// DisruptedAnswer is an answer that a server in disruption did not send as it was, or sent in addition.
type DisruptedAnswer struct {
	Server string
	standin.Disrupted
}

// Disturbance is a period in which a node or server was disturbed by a fault.
type Disturbance struct {
	// Name is the name of the node or server, or AllNodes.
	Name     string
	From, To time.Time
	// Restart is set if the fault only stopped processes, which are restarted.
	Restart bool
	// Store is set if the fault was one of the store, which affects all nodes alike.
	Store bool
}

// History contains everything that callers and servers observed. Methods that record are safe for
// concurrent use.
type History struct {
	mu           sync.Mutex
	Requests     []Request
	Jobs         []Job
	Observations []Observation
	Reads        []Read
	Drains       []Drain
	Runs         []ServerRun
	// ColdSends is unordered.
	ColdSends []ColdSend
	// Evacuations last from their acknowledgement until just before they are revoked.
	Evacuations  []Outage
	Losses       []Outage
	Disturbances []Disturbance
	// NodeZones and ServerZones map the names of nodes and servers to their zones.
	NodeZones, ServerZones map[string]string
	// HarmfulRequests are the requests with harmful work, HarmfulCrashes the crashes that they
	// caused.
	HarmfulRequests []HarmfulRequest
	HarmfulCrashes  []HarmfulCrash
	// PartRequests are the sound requests whose first part harmful ones share.
	PartRequests []PartRequest
	// Crowds are the periods in the calm phase in which most new connections went to one node.
	Crowds []Crowd
	// Exits are the unexpected exits of nodes.
	Exits []ExitError
	// ServerOutages is unordered and its elements may overlap.
	ServerOutages []ServerOutage
	// Overwritten are the periods in which the row of a server was overwritten by another writer.
	Overwritten []ServerOutage
	// ServerSlots maps the names of servers to their slots.
	ServerSlots map[string]int
	// Silences, ServerStarts, ForeignRows and HistoryLosses list the injected faults that silenced
	// connections, restarted servers, wrote rows as another writer, and made the store lose its
	// history.
	Silences, ServerStarts, ForeignRows, HistoryLosses []FaultKind
	// CalmConfigs are the times of the calm phase at which the configuration changed.
	CalmConfigs []time.Time
	// StoreDelays lists the injected faults of the store's latency, Pauses those that made a server fall
	// silent for a while.
	StoreDelays, Pauses []FaultKind
	// LongCuts lists the injected faults that cut a node off beside long texts.
	LongCuts []FaultKind
	// Refusals counts the requests that servers refused.
	Refusals int
	// Overloads are the periods in which callers filled all servers.
	Overloads []Overload
	// Disrupted is unordered.
	Disrupted []DisruptedAnswer
	// Streams are the streams that callers continued at other nodes.
	Streams []Stream
	// Versions are the starts of servers with a software version.
	Versions []ServerVersion
	// ServerUpdates counts the injected updates of the servers' software.
	ServerUpdates []FaultKind
	// LoadStart and LoadEnd delimit the load. The calm phase starts at CalmFrom, some seconds after
	// the last random fault has ended, and lasts until LoadEnd.
	LoadStart, CalmFrom, LoadEnd time.Time
	// Backlog is the time that the servers need for the items that were not listed at LoadEnd.
	Backlog time.Duration
	// Events is the number of events of a complete answer.
	Events int
	// Quota is the limit on the tokens of unfinished items.
	Quota int
	// Final contains the lists that were read at the end, by job. Jobs that could not be read are
	// missing.
	Final map[string][]standin.JobResult

	// listed contains the items that some read has returned.
	listed map[string]bool
	// listOrder contains the positions of results in the order in which reads first returned them.
	listOrder []resultPosition
	// texts contains one copy of each text that was read.
	texts map[string]string
}

// record appends an entry to a list of a history.
func record[T any](h *History, list *[]T, entry T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, entry)
}

// observe records the results that a read of a job returned from a position on.
func (h *History) observe(job string, position int, results []standin.JobResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.shareTexts(results)
	for i, result := range results {
		h.Observations = append(h.Observations, Observation{Job: job, Position: position + i, At: now, JobResult: result})
		if !h.listed[result.Item] {
			h.listOrder = append(h.listOrder, resultPosition{job, position + i})
		}
		h.listed[result.Item] = true
	}
}

// shareTexts replaces equal texts by one copy, since long ones are read many times. The caller holds mu.
func (h *History) shareTexts(results []standin.JobResult) {
	for i := range results {
		text, ok := h.texts[results[i].Text]
		if !ok {
			text = results[i].Text
			h.texts[text] = text
		}
		results[i].Text = text
	}
}

// latestListed returns the positions of the most recently listed results, at most limit of them.
func (h *History) latestListed(limit int) []resultPosition {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.listOrder[max(0, len(h.listOrder)-limit):])
}

// recordFinal records the list of a job as it was read at the end.
func (h *History) recordFinal(job string, results []standin.JobResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Final[job] = results
}

// unlistedCount returns the number of items of a job that no read has returned.
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

// unlistedWork returns how long a server runs for the items of a job that no read has returned.
func (h *History) unlistedWork(job *Job) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var work time.Duration
	for _, item := range job.Items {
		switch {
		case h.listed[item]:
		case isLong(item):
			work += time.Duration(h.Events) * longEventTime
		default:
			work += time.Duration(h.Events) * eventTime
		}
	}
	return work
}

// recordDisturbance records a disturbance that ends now.
func (h *History) recordDisturbance(d Disturbance) {
	d.To = time.Now()
	record(h, &h.Disturbances, d)
}

// jobs returns the jobs that were recorded so far.
func (h *History) jobs() []Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Job(nil), h.Jobs...)
}
