package openai

import "encoding/json"

// File describes an input, output or error file.
type File struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
}

// BatchStatus is the state of a batch job.
type BatchStatus string

// Batch states, as defined by the OpenAI API.
const (
	BatchValidating BatchStatus = "validating"
	BatchInProgress BatchStatus = "in_progress"
	BatchCompleted  BatchStatus = "completed"
	BatchFailed     BatchStatus = "failed"
	BatchExpired    BatchStatus = "expired"
	BatchCancelled  BatchStatus = "cancelled"
)

// Final reports whether the state is final.
func (s BatchStatus) Final() bool {
	return s == BatchCompleted || s == BatchFailed || s == BatchExpired || s == BatchCancelled
}

// BatchRequest is a request to create a batch job.
type BatchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

// BatchCounts counts the items of a job.
type BatchCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// BatchError is one finding about an input file.
type BatchError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Line    int    `json:"line,omitempty"`
}

// BatchErrors lists the findings about an input file.
type BatchErrors struct {
	Object string       `json:"object"`
	Data   []BatchError `json:"data"`
}

// Batch describes a batch job.
type Batch struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           BatchStatus       `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    BatchCounts       `json:"request_counts"`
	Errors           *BatchErrors      `json:"errors,omitempty"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

// BatchItem is a request, one line of an input file.
type BatchItem struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
	// NotRepeatable marks an item that may run at most once. It is an extension of the OpenAI API.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
}

// BatchItemResponse is the response in a line of an output file.
type BatchItemResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// BatchItemError is the reason why an item has no response.
type BatchItemError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Codes of BatchItemError.
const (
	// CodeOutcomeUnknown marks a non-repeatable item that may have run.
	CodeOutcomeUnknown = "outcome_unknown"
	// CodeBatchExpired marks an item that did not run before the job's deadline.
	CodeBatchExpired = "batch_expired"
	// CodeItemFailed marks an item that the engine rejected or that failed at every attempt.
	CodeItemFailed = "item_failed"
	// CodeQuarantined marks an item or request that crashed the replicas that ran it.
	CodeQuarantined = "quarantined"
)

// BatchResult is one line of an output or error file.
type BatchResult struct {
	ID       string             `json:"id"`
	CustomID string             `json:"custom_id"`
	Response *BatchItemResponse `json:"response"`
	Error    *BatchItemError    `json:"error"`
}

// Model describes a served model.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// Listing is a page of a list response.
type Listing[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	HasMore bool   `json:"has_more"`
}
