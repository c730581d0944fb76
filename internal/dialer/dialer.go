// Package dialer creates TCP connections that fail soon after the peer becomes unreachable.
//
// If the network path to a peer is cut, or the peer loses power, no reset arrives and reads block for
// as long as the system keeps the connection: until nine keep-alive probes at intervals of 15 s fail
// by the defaults of package net, or about 15 min for unacknowledged data by those of Linux (tcp(7),
// tcp_retries2). The kernel acknowledges probes however busy the process is, so an unanswered probe
// distinguishes a dead connection from a slow peer, which a timeout on answers cannot.
package dialer

import (
	"net"
	"time"
)

const (
	// keepAliveIdle is how long a connection is idle before it is probed.
	keepAliveIdle = 2 * time.Second
	// keepAliveInterval is the time between two probes, keepAliveProbes how many may go unanswered.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// DeadPeerTimeout is the time within which a connection fails if the peer acknowledges neither
	// a probe nor sent data.
	DeadPeerTimeout = keepAliveIdle + keepAliveProbes*keepAliveInterval
)

// New returns a dialer that fails if a connection is not established within timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: setUserTimeout,
	}
}
