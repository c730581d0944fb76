package emulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/wheelhoist/wheelhoist/internal/lab/history"
)

// attributeValue is a DynamoDB attribute value in JSON form. Only the types S, N and B are supported.
type attributeValue struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *string `json:"B,omitempty"`
}

func (v attributeValue) equal(other attributeValue) bool {
	return equalStrings(v.S, other.S) && equalStrings(v.N, other.N) && equalStrings(v.B, other.B)
}

func equalStrings(a, b *string) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

type item map[string]attributeValue

func (i item) text(name string) string {
	if value := i[name].S; value != nil {
		return *value
	}
	return ""
}

// TableStore emulates the table service. It implements the part of the DynamoDB protocol (API version
// 2012-08-10) that wheelhoist uses and rejects all other operations and condition expressions.
type TableStore struct {
	// Faults applies to all calls.
	Faults   *Faults
	recorder *history.Recorder

	mu            sync.Mutex
	partitions    map[string]map[string]item
	requestTokens map[string]string
	writes        uint64
	reads         uint64
}

// NewTableStore returns an empty table that records every committed put with recorder.
func NewTableStore(seed uint64, recorder *history.Recorder) *TableStore {
	store := &TableStore{
		recorder:      recorder,
		partitions:    map[string]map[string]item{},
		requestTokens: map[string]string{},
	}
	store.Faults = NewFaults(seed, func(w http.ResponseWriter) {
		writeTableError(w, tableError{kind: "ThrottlingException", message: "rate exceeded"})
	})
	return store
}

// Handler returns the HTTP handler of the table service.
func (t *TableStore) Handler() http.Handler { return t.Faults.Wrap(http.HandlerFunc(t.serve)) }

// Counts returns the number of row writes and of read calls.
func (t *TableStore) Counts() (writes, reads uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes, t.reads
}

type tableError struct {
	kind    string
	message string
	// reasons are the cancellation codes of a TransactionCanceledException, one per item.
	reasons []string
}

func (e tableError) Error() string { return e.kind + ": " + e.message }

