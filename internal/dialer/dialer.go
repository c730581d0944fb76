// Package dialer makes TCP connections that end when the other side is gone.
//
// A connection whose path was cut, or whose other side lost power or started again behind a
// cut, says nothing and gets no reset. Whoever waits for an answer on it waits for as long as
// the system keeps it: 15 s and nine probes by the defaults of package net, and some 15 min for
// what was sent and not acknowledged, by those of Linux (tcp(7), tcp_retries2). The system
// acknowledges for a process however busy that is, so a probe without an answer tells a dead
// connection from a slow one, which no time-out on answers does.
package dialer

import (
	"net"
	"time"
)

const (
	// keepAliveIdle is how long a connection says nothing before it is probed.
	keepAliveIdle = 2 * time.Second
	// keepAliveInterval is the time between two probes, probes how many may go unanswered.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// DeadPeerTimeout is the time within which the end of a connection is noticed, of which the
	// other side has not acknowledged a probe or what was sent.
	DeadPeerTimeout = keepAliveIdle + keepAliveProbes*keepAliveInterval
)

// New returns a dialer that gives a connection up that does not come up within a time.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: setUserTimeout,
	}
}
