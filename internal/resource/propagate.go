package resource

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

const (
	// acceptWait is how long a write waits for the revision to be in force on
	// all nodes before it is answered as pending. It stays below the goal of 4 s.
	acceptWait = 3500 * time.Millisecond
	// pushTime is how long laggards are pushed to after a write.
	pushTime       = 15 * time.Second
	pushRetryDelay = 200 * time.Millisecond
	// pushParallel bounds the simultaneous calls of one push.
	pushParallel = 64
	// changesPerAnswer bounds one answer of changes to a peer.
	changesPerAnswer = 512
	pollLimit        = 500
)

// Node is a member as the propagation sees it.
type Node struct {
	ID      string
	Zone    string
	Address string
	// Gone nodes have stopped as planned.
	Gone bool
	// DeadFor is how long the node has been taken for dead; 0 if it is not.
	DeadFor time.Duration
}

// Peers is what the propagation needs of the other nodes.
type Peers interface {
	// Nodes returns all other known nodes.
	Nodes() []Node
	// Call sends a request to the node at an address.
	Call(ctx context.Context, address string, kind peer.Kind, request, response any) error
}

// pushMessage carries a change to a peer.
type pushMessage struct {
	_      struct{} `cbor:",toarray"`
	From   string
	Change Change
}

type appliedMessage struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
}

type changesRequest struct {
	_     struct{} `cbor:",toarray"`
	Since uint64
}

type changesAnswer struct {
	_       struct{} `cbor:",toarray"`
	Changes []Change
	TooOld  bool
	Applied uint64
}

type snapshotAnswer struct {
	_         struct{} `cbor:",toarray"`
	Revision  uint64
	Resources []Change
}

// Propagator brings committed revisions into force on all nodes. A change is
// pushed at once by the node that wrote it; whoever misses it sees a higher
// revision in a heartbeat and pulls; delegates poll the store, for the case
// that the writer died between commit and push.
type Propagator struct {
	store   *Store
	writer  *Writer
	fence   *Fence
	peers   Peers
	address string

	// pulling serialises catching up.
	pulling sync.Mutex

	mu    sync.Mutex
	known map[string]uint64
}

// NewPropagator returns a propagator; address is this node's peer address.
func NewPropagator(store *Store, writer *Writer, fence *Fence, peers Peers, address string) *Propagator {
	return &Propagator{
		store: store, writer: writer, fence: fence, peers: peers, address: address,
		known: map[string]uint64{},
	}
}

// Register installs the handlers on a transport.
func (p *Propagator) Register(transport *peer.Transport) {
	transport.Handle(peer.KindConfigPush, p.handlePush)
	transport.Handle(peer.KindConfigChanges, p.handleChanges)
	transport.Handle(peer.KindConfigSnapshot, p.handleSnapshot)
	transport.Handle(peer.KindConfigApplied, p.handleApplied)
}

func (p *Propagator) handlePush(ctx context.Context, body []byte) (any, error) {
	var message pushMessage
	if err := peer.Decode(body, &message); err != nil {
		return nil, err
	}
	if errors.Is(p.store.Apply(message.Change), ErrGap) {
		if err := p.Pull(ctx, message.From, message.Change.Revision); err != nil {
			return nil, err
		}
	}
	return appliedMessage{Revision: p.store.Revision()}, nil
}

func (p *Propagator) handleChanges(_ context.Context, body []byte) (any, error) {
	var request changesRequest
	if err := peer.Decode(body, &request); err != nil {
		return nil, err
	}
	changes, applied, _, err := p.store.Since(request.Since)
	if errors.Is(err, ErrTooOld) {
		return changesAnswer{TooOld: true, Applied: applied}, nil
	}
	return changesAnswer{Changes: changes[:min(len(changes), changesPerAnswer)], Applied: applied}, nil
}

func (p *Propagator) handleSnapshot(context.Context, []byte) (any, error) {
	revision, resources := p.store.All()
	return snapshotAnswer{Revision: revision, Resources: resources}, nil
}

func (p *Propagator) handleApplied(context.Context, []byte) (any, error) {
	return appliedMessage{Revision: p.store.Revision()}, nil
}

// Pull brings this node to at least a revision that the peer holds.
func (p *Propagator) Pull(ctx context.Context, address string, revision uint64) error {
	p.pulling.Lock()
	defer p.pulling.Unlock()
	for p.store.Revision() < revision {
		if p.store.Revision() == 0 {
			// A node that has just started must not go through the past.
			if err := p.pullSnapshot(ctx, address); err != nil {
				return err
			}
			continue
		}
		var answer changesAnswer
		request := changesRequest{Since: p.store.Revision()}
		if err := p.peers.Call(ctx, address, peer.KindConfigChanges, request, &answer); err != nil {
			return err
		}
		if answer.TooOld {
			if err := p.pullSnapshot(ctx, address); err != nil {
				return err
			}
			continue
		}
		if len(answer.Changes) == 0 {
			return Error.New("peer %s holds revision %d, not %d", address, answer.Applied, revision)
		}
		if err := p.applyAll(answer.Changes); err != nil {
			return err
		}
	}
	return nil
}

func (p *Propagator) pullSnapshot(ctx context.Context, address string) error {
	var answer snapshotAnswer
	if err := p.peers.Call(ctx, address, peer.KindConfigSnapshot, nil, &answer); err != nil {
		return err
	}
	p.store.Load(answer.Revision, answer.Resources)
	return nil
}

