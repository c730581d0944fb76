package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// headerTime is the time limit of the stand-ins for reading the header of a request.
	headerTime = 15 * time.Second
	// readyCallTimeout is the timeout of one readiness request to a node, readyPause the time
	// between two of them.
	readyCallTimeout = time.Second
	readyPause       = 50 * time.Millisecond
	// readyLogAfter is how long a node may take to serve before its log is printed. It is no
	// timeout.
	readyLogAfter = 15 * time.Second
)

// listen serves a handler on a free loopback port.
func (s *soak) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime}
	go func() { _ = httpServer.Serve(listener) }()
	s.closers = append(s.closers, func() { _ = httpServer.Close() })
	return listener.Addr().String(), nil
}

// listenRaw serves the connections of a server on a free loopback port.
func (s *soak) listenRaw(connections *standin.Connections) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	go connections.Serve(listener)
	s.closers = append(s.closers, func() { _ = connections.Close() })
	return listener.Addr().String(), nil
}

// start starts the stand-ins and the nodes, and waits until all nodes serve.
func (s *soak) start(ctx context.Context, directory string) error {
	s.configure()
	if err := s.addForeignServer(); err != nil {
		return err
	}
	for i := range s.Servers {
		if err := s.addServer(fmt.Sprintf("server-%d", i), s.zoneOf(i)); err != nil {
			return err
		}
	}
	for i := range s.Nodes {
		id := fmt.Sprintf("node-%d", i)
		storeAddress, err := s.listen(s.store.ForCaller(id))
		if err != nil {
			return err
		}
		node, err := newGateway(id, s.zoneOf(i).name, places(s.zones), storeAddress, directory, s.RelayFrom)
		if err != nil {
			return err
		}
		s.NodeZones[node.id] = node.zone
		s.gateways = append(s.gateways, node)
	}
	if err := s.assignSeeds(); err != nil {
		return err
	}
	for _, node := range s.gateways {
		if err := node.start(); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

// configure writes the next version of the configuration. Each version after the first adds a
// route.
func (s *soak) configure() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.version++
	if s.version > 1 {
		s.prefixes = append(s.prefixes, fmt.Sprintf("added-%d", s.version))
	}
	// Not among s.prefixes, from which callers choose at random, so that recorded seeds keep their requests.
	prefixes := append(slices.Clone(s.prefixes), plainPrefix)
	config := standin.NewConfigWithTenants(s.version, host, tokenQuota, tenants(), prefixes...)
	s.store.Put("op", "config", standin.AddColdLimits(config, coldStart, coldRate))
}

// prefix returns a random declared route prefix.
func (s *soak) prefix(random *rand.Rand) string {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	return s.prefixes[random.IntN(len(s.prefixes))]
}

// awaitReady waits until all nodes serve. It returns an error if a node exits or ReadyTimeout has
// passed.
func (s *soak) awaitReady(ctx context.Context) error {
	if s.ReadyTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.ReadyTimeout)
		defer cancel()
	}
	for _, node := range s.gateways {
		if err := s.awaitNode(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

// awaitNode waits until a node serves.
func (s *soak) awaitNode(ctx context.Context, node *gateway) error {
	start := time.Now()
	logged := false
	for number := 0; ; number++ {
		client := standin.Client{Address: node.listenAddress(), Host: host, Key: apiKey(tenantMain)}
		status := client.Stream(ctx, "resume", fmt.Sprintf("%s-ready-%d", node.id, number), readyCallTimeout).Status
		if status == http.StatusOK {
			return nil
		}
		if err := s.firstExit(); err != nil {
			return err
		}
		waited := time.Since(start)
		if ctx.Err() != nil {
			return &NotReadyError{
				Node: node.id, Waited: waited, Status: status, Log: node.logTail(), Path: node.log, Cause: context.Cause(ctx),
			}
		}
		if waited > readyLogAfter && !logged {
			logged = true
			s.progressf("node %s does not serve after %v, last status %d; its log ends in:\n%s", node.id, waited, status, node.logTail())
		}
		retry.Sleep(ctx, readyPause)
	}
}

// firstExit returns an ExitError if any node has exited unexpectedly.
func (s *soak) firstExit() error {
	for _, node := range s.gateways {
		if exits := node.unexpectedExits(); len(exits) > 0 {
			return &exits[0]
		}
	}
	return nil
}
