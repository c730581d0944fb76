// Package membership tells which nodes exist and which of them are alive.
//
// The protocol follows SWIM (Das, Gupta, Motivala, 2002): each node probes one
// other node of its group per period, asks others to probe on its behalf when
// no answer comes, and spreads changes on the back of these messages, so that
// the cost of a node does not grow with the fleet. A node is judged by its own
// zone; a few delegates of each zone carry changes between zones.
package membership

import "time"

// Status is what is believed of a member.
type Status uint8

// Statuses, in the order in which one overrides another of equal incarnation.
const (
	// Alive members answer.
	Alive Status = iota
	// Leaving members have announced a planned stop and take no new work.
	Leaving
	// Suspect members did not answer and may still refute it.
	Suspect
	// Dead members did not refute the suspicion in time.
	Dead
	// Left members have stopped as planned.
	Left
)

// String returns the name used in logs and the status API.
func (s Status) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead", "left"}[s]
}

// Member describes a node.
type Member struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Zone    string
	Region  string
	Address string
	HTTP    string
	// Incarnation is raised by the member itself to override what others
	// believe of it. No one else may raise it.
	Incarnation uint64
	Status      Status
}

// Live reports whether the member is taken to run.
func (m Member) Live() bool { return m.Status == Alive || m.Status == Leaving || m.Status == Suspect }

// overrides reports whether news about a member replaces what is known.
func (m Member) overrides(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.Status > known.Status
}

// MessageType names a datagram of the protocol.
type MessageType uint8

// Types of messages.
const (
	// Ping asks the target for an Ack.
	Ping MessageType = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to probe Target and to relay its Ack.
	PingRequest
)

// Message is a datagram of the protocol.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Type     MessageType
	From     string
	Sequence uint64
	// Target is the id of the member a PingRequest or relayed Ack is about.
	Target string
	// Applied is the sender's configuration revision in force.
	Applied uint64
	// CutZones are the zones that the sender, a delegate, cannot reach.
	CutZones []string
	// Updates are news about members.
	Updates []Member
}

// Packet is a message to send.
type Packet struct {
	Address string
	Message Message
}

// Config holds the protocol's times.
type Config struct {
	// ProbePeriod is the time between two probes of a node.
	ProbePeriod time.Duration
	// ProbeTimeout is the wait for a direct Ack before others are asked.
	ProbeTimeout time.Duration
	// SuspicionTime is the time a suspect has to refute.
	SuspicionTime time.Duration
	// IndirectProbes is the number of members asked to probe for us.
	IndirectProbes int
	// PauseThreshold is the gap between two ticks from which a node takes
	// itself to have been paused; it then suspects nobody for that period.
	PauseThreshold time.Duration
	// ZoneCutTime is the silence after which a zone counts as cut off.
	ZoneCutTime time.Duration
}

// DefaultConfig detects a dead node in about 5 s on average.
func DefaultConfig() Config {
	return Config{
		ProbePeriod:    500 * time.Millisecond,
		ProbeTimeout:   250 * time.Millisecond,
		SuspicionTime:  3 * time.Second,
		IndirectProbes: 3,
		PauseThreshold: time.Second,
		ZoneCutTime:    4 * time.Second,
	}
}

const (
	// delegatesPerZone carry news between zones.
	delegatesPerZone = 3
	// smallZone is the size below which a zone's members are judged by all.
	smallZone = 3
	// updatesPerMessage keeps a datagram below the size limit.
	updatesPerMessage = 6
	// retransmitFactor times log2 of the group is how often news is repeated.
	retransmitFactor = 3
	// reconnectEvery is the number of periods between probes of a dead member.
	reconnectEvery = 6
)
