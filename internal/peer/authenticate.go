package peer

import (
	"crypto/hmac"
	"crypto/sha256"
)

// tagBytes is the length of a datagram's authentication tag: HMAC-SHA-256
// truncated to 128 bits (RFC 2104, section 5).
const tagBytes = 16

// seal appends the authentication tag to a datagram. Without a key it changes
// nothing.
func seal(key, frame []byte) []byte {
	if len(key) == 0 {
		return frame
	}
	return append(frame, tag(key, frame)...)
}

// open checks and removes the tag; it reports false for a datagram that does
// not come from a holder of the key.
func open(key, datagram []byte) ([]byte, bool) {
	if len(key) == 0 {
		return datagram, true
	}
	if len(datagram) < tagBytes {
		return nil, false
	}
	frame, given := datagram[:len(datagram)-tagBytes], datagram[len(datagram)-tagBytes:]
	return frame, hmac.Equal(given, tag(key, frame))
}

func tag(key, frame []byte) []byte {
	digest := hmac.New(sha256.New, key)
	digest.Write(frame)
	return digest.Sum(nil)[:tagBytes]
}
