package steward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/fleet"
	"github.com/wheelhoist/wheelhoist/internal/membership"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// pullInterval is the time between two questions for reports that are missing.
const pullInterval = time.Second

// reportsMessage carries all reports that a node holds.
type reportsMessage struct {
	_     struct{} `cbor:",toarray"`
	Fulls []fullDigest
}

// answerReports sends everything this node knows of the replicas.
func (s *Steward) answerReports(context.Context, []byte) (any, error) {
	return reportsMessage{Fulls: newFulls(s.options.Registry.Loads(fleet.AllZones))}, nil
}

// pullLoop asks other nodes for reports as long as some replica has none: a
// node that has just joined has missed the digests that carried them.
func (s *Steward) pullLoop(ctx context.Context) {
	defer s.group.Done()
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		if s.options.Registry.Unreported() > 0 {
			s.pull(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Steward) pull(ctx context.Context) {
	target, ok := s.informant()
	if !ok {
		return
	}
	var answer reportsMessage
	if s.options.Transport.Call(ctx, target.Address, peer.KindLoadReports, nil, &answer) != nil {
		return
	}
	for _, digest := range answer.Fulls {
		s.options.Registry.SetLoad(digest.Replica, digest.load())
	}
}

// informant chooses whom to ask: a random node, of any zone, since a zone whose
// nodes have all just started knows nothing of the others.
func (s *Steward) informant() (membership.Member, bool) {
	var others []membership.Member
	for _, member := range s.options.Members() {
		if member.Live() && member.ID != s.options.Self {
			others = append(others, member)
		}
	}
	if len(others) == 0 {
		return membership.Member{}, false
	}
	return others[rand.IntN(len(others))], true
}
