package node

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
)

const (
	// trialReplyTimeout bounds the wait for a reply to a trial request; a node with a small share of
	// a core may be delayed by some tens of milliseconds.
	trialReplyTimeout = 100 * time.Millisecond
	// trialOwnersTried is the number of nodes that are asked for a trial, in turn: a node that was
	// lost is listed for some seconds.
	trialOwnersTried = 2
	// maxLonelyTime is how long after its start a node that knows no other one, and has not read the members
	// of the fleet, leaves trials of quarantined work to others. Most outages of a store are shorter.
	maxLonelyTime = 10 * time.Second
)

// trialRequest asks for a trial of quarantined work, or reports one that is under way or ended
// without a result.
type trialRequest struct {
	Work     quarantine.Work `cbor:"1,keyasint"`
	ID       uint64          `cbor:"2,keyasint"`
	Ended    bool            `cbor:"3,keyasint,omitempty"`
	UnderWay bool            `cbor:"4,keyasint,omitempty"`
}

// trialReply grants or denies a trial or a claim.
type trialReply struct {
	ID      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint"`
}

// localTrials implements quarantine.TrialOwners for nodes that cannot ask each other: only the node
// that owns the trials of a work runs them.
type localTrials struct{ *core }

var _ quarantine.TrialOwners = localTrials{}

// Owns implements quarantine.TrialOwners.
func (t localTrials) Owns(work quarantine.Work) bool {
	return t.owners.Preferred(work.String()) == t.session.ID()
}

// CanRequest implements quarantine.TrialOwners.
func (localTrials) CanRequest() bool { return false }

// Request implements quarantine.TrialOwners.
func (localTrials) Request(context.Context, quarantine.Trial) bool { return false }

// Claim implements quarantine.TrialOwners. It excludes only other trials of this node.
func (t localTrials) Claim(_ context.Context, claim quarantine.ReplicaClaim) bool {
	return t.quarantine.ClaimReplica(claim, clock.Now())
}

// Renew implements quarantine.TrialOwners.
func (localTrials) Renew(quarantine.Trial, string) {}

// End implements quarantine.TrialOwners.
func (localTrials) End(quarantine.Trial, string) {}

// peerTrials implements quarantine.TrialOwners with messages between nodes.
type peerTrials struct {
	localTrials
	gateway *Gateway
	// pending holds the requests for trials and for claims.
	pending peer.Pending[bool]
}

// fleetSessions returns the live sessions including this node's own, and until this node has read the members of
// the fleet also those of its contacts.
func (g *Gateway) fleetSessions() []string {
	sessions := slices.Clone(g.owners.Live())
	if g.roster.Joined() {
		return sessions
	}
	for _, known := range g.contacts.unlisted(g.nodes.others(), clock.Now()) {
		if known.session != g.session.ID() {
			sessions = append(sessions, known.session)
		}
	}
	return sessions
}

// mayGrant reports whether this node may grant trials. One that knows no other node, and cannot know that there is
// none, would run trials beside those of others.
func (g *Gateway) mayGrant() bool {
	return g.roster.Joined() || len(g.fleetSessions()) > 1 || clock.Since(g.startedAt) >= maxLonelyTime
}

// handleTrials makes this node request trials from other nodes, and reply to their requests.
func (g *Gateway) handleTrials(socket *peer.Socket) {
	trials := &peerTrials{localTrials: localTrials{g.core}, gateway: g}
	socket.Handle(peer.KindTrialRequest, trials.handleRequest)
	socket.Handle(peer.KindTrialReply, trials.handleReply)
	socket.Handle(peer.KindClaimRequest, trials.handleClaim)
	g.quarantine.guard.Trials = trials
}

// CanRequest implements quarantine.TrialOwners.
func (*peerTrials) CanRequest() bool { return true }

// Owns implements quarantine.TrialOwners.
func (t *peerTrials) Owns(work quarantine.Work) bool {
	return t.gateway.mayGrant() && lease.Preferred(t.gateway.fleetSessions(), work.String()) == t.session.ID()
}

