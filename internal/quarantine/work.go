// Package quarantine keeps work that crashes replicas away from the remaining ones.
//
// A request that crashes the engine it runs on is sent again: by the node as a retry, or by its
// caller under a new id, to any node. Health checks and ejection protect requests from bad
// replicas; this package protects replicas from bad requests.
//
// A crash is any end of a replica that it did not announce. Nodes report crashes, together with the
// work that ran there, and successful runs to each other, in messages and in rows of the table.
// Work is quarantined once enough crashes count against it. A success clears the crashes before it,
// and work with a remembered success is called proven.
//
// What crashes a replica may also be a part that the prompts of different requests share. A second
// List, made by NewPartList, holds these parts. It differs in how crashes are attributed to them.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("quarantine")

// workBytes is the length of a Work: 128 bits of a cryptographic hash, so that no caller can craft
// a request that collides with the work of another one and have it quarantined.
const workBytes = 16

// Work identifies a request or item by a hash of its content, independent of its id, or a part that
// prompts share (see PartOf). The content cannot be recovered from it, so it may be logged.
type Work [workBytes]byte

// Content holds the parts of a request that are hashed into its Work.
type Content struct {
	// Caller is the tenant; empty where callers are not distinguished.
	Caller string
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Work returns the identity of the content.
func (c *Content) Work() Work {
	digest := sha256.New()
	for _, text := range []string{c.Caller, c.Method, c.Host, c.Target} {
		writeField(digest, text)
	}
	_, _ = digest.Write(c.Body)
	return Work(digest.Sum(nil)[:workBytes])
}

// PartOf returns the identity of a part of prompts, given by its key, at the replicas of a pool. It
// differs from the identity of any request.
func PartOf(pool string, key uint64) Work {
	digest := sha256.New()
	writeField(digest, pool)
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], key)
	_, _ = digest.Write(encoded[:])
	return Work(digest.Sum(nil)[:workBytes])
}

// writeField writes text prefixed by its length, so that different fields never hash the same
// bytes.
func writeField(digest io.Writer, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	// Writing to a hash never fails.
	_, _ = digest.Write(length[:])
	_, _ = io.WriteString(digest, text)
}

// String returns the hexadecimal form.
func (w Work) String() string { return hex.EncodeToString(w[:]) }

// ParseWork parses the hexadecimal form that String returns.
func ParseWork(text string) (Work, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != workBytes {
		return Work{}, Error.New("%q is not %d hexadecimal digits", text, 2*workBytes)
	}
	return Work(decoded), nil
}