func writeTableError(w http.ResponseWriter, tableErr tableError) {
	type reason struct{ Code string }
	var reasons []reason
	for _, code := range tableErr.reasons {
		reasons = append(reasons, reason{Code: code})
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(struct {
		Type    string   `json:"__type"`
		Message string   `json:"message"`
		Reasons []reason `json:"CancellationReasons,omitempty"`
	}{"com.amazonaws.dynamodb.v20120810#" + tableErr.kind, tableErr.message, reasons})
}

func (t *TableStore) serve(w http.ResponseWriter, r *http.Request) {
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	decoder := json.NewDecoder(r.Body)
	var answer any
	var err error
	switch operation {
	case "GetItem":
		answer, err = decodeAndCall(decoder, t.getItem)
	case "Query":
		answer, err = decodeAndCall(decoder, t.query)
	case "TransactWriteItems":
		answer, err = decodeAndCall(decoder, t.transact)
	default:
		err = tableError{kind: "UnknownOperationException", message: operation}
	}
	if err != nil {
		tableErr, ok := err.(tableError)
		if !ok {
			tableErr = tableError{kind: "SerializationException", message: err.Error()}
		}
		writeTableError(w, tableErr)
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_ = json.NewEncoder(w).Encode(answer)
}

func decodeAndCall[Input, Output any](decoder *json.Decoder, call func(Input) (Output, error)) (Output, error) {
	var input Input
	if err := decoder.Decode(&input); err != nil {
		var zero Output
		return zero, err
	}
	return call(input)
}

type getItemInput struct{ Key item }
type getItemOutput struct {
	Item item `json:",omitempty"`
}

func (t *TableStore) getItem(input getItemInput) (getItemOutput, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	return getItemOutput{Item: t.partitions[input.Key.text("pk")][input.Key.text("sk")]}, nil
}

type queryInput struct {
	KeyConditionExpression    string
	ExpressionAttributeValues item
	Limit                     int
}
type queryOutput struct {
	Items []item
	Count int
}

func (t *TableStore) query(input queryInput) (queryOutput, error) {
	if input.KeyConditionExpression != "pk = :partition AND sk > :after" {
		return queryOutput{}, tableError{kind: "ValidationException", message: "key condition not supported: " + input.KeyConditionExpression}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	partition := t.partitions[input.ExpressionAttributeValues.text(":partition")]
	after := input.ExpressionAttributeValues.text(":after")
	keys := make([]string, 0, len(partition))
	for key := range partition {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if input.Limit > 0 && len(keys) > input.Limit {
		keys = keys[:input.Limit]
	}
	output := queryOutput{Items: []item{}, Count: len(keys)}
	for _, key := range keys {
		output.Items = append(output.Items, partition[key])
	}
	return output, nil
}

type conditionalWrite struct {
	Key                       item
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

func (w conditionalWrite) key() (partition, sortKey string) {
	source := w.Key
	if source == nil {
		source = w.Item
	}
	return source.text("pk"), source.text("sk")
}

type transactInput struct {
	ClientRequestToken string
	TransactItems      []struct {
		Put            *conditionalWrite
		Delete         *conditionalWrite
		ConditionCheck *conditionalWrite
	}
}
type transactOutput struct{}

// maxTransactItems is the documented limit of a transaction.
const maxTransactItems = 100

func (t *TableStore) transact(input transactInput) (transactOutput, error) {
	if len(input.TransactItems) > maxTransactItems {
		return transactOutput{}, tableError{kind: "ValidationException", message: "too many transaction items"}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	fingerprint, err := json.Marshal(input)
	if err != nil {
		return transactOutput{}, err
	}
	if previous, ok := t.requestTokens[input.ClientRequestToken]; ok {
		if previous != string(fingerprint) {
			return transactOutput{}, tableError{kind: "IdempotentParameterMismatchException", message: "token used with other parameters"}
		}
		return transactOutput{}, nil
	}
	reasons := make([]string, len(input.TransactItems))
	failed := false
	for i, entry := range input.TransactItems {
		write := firstNonNil(entry.Put, entry.Delete, entry.ConditionCheck)
		if write == nil {
			return transactOutput{}, tableError{kind: "ValidationException", message: "empty transaction item"}
		}
		satisfied, err := t.checkCondition(*write)
		if err != nil {
			return transactOutput{}, err
		}
		reasons[i] = "None"
		if !satisfied {
			reasons[i] = "ConditionalCheckFailed"
			failed = true
		}
	}
	if failed {
		return transactOutput{}, tableError{kind: "TransactionCanceledException", message: "condition failed", reasons: reasons}
	}
	for _, entry := range input.TransactItems {
		t.apply(entry.Put, entry.Delete)
	}
	if input.ClientRequestToken != "" {
		t.requestTokens[input.ClientRequestToken] = string(fingerprint)
	}
	return transactOutput{}, nil
}

func firstNonNil(candidates ...*conditionalWrite) *conditionalWrite {
	for _, candidate := range candidates {
		if candidate != nil {
			return candidate
		}
	}
	return nil
}

// checkCondition reports whether the condition of a write is satisfied. The caller holds mu.
func (t *TableStore) checkCondition(write conditionalWrite) (bool, error) {
	partition, sortKey := write.key()
	current, exists := t.partitions[partition][sortKey]
	switch write.ConditionExpression {
	case "":
		return true, nil
	case "attribute_not_exists(pk)":
		return !exists, nil
	case "version = :expect":
		return exists && current["version"].equal(write.ExpressionAttributeValues[":expect"]), nil
	default:
		return false, tableError{kind: "ValidationException", message: "condition not supported: " + write.ConditionExpression}
	}
}

// apply executes the put or delete of one transaction item. The caller holds mu.
func (t *TableStore) apply(put, remove *conditionalWrite) {
	switch {
	case put != nil:
		partition, sortKey := put.key()
		if t.partitions[partition] == nil {
			t.partitions[partition] = map[string]item{}
		}
		t.partitions[partition][sortKey] = put.Item
		t.writes++
		t.recordEffect(partition, sortKey, put.Item)
	case remove != nil:
		partition, sortKey := remove.key()
		delete(t.partitions[partition], sortKey)
		t.writes++
	}
}

func (t *TableStore) recordEffect(partition, sortKey string, stored item) {
	var version uint64
	if value := stored["version"].N; value != nil {
		version, _ = strconv.ParseUint(*value, 10, 64)
	}
	t.recorder.Record(history.Event{
		Source: "table", Type: history.TableEffect,
		Key: partition + "/" + sortKey, Operation: stored.text("operation"), Revision: version,
	})
}
