// Package quarantine keeps work away from replicas that ends every replica which runs it.
//
// A request that crashes the engine it runs on is sent again: by the node within one call,
// by its caller under a new id, at any node. Health checks and ejection protect requests
// from bad replicas; this package protects replicas from bad requests.
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

// workBytes is the length of a Work: 128 bits of a hash that nobody can aim, so that no
// caller can have the work of another one condemned.
const workBytes = 16

// Work identifies a piece of work by its content, whatever id it comes under. It holds
// nothing of the content itself and may be logged.
type Work [workBytes]byte

// Content is what makes two requests the same work.
type Content struct {
	// Caller is the tenant; empty where callers are not told apart.
	Caller string
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	Body   []byte
}

// Work returns the identity of a content.
func (c *Content) Work() Work {
	digest := sha256.New()
	for _, text := range []string{c.Caller, c.Method, c.Host, c.Target} {
		writeField(digest, text)
	}
	_, _ = digest.Write(c.Body)
	return Work(digest.Sum(nil)[:workBytes])
}

// writeField writes a text behind its length, so that no two lists of texts are alike.
func writeField(digest io.Writer, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	// A hash takes all that is written to it.
	_, _ = digest.Write(length[:])
	_, _ = io.WriteString(digest, text)
}

// String returns the hexadecimal form.
func (w Work) String() string { return hex.EncodeToString(w[:]) }

// ParseWork reads the hexadecimal form.
func ParseWork(text string) (Work, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != workBytes {
		return Work{}, Error.New("%q is not %d hexadecimal digits", text, 2*workBytes)
	}
	return Work(decoded), nil
}
