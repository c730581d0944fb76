// Package peer carries messages between nodes: calls over TCP and datagrams
// over UDP, both in CBOR (RFC 8949) with a version in every message.
package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// ProtocolVersion is the version of the messages this build sends. A node
// accepts messages of its own version only.
const ProtocolVersion = 2

// MaxFrameBytes bounds one message of a call.
const MaxFrameBytes = 16 << 20

// MaxDatagramBytes bounds a datagram, so that it is not fragmented on loopback
// or on ordinary networks with jumbo frames off.
const MaxDatagramBytes = 1400

var (
	// ErrVersion reports a message of another protocol version.
	ErrVersion = errors.New("peer speaks another protocol version")
	// ErrCluster reports a message from a node of another cluster.
	ErrCluster = errors.New("peer belongs to another cluster")
	// ErrTooLarge reports a message beyond the size limit.
	ErrTooLarge = errors.New("peer message too large")
	// ErrUnreachable reports that the peer could not be connected.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRemote reports that the peer's handler failed.
	ErrRemote = errors.New("peer refused the call")
)

// Kind names the purpose of a message.
type Kind uint8

// Kinds of messages.
const (
	KindMembership     Kind = 1
	KindMemberSync     Kind = 2
	KindConfigPush     Kind = 3
	KindConfigChanges  Kind = 4
	KindConfigSnapshot Kind = 5
	KindConfigApplied  Kind = 6
	KindLoadDigest     Kind = 7
	KindBatchNotice    Kind = 8
	KindOnlineNotice   Kind = 9
	KindMachineList    Kind = 10
	KindShareReport    Kind = 11
	KindLoadReports    Kind = 12
)

// envelope frames every message.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	// Cluster tells apart clusters whose machines reach each other: addresses
	// are given to new machines, and an old node may still send to them.
	Cluster uint32
	Kind    Kind
	Failure string
	Body    cbor.RawMessage
}

func encode(cluster uint32, kind Kind, failure string, message any) ([]byte, error) {
	var body cbor.RawMessage
	if message != nil {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		body = encoded
	} else {
		body = cbor.RawMessage{0xf6} // CBOR null
	}
	frame, err := cbor.Marshal(envelope{Version: ProtocolVersion, Cluster: cluster, Kind: kind, Failure: failure, Body: body})
	return frame, Error.Wrap(err)
}

// decode parses a frame of untrusted origin.
func decode(cluster uint32, frame []byte) (envelope, error) {
	var message envelope
	if err := cbor.Unmarshal(frame, &message); err != nil {
		return message, Error.Wrap(err)
	}
	if message.Version != ProtocolVersion {
		return message, Error.Wrap(fmt.Errorf("%w: %d", ErrVersion, message.Version))
	}
	if message.Cluster != cluster {
		return message, Error.Wrap(ErrCluster)
	}
	return message, nil
}

// Decode parses the body of a message into target.
func Decode(body []byte, target any) error { return Error.Wrap(cbor.Unmarshal(body, target)) }