func (p *Propagator) applyAll(changes []Change) error {
	for _, change := range changes {
		if err := p.store.Apply(change); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// Heard takes in that a peer held a revision at the time sent or later.
func (p *Propagator) Heard(ctx context.Context, id, address string, applied uint64, sent time.Time) {
	p.note(id, applied)
	if applied > p.store.Revision() {
		ctx, cancel := context.WithTimeout(ctx, acceptWait)
		defer cancel()
		if p.Pull(ctx, address, applied) != nil {
			return
		}
	}
	p.fence.Prove(sent)
}

// note remembers the highest revision a node was seen to hold.
func (p *Propagator) note(id string, applied uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if applied > p.known[id] {
		p.known[id] = applied
	}
}

func (p *Propagator) holds(id string, revision uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[id] >= revision
}

// Load fills an empty store from the table, or from a peer while that is down.
func (p *Propagator) Load(ctx context.Context) error {
	sent := time.Now()
	revision, resources, err := p.writer.readAll(ctx)
	if err == nil {
		p.store.Load(revision, resources)
		p.fence.Prove(sent)
		return nil
	}
	for _, node := range p.peers.Nodes() {
		sent = time.Now()
		if node.Gone || p.pullSnapshot(ctx, node.Address) != nil {
			continue
		}
		p.fence.Prove(sent)
		return nil
	}
	return err
}

// Poll catches up with the table and passes on what the peers may have missed.
func (p *Propagator) Poll(ctx context.Context) error {
	sent := time.Now()
	head, err := p.writer.readHead(ctx)
	if err != nil {
		return err
	}
	for p.store.Revision() < head {
		changes, err := p.writer.readLog(ctx, p.store.Revision(), pollLimit)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return Error.New("revision log ends before head %d", head)
		}
		if err := p.applyAll(changes); err != nil {
			return err
		}
		last := changes[len(changes)-1]
		go p.push(context.WithoutCancel(ctx), last, newRound(last.Revision))
	}
	p.fence.Prove(sent)
	return nil
}

// Write commits a change, brings it into force and reports where it is. The
// status is accepted or pending when the error is nil.
func (p *Propagator) Write(ctx context.Context, change Change, precondition Precondition) (Change, v1.Status, error) {
	committed, err := p.writer.Commit(ctx, change, precondition)
	if err != nil {
		return Change{}, v1.Status{}, err
	}
	if errors.Is(p.store.Apply(committed), ErrGap) {
		// Another node's change came before this one; take both from the store.
		if err := p.Poll(ctx); err != nil {
			return committed, p.Status(committed.Revision), nil
		}
	}
	round := newRound(committed.Revision)
	go p.push(context.WithoutCancel(ctx), committed, round)
	p.awaitAccepted(ctx, round)
	return committed, p.roundStatus(round), nil
}

func (p *Propagator) awaitAccepted(ctx context.Context, round *round) {
	const checkInterval = 5 * time.Millisecond
	deadline := time.After(acceptWait)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		status := p.roundStatus(round)
		if status.Accepted() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline:
			return
		case <-ticker.C:
		}
	}
}

// push sends a change to all nodes that may not hold it, until they do.
func (p *Propagator) push(ctx context.Context, change Change, round *round) {
	ctx, cancel := context.WithTimeout(ctx, pushTime)
	defer cancel()
	for {
		missing := p.missing(change.Revision)
		p.pushOnce(ctx, missing, change, round)
		if len(p.missingRunning(change.Revision)) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pushRetryDelay):
		}
	}
}

// missing returns the nodes not known to hold a revision. Those that have
// stopped are among them: they may have been started again a moment ago.
func (p *Propagator) missing(revision uint64) []Node {
	var missing []Node
	for _, node := range p.peers.Nodes() {
		if !p.holds(node.ID, revision) {
			missing = append(missing, node)
		}
	}
	return missing
}

func (p *Propagator) missingRunning(revision uint64) []Node {
	var running []Node
	for _, node := range p.missing(revision) {
		if !node.Gone {
			running = append(running, node)
		}
	}
	return running
}

func (p *Propagator) pushOnce(ctx context.Context, nodes []Node, change Change, round *round) {
	var group errgroup.Group
	group.SetLimit(pushParallel)
	for _, node := range nodes {
		group.Go(func() error {
			var answer appliedMessage
			message := pushMessage{From: p.address, Change: change}
			err := p.peers.Call(ctx, node.Address, peer.KindConfigPush, message, &answer)
			if err != nil {
				round.failed(node.ID)
				return nil
			}
			p.note(node.ID, answer.Revision)
			return nil
		})
	}
	_ = group.Wait()
}

// Refresh asks the nodes that are not known to hold a revision.
func (p *Propagator) Refresh(ctx context.Context, revision uint64) {
	var group errgroup.Group
	group.SetLimit(pushParallel)
	for _, node := range p.missingRunning(revision) {
		group.Go(func() error {
			var answer appliedMessage
			if p.peers.Call(ctx, node.Address, peer.KindConfigApplied, nil, &answer) == nil {
				p.note(node.ID, answer.Revision)
			}
			return nil
		})
	}
	_ = group.Wait()
}
