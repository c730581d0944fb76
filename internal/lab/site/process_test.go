package site

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/command"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
)

// TestMain runs the node command if a site starts the test binary as a node.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "node" {
		os.Exit(command.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// Start fails as soon as the process of a node exits, the error contains the end of its log, and no
// process is left behind.
func TestStart_ProcessThatExits(t *testing.T) {
	address := occupyNextPort(t)
	testSite, err := Start(t.Context(), Config{Profile: profile.Urnik, Nodes: 2, Listen: address, Seed: 1, Processes: true})
	if err == nil {
		testSite.Close()
	}
	var exit *ExitError
	if !errors.As(err, &exit) {
		t.Fatalf("got %v", err)
	}
	if exit.Node != "node-1" || exit.State != "exit status 1" || !strings.Contains(exit.Error(), syscall.EADDRINUSE.Error()) {
		t.Fatalf("got %v", exit)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("the first node is still running: %v", err)
	}
	_ = listener.Close()
}

// occupyNextPort returns a free address and listens on the port after it until the test ends. Both
// ports are below the range of package port, so that tests of other packages are not disturbed.
func occupyNextPort(t *testing.T) (first string) {
	t.Helper()
	const low, high = 10000, 14000
	for {
		first = net.JoinHostPort("127.0.0.1", strconv.Itoa(low+rand.IntN(high-low)))
		second, err := nodeAddress(first, 1)
		if err != nil {
			t.Fatal(err)
		}
		free, err := net.Listen("tcp", first)
		if err != nil {
			continue
		}
		_ = free.Close()
		if occupied, err := net.Listen("tcp", second); err == nil {
			t.Cleanup(func() { _ = occupied.Close() })
			return first
		}
	}
}
