package lease

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// memberPrefix is the prefix of the sort keys of member rows.
const memberPrefix = "member/"

func memberKey(partition, id string) table.Key {
	return table.Key{Partition: partition, Sort: memberPrefix + id}
}

// Member describes a node in its member row. Fields that an earlier version of the program did not
// write are zero.
type Member struct {
	// Address is the host:port at which other nodes reach this node.
	Address string `cbor:"1,keyasint,omitempty"`
	// Zone and Region are the location of the node.
	Zone   string `cbor:"2,keyasint,omitempty"`
	Region string `cbor:"3,keyasint,omitempty"`
	// Cores is the node's CPU share in cores, LinkMbps its network bandwidth in Mbit/s and
	// MemoryMB its memory in megabytes; 0 means unset.
	Cores    float64 `cbor:"4,keyasint,omitempty"`
	LinkMbps float64 `cbor:"5,keyasint,omitempty"`
	MemoryMB int     `cbor:"6,keyasint,omitempty"`
	// Partitions is the number of partitions among which the session row is placed; 0 means
	// basePartitions.
	Partitions int `cbor:"7,keyasint,omitempty"`
}

// partitions returns the number of partitions among which the session row is placed. A number that no
// node writes counts as the least one.
func (m *Member) partitions() int {
	if m.Partitions <= basePartitions || m.Partitions > maxPartitions || m.Partitions&(m.Partitions-1) != 0 {
		return basePartitions
	}
	return m.Partitions
}

// encodeMember returns the body of a member row, or nil for the zero Member.
func encodeMember(member Member) []byte {
	if member == (Member{}) {
		return nil
	}
	body, err := cbor.Marshal(member)
	if err != nil {
		// Encoding cannot fail: Member has only plain fields.
		panic(err)
	}
	return body
}

// errNotSessionKey reports a member or session row whose key does not contain a session ID.
var errNotSessionKey = errors.New("key does not contain a session ID")

// decodeMember decodes the member row of a session. An empty body is the zero Member.
func decodeMember(id string, row table.Row) (member Member, err error) {
	if !isSessionID(id) {
		return Member{}, row.AsUnreadable(table.Content, errNotSessionKey)
	}
	if row.Unreadable == nil && len(row.Body) == 0 {
		return Member{}, nil
	}
	if err := row.Decode(&member); err != nil {
		return Member{}, err
	}
	return member, nil
}
