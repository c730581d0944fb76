// Package history records the events of a lab run and checks them for violations of invariants.
//
// Clients, nodes, engines and the emulated platform services record events. They all run on one
// machine, so their timestamps are comparable.
package history

// Type is the kind of an event.
type Type string

// Event types. Each comment names the fields that are set in addition to Time, Source and Type.
const (
	// EngineStart: an engine started executing Attempt.
	EngineStart Type = "engine_start"
	// EngineEnd: an engine completed Attempt with Tokens generated tokens.
	EngineEnd Type = "engine_end"
	// EngineAbort: an engine aborted Attempt after Tokens generated tokens.
	EngineAbort Type = "engine_abort"
	// EngineReceived: an engine queued Attempt.
	EngineReceived Type = "engine_received"
	// EngineOrder: an engine applied an order; Revision is its fencing token.
	EngineOrder Type = "engine_order"
	// EngineDied: the lab killed the engine of Replica; it records no further events.
	EngineDied Type = "engine_died"
	// ReplicaLeaving: the platform requested Replica to leave.
	ReplicaLeaving Type = "replica_leaving"

	// ClientSend: a client sent Request.
	ClientSend Type = "client_send"
	// ClientAnswer: a client received an answer; Whole and Match report whether it is complete
	// and has the expected content.
	ClientAnswer Type = "client_answer"
	// ClientRefused: a client request was refused; Executed is the value of the response header.
	ClientRefused Type = "client_refused"
	// ClientFailed: a client received no answer or an interrupted one.
	ClientFailed Type = "client_failed"

	// BatchAccepted: the submission of Job with Count items was acknowledged.
	BatchAccepted Type = "batch_accepted"
	// BatchCancelled: the cancellation of Job was acknowledged.
	BatchCancelled Type = "batch_cancelled"
	// BatchResult: a client read the result of Item of Job; Match reports whether the content is
	// the expected one, Outcome is the item's outcome.
	BatchResult Type = "batch_result"
	// BatchFinal: a client read Job in the final state Outcome; Count items have ended.
	BatchFinal Type = "batch_final"

	// ConfigInvoke: an operator's call started. Operation identifies the call, Detail is "read"
	// or "write", Key the resource, Expect the expected version of a write.
	ConfigInvoke Type = "config_invoke"
	// ConfigReturn: the call returned. Outcome is "ok", accepted, pending, conflict, refused or
	// unknown; Revision is the returned revision.
	ConfigReturn Type = "config_return"
	// ConfigApplied: node Source applied Revision.
	ConfigApplied Type = "config_applied"

	// TableEffect: the table service committed Operation on Key with Revision.
	TableEffect Type = "table_effect"
	// NodeStarted: the lab started the node named in Detail.
	NodeStarted Type = "node_started"
	// NodeKilled: the lab killed the node named in Detail.
	NodeKilled Type = "node_killed"
	// NodeStopping: the lab started a planned stop of the node named in Detail.
	NodeStopping Type = "node_stopping"
	// FaultStart: the injection of the fault named in Detail started.
	FaultStart Type = "fault_start"
	// FaultEnd: the injection of the fault named in Detail ended.
	FaultEnd Type = "fault_end"
)

// Class distinguishes online requests from batch items.
type Class string

const (
	// Online is an interactive request.
	Online Class = "online"
	// Batch is an item of a batch job.
	Batch Class = "batch"
)

// Event is one recorded event. Fields that do not apply to its type are empty.
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
	// Repeatable is false for a request or item that may run at most once.
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

	// TTFT (time to first token) and Elapsed are in milliseconds, measured by the client.
	TTFT    float64 `json:"ttft_ms,omitempty"`
	Elapsed float64 `json:"elapsed_ms,omitempty"`
}
