package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/admission"
	"github.com/wheelhoist/wheelhoist/internal/membership"
)

const (
	// pollDelegate is the time between a delegate's looks at the store; with
	// a push lost, a change is still in force within the goal of 4 s.
	pollDelegate = 1500 * time.Millisecond
	// pollOther is the same for other nodes, which hear of changes by heartbeat.
	pollOther = 15 * time.Second
	// pollAlone is the same for a node that hears no peer.
	pollAlone   = time.Second
	pollTimeout = 2 * time.Second
	loadRetry   = 500 * time.Millisecond
	// drainNotice is how long a draining node goes on admitting after readiness
	// has begun to fail: callers and load balancers look at it every second or so.
	drainNotice  = 1500 * time.Millisecond
	drainChecked = 50 * time.Millisecond
	// batchDrain bounds the wait for batch items that only this node can finish.
	batchDrain = 20 * time.Second
)

// run starts the loops of a node.
func (n *Node) run(ctx context.Context) {
	loops := []func(context.Context){
		n.serveHTTP, n.machineLoop, n.agent.Run, n.configLoop, n.confirmLoop, n.shareLoop,
		n.session.Run, n.runner.Run, n.steward.Run, n.placement.Run,
	}
	for _, loop := range loops {
		n.running.Add(1)
		go func() {
			defer n.running.Done()
			loop(ctx)
		}()
	}
}

func (n *Node) serveHTTP(context.Context) {
	if err := n.httpServer.Serve(n.listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error().Err(err).Msg("listener failed")
	}
}

// configLoop loads the configuration and then polls the store for it.
func (n *Node) configLoop(ctx context.Context) {
	for {
		loadCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		err := n.propagator.Load(loadCtx)
		cancel()
		if err == nil {
			break
		}
		if !sleep(ctx, loadRetry) {
			return
		}
	}
	for {
		interval := n.pollInterval()
		jitter := time.Duration(rand.Int64N(int64(interval / 4)))
		if !sleep(ctx, interval-interval/8+jitter) {
			return
		}
		pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		// While the store is down the peers keep this node up to date.
		_ = n.propagator.Poll(pollCtx)
		cancel()
	}
}

func (n *Node) pollInterval() time.Duration {
	peers := n.liveNodes() - 1
	n.fence.SetAlone(peers == 0 && len(n.seeds()) <= 1)
	switch {
	case peers == 0:
		return pollAlone
	case n.agent.IsDelegate():
		return pollDelegate
	default:
		return pollOther
	}
}

// sleep waits; it reports false when the context ended.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// confirmLoop takes the answers of probes as proof of being up to date.
func (n *Node) confirmLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case heard := <-n.confirmations:
			n.propagator.Heard(ctx, heard.Peer.ID, heard.Peer.Address, heard.Applied, heard.Sent)
		}
	}
}

// shareLoop reports the tenants' demand to their allocators.
func (n *Node) shareLoop(ctx context.Context) {
	for sleep(ctx, admission.ShareInterval) {
		n.shares.Report(n.admission.Demand(time.Now()))
	}
}

// AskDrain begins a planned stop; DrainAsked tells whoever runs the node.
func (n *Node) AskDrain() { n.drainOnce.Do(func() { close(n.drainAsked) }) }

// DrainAsked is closed when a planned stop has been asked for.
func (n *Node) DrainAsked() <-chan struct{} { return n.drainAsked }

// Drain stops the node as planned: it fails readiness, tells its peers, gives
// back its leases, lets every open answer end, and then stops. The context
// bounds the wait.
func (n *Node) Drain(ctx context.Context) error {
	n.log.Info().Int64("open", n.server.Open()).Msg("draining")
	n.server.FailReadiness()
	n.runner.BeginDrain()
	n.agent.Leave(membership.Leaving)
	sleep(ctx, drainNotice)
	n.server.StartDraining()
	for n.server.Open() > 0 && sleep(ctx, drainChecked) {
	}
	batchCtx, cancel := context.WithTimeout(ctx, batchDrain)
	n.runner.Drain(batchCtx)
	cancel()
	err := n.httpServer.Shutdown(ctx)
	n.agent.Leave(membership.Left)
	n.stop()
	endCtx, cancelEnd := context.WithTimeout(context.Background(), pollTimeout)
	defer cancelEnd()
	if endErr := n.session.End(endCtx); endErr != nil {
		n.log.Warn().Err(endErr).Msg("session not ended, its work waits for the lease to lapse")
	}
	return Error.Wrap(errors.Join(err, n.transport.Close()))
}

// Close stops the node at once, as far as others can see like a crash.
func (n *Node) Close() error {
	err := n.httpServer.Close()
	n.stop()
	return Error.Wrap(errors.Join(err, n.transport.Close()))
}

func (n *Node) stop() {
	n.cancel()
	n.running.Wait()
	n.engines.Close()
}

// turnCounter returns a function that counts up.
func turnCounter() func() uint64 {
	var turn atomic.Uint64
	return func() uint64 { return turn.Add(1) }
}
