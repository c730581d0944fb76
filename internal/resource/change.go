// Package resource holds the configuration: the declared resources, their
// revisions, and how a committed revision comes into force on every node.
//
// The table service holds the truth: a head row with the latest revision, one
// row a resource and one row a revision. A write is one transaction over the
// three, so revisions are numbered without gaps and each is one change. Nodes
// hold a copy whose applied revision only rises.
package resource

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("resource")

var (
	// ErrNotFound reports that no resource has the name.
	ErrNotFound = errors.New("resource not found")
	// ErrVersionMismatch reports that the resource has changed since it was read.
	ErrVersionMismatch = errors.New("resource version does not match")
	// ErrTooOld reports that changes since a revision are no longer held.
	ErrTooOld = errors.New("revision too old")
	// ErrGap reports a change that does not follow the applied revision.
	ErrGap = errors.New("change does not follow the applied revision")
	// ErrStoreUnavailable reports that the table service could not carry out a
	// write. Nothing was written.
	ErrStoreUnavailable = errors.New("configuration store unavailable")
	// ErrUndecided reports that a write may or may not have taken place.
	ErrUndecided = errors.New("configuration write undecided")
)

// Table partitions and the head row.
const (
	partitionHead      = "config-head"
	partitionResources = "config"
	partitionLog       = "config-log"
	headSort           = "head"
)

var headKey = table.Key{Partition: partitionHead, Sort: headSort}

// Change is one revision of the configuration.
type Change struct {
	_         struct{} `cbor:",toarray"`
	Revision  uint64
	Operation string
	Kind      v1.Kind
	Name      string
	// Spec is the specification in JSON; empty when Deleted.
	Spec    []byte
	Deleted bool
}

// resource returns the API form of the change's outcome.
func (c Change) resource() *v1.Resource {
	return &v1.Resource{
		APIVersion: v1.APIVersion, Kind: c.Kind,
		Metadata: v1.Metadata{Name: c.Name, ResourceVersion: c.Revision},
		Spec:     json.RawMessage(c.Spec),
	}
}

func resourceKey(kind v1.Kind, name string) table.Key {
	return table.Key{Partition: partitionResources, Sort: string(kind) + "/" + name}
}

func logKey(revision uint64) table.Key {
	return table.Key{Partition: partitionLog, Sort: fmt.Sprintf("%020d", revision)}
}

func encodeChange(change Change) ([]byte, error) {
	body, err := cbor.Marshal(change)
	return body, Error.Wrap(err)
}

func decodeChange(body []byte) (Change, error) {
	var change Change
	err := cbor.Unmarshal(body, &change)
	return change, Error.Wrap(err)
}
