// Package engine defines the protocol of the model engines (replicas) and a client for it: the
// OpenAI HTTP API with priorities, request IDs, resume, abort, load reports and fenced orders.
package engine

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("engine")

var (
	// ErrRefused reports that the engine refused the request; it did not run.
	ErrRefused = errors.New("engine refused the request")
	// ErrUnreachable reports that no connection to the engine was established.
	ErrUnreachable = errors.New("engine unreachable")
	// ErrNotAccepted reports that no connection was established in time. Such an error is ErrUnreachable
	// too.
	ErrNotAccepted = errors.New("no connection in time")
	// ErrBroken reports that the connection failed before the answer was complete. The request may
	// have run.
	ErrBroken = errors.New("engine answer broke off")
	// ErrStaleFence reports that an order had a lower fencing token than one that the engine has
	// already obeyed.
	ErrStaleFence = errors.New("engine has obeyed a newer order")
	// ErrUnknownRequest reports that the engine does not know a request ID.
	ErrUnknownRequest = errors.New("engine does not know the request")
)

// Priority orders requests at an engine. Lower values run first and may preempt others.
type Priority int

const (
	// PriorityOnline is for requests with a waiting caller.
	PriorityOnline Priority = 0
	// PriorityBatch is for items of batch jobs.
	PriorityBatch Priority = 10
)

// HTTP headers of the engine protocol.
const (
	// HeaderRequestID carries the attempt ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderLastEventID asks a stream to resume after this event (HTML Living Standard, SSE).
	HeaderLastEventID = "Last-Event-ID"
	// HeaderLoad carries an ORCA-style load report in JSON.
	HeaderLoad = "Endpoint-Load-Metrics"
)

// Role determines which work a replica accepts.
type Role string

const (
	// RoleMixed replicas accept online and batch work.
	RoleMixed Role = "mixed"
	// RoleOnline replicas accept online work only.
	RoleOnline Role = "online"
	// RoleBatch replicas accept batch work only.
	RoleBatch Role = "batch"
)

// State is the lifecycle state of an engine.
type State string

const (
	// StateReady engines accept requests.
	StateReady State = "ready"
	// StateLoading engines are fetching weights and refuse requests.
	StateLoading State = "loading"
	// StateLeaving engines finish their requests and accept no new ones.
	StateLeaving State = "leaving"
)

// Load is an engine's report of its load at an earlier time.
type Load struct {
	State          State    `json:"state"`
	Role           Role     `json:"role"`
	Model          string   `json:"model"`
	Version        string   `json:"version"`
	Adapters       []string `json:"adapters"`
	Generation     string   `json:"generation"`
	Fence          uint64   `json:"fence"`
	MaxSequences   int      `json:"max_sequences"`
	RunningOnline  int      `json:"running_online"`
	RunningBatch   int      `json:"running_batch"`
	WaitingOnline  int      `json:"waiting_online"`
	WaitingBatch   int      `json:"waiting_batch"`
	KVUsedTokens   int      `json:"kv_used_tokens"`
	KVTotalTokens  int      `json:"kv_total_tokens"`
	StepMillis     float64  `json:"step_ms"`
	PrefillRate    float64  `json:"prefill_tokens_per_s"`
	ReportedUnixMs int64    `json:"reported_unix_ms"`
	// StartedUnixMs is when the engine started; 0 if unknown. A restarted engine has lost all
	// earlier requests.
	StartedUnixMs int64 `json:"started_unix_ms,omitempty"`
}

// Order is a fenced instruction to change what an engine serves. An engine refuses an order with a
// lower fence than the highest it has obeyed.
type Order struct {
	Fence    uint64   `json:"fence"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     Role     `json:"role"`
}

// RequestState is the state of an attempt at an engine.
type RequestState string

const (
	// RequestQueued attempts have not started to run.
	RequestQueued RequestState = "queued"
	// RequestRunning attempts are running.
	RequestRunning RequestState = "running"
	// RequestDone attempts have finished.
	RequestDone RequestState = "done"
	// RequestAborted attempts were aborted after they had started to run.
	RequestAborted RequestState = "aborted"
	// RequestNotRun attempts were aborted before they started to run.
	RequestNotRun RequestState = "not_run"
	// RequestUnknown attempts are not known to the engine.
	RequestUnknown RequestState = "unknown"
)

// RequestStatus is the answer to a status or abort call.
type RequestStatus struct {
	ID     string       `json:"id"`
	State  RequestState `json:"state"`
	Tokens int          `json:"tokens"`
}
