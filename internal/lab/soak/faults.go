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

// restartAfter is how long a node that ended stays away.
const restartAfter = 400 * time.Millisecond

// apply makes one fault and undoes it.
func (s *soak) apply(ctx context.Context, fault Fault) {
	node := s.gateways[fault.Target%len(s.gateways)]
	if one, ok := s.disturbs(fault, node); ok {
		defer s.disturbed(one)
	}
	switch fault.Kind {
	case KillNode:
		s.restart(ctx, node, syscall.SIGKILL, restartAfter)
	case StopNode:
		s.restart(ctx, node, syscall.SIGTERM, restartAfter)
	case KillAll:
		var all sync.WaitGroup
		for _, one := range s.gateways {
			all.Go(func() { s.restart(ctx, one, syscall.SIGKILL, restartAfter) })
		}
		all.Wait()
	case PauseNode:
		node.signal(syscall.SIGSTOP)
		retry.Sleep(ctx, fault.For)
		node.signal(syscall.SIGCONT)
	case CutStore:
		node.store.set(fault.Harm)
		retry.Sleep(ctx, fault.For)
		node.store.set(Clear)
	case StoreBusy, StoreLoses, StoreLate:
		s.store.SetFault(s.trouble(fault))
		retry.Sleep(ctx, fault.For)
		s.store.SetFault(nil)
	case StoreForget:
		s.store.CompactHistory()
	case Configure:
		s.configure()
	case CutFlood:
		s.flood(ctx, node, fault)
	case EvacuateZone, ChillZone, LoseZone:
		s.harmZone(ctx, fault)
	case ServerCut, ServerBad, ServerFull, DrainServer:
		s.harmServer(ctx, fault)
	default:
		s.applySecond(ctx, fault)
	}
}

// disturbs returns the disturbance that a fault is from now on; false if
// it keeps no node from its work and holds nothing up on the way to a server.
func (s *soak) disturbs(fault Fault, node *gateway) (one Disturbance, ok bool) {
	one.From = time.Now()
	switch fault.Kind {
	case KillNode, StopNode:
		one.Name, one.Restart = node.id, true
	case PauseNode, CutStore, CutFlood:
		one.Name = node.id
	case KillAll:
		one.Name, one.Restart = AllNodes, true
	case StoreBusy, StoreLoses, StoreLate, StoreLosesHistory:
		one.Name, one.Store = AllNodes, true
	case ServerCut:
		one.Name = s.target(fault).name
	default:
		return one, false
	}
	return one, true
}

// restart ends a node's process and starts another one after a while.
func (s *soak) restart(ctx context.Context, node *gateway, signal syscall.Signal, away time.Duration) {
	node.restarting.Lock()
	defer node.restarting.Unlock()
	node.signal(syscall.SIGCONT)
	node.stop(signal)
	retry.Sleep(ctx, away)
	if err := node.start(); err != nil {
		s.say("node %s does not start: %v", node.id, err)
	}
}

// trouble returns what befalls calls to the store.
func (s *soak) trouble(fault Fault) func(string) standin.Fault {
	kind := map[Kind]standin.Fault{StoreBusy: standin.Unavailable, StoreLoses: standin.ResponseLost, StoreLate: standin.WriteDelayed}[fault.Kind]
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.Seed, uint64(fault.At)))
	return func(string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() < fault.Share {
			return kind
		}
		return standin.NoFault
	}
}

// target returns the server of a fault. The first one is left for the drain in calm.
func (s *soak) target(fault Fault) *server { return s.servers[1+fault.Target%(len(s.servers)-1)] }

func (s *soak) harmServer(ctx context.Context, fault Fault) {
	one := s.target(fault)
	if fault.Kind != DrainServer {
		defer s.serverOut(one)()
	}
	switch fault.Kind {
	case ServerCut:
		one.proxy.set(fault.Harm)
		retry.Sleep(ctx, fault.For)
		one.proxy.set(Clear)
	case ServerBad:
		one.SetBehaviour(s.misbehaviour(fault))
		retry.Sleep(ctx, fault.For)
		one.SetBehaviour(nil)
	case ServerFull:
		one.SetFull(true)
		retry.Sleep(ctx, fault.For)
		one.SetFull(false)
	case DrainServer:
		s.drain(ctx, one, false)
	}
}

func (s *soak) misbehaviour(fault Fault) func(int) standin.Behaviour {
	random := rand.New(rand.NewPCG(s.Seed, uint64(fault.At)))
	return func(int) standin.Behaviour {
		if random.Float64() < fault.Share {
			return bad[random.IntN(len(bad))]
		}
		return standin.Succeed
	}
}
