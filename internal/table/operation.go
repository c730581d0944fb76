package table

import (
	"crypto/rand"
	"encoding/hex"
)

// NewOperation returns a fresh operation id: 128 random bits in hex. Together
// with a short suffix it fits a DynamoDB client request token (36 characters).
func NewOperation() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails, see crypto/rand
	return hex.EncodeToString(id[:])
}