// Request implements quarantine.TrialOwners. If the owner does not reply, the node that would own
// the trials without it is asked.
func (t *peerTrials) Request(ctx context.Context, trial quarantine.Trial) bool {
	for _, owner := range t.candidates(trial.Work.String()) {
		if owner == t.session.ID() {
			return t.gateway.mayGrant() && t.quarantine.guard.BeginTrial(trial, clock.Now())
		}
		request := trialRequest{Work: trial.Work, ID: trial.ID}
		if granted, replied := t.ask(ctx, owner, peer.KindTrialRequest, request, request.ID); replied {
			return granted
		}
	}
	return false
}

// candidates returns the sessions that own the trials of a work or the claims of a replica, or would
// if the ones before them were gone. The key is the name of the work or the replica.
func (t *peerTrials) candidates(key string) []string {
	live := t.gateway.fleetSessions()
	var candidates []string
	for len(candidates) < trialOwnersTried && len(live) > 0 {
		owner := lease.Preferred(live, key)
		candidates = append(candidates, owner)
		live = slices.DeleteFunc(live, func(session string) bool { return session == owner })
	}
	return candidates
}

// ask sends a session the request for a trial or a claim with the given id, and waits for the reply.
func (t *peerTrials) ask(ctx context.Context, owner string, kind peer.Kind, request any, id uint64) (granted, replied bool) {
	reply := t.pending.Register(id)
	defer t.pending.Forget(id)
	t.gateway.sendToNode(lease.Node(owner), kind, request)
	ctx, cancel := context.WithTimeout(ctx, trialReplyTimeout)
	defer cancel()
	select {
	case granted = <-reply:
		return granted, true
	case <-ctx.Done():
		return false, false
	}
}

// Renew implements quarantine.TrialOwners.
func (t *peerTrials) Renew(trial quarantine.Trial, replica string) {
	t.report(trialRequest{Work: trial.Work, ID: trial.ID, UnderWay: true}, replica)
}

// End implements quarantine.TrialOwners.
func (t *peerTrials) End(trial quarantine.Trial, replica string) {
	t.report(trialRequest{Work: trial.Work, ID: trial.ID, Ended: true}, replica)
}

// report records the state of a trial at the sessions that may have granted it or the claim of its
// replica.
func (t *peerTrials) report(message trialRequest, replica string) {
	owners := t.candidates(message.Work.String())
	if replica != "" {
		owners = append(owners, t.candidates(replica)...)
	}
	for _, owner := range owners {
		if owner == t.session.ID() {
			t.record(message)
			continue
		}
		t.gateway.sendToNode(lease.Node(owner), peer.KindTrialRequest, message)
	}
}

// record records the state of a trial that this node may have granted.
func (t *peerTrials) record(message trialRequest) {
	trial := quarantine.Trial{Work: message.Work, ID: message.ID}
	if message.Ended {
		t.quarantine.EndTrial(trial)
		return
	}
	t.quarantine.RenewTrial(trial, clock.Now())
}

// handleRequest handles peer.KindTrialRequest.
func (t *peerTrials) handleRequest(from string, source *net.UDPAddr, body []byte) {
	var request trialRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		t.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("request for a trial cannot be decoded")
		return
	}
	if request.Ended || request.UnderWay {
		t.record(request)
		return
	}
	trial := quarantine.Trial{Work: request.Work, ID: request.ID}
	reply := trialReply{ID: request.ID, Granted: t.quarantine.guard.GrantTrial(trial, clock.Now())}
	if reply.Granted {
		t.log.Info().Stringer("work", request.Work).Str("node", lease.Node(from)).Msg("trial of quarantined work granted")
	}
	if err := t.gateway.peers.Send(source, peer.KindTrialReply, reply); err != nil {
		t.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("reply to a request for a trial not sent")
	}
}

// handleReply handles peer.KindTrialReply.
func (t *peerTrials) handleReply(from string, _ *net.UDPAddr, body []byte) {
	var reply trialReply
	if err := cbor.Unmarshal(body, &reply); err != nil {
		t.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("reply to a request for a trial cannot be decoded")
		return
	}
	t.pending.Deliver(reply.ID, reply.Granted)
}
