// Package resource holds the configuration: the declared resources, their
// revisions, and how a committed revision comes into force on every node.
//
// The table service holds the truth: one row a resource, in a group that keeps
// a log, so revisions are numbered without gaps and each is one change. Every
// node follows the group; its copy's applied revision only rises, and its
// session says which revision that is.
package resource

import (
	"encoding/json"
	"errors"

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
	// ErrStoreUnavailable reports that the table service could not carry out a
	// write. Nothing was written.
	ErrStoreUnavailable = errors.New("configuration store unavailable")
	// ErrUndecided reports that a write may or may not have taken place.
	ErrUndecided = errors.New("configuration write undecided")
)

// Group is the table group of the configuration, and its one partition.
const Group = "config"

// Change is one revision of the configuration.
type Change struct {
	_ struct{} `cbor:",toarray"`
	// Revision is that of the row; the row itself does not repeat it.
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

// resourceKey names a resource's row. The row of a deleted resource stays, so
// that its deletion is a change like any other.
func resourceKey(kind v1.Kind, name string) table.Key {
	return table.Key{Partition: Group, Sort: string(kind) + "/" + name}
}

func encodeChange(change Change) ([]byte, error) {
	body, err := cbor.Marshal(change)
	return body, Error.Wrap(err)
}

// decodeChange reads a change from its row. Its error is a table.UnreadableError.
func decodeChange(row table.Row) (Change, error) {
	var change Change
	if err := row.Decode(&change); err != nil {
		return Change{}, err
	}
	if resourceKey(change.Kind, change.Name) != row.Key {
		return Change{}, row.AsUnreadable(table.Content, errKeyMismatch)
	}
	if !change.Deleted && len(change.Spec) > 0 && !json.Valid(change.Spec) {
		return Change{}, row.AsUnreadable(table.Content, errInvalidJSON)
	}
	change.Revision = row.Version
	return change, nil
}

var (
	errKeyMismatch = errors.New("the row names another resource than its key")
	errInvalidJSON = errors.New("the specification is not JSON")
)
