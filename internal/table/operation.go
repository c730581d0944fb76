package table

import (
	"crypto/rand"
	"encoding/hex"
)

// NewOperation returns a new operation ID of 128 random bits in hexadecimal. With a short suffix it
// still fits into a DynamoDB client request token of 36 characters.
func NewOperation() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails, see crypto/rand
	return hex.EncodeToString(id[:])
}
