package table

import (
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Reason says what of a row cannot be read, as metrics name it.
type Reason string

const (
	// Envelope means that what the store keeps around the body cannot be read.
	Envelope Reason = "envelope"
	// Encoding means that the body is not of the encoding that its writer uses.
	Encoding Reason = "encoding"
	// Content means that the body is well encoded and says what cannot be.
	Content Reason = "content"
	// Unknown means that the row is sound and names something that is not known here.
	Unknown Reason = "unknown"
)

// UnreadableError reports a row, or another stored object, that cannot be read.
type UnreadableError struct {
	// Key and Version name what cannot be read; Version is 0 for what has none.
	Key     Key
	Version uint64
	Reason  Reason
	Err     error
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("%s/%s at version %d cannot be read (%s): %v", e.Key.Partition, e.Key.Sort, e.Version, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// AsUnreadable returns the error that says why a row is not read. An UnreadableError keeps the
// reason that it has.
func (r *Row) AsUnreadable(reason Reason, err error) *UnreadableError {
	if r.Unreadable != nil {
		reason, err = Envelope, r.Unreadable
	}
	if known := (*UnreadableError)(nil); errors.As(err, &known) {
		reason, err = known.Reason, known.Err
	}
	return &UnreadableError{Key: r.Key, Version: r.Version, Reason: reason, Err: err}
}

// Decode reads the CBOR body of a row into a record. Its error is an UnreadableError.
func (r *Row) Decode(record any) error {
	if r.Unreadable != nil {
		return r.AsUnreadable(Envelope, r.Unreadable)
	}
	if err := cbor.Unmarshal(r.Body, record); err != nil {
		return r.AsUnreadable(Encoding, err)
	}
	return nil
}

// maxReported bounds the rows whose report is remembered, some 0.3 MB: of more that are read
// again and again, some are reported more than once.
const maxReported = 1024

// Unreadable reports rows that cannot be read, each version of a row once: a reader may come
// by it with every look. A nil Unreadable, and the zero value, report nothing. It is safe for
// concurrent use.
type Unreadable struct {
	// OnUnreadable is told of each. It is set before use.
	OnUnreadable func(*UnreadableError)

	mu       sync.Mutex
	reported map[Key]uint64
	// order are the keys of told, the oldest first.
	order []Key
}

// Report reports the UnreadableError in err's chain, unless that was done before. Other
// errors are not its concern.
func (u *Unreadable) Report(err error) {
	var unreadable *UnreadableError
	if u == nil || u.OnUnreadable == nil || !errors.As(err, &unreadable) {
		return
	}
	if u.recordVersion(unreadable.Key, unreadable.Version) {
		u.OnUnreadable(unreadable)
	}
}

// recordVersion remembers a version of a row. It reports whether that is new.
func (u *Unreadable) recordVersion(key Key, version uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	reportedVersion, ok := u.reported[key]
	if ok && reportedVersion >= version {
		return false
	}
	if u.reported == nil {
		u.reported = map[Key]uint64{}
	}
	u.reported[key] = version
	if ok {
		return true
	}
	u.order = append(u.order, key)
	if len(u.order) > maxReported {
		delete(u.reported, u.order[0])
		u.order = u.order[1:]
	}
	return true
}
