package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// restartDelay is the time between the exit of a node and its restart.
const restartDelay = 400 * time.Millisecond

// inject injects one fault and reverts it after its duration.
func (s *soak) inject(ctx context.Context, fault Fault) {
	node := s.gateways[fault.Target%len(s.gateways)]
	if d, ok := s.disturbance(fault, node); ok {
		defer s.recordDisturbance(d)
	}
	switch fault.Kind {
	case KillNode:
		s.restart(ctx, node, syscall.SIGKILL, restartDelay)
	case StopNode:
		s.restart(ctx, node, syscall.SIGTERM, restartDelay)
	case KillAll:
		var all sync.WaitGroup
		for _, gateway := range s.gateways {
			all.Go(func() { s.restart(ctx, gateway, syscall.SIGKILL, restartDelay) })
		}
		all.Wait()
	case PauseNode:
		node.signal(syscall.SIGSTOP)
		retry.Sleep(ctx, fault.Duration)
		node.signal(syscall.SIGCONT)
	case CutStore:
		node.store.setFault(fault.Connection)
		retry.Sleep(ctx, fault.Duration)
		node.store.setFault(NoFault)
	case StoreBusy, StoreLoses, StoreLate:
		s.store.SetFault(s.storeFaults(fault))
		retry.Sleep(ctx, fault.Duration)
		s.store.SetFault(nil)
	case StoreForget:
		s.store.CompactHistory()
	case Configure:
		s.configure()
	case CutFlood:
		s.cutAndFlood(ctx, node, fault)
	case EvacuateZone, ChillZone, LoseZone:
		s.injectZoneFault(ctx, fault)
	case ServerCut, ServerBad, ServerFull, DrainServer:
		s.injectServerFault(ctx, fault)
	default:
		s.injectSecondPlanFault(ctx, fault)
	}
}

// disturbance returns the disturbance that a fault causes from now on. It returns false if the
// fault neither keeps a node from working nor delays connections to a server.
func (s *soak) disturbance(fault Fault, node *gateway) (d Disturbance, ok bool) {
	d.From = time.Now()
	switch fault.Kind {
	case KillNode, StopNode:
		d.Name, d.Restart = node.id, true
	case PauseNode, CutStore, CutFlood:
		d.Name = node.id
	case KillAll:
		d.Name, d.Restart = AllNodes, true
	case StoreBusy, StoreLoses, StoreLate, StoreLosesHistory, StoreAnswersLate, StoreSlowAtStarts, RefuseJobs:
		d.Name, d.Store = AllNodes, true
	case ServerCut:
		d.Name = s.targetServer(fault).name
	default:
		return d, false
	}
	return d, true
}

// restart stops the process of a node with a signal and starts a new one after a downtime.
func (s *soak) restart(ctx context.Context, node *gateway, signal syscall.Signal, downtime time.Duration) {
	node.restarting.Lock()
	defer node.restarting.Unlock()
	node.signal(syscall.SIGCONT)
	node.stop(signal)
	retry.Sleep(ctx, downtime)
	if err := node.start(); err != nil {
		s.progressf("node %s does not start: %v", node.id, err)
	}
}

// storeFaults returns a function that chooses the fault of each call to the store: for a random share
// of the calls the one that fault.Kind specifies, for the others none.
func (s *soak) storeFaults(fault Fault) func(string) standin.Fault {
	storeFault := map[FaultKind]standin.Fault{StoreBusy: standin.Unavailable, StoreLoses: standin.ResponseLost, StoreLate: standin.WriteDelayed, RefuseJobs: standin.WriteDelayed}[fault.Kind]
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.Seed, uint64(fault.After)))
	return func(string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() < fault.Share {
			return storeFault
		}
		return standin.NoFault
	}
}

// targetServer returns the server that a fault applies to. The first server is reserved for the
// drain in the calm phase.
func (s *soak) targetServer(fault Fault) *server { return s.servers[1+fault.Target%(len(s.servers)-1)] }

// injectServerFault injects a fault of one server and reverts it.
func (s *soak) injectServerFault(ctx context.Context, fault Fault) {
	target := s.targetServer(fault)
	if fault.Kind != DrainServer {
		defer s.trackOutage(target)()
	}
	switch fault.Kind {
	case ServerCut:
		target.proxy.setFault(fault.Connection)
		retry.Sleep(ctx, fault.Duration)
		target.proxy.setFault(NoFault)
	case ServerBad:
		target.SetBehaviour(s.misbehaviour(fault))
		retry.Sleep(ctx, fault.Duration)
		target.SetBehaviour(nil)
	case ServerFull:
		target.SetFull(true)
		retry.Sleep(ctx, fault.Duration)
		target.SetFull(false)
	case DrainServer:
		s.drain(ctx, target, false)
	}
}

// misbehaviour returns a function that chooses the requests which a server handles wrongly.
func (s *soak) misbehaviour(fault Fault) func(int) standin.Behaviour {
	random := rand.New(rand.NewPCG(s.Seed, uint64(fault.After)))
	return func(int) standin.Behaviour {
		if random.Float64() < fault.Share {
			return misbehaviours[random.IntN(len(misbehaviours))]
		}
		return standin.Succeed
	}
}
