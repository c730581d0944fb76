package resource

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lease"
)

const (
	// acceptTimeout is how long a write waits for the revision to be in force on
	// all nodes before it is answered as pending. It stays below the goal of 4 s.
	acceptTimeout = 3500 * time.Millisecond
	// acceptPollInterval is the time between two looks at the sessions meanwhile.
	acceptPollInterval = 40 * time.Millisecond
)

// Sessions tells which nodes there are. The lease watcher implements it.
type Sessions interface {
	Refresh(ctx context.Context) error
	Sessions() []lease.SessionState
}

// Publisher brings writes into force: it commits them and waits until the
// sessions of all nodes say that they have applied them.
type Publisher struct {
	Writer   *Writer
	Sessions Sessions
	// Listed reports whether a node's machine is on the platform's list. A node
	// whose session has expired may still serve, cut off from the table, until
	// its machine leaves the list; it counts as one that is behind.
	Listed func(node string) bool
}

// EncodeApplied is what a node's session says of the revision it has applied.
func EncodeApplied(revision uint64) []byte {
	body, err := cbor.Marshal(revision)
	if err != nil {
		// A number always encodes.
		panic(err)
	}
	return body
}

// Status counts the nodes that have a revision in force, as of the last look at
// the sessions.
func (p *Publisher) Status(revision uint64) v1.Status {
	status := v1.Status{Revision: revision}
	sessions := p.Sessions.Sessions()
	live := map[string]bool{}
	for _, session := range sessions {
		if !session.Expired {
			live[session.Node()] = true
		}
	}
	for _, session := range sessions {
		node := session.Node()
		if session.Expired && (live[node] || !p.Listed(node)) {
			continue
		}
		status.Expected++
		var applied uint64
		if !session.Expired && cbor.Unmarshal(session.Body, &applied) == nil && applied >= revision {
			status.InForce++
			continue
		}
		status.Laggards = append(status.Laggards, node)
	}
	return status
}

// Refresh looks at the sessions.
func (p *Publisher) Refresh(ctx context.Context) {
	// Without an answer the last look stands.
	_ = p.Sessions.Refresh(ctx)
}

// Write commits a change, waits for it to come into force and reports where it
// is. The status is accepted or pending when the error is nil.
func (p *Publisher) Write(ctx context.Context, change Change, precondition Precondition) (Change, v1.Status, error) {
	committed, err := p.Writer.Commit(ctx, change, precondition)
	if err != nil {
		return Change{}, v1.Status{}, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for waitCtx.Err() == nil {
		p.Refresh(waitCtx)
		if status := p.Status(committed.Revision); status.Accepted() {
			return committed, status, nil
		}
		select {
		case <-waitCtx.Done():
		case <-time.After(acceptPollInterval):
		}
	}
	return committed, p.Status(committed.Revision), nil
}
