package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
)

// claimRequest asks for a replica on which to run a trial. The reply is a trialReply.
type claimRequest struct {
	// ID is that of the request, TrialID that of the trial.
	ID      uint64          `cbor:"1,keyasint"`
	Work    quarantine.Work `cbor:"2,keyasint"`
	TrialID uint64          `cbor:"3,keyasint"`
	Replica string          `cbor:"4,keyasint"`
}

// claimEntry reports a claim to nodes that did not grant it.
type claimEntry struct {
	Work    quarantine.Work `cbor:"1,keyasint"`
	TrialID uint64          `cbor:"2,keyasint"`
	Replica string          `cbor:"3,keyasint"`
	AgeMs   int64           `cbor:"4,keyasint"`
}

// claim returns the claim that the entry reports.
func (e *claimEntry) claim(now time.Time) quarantine.ReplicaClaim {
	return quarantine.ReplicaClaim{Trial: quarantine.Trial{Work: e.Work, ID: e.TrialID}, Replica: e.Replica, At: ago(now, e.AgeMs)}
}

// broadcastClaim tells all other nodes that a trial of this node has claimed a replica. A node that does
// not get the message may send other work there.
func (g *Gateway) broadcastClaim(claim quarantine.ReplicaClaim) {
	g.spread(quarantineMessage{Claim: &claimEntry{
		Work: claim.Work, TrialID: claim.ID, Replica: claim.Replica, AgeMs: clock.Since(claim.At).Milliseconds(),
	}})
}

// Claim implements quarantine.TrialOwners. If no owner replies the claim is granted: a trial that may
// share its replica is better than none.
func (t *peerTrials) Claim(ctx context.Context, claim quarantine.ReplicaClaim) bool {
	for _, owner := range t.candidates(claim.Replica) {
		if owner == t.session.ID() {
			return t.quarantine.ClaimReplica(claim, clock.Now())
		}
		request := claimRequest{ID: rand.Uint64(), Work: claim.Work, TrialID: claim.ID, Replica: claim.Replica}
		if granted, replied := t.ask(ctx, owner, peer.KindClaimRequest, request, request.ID); replied {
			return granted
		}
	}
	return true
}

// handleClaim handles peer.KindClaimRequest.
func (t *peerTrials) handleClaim(from string, source *net.UDPAddr, body []byte) {
	var request claimRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		t.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("request for a replica cannot be decoded")
		return
	}
	now := clock.Now()
	trial := quarantine.Trial{Work: request.Work, ID: request.TrialID}
	granted := t.quarantine.ClaimReplica(quarantine.ReplicaClaim{Trial: trial, Replica: request.Replica, At: now}, now)
	if err := t.gateway.peers.Send(source, peer.KindTrialReply, trialReply{ID: request.ID, Granted: granted}); err != nil {
		t.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("reply to a request for a replica not sent")
	}
}
