// Package streams keeps which software version of a model server began each stream, so that any node
// can continue a stream, and only at that version.
//
// The node that begins a stream sends its origin to a few other nodes before the first event leaves.
// These are chosen by a hash of the stream's ID, so that the node which continues the stream knows
// whom to ask. Origins are kept in memory only. One that is lost costs the continuation of its stream,
// never its correctness: without an origin a stream is not continued.
package streams

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/jellydator/ttlcache/v3"
)

// ID identifies a stream. It reveals neither the tenant nor the request that it is made of.
type ID [16]byte

// NewID returns the ID of the stream whose first event a request received. Streams of different tenants
// have different IDs, so a caller cannot learn of the streams of others by naming their requests.
func NewID(tenant, request string) ID {
	hash := sha256.New()
	hash.Write([]byte(tenant))
	hash.Write([]byte{0})
	hash.Write([]byte(request))
	return ID(hash.Sum(nil)[:len(ID{})])
}

// Origin is where a stream began.
type Origin struct {
	Pool            string
	SoftwareVersion string
	// Ambiguous is set if the stream may have begun at any of several versions. Such a stream cannot be
	// continued.
	Ambiguous bool
}

// Query asks for the origin of a stream.
type Query struct {
	// ID identifies the stream if Named is set, which means that the caller named the request that
	// received the first event. Name is that request, for logs.
	ID    ID
	Named bool
	Name  string
	// Pool is the only pool that the stream may have begun in; empty if there are several.
	Pool string
	// Lifetime bounds how long ago the stream began.
	Lifetime time.Duration
}

// maxOrigins bounds the origins that a registry keeps, which take about 300 bytes each. Beyond it the
// oldest are dropped.
const maxOrigins = 1 << 16

// Registry keeps origins until they expire. The zero value is ready to use. It is safe for concurrent
// use.
type Registry struct {
	mu      sync.Mutex
	origins *ttlcache.Cache[ID, Origin]
}

// Put keeps the origin of a stream for a time. If a different origin is kept already, the stream becomes
// ambiguous.
func (r *Registry) Put(id ID, origin Origin, keep time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.origins == nil {
		r.origins = ttlcache.New(ttlcache.WithCapacity[ID, Origin](maxOrigins), ttlcache.WithDisableTouchOnHit[ID, Origin]())
	}
	r.origins.DeleteExpired()
	if kept := r.origins.Get(id); kept != nil {
		origin.Ambiguous = origin.Ambiguous || kept.Value() != origin
		keep = max(keep, time.Until(kept.ExpiresAt()))
	}
	r.origins.Set(id, origin, keep)
}

// Get returns the origin of a stream. known is false if none is kept.
func (r *Registry) Get(id ID) (origin Origin, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.origins == nil {
		return Origin{}, false
	}
	kept := r.origins.Get(id)
	if kept == nil {
		return Origin{}, false
	}
	return kept.Value(), true
}

// Len returns the number of origins kept.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.origins == nil {
		return 0
	}
	return r.origins.Len()
}
