// Package history records what every process of a run did and checks it.
//
// Clients, nodes, engines and the platform stand-ins append events. All of
// them run on one machine, so their clocks are the same clock.
package history

// Type names what happened.
type Type string

// Event types. The comment says who records it and which fields are set.
const (
	// EngineStart: an engine began to execute Attempt of Request.
	EngineStart Type = "engine_start"
	// EngineEnd: an engine finished Attempt; Tokens were generated.
	EngineEnd Type = "engine_end"
	// EngineAbort: an engine gave Attempt up; Tokens were generated until then.
	EngineAbort Type = "engine_abort"
	// EngineReceived: an engine accepted Attempt into its queue.
	EngineReceived Type = "engine_received"
	// EngineOrder: an engine obeyed a fenced order; Revision is the fencing token.
	EngineOrder Type = "engine_order"
	// EngineDied: an engine was killed by the lab; nothing more comes from it.
	EngineDied Type = "engine_died"
	// ReplicaLeaving: the platform told Replica to leave.
	ReplicaLeaving Type = "replica_leaving"

	// ClientSend: a caller sent Request.
	ClientSend Type = "client_send"
	// ClientAnswer: a caller got an answer; Whole and Match tell its quality.
	ClientAnswer Type = "client_answer"
	// ClientRefused: a caller was refused; Executed is the header's value.
	ClientRefused Type = "client_refused"
	// ClientFailed: the answer never came or broke off.
	ClientFailed Type = "client_failed"

	// BatchAccepted: a submission of Count items was acknowledged as Job.
	BatchAccepted Type = "batch_accepted"
	// BatchCancelled: a cancellation of Job was acknowledged.
	BatchCancelled Type = "batch_cancelled"
	// BatchResult: a reader saw the result of Item of Job; Match tells whether
	// the content is the expected one, Outcome the item's outcome.
	BatchResult Type = "batch_result"
	// BatchFinal: a reader saw Job in its final state, in Outcome.
	BatchFinal Type = "batch_final"

	// ConfigInvoke and ConfigReturn frame an operator's call in Operation.
	ConfigInvoke Type = "config_invoke"
	// ConfigReturn: see ConfigInvoke; Outcome is ok, conflict, refused or unknown.
	ConfigReturn Type = "config_return"
	// ConfigApplied: node Source put Revision in force.
	ConfigApplied Type = "config_applied"

	// TableEffect: the table service committed Operation on Key as Revision.
	TableEffect Type = "table_effect"
	// NodeStarted and NodeKilled: the lab started or killed node Source.
	NodeStarted Type = "node_started"
	// NodeKilled: see NodeStarted.
	NodeKilled Type = "node_killed"
	// NodeStopping: the lab asked node Source for a planned stop.
	NodeStopping Type = "node_stopping"
	// FaultStart and FaultEnd frame an injected fault in Detail.
	FaultStart Type = "fault_start"
	// FaultEnd: see FaultStart.
	FaultEnd Type = "fault_end"
)

// Class tells online from batch executions.
type Class string

const (
	// Online is a request somebody waits for.
	Online Class = "online"
	// Batch is an item of a batch job.
	Batch Class = "batch"
)

// Event is one recorded fact. Unused fields stay empty.
type Event struct {
	// Time is in nanoseconds since the Unix epoch.
	Time   int64  `json:"time"`
	Source string `json:"source"`
	Type   Type   `json:"type"`

	Class   Class  `json:"class,omitempty"`
	Request string `json:"request,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	Replica string `json:"replica,omitempty"`
	Job     string `json:"job,omitempty"`
	Item    string `json:"item,omitempty"`
	Count   int    `json:"count,omitempty"`
	Tokens  int    `json:"tokens,omitempty"`
	// Repeatable is false for requests that may run at most once.
	Repeatable bool   `json:"repeatable,omitempty"`
	Whole      bool   `json:"whole,omitempty"`
	Match      bool   `json:"match,omitempty"`
	Executed   string `json:"executed,omitempty"`
	Outcome    string `json:"outcome,omitempty"`

	Operation string `json:"operation,omitempty"`
	Key       string `json:"key,omitempty"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision,omitempty"`
	Expect    uint64 `json:"expect,omitempty"`
	Detail    string `json:"detail,omitempty"`

	// TTFT and Elapsed are milliseconds measured by a caller.
	TTFT    float64 `json:"ttft_ms,omitempty"`
	Elapsed float64 `json:"elapsed_ms,omitempty"`
}
