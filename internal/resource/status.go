package resource

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lease"
)

const (
	// acceptTimeout is how long a write waits until the revision is in force on all nodes before it
	// is answered as pending.
	acceptTimeout = 3500 * time.Millisecond
	// acceptPollInterval is the time between two reads of the sessions during that wait.
	acceptPollInterval = 40 * time.Millisecond
)

// Sessions provides the sessions of all nodes. It is implemented by lease.Watcher.
type Sessions interface {
	Refresh(ctx context.Context) error
	Sessions() []lease.SessionState
}

// Publisher commits writes and waits until all nodes have applied them, as reported in their
// sessions.
type Publisher struct {
	Writer   *Writer
	Sessions Sessions
	// Listed reports whether the machine of a node is on the platform's list. A node whose session
	// has expired may be cut off from the table but still serving until its machine leaves the
	// list, so until then it counts as a laggard.
	Listed func(node string) bool
}

// EncodeApplied returns the body of a session whose node has applied a revision.
func EncodeApplied(revision uint64) []byte {
	body, err := cbor.Marshal(revision)
	if err != nil {
		// Encoding an integer cannot fail.
		panic(err)
	}
	return body
}

// Status returns on how many nodes a revision is in force, and the nodes on which it is not, as of the
// last read of the sessions.
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

// Refresh reads the sessions.
func (p *Publisher) Refresh(ctx context.Context) {
	// After an error the result of the last read is still used.
	_ = p.Sessions.Refresh(ctx)
}

// Write commits a change, waits up to acceptTimeout until it is in force on all nodes and returns its
// status. If the error is nil, the status is accepted or pending.
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
