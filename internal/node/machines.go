package node

import (
	"context"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/membership"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/resource"
)

const (
	// machinesDelegate is the time between a delegate's looks at the machine list.
	machinesDelegate = time.Second
	// machinesOther is the same for other nodes, which get it from delegates.
	machinesOther = 8 * time.Second
)

// machineState is the last machine list.
type machineState struct {
	mu   sync.Mutex
	list []machines.Machine
	read bool
	// firstListed is when a node's machine was first on the list.
	firstListed map[string]time.Time
	// lastListed is when a node was last new on the list.
	lastListed time.Time
	candidates candidateCache
}

// machineMessage passes a machine list on within a zone.
type machineMessage struct {
	_        struct{} `cbor:",toarray"`
	Machines []machines.Machine
}

// machineLoop reads the machine list. Delegates read it often and pass a
// changed one on to their zone, so that its load does not grow with the fleet.
func (n *Node) machineLoop(ctx context.Context) {
	n.transport.Handle(peer.KindMachineList, func(_ context.Context, body []byte) (any, error) {
		var message machineMessage
		if err := peer.Decode(body, &message); err != nil {
			return nil, err
		}
		n.takeMachines(message.Machines)
		return nil, nil
	})
	for {
		n.readMachines(ctx)
		interval := machinesOther
		if n.firstDelegate() || !n.hasMachines() {
			interval = machinesDelegate
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}

// firstDelegate reports whether this node is the first delegate of its zone.
func (n *Node) firstDelegate() bool {
	delegates := n.agent.Delegates(n.settings.Node.Zone)
	return len(delegates) > 0 && delegates[0] == n.settings.Node.ID
}

func (n *Node) hasMachines() bool {
	n.machineState.mu.Lock()
	defer n.machineState.mu.Unlock()
	return n.machineState.read
}

func (n *Node) readMachines(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	list, err := n.machines.Machines(callCtx)
	if err != nil {
		return
	}
	if n.takeMachines(list) && n.firstDelegate() {
		n.passMachines(ctx, list)
	}
}

func (n *Node) passMachines(ctx context.Context, list []machines.Machine) {
	for _, member := range n.agent.Members() {
		if member.Zone == n.settings.Node.Zone && member.ID != n.settings.Node.ID && member.Live() {
			go func() {
				// A node that misses it reads the list itself a little later.
				_ = n.transport.Call(ctx, member.Address, peer.KindMachineList, machineMessage{Machines: list}, nil)
			}()
		}
	}
}

// takeMachines puts a machine list in use; it reports whether it has changed.
func (n *Node) takeMachines(list []machines.Machine) bool {
	n.machineState.mu.Lock()
	changed := !sameMachines(n.machineState.list, list)
	n.machineState.list, n.machineState.read = list, true
	if changed {
		n.machineState.note(list, time.Now())
	}
	n.machineState.mu.Unlock()
	if !changed {
		return false
	}
	n.registry.SetMachines(list)
	listed := map[string]bool{}
	for _, machine := range list {
		if machine.Role != machines.RoleNode {
			continue
		}
		listed[machine.ID] = true
		if machine.ID == n.settings.Node.ID && machine.State == machines.Leaving {
			n.AskDrain()
		}
	}
	for _, member := range n.agent.Members() {
		gone := member.Status == membership.Dead || member.Status == membership.Left
		if gone && !listed[member.ID] {
			n.agent.Forget(member.ID)
		}
	}
	return true
}

// note keeps the times since when nodes are listed. The caller holds mu.
func (s *machineState) note(list []machines.Machine, now time.Time) {
	since := map[string]time.Time{}
	for _, machine := range list {
		if machine.Role != machines.RoleNode {
			continue
		}
		first, known := s.firstListed[machine.ID]
		if !known {
			first = now
			s.lastListed = now
		}
		since[machine.ID] = first
	}
	s.firstListed = since
	s.candidates.changes++
}

func sameMachines(a, b []machines.Machine) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// seeds returns the peer addresses of the settings and of the machine list.
func (n *Node) seeds() []string {
	seeds := append([]string(nil), n.settings.Node.Seeds...)
	n.machineState.mu.Lock()
	defer n.machineState.mu.Unlock()
	for _, machine := range n.machineState.list {
		if machine.Role == machines.RoleNode {
			seeds = append(seeds, machine.Address)
		}
	}
	return seeds
}

// configPeers shows the members to the configuration.
type configPeers struct{ node *Node }

// Nodes implements resource.Peers.
func (p *configPeers) Nodes() []resource.Node {
	var nodes []resource.Node
	for _, member := range p.node.agent.Members() {
		if member.ID == p.node.settings.Node.ID {
			continue
		}
		described := resource.Node{
			ID: member.ID, Zone: member.Zone, Address: member.Address,
			Gone: member.Status == membership.Left,
		}
		if since, dead := p.node.agent.DeadSince(member.ID); dead {
			described.DeadFor = time.Since(since)
		}
		nodes = append(nodes, described)
	}
	return append(nodes, p.unheard(nodes)...)
}

// unheard returns the listed nodes that the membership does not know yet. They
// may be starting, or be cut off from this node, and may serve: a change is
// not in force everywhere without them.
func (p *configPeers) unheard(known []resource.Node) []resource.Node {
	heard := map[string]bool{p.node.settings.Node.ID: true}
	for _, node := range known {
		heard[node.ID] = true
	}
	state := &p.node.machineState
	state.mu.Lock()
	defer state.mu.Unlock()
	var unheard []resource.Node
	for _, machine := range state.list {
		if machine.Role != machines.RoleNode || heard[machine.ID] {
			continue
		}
		unheard = append(unheard, resource.Node{
			ID: machine.ID, Zone: machine.Zone, Address: machine.Address,
			DeadFor: time.Since(state.firstListed[machine.ID]),
		})
	}
	return unheard
}

// Call implements resource.Peers.
func (p *configPeers) Call(ctx context.Context, address string, kind peer.Kind, request, response any) error {
	return p.node.transport.Call(ctx, address, kind, request, response)
}
