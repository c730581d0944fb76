package port

import (
	"fmt"
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
