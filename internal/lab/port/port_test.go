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

// Guards against ports that an outgoing connection can occupy before the owner listens on them.
func TestFree_AvoidsEphemeralRange(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the ephemeral port range of the kernel cannot be read")
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
			t.Fatalf("port %d is in the ephemeral port range of the kernel", number)
		}
	}
}

// Ports used by processes that do not allocate them with this package are skipped, for TCP and UDP.
func TestFree_SkipsPortsInUse(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		listener, usedPort, err := listen(network)
		if err != nil {
			t.Fatal(err)
		}
		local := allocator{start: usedPort, end: usedPort + 1}
		if address, err := local.allocate(); !errors.Is(err, ErrNoneFree) {
			t.Errorf("%s: got %s, error %v", network, address, err)
		}
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	}
}

// listen opens a socket on a port that the kernel chooses.
func listen(network string) (listener io.Closer, port int, err error) {
	if network == "udp" {
		packets, err := net.ListenPacket(network, address(0))
		if err != nil {
			return nil, 0, err
		}
		return packets, packets.LocalAddr().(*net.UDPAddr).Port, nil
	}
	streams, err := net.Listen(network, address(0))
	if err != nil {
		return nil, 0, err
	}
	return streams, streams.Addr().(*net.TCPAddr).Port, nil
}
