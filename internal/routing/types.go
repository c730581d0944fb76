// Package routing decides which replica takes an online request.
//
// A decision filters the replicas of an immutable snapshot, scores what is
// left by the predicted time to the first token, and picks by the power of two
// random choices (Mitzenmacher, 2001), so that many nodes that see the same
// old reports do not all choose the same replica.
package routing

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

var (
	// ErrNoModel reports that no replica serves the model.
	ErrNoModel = errors.New("no replica serves this model")
	// ErrNoReplica reports that replicas serve the model but none can take the request now.
	ErrNoReplica = errors.New("no replica can take the request now")
)

// Usage counts what this node has open at a replica. It changes while
// snapshots that point to it are in use.
type Usage struct {
	// Open counts requests sent and not ended.
	Open atomic.Int64
	// Pending counts requests sent that have no first token yet.
	Pending atomic.Int64
	// PendingWords counts the uncached prompt words of pending requests.
	PendingWords atomic.Int64
	// SinceReport counts requests sent since the last load report came in.
	SinceReport atomic.Int64
}

// Replica is one back end in a snapshot.
type Replica struct {
	ID       string
	Address  string
	Zone     string
	Pool     string
	Model    string
	Version  string
	Adapters []string
	Role     engine.Role
	State    engine.State
	// Load is the last report, zero if there is none yet.
	Load engine.Load
	// Reported is whether Load was ever received.
	Reported bool
	// Ejected replicas are left out for their failures or slowness.
	Ejected bool
	// Key is a hash of ID, for the orders that all nodes agree on.
	Key uint64
	// Reserved replicas are kept for online work, see Reserve.
	Reserved bool
	// Usage is this node's own use of the replica.
	Usage *Usage
}

// Snapshot is an immutable view of all replicas.
type Snapshot struct {
	// Zone is the zone of this node.
	Zone     string
	Replicas []*Replica
	// Reserved holds the ids of the reserved replicas.
	Reserved map[string]bool
}

// Request is what matters of a request for its routing.
type Request struct {
	Model   string
	Adapter string
	// Version, when set, is the only version allowed; a replay needs the one
	// that began the answer.
	Version string
	// Blocks are the prefix block hashes of the prompt.
	Blocks []uint64
	// Words is the length of the prompt.
	Words int
	// Exclude are replicas that have already failed this request.
	Exclude map[string]bool
}

// PrefixIndex tells how much of a prompt a replica's cache is believed to hold.
type PrefixIndex interface {
	// Cached returns the number of leading blocks believed to be cached.
	Cached(replica string, blocks []uint64) int
}

// Decision is the outcome of a pick.
type Decision struct {
	Replica *Replica
	// CachedBlocks is the part of the prompt believed to be cached there.
	CachedBlocks int
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
}
