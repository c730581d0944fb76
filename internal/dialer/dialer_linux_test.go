package dialer

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestNew_SetsKeepAliveAndUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := New(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	options := map[string]struct{ level, option, want int }{
		"keep-alive":   {unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		"idle":         {unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 2},
		"interval":     {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		"count":        {unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 3},
		"user timeout": {unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 5000},
	}
	for name, test := range options {
		var got int
		controlErr := raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), test.level, test.option) })
		if controlErr != nil || err != nil || got != test.want {
			t.Errorf("%s is %d, want %d (%v, %v)", name, got, test.want, controlErr, err)
		}
	}
}
