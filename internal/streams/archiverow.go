package streams

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("streams")

// archiveRow is the body of a row of the archive.
type archiveRow struct {
	Groups []archiveGroup `cbor:"1,keyasint"`
}

// archiveGroup holds the streams with the same origin.
type archiveGroup struct {
	Pool            string `cbor:"1,keyasint"`
	SoftwareVersion string `cbor:"2,keyasint"`
	Ambiguous       bool   `cbor:"3,keyasint,omitempty"`
	// KeepMs is how long the last of the streams can be continued, in ms from the time of the row.
	KeepMs int64 `cbor:"4,keyasint"`
	// IDs are the IDs of the streams, one after the other.
	IDs []byte `cbor:"5,keyasint"`
}

// archivedOrigin is an origin that was read from the archive.
type archivedOrigin struct {
	id     ID
	origin Origin
	keep   time.Duration
}

// encodeArchiveRow returns the body of a row with origins.
func encodeArchiveRow(origins []pendingOrigin, now time.Time) ([]byte, error) {
	groups := map[Origin]int{}
	var row archiveRow
	for _, pending := range origins {
		i, ok := groups[pending.origin]
		if !ok {
			i = len(row.Groups)
			groups[pending.origin] = i
			row.Groups = append(row.Groups, archiveGroup{
				Pool: pending.origin.Pool, SoftwareVersion: pending.origin.SoftwareVersion, Ambiguous: pending.origin.Ambiguous,
			})
		}
		group := &row.Groups[i]
		group.IDs = append(group.IDs, pending.id[:]...)
		group.KeepMs = max(group.KeepMs, pending.expires.Sub(now).Milliseconds())
	}
	body, err := cbor.Marshal(row)
	return body, Error.Wrap(err)
}

// decodeArchiveRow returns the origins in the body of a row.
func decodeArchiveRow(body []byte) ([]archivedOrigin, error) {
	var row archiveRow
	if err := cbor.Unmarshal(body, &row); err != nil {
		return nil, Error.Wrap(err)
	}
	var origins []archivedOrigin
	for _, group := range row.Groups {
		origin := Origin{Pool: group.Pool, SoftwareVersion: group.SoftwareVersion, Ambiguous: group.Ambiguous}
		keep := time.Duration(min(max(0, group.KeepMs), maxArchiveRetention.Milliseconds())) * time.Millisecond
		for ids := group.IDs; len(ids) >= len(ID{}); ids = ids[len(ID{}):] {
			origins = append(origins, archivedOrigin{ID(ids[:len(ID{})]), origin, keep})
		}
	}
	return origins, nil
}

// archiveKey returns the beginning of the keys of rows that were built at a time, by the clock of their
// writer. Keys are in the order of these times.
func archiveKey(at time.Time) string { return fmt.Sprintf("%015d", max(0, at.UnixMilli())) }

// archiveTime returns the time at which the row with a key was built, by the clock of its writer.
func archiveTime(key string) (time.Time, error) {
	number, _, _ := strings.Cut(key, "/")
	unixMs, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return time.Time{}, Error.Wrap(err)
	}
	return time.UnixMilli(unixMs), nil
}
