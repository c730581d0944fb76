package poolsoftware

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// retention is how long a version is recorded after its last replica has left, which is longer than
	// streams last.
	retention = time.Hour
	// maxVersions bounds the listed versions of a pool that are recorded, and those that have left. Of the latter
	// the first are dropped.
	maxVersions = 16
)

// row is the body of the row of a pool.
type row struct {
	Versions []version `cbor:"1,keyasint"`
}

// version is a software version that replicas of a pool run or ran. Times are in ms of the table's clock.
type version struct {
	Name string `cbor:"1,keyasint"`
	// Since is when it was first recorded.
	Since int64 `cbor:"2,keyasint"`
	// Left is when no replica of it was listed any more; 0 while one is.
	Left int64 `cbor:"3,keyasint,omitempty"`
}

// ranSince reports whether replicas ran the version after a time.
func (v *version) ranSince(at int64) bool { return v.Left == 0 || v.Left > at }

func decodeRow(body []byte) (row, error) {
	var decoded row
	err := cbor.Unmarshal(body, &decoded)
	return decoded, Error.Wrap(err)
}

// updated returns the row after the versions of all listed replicas of the pool are known at a time, and
// whether it differs.
func (r row) updated(listed []string, now int64) (next row, differs bool) {
	// More would be dropped and added again at each update.
	listed = listed[:min(len(listed), maxVersions)]
	next.Versions = slices.Clone(r.Versions)
	for i := range next.Versions {
		recorded := &next.Versions[i]
		isListed := slices.Contains(listed, recorded.Name)
		switch {
		case isListed && recorded.Left != 0:
			recorded.Left, differs = 0, true
		case !isListed && recorded.Left == 0:
			recorded.Left, differs = max(now, 1), true
		}
	}
	for _, name := range listed {
		if !slices.ContainsFunc(next.Versions, func(v version) bool { return v.Name == name }) {
			next.Versions = append(next.Versions, version{Name: name, Since: now})
			differs = true
		}
	}
	if differs {
		next.trim(now)
	}
	return next, differs
}

// trim drops versions that left long ago, and those that left first if there are too many.
func (r *row) trim(now int64) {
	var listed, left []version
	for _, recorded := range r.Versions {
		switch {
		case recorded.Left == 0:
			listed = append(listed, recorded)
		case recorded.ranSince(now - retention.Milliseconds()):
			left = append(left, recorded)
		}
	}
	slices.SortStableFunc(left, func(a, b version) int { return cmp.Compare(a.Left, b.Left) })
	r.Versions = append(left[max(0, len(left)-maxVersions):], listed...)
}
