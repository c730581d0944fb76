package port

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"testing"
)

// A finding (CI beside a soak): a port that the kernel had given out was taken by an
// outgoing connection before the gateway that it was meant for listened there.
func TestFree_OutgoingConnectionsCannotTakeIt(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the kernel does not tell its range")
	}
	var low, high int
	if _, err := fmt.Sscan(string(text), &low, &high); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		address, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		_, port, _ := net.SplitHostPort(address)
		if number, _ := strconv.Atoi(port); number >= low && number <= high {
			t.Fatalf("port %d is one that the kernel gives to outgoing connections", number)
		}
	}
}

// A port that is in use by somebody who did not ask this package is not chosen.
func TestFree_WhatOthersListenOnIsNotChosen(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		const low = 14910
		here := chooser{first: low, last: low + 1}
		listener, err := listen(network, "127.0.0.1:"+strconv.Itoa(low))
		if err != nil {
			t.Fatal(err)
		}
		if address, err := here.free(); !errors.Is(err, ErrNone) {
			t.Errorf("%s: got %s, error %v", network, address, err)
		}
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	}
}

func listen(network, address string) (io.Closer, error) {
	if network == "udp" {
		return net.ListenPacket(network, address)
	}
	return net.Listen(network, address)
}
