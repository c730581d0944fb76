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

const (
	// restartAfter is how long a node that ended stays away.
	restartAfter = 400 * time.Millisecond
	// drainLife is how long a draining server lives on.
	drainLife = 4 * time.Second
)

// apply makes one fault and undoes it.
func (s *soak) apply(ctx context.Context, fault Fault) {
	node := s.gateways[fault.Target%len(s.gateways)]
	switch fault.Kind {
	case KillNode:
		s.restart(ctx, node, syscall.SIGKILL)
	case StopNode:
		s.restart(ctx, node, syscall.SIGTERM)
	case KillAll:
		var all sync.WaitGroup
		for _, one := range s.gateways {
			all.Go(func() { s.restart(ctx, one, syscall.SIGKILL) })
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
		s.store.SetTrouble(s.trouble(fault))
		retry.Sleep(ctx, fault.For)
		s.store.SetTrouble(nil)
	case StoreForget:
		s.store.Forget()
	case Configure:
		s.configure()
	default:
		s.harmServer(ctx, fault)
	}
}

// restart ends a node's process and starts another one.
func (s *soak) restart(ctx context.Context, node *gateway, signal syscall.Signal) {
	node.restarting.Lock()
	defer node.restarting.Unlock()
	node.signal(syscall.SIGCONT)
	node.stop(signal)
	retry.Sleep(ctx, restartAfter)
	if err := node.start(); err != nil {
		s.say("node %s does not start: %v", node.id, err)
	}
}

// trouble returns what befalls calls to the store.
func (s *soak) trouble(fault Fault) func(string) standin.Trouble {
	kind := map[Kind]standin.Trouble{StoreBusy: standin.Busy, StoreLoses: standin.AnswerLost, StoreLate: standin.AnswerLate}[fault.Kind]
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.Seed, uint64(fault.At)))
	return func(string) standin.Trouble {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() < fault.Share {
			return kind
		}
		return standin.Calm
	}
}

func (s *soak) harmServer(ctx context.Context, fault Fault) {
	// The first server is left for the drain in calm.
	one := s.servers[1+fault.Target%(serverCount-1)]
	switch fault.Kind {
	case ServerCut:
		one.proxy.set(fault.Harm)
		retry.Sleep(ctx, fault.For)
		one.proxy.set(Clear)
	case ServerBad:
		one.Behave(s.misbehaviour(fault))
		retry.Sleep(ctx, fault.For)
		one.Behave(nil)
	case ServerFull:
		one.Fill(true)
		retry.Sleep(ctx, fault.For)
		one.Fill(false)
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
		return standin.Whole
	}
}

// drain lists another server, and then one as draining until it leaves. Only in
// calm the promise counts.
func (s *soak) drain(ctx context.Context, one *server, calm bool) {
	if one.gone.Swap(true) {
		return
	}
	s.store.Put("servers", one.id, standin.Listing(one.proxy.address(), "z", serverSlots, true))
	if calm {
		s.Drains = append(s.Drains, Drain{Server: one.id, At: time.Now()})
	}
	retry.Sleep(ctx, drainLife)
	s.store.Remove("servers", one.id)
}
