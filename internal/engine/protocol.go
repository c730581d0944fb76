// Package engine is the port to the model engines (replicas): the OpenAI HTTP
// API with priorities, request ids, resume, abort, load reports and fenced
// orders.
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
	// ErrUnreachable reports that no connection to the engine could be made.
	ErrUnreachable = errors.New("engine unreachable")
	// ErrBroken reports that the answer broke off.
	ErrBroken = errors.New("engine answer broke off")
	// ErrStaleFence reports that an order carried a lower fencing token than
	// one the engine has already obeyed.
	ErrStaleFence = errors.New("engine has obeyed a newer order")
	// ErrUnknownRequest reports that the engine does not know a request id.
	ErrUnknownRequest = errors.New("engine does not know the request")
)

// Priority orders requests at an engine; lower runs first and may preempt.
type Priority int

const (
	// PriorityOnline is for requests that somebody waits for.
	PriorityOnline Priority = 0
	// PriorityBatch is for items of batch jobs.
	PriorityBatch Priority = 10
)

// HTTP headers of the engine protocol.
const (
	// HeaderRequestID carries the attempt id.
	HeaderRequestID = "X-Request-Id"
	// HeaderLastEventID asks a stream to continue after this event (HTML SSE).
	HeaderLastEventID = "Last-Event-ID"
	// HeaderLoad carries an ORCA-style load report in JSON.
	HeaderLoad = "Endpoint-Load-Metrics"
)

// Role says which work a replica takes.
type Role string

const (
	// RoleMixed replicas take online and batch work.
	RoleMixed Role = "mixed"
	// RoleOnline replicas take online work only.
	RoleOnline Role = "online"
	// RoleBatch replicas take batch work only.
	RoleBatch Role = "batch"
)

// State is an engine's own state.
type State string

const (
	// StateReady engines accept requests.
	StateReady State = "ready"
	// StateLoading engines are fetching weights and refuse requests.
	StateLoading State = "loading"
	// StateLeaving engines finish what they have.
	StateLeaving State = "leaving"
)

// Load is an engine's report of its load, as of some time ago.
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
	PrefillPerSec  float64  `json:"prefill_tokens_per_s"`
	ReportedUnixMs int64    `json:"reported_unix_ms"`
	// StartedUnixMs is when the engine started; 0 if it does not say. One that starts again
	// holds and knows nothing of before.
	StartedUnixMs int64 `json:"started_unix_ms,omitempty"`
}

// Order is a fenced instruction to change what an engine serves. An engine
// refuses an order whose fence is lower than the highest it has obeyed.
type Order struct {
	Fence    uint64   `json:"fence"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     Role     `json:"role"`
}

// RequestState is what an engine knows of one attempt.
type RequestState string

const (
	// RequestQueued attempts have not begun to execute.
	RequestQueued RequestState = "queued"
	// RequestRunning attempts are executing.
	RequestRunning RequestState = "running"
	// RequestDone attempts have finished.
	RequestDone RequestState = "done"
	// RequestAborted attempts were given up after they had begun.
	RequestAborted RequestState = "aborted"
	// RequestNotRun attempts were given up before they began.
	RequestNotRun RequestState = "not_run"
	// RequestUnknown attempts are not known to the engine.
	RequestUnknown RequestState = "unknown"
)

// RequestStatus answers a status or abort call.
type RequestStatus struct {
	ID     string       `json:"id"`
	State  RequestState `json:"state"`
	Tokens int          `json:"tokens"`
}
