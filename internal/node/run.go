package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// machinesInterval is the time between two reads of the machine list.
	machinesInterval  = time.Second
	callTimeout       = 2 * time.Second
	joinRetryInterval = 300 * time.Millisecond
	// sessionsInterval is the time between two refreshes of the other nodes' sessions. With many
	// nodes the time is sessionsPerSession for each of them, so that the load on the table does not
	// grow with the fleet.
	sessionsInterval   = time.Second
	sessionsPerSession = 25 * time.Millisecond
	// drainNotice is how long a draining node still admits requests after readiness has begun to
	// fail: callers and load balancers check readiness about once a second.
	drainNotice       = 1500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// handBackTimeout bounds the wait for items that only this node can finish.
	handBackTimeout = 20 * time.Second
)

// run starts the goroutines of the node.
func (n *Node) run(ctx context.Context) {
	n.spawn(n.serveHTTP)
	n.spawn(func() { n.heads.Run(ctx) })
	n.spawn(func() { n.machineLoop(ctx) })
	n.spawn(func() {
		if !n.join(ctx) {
			return
		}
		n.runJobs(ctx)
		n.spawn(func() { n.configWatch.Run(ctx) })
		n.spawn(func() { n.replicaWatch.Run(ctx) })
		n.spawn(func() { n.announceLoop(ctx) })
		n.spawn(func() { n.sessionsLoop(ctx) })
		n.spawn(func() { n.observer.Run(ctx) })
		n.spawn(func() { n.placement.Run(ctx) })
		n.spawn(func() { n.feeder.Run(ctx) })
		n.spawn(func() { n.runOverdueGroupLog(ctx) })
	})
}

// join creates the node's session before the node reads the configuration: any write that did not
// yet see the session is then visible to that read.
func (n *Node) join(ctx context.Context) bool {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := n.session.DeletePreviousSessions(callCtx)
		if err == nil {
			err = n.session.Ensure(callCtx)
		}
		if err == nil {
			err = n.owners.Refresh(callCtx)
		}
		cancel()
		if err == nil {
			n.joined.Store(true)
			return true
		}
		n.log.Warn().Err(err).Msg("not joined yet")
		if !retry.Sleep(ctx, joinRetryInterval) {
			return false
		}
	}
}

// announceLoop renews the session as soon as a configuration revision comes into force, which
// reports the revision to other nodes.
func (n *Node) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.applied:
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		// After a failure, the next regular renewal reports the revision.
		_ = n.session.Renew(callCtx)
		cancel()
	}
}

// sessionsLoop refreshes the view of the other nodes.
func (n *Node) sessionsLoop(ctx context.Context) {
	for retry.Sleep(ctx, max(sessionsInterval, time.Duration(n.liveNodes())*sessionsPerSession)) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if n.owners.Refresh(callCtx) == nil && n.preferred("sweep") {
			n.sessions.Sweep(callCtx)
		}
		cancel()
	}
}

func (n *Node) serveHTTP() {
	if err := n.httpServer.Serve(n.listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error().Err(err).Msg("listener failed")
	}
}

// machineList caches the platform's list of machines.
type machineList struct {
	source machines.List

	mu   sync.Mutex
	list []machines.Machine
}

// current returns the list as last read; nil before the first read.
func (l *machineList) current() []machines.Machine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list
}

// listed reports whether a node's machine is on the list. Before the first read, every machine
// counts as listed.
func (l *machineList) listed(node string) bool {
	list := l.current()
	for _, machine := range list {
		if machine.Role == machines.RoleNode && machine.ID == node {
			return true
		}
	}
	return list == nil
}

// zone returns the zone of a node's machine; empty if it is not on the list.
func (l *machineList) zone(node string) string {
	for _, machine := range l.current() {
		if machine.Role == machines.RoleNode && machine.ID == node {
			return machine.Zone
		}
	}
	return ""
}

func (l *machineList) read(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := l.source.Machines(callCtx)
	if err != nil {
		return err
	}
	if list == nil {
		list = []machines.Machine{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = list
	return nil
}

// machineLoop reads the machine list and requests a drain when the node's own machine is leaving.
func (n *Node) machineLoop(ctx context.Context) {
	lost := false
	for {
		err := n.machines.read(ctx)
		if failed := err != nil; failed != lost && ctx.Err() == nil {
			lost = failed
			n.log.Warn().Bool("lost", lost).Err(err).Str("dependency", "machine list").Msg("dependency changed")
		}
		for _, machine := range n.machines.current() {
			if machine.ID == n.settings.Node.ID && machine.State == machines.Leaving {
				n.RequestDrain()
			}
		}
		if !retry.Sleep(ctx, machinesInterval) {
			return
		}
	}
}

// RequestDrain requests a planned stop. The process that runs the node observes it through
// DrainRequested.
func (n *Node) RequestDrain() { n.drainOnce.Do(func() { close(n.drainRequested) }) }

// DrainRequested returns a channel that is closed when a planned stop is requested.
func (n *Node) DrainRequested() <-chan struct{} { return n.drainRequested }

// Serving reports whether the node admits requests.
func (n *Node) Serving() bool { return !n.server.Draining() && n.hasConfiguration() }

// Drain stops the node as planned: it fails readiness, hands its jobs back, waits for open
// requests, and stops. The context bounds the wait.
func (n *Node) Drain(ctx context.Context) error {
	n.log.Info().Int64("open", n.server.Open()).Msg("draining")
	n.server.FailReadiness()
	jobsCtx, cancel := context.WithTimeout(ctx, handBackTimeout)
	defer cancel()
	handedBack := make(chan struct{})
	go func() {
		// Other nodes take over items and make claims only once the session has ended; open
		// requests may take minutes longer.
		n.handBackJobs(jobsCtx)
		close(handedBack)
	}()
	retry.Sleep(ctx, drainNotice)
	n.server.StartDraining()
	for n.server.Open() > 0 && retry.Sleep(ctx, drainPollInterval) {
	}
	<-handedBack
	err := n.httpServer.Shutdown(ctx)
	n.stop()
	n.log.Info().Msg("node stopped")
	return Error.Wrap(err)
}

// Close stops the node immediately. To other nodes it looks like a crash.
func (n *Node) Close() error {
	err := n.httpServer.Close()
	n.stop()
	return Error.Wrap(err)
}

func (n *Node) stop() {
	n.cancel()
	n.running.Wait()
	n.engines.Close()
}
