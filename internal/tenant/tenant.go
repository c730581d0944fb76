// Package tenant identifies callers by their keys.
//
// Keys are held as hashes only, and looked up by hash: what a look-up's time tells is
// about the hash of what was given, not about the key.
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
	// ErrNoKey reports a request without a usable key where one is needed.
	ErrNoKey = errors.New("a key is needed")
	// ErrUnknownKey reports a key that no tenant holds by the configuration in force.
	ErrUnknownKey = errors.New("the key is not known")
	// ErrStale reports that the configuration in force is too old to decide by; the
	// request did not run.
	ErrStale = errors.New("configuration too old to decide about the key")
)

// Tenant is a caller as declared.
type Tenant struct {
	Name string
	// Keys are the hashes of the tenant's keys; without any, nobody is the tenant.
	Keys []Hash
	// HasPriority says that Priority takes precedence over that of a route.
	HasPriority bool
	Priority    int
	// Rate is the number of requests a second that the tenant may make over all nodes,
	// Burst how many on top of it; a rate of 0 means no limit.
	Rate, Burst float64
	// Regions are where the tenant's requests may be served and kept; nil is anywhere.
	Regions place.Regions
}

// Hash is the SHA-256 of a key.
type Hash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// ParseHash reads the hexadecimal form of a hash.
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

// Directory finds what belongs to a key. The zero value holds none.
type Directory[T any] struct{ byKey map[Hash]T }

// Add makes a key lead to a value. It reports whether the key is new.
func (d *Directory[T]) Add(key Hash, value T) bool {
	if d.byKey == nil {
		d.byKey = map[Hash]T{}
	}
	_, exists := d.byKey[key]
	d.byKey[key] = value
	return !exists
}

// Lookup returns what a key leads to.
func (d *Directory[T]) Lookup(key string) (T, bool) {
	value, ok := d.byKey[HashKey(key)]
	return value, ok
}

const (
	headerAuthorization = "Authorization"
	bearerScheme        = "Bearer"
	// maxKeyBytes bounds what is taken for a key; longer ones are not hashed.
	maxKeyBytes = 1024
)

// BearerKey returns the key that a request carries as a bearer token (RFC 6750), or
// ErrNoKey if it carries none, more than one, or another kind of credentials.
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

// StripKey removes the key from headers that are to be passed on.
func StripKey(header http.Header) { header.Del(headerAuthorization) }
