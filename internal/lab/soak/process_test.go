package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/settings"
)

// remainingTime returns the time until the deadline of the test, less a margin for the failure
// report and for stopping processes. It returns 0 if there is no deadline.
func remainingTime(t *testing.T) time.Duration {
	t.Helper()
	const margin = 30 * time.Second
	deadline, ok := t.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline)-margin, time.Second)
}

// newTestSoak returns a soak with a store, two servers and one node that is not started.
func newTestSoak(t *testing.T) (*soak, *gateway) {
	t.Helper()
	s := newSoak(Options{Nodes: 1, ReadyTimeout: remainingTime(t), Progress: t.Logf})
	t.Cleanup(s.close)
	storeAddress, err := s.listen(s.store)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		if err := s.addServer(fmt.Sprintf("server-%d", i), s.zones[0]); err != nil {
			t.Fatal(err)
		}
	}
	node, err := newGateway("node-0", s.zones[0].name, places(s.zones), storeAddress, t.TempDir(), 0)
	if err != nil {
		t.Fatal(err)
	}
	s.gateways = append(s.gateways, node)
	return s, node
}

// occupy listens on one of the addresses in the settings of a node.
func occupy(t *testing.T, node *gateway, address func(*settings.Settings) string, network string) {
	t.Helper()
	config, err := settings.Load(node.settings, func(*settings.Settings) {})
	if err != nil {
		t.Fatal(err)
	}
	var listener io.Closer
	if network == "udp" {
		listener, err = net.ListenPacket(network, address(config))
	} else {
		listener, err = net.Listen(network, address(config))
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
}

// nodeAddresses are the listen addresses of a node.
var nodeAddresses = []struct {
	name, network string
	of            func(*settings.Settings) string
}{
	{"front", "tcp", func(c *settings.Settings) string { return c.Node.Listen }},
	{"readiness", "tcp", func(c *settings.Settings) string { return c.Gateway.Readiness }},
	{"peers", "udp", func(c *settings.Settings) string { return c.Gateway.Peers }},
}

// Guards against startup failures when another process takes a port between its choice and the
// start of the node: the node is restarted on other ports.
func TestGateway_PortTakenBeforeTheStart(t *testing.T) {
	for _, address := range nodeAddresses {
		t.Run(address.name, func(t *testing.T) {
			s, node := newTestSoak(t)
			s.configure()
			occupy(t, node, address.of, address.network)
			if err := node.start(); err != nil {
				t.Fatal(err)
			}
			if err := s.awaitReady(t.Context()); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// As TestGateway_PortTakenBeforeTheStart, for a port that is taken while a node is down.
func TestGateway_PortTakenBeforeTheRestart(t *testing.T) {
	s, node := newTestSoak(t)
	s.configure()
	if err := node.start(); err != nil {
		t.Fatal(err)
	}
	if err := s.awaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	node.stop(syscall.SIGKILL)
	occupy(t, node, nodeAddresses[0].of, nodeAddresses[0].network)
	if err := node.start(); err != nil {
		t.Fatal(err)
	}
	if err := s.awaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a timeout without a cause when a node exits during startup.
func TestAwaitReady_NodeThatExits(t *testing.T) {
	s, node := newTestSoak(t)
	if err := os.WriteFile(node.settings, []byte("node: {id: x, unheardOf: 1}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := node.start(); err != nil {
		t.Fatal(err)
	}
	var exitErr *ExitError
	if err := s.awaitReady(t.Context()); !errors.As(err, &exitErr) {
		t.Fatalf("got %v", err)
	}
	if exitErr.Node != node.id || exitErr.State != "exit status 3" || !strings.Contains(exitErr.Error(), "unheardOf") {
		t.Fatalf("got %v", exitErr)
	}
}

// A node that runs without serving is distinguished from one that has exited.
func TestAwaitReady_NodeThatDoesNotServe(t *testing.T) {
	s, node := newTestSoak(t)
	// Without a configuration there are no routes.
	if err := node.start(); err != nil {
		t.Fatal(err)
	}
	const started = "gateway started"
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil && !strings.Contains(node.logTail(), started) {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	err := s.awaitReady(ctx)
	var notReady *NotReadyError
	if !errors.As(err, &notReady) || !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	if notReady.Node != node.id || !strings.Contains(notReady.Error(), started) {
		t.Fatalf("got %v", notReady)
	}
	if exits := node.unexpectedExits(); len(exits) > 0 {
		t.Fatalf("node exited: %v", exits)
	}
}

func TestGateway_UnexpectedExits(t *testing.T) {
	tests := []struct {
		name string
		end  func(*gateway)
		want string
	}{
		{"killed on request", func(g *gateway) { g.stop(syscall.SIGKILL) }, ""},
		{"stopped on request", func(g *gateway) { g.stop(syscall.SIGTERM) }, ""},
		{"killed by another process", func(g *gateway) { g.signal(syscall.SIGKILL) }, "signal: killed"},
		// The Go runtime prints all stacks on SIGQUIT and exits with status 2.
		{"crashed when requested to stop", func(g *gateway) { g.stop(syscall.SIGQUIT) }, "exit status 2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, node := newTestSoak(t)
			s.configure()
			if err := node.start(); err != nil {
				t.Fatal(err)
			}
			if err := s.awaitReady(t.Context()); err != nil {
				t.Fatal(err)
			}
			node.mu.Lock()
			exited := node.current.exited
			node.mu.Unlock()
			test.end(node)
			<-exited
			exits := node.unexpectedExits()
			if test.want == "" && len(exits) > 0 {
				t.Fatalf("requested exit is recorded as unexpected: %v", exits)
			}
			if test.want != "" && (len(exits) != 1 || exits[0].State != test.want || exits[0].Process != 1) {
				t.Fatalf("got %v, want %s", exits, test.want)
			}
		})
	}
}

// A port that is in use on every attempt results in an error that says so.
func TestGateway_PortTakenEachTime(t *testing.T) {
	s, node := newTestSoak(t)
	s.configure()
	occupy(t, node, nodeAddresses[0].of, nodeAddresses[0].network)
	node.mu.Lock()
	err := node.startLocked(maxPortRetries)
	node.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	var exitErr *ExitError
	if err := s.awaitReady(t.Context()); !errors.As(err, &exitErr) {
		t.Fatalf("got %v", err)
	}
	if !strings.Contains(exitErr.State, errPortRetries.Error()) || !strings.Contains(exitErr.Log, syscall.EADDRINUSE.Error()) {
		t.Fatalf("got %v", exitErr)
	}
}
