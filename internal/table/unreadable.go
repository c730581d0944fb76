package table

import (
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Reason is the part of a row that cannot be read. Metrics use it as a label.
type Reason string

const (
	// Envelope means that the attributes stored around the body are invalid.
	Envelope Reason = "envelope"
	// Encoding means that the body is not valid CBOR, or not of the expected type.
	Encoding Reason = "encoding"
	// Content means that the body decodes to an invalid value.
	Content Reason = "content"
	// Unknown means that the row is valid but refers to something unknown.
	Unknown Reason = "unknown"
)

// UnreadableError reports a row, or another stored object, that cannot be read.
type UnreadableError struct {
	// Key and Version identify the object; Version is 0 for objects without one.
	Key     Key
	Version uint64
	Reason  Reason
	Err     error
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("%s/%s at version %d cannot be read (%s): %v", e.Key.Partition, e.Key.Sort, e.Version, e.Reason, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnreadableError) Unwrap() error { return e.Err }

// AsUnreadable returns an UnreadableError for a row that cannot be used because of err. If err wraps an
// UnreadableError, its reason and cause are kept.
func (r *Row) AsUnreadable(reason Reason, err error) *UnreadableError {
	if r.Unreadable != nil {
		reason, err = Envelope, r.Unreadable
	}
	if known := (*UnreadableError)(nil); errors.As(err, &known) {
		reason, err = known.Reason, known.Err
	}
	return &UnreadableError{Key: r.Key, Version: r.Version, Reason: reason, Err: err}
}

// Decode decodes the CBOR body of a row into record. Its error is an UnreadableError.
func (r *Row) Decode(record any) error {
	if r.Unreadable != nil {
		return r.AsUnreadable(Envelope, r.Unreadable)
	}
	if err := cbor.Unmarshal(r.Body, record); err != nil {
		return r.AsUnreadable(Encoding, err)
	}
	return nil
}

// maxReported limits the number of remembered rows, which take about 0.3 MB. If more rows are
// unreadable, some are reported more than once.
const maxReported = 1024

// Unreadable reports rows that cannot be read, once per version of a row, since a reader may come
// across the same row with every read. A nil Unreadable and the zero value report nothing. It is safe
// for concurrent use.
type Unreadable struct {
	// OnUnreadable is called for each reported row. Set it before first use.
	OnUnreadable func(*UnreadableError)

	mu       sync.Mutex
	reported map[Key]uint64
	// order lists the keys of reported, oldest first.
	order []Key
}

// Report reports the UnreadableError in the chain of err, unless it was reported before. Other
// errors are ignored.
func (u *Unreadable) Report(err error) {
	var unreadable *UnreadableError
	if u == nil || u.OnUnreadable == nil || !errors.As(err, &unreadable) {
		return
	}
	if u.recordVersion(unreadable.Key, unreadable.Version) {
		u.OnUnreadable(unreadable)
	}
}

// recordVersion records a version of a row, and reports whether it is new.
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
