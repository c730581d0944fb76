// Package tenant identifies callers by their API keys.
//
// Keys are stored and looked up as hashes only, so the time of a lookup reveals nothing about the
// stored keys.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Error is the class of all errors of this package.
var Error = errs.Class("tenant")

var (
	// ErrNoKey reports that a request has no valid bearer token although a key is required.
	ErrNoKey = errors.New("missing or malformed bearer token")
	// ErrUnknownKey reports a key that belongs to no tenant in the current configuration.
	ErrUnknownKey = errors.New("unknown key")
	// ErrStale reports that the current configuration is too old to verify a key. The request
	// did not run.
	ErrStale = errors.New("configuration too old to verify the key")
)

// Tenant is a tenant in the configuration.
type Tenant struct {
	Name string
	// Keys are the hashes of the tenant's keys. Without any, no caller is identified as the
	// tenant.
	Keys []Hash
	// HasPriority reports whether Priority is set and overrides that of a route.
	HasPriority bool
	Priority    int
	// Rate is the tenant's limit in requests per second across all nodes, Burst the number of
	// requests in addition to it. A rate of 0 means no limit.
	Rate, Burst float64
	// Regions are the regions in which the tenant's requests may be served and stored. Nil
	// means any region.
	Regions place.Regions
}

// Hash is the SHA-256 hash of a key.
type Hash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// ParseHash parses a hash in hexadecimal form.
func ParseHash(text string) (Hash, error) {
	var hash Hash
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return hash, Error.Wrap(err)
	}
	if len(decoded) != len(hash) {
		return hash, Error.New("a hash has %d bytes, not %d", len(hash), len(decoded))
	}
	copy(hash[:], decoded)
	return hash, nil
}

// Directory maps keys to values by the hashes of the keys. The zero value is empty.
type Directory[T any] struct{ byKey map[Hash]T }

// Add sets the value of a key and reports whether the key is new.
func (d *Directory[T]) Add(key Hash, value T) bool {
	if d.byKey == nil {
		d.byKey = map[Hash]T{}
	}
	_, exists := d.byKey[key]
	d.byKey[key] = value
	return !exists
}

// Lookup returns the value of a key.
func (d *Directory[T]) Lookup(key string) (T, bool) {
	value, ok := d.byKey[HashKey(key)]
	return value, ok
}

const (
	headerAuthorization = "Authorization"
	bearerScheme        = "Bearer"
	// maxKeyBytes is the maximum length of a key. Longer ones are rejected without hashing.
	maxKeyBytes = 1024
)

// BearerKey returns the key that a request carries as a bearer token (RFC 6750). It returns ErrNoKey
// if there is none, more than one, or another kind of credentials.
func BearerKey(header http.Header) (string, error) {
	values := header.Values(headerAuthorization)
	if len(values) != 1 {
		return "", Error.Wrap(ErrNoKey)
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, bearerScheme) || key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t,") {
		return "", Error.Wrap(ErrNoKey)
	}
	return key, nil
}

// StripKey removes the key from headers, before a request is forwarded.
func StripKey(header http.Header) { header.Del(headerAuthorization) }
