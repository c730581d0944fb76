package site

import (
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/command"
	"github.com/wheelhoist/wheelhoist/internal/lab/port"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
)

// TestMain lets a site run nodes as processes of this program.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "node" {
		os.Exit(command.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// As in the soak: a node whose process has ended is not waited for, and what it said last
// is told. A site that does not start leaves no process behind.
func TestStart_ProcessThatEnds(t *testing.T) {
	first, second := neighbours(t)
	occupied, err := net.Listen("tcp", second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = occupied.Close() })
	running, err := Start(t.Context(), Config{Profile: profile.Urnik, Nodes: 2, Listen: first, Seed: 1, Processes: true})
	if err == nil {
		running.Close()
	}
	var ended *EndedError
	if !errors.As(err, &ended) {
		t.Fatalf("got %v", err)
	}
	if ended.Node != "node-1" || ended.State != "exit status 1" || !strings.Contains(ended.Error(), syscall.EADDRINUSE.Error()) {
		t.Fatalf("got %v", ended)
	}
	again, err := net.Listen("tcp", first)
	if err != nil {
		t.Fatalf("the first node still runs: %v", err)
	}
	_ = again.Close()
}

// neighbours returns two free addresses, the second one port above the first.
func neighbours(t *testing.T) (first, second string) {
	t.Helper()
	for {
		address, err := port.Free()
		if err != nil {
			t.Fatal(err)
		}
		if second, err = nodeAddress(address, 1); err != nil {
			t.Fatal(err)
		}
		if listener, err := net.Listen("tcp", second); err == nil {
			_ = listener.Close()
			return address, second
		}
	}
}
