package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// headerTime is how long the stand-ins wait for the header of a request.
	headerTime = 15 * time.Second
	// readyCall is how long one call waits for a node that is to serve, readyPause
	// the time between two calls, some ten times what an idle machine takes for one.
	readyCall  = time.Second
	readyPause = 50 * time.Millisecond
	// readySlow is when a node that does not serve yet is spoken of; the first soaks
	// gave up then. Nothing is decided by it.
	readySlow = 15 * time.Second
)

// listen serves a handler on a free loopback port.
func (s *soak) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	serving := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime}
	go func() { _ = serving.Serve(listener) }()
	s.closers = append(s.closers, func() { _ = serving.Close() })
	return listener.Addr().String(), nil
}

func (s *soak) start(ctx context.Context, directory string) error {
	storeAt, err := s.listen(s.store)
	if err != nil {
		return err
	}
	s.configure()
	if err := s.addStranger(); err != nil {
		return err
	}
	for i := range s.Servers {
		if err := s.addServer(fmt.Sprintf("server-%d", i), s.zoneOf(i)); err != nil {
			return err
		}
	}
	for i := range s.Nodes {
		one, err := newGateway(fmt.Sprintf("node-%d", i), s.zoneOf(i).name, places(s.zones), storeAt, directory)
		if err != nil {
			return err
		}
		s.NodeZones[one.id] = one.zone
		s.gateways = append(s.gateways, one)
		if err := one.start(); err != nil {
			return err
		}
	}
	return s.ready(ctx)
}

// configure puts the next version of the configuration in force.
func (s *soak) configure() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.version++
	if s.version > 1 {
		s.prefixes = append(s.prefixes, fmt.Sprintf("added-%d", s.version))
	}
	config := standin.NewConfigWithTenants(s.version, host, tokenQuota, tenants(), s.prefixes...)
	s.store.Put("op", "config", standin.AddColdLimits(config, coldStart, coldRate))
}

// prefix picks a declared prefix.
func (s *soak) prefix(random *rand.Rand) string {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	return s.prefixes[random.IntN(len(s.prefixes))]
}

// ready waits until all nodes serve, one has ended or the time for it is over.
func (s *soak) ready(ctx context.Context) error {
	if s.Ready > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.Ready)
		defer cancel()
	}
	for _, one := range s.gateways {
		if err := s.await(ctx, one); err != nil {
			return err
		}
	}
	return nil
}

// await waits until a node serves.
func (s *soak) await(ctx context.Context, node *gateway) error {
	began := time.Now()
	said := false
	for number := 0; ; number++ {
		client := standin.Client{Address: node.at(), Host: host, Key: keyOf(tenantMain)}
		status := client.Stream(ctx, "resume", fmt.Sprintf("%s-ready-%d", node.id, number), readyCall).Status
		if status == http.StatusOK {
			return nil
		}
		if err := s.firstEnd(); err != nil {
			return err
		}
		waited := time.Since(began)
		if ctx.Err() != nil {
			return &UnreadyError{
				Node: node.id, Waited: waited, Status: status, Log: node.lastLines(), Path: node.log, Cause: context.Cause(ctx),
			}
		}
		if waited > readySlow && !said {
			said = true
			s.say("node %s does not serve after %v, last status %d; its log ends in:\n%s", node.id, waited, status, node.lastLines())
		}
		retry.Sleep(ctx, readyPause)
	}
}

// firstEnd returns the first end of a node that nobody had asked for, or nil.
func (s *soak) firstEnd() error {
	for _, one := range s.gateways {
		if ends := one.ended(); len(ends) > 0 {
			return &ends[0]
		}
	}
	return nil
}
