// Package resource implements the configuration: the declared resources, their revisions, and how a
// committed revision is applied on every node.
//
// The table service is the source of truth. It stores each resource in a row of a group with a change
// log, so revisions are numbered without gaps and each of them is a single change. Every node
// follows the group. The applied revision of its copy never decreases and is published in the
// node's session.
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
	// ErrVersionMismatch reports that the resource does not have the version that a write expects.
	ErrVersionMismatch = errors.New("resource version does not match")
	// ErrTooOld reports that the history no longer contains all changes after a revision.
	ErrTooOld = errors.New("revision too old")
	// ErrStoreUnavailable reports that the table service could not perform a write. Nothing was
	// written.
	ErrStoreUnavailable = errors.New("configuration store unavailable")
	// ErrUnknownOutcome reports that it is unknown whether a write took place.
	ErrUnknownOutcome = errors.New("configuration write undecided")
)

// Group is the table group of the configuration, and its only partition.
const Group = "config"

// Change is one revision of the configuration.
type Change struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the version of the row. The encoded value is ignored when a row is decoded.
	Revision  uint64
	Operation string
	Kind      v1.Kind
	Name      string
	// Spec is the specification in JSON; empty if Deleted.
	Spec    []byte
	Deleted bool
}

// resource returns the resource as it is after the change, in API form.
func (c Change) resource() *v1.Resource {
	return &v1.Resource{
		APIVersion: v1.APIVersion, Kind: c.Kind,
		Metadata: v1.Metadata{Name: c.Name, ResourceVersion: c.Revision},
		Spec:     json.RawMessage(c.Spec),
	}
}

// resourceKey returns the key of a resource's row. A deleted resource keeps its row, so that the
// deletion is a change like any other.
func resourceKey(kind v1.Kind, name string) table.Key {
	return table.Key{Partition: Group, Sort: string(kind) + "/" + name}
}

func encodeChange(change Change) ([]byte, error) {
	body, err := cbor.Marshal(change)
	return body, Error.Wrap(err)
}

// decodeChange decodes the row of a resource. Its error is a table.UnreadableError.
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
	errKeyMismatch = errors.New("resource in the row does not match the key")
	errInvalidJSON = errors.New("specification is not valid JSON")
)
