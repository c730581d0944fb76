package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/sse"
)

// Quarantine keeps work away from replicas if it is suspected of crashing them. The work functions
// are called only while some work is suspected. A Quarantine is safe for concurrent use.
type Quarantine interface {
	// RefuseRequest returns a quarantine.RefusalError for a request that must not be sent, either
	// at once or after a wait for reports of other nodes and for the trial of another request. If
	// the request may be sent as a trial, it returns that.
	RefuseRequest(ctx context.Context, work func() quarantine.Work) (*quarantine.Trial, error)
	// RefuseParts is like RefuseRequest, for the parts of the request's prompt that other requests may
	// hold too.
	RefuseParts(ctx context.Context, parts func() []quarantine.Work, work func() quarantine.Work) (*quarantine.Trial, error)
	// InterruptTrial records that the answer to a trial was interrupted, EndTrial that a trial
	// ended in another way than by a success.
	InterruptTrial(trial quarantine.Trial)
	EndTrial(trial quarantine.Trial)
	// ClaimReplica claims a replica for a trial, which should start quarantine.ClaimSettleTime later.
	// It returns false if another trial has claimed the replica.
	ClaimReplica(ctx context.Context, trial quarantine.Trial, replica string) bool
	// ClaimedReplicas returns the ids of the replicas that trials have claimed; nil if there are none.
	ClaimedReplicas() map[string]bool
	// RecordSuccess records a complete answer for the work.
	RecordSuccess(work quarantine.Work)
	// RecordPartSuccess records a complete answer for the parts of a prompt.
	RecordPartSuccess(parts []quarantine.Work)
	// RecordInterruption records that a replica's answer to a run was interrupted. It returns once
	// it is known whether the replica crashed, or after a short time.
	RecordInterruption(ctx context.Context, replica quarantine.Replica, run quarantine.Run)
	EndDetector
}

// EndDetector finds out whether replicas have ended. It is safe for concurrent use.
type EndDetector interface {
	// HasEnded reports whether a replica that has just closed a connection seems to have ended, planned
	// or not. It probes the replica.
	HasEnded(ctx context.Context, replica quarantine.Replica) bool
	// IsLeaving reports whether a replica has announced its shutdown or is no longer listed.
	IsLeaving(replica quarantine.Replica) bool
}

// ConfirmEnd returns an error if an answer may have ended because its replica did. The end of an answer with
// a length or chunks is certain without it. A whole answer may be refused, since a replica may end right
// after it: a continuation elsewhere then brings no more events.
func ConfirmEnd(ctx context.Context, detector EndDetector, answer *Answer, chosen replica.Info) error {
	if !answer.Unframed || !detector.HasEnded(ctx, QuarantinedReplica(chosen)) {
		return nil
	}
	return ErrDoubtfulEnd()
}

// ErrDoubtfulEnd returns the error of an answer of which nothing tells whether it is whole.
func ErrDoubtfulEnd() error {
	return outcome.AsUnknown(fmt.Errorf("%w: the answer may have ended with its replica", ErrBroken))
}

// QuarantinedReplica identifies a replica to the quarantine.
func QuarantinedReplica(info replica.Info) quarantine.Replica {
	return quarantine.Replica{ID: info.ID, StartedUnixMs: info.StartedUnixMs, Address: info.Address}
}

// LooksLikeCrash reports whether an attempt ended as it would if its replica had crashed: after the
// request may have begun to run, and neither with an answer nor because this node canceled it for
// another reason. status is that of the answer, 0 if none came.
func LooksLikeCrash(err error, status int) bool {
	if err == nil || outcome.Of(err) == outcome.NotDone || status >= http.StatusInternalServerError || exceedsLimit(err) {
		return false
	}
	for _, loss := range []error{ErrBroken, ErrSilent, ErrRestarted} {
		if errors.Is(err, loss) {
			return true
		}
	}
	return false
}

// exceedsLimit reports whether this node ended an attempt because its replica sent too much.
func exceedsLimit(err error) bool {
	return errors.Is(err, bytebudget.ErrFull) || errors.Is(err, errTooLong) || errors.Is(err, sse.ErrTooLong)
}

// checkQuarantine returns an error if the request must not be sent. A request that was admitted as a trial
// remains one until an attempt has been interrupted.
func (c *call) checkQuarantine(ctx context.Context) error {
	if c.forwarder.Quarantine == nil || c.trial != nil {
		return nil
	}
	trial, err := c.forwarder.Quarantine.RefuseParts(ctx, c.sharedParts, c.request.Work)
	c.triedPart = quarantine.Work{}
	if trial != nil {
		c.triedPart = trial.Work
	}
	if trial == nil && err == nil {
		trial, err = c.forwarder.Quarantine.RefuseRequest(ctx, c.request.Work)
	}
	if err != nil && ctx.Err() != nil {
		return contextError(ctx)
	}
	c.trial, c.claim = trial, claimState{}
	return err
}

// sharedParts identifies the parts of the request's prompt that other requests may hold too.
func (c *call) sharedParts() []quarantine.Work {
	return c.request.SharedParts(c.result.Pool)
}

// confirmEnd returns an error if an answer may have ended because its replica did.
func (c *call) confirmEnd(ctx context.Context, answer *Answer, chosen replica.Info) error {
	if c.forwarder.Quarantine == nil {
		return nil
	}
	return ConfirmEnd(ctx, c.forwarder.Quarantine, answer, chosen)
}

// endTrial ends the request's trial, if it has one that is still under way.
func (c *call) endTrial() {
	if c.trial != nil {
		c.forwarder.Quarantine.EndTrial(*c.trial)
		c.trial = nil
	}
}

// reportToQuarantine reports how an attempt ended. If the replica may have crashed it waits until
// that is known, because the next attempt depends on it.
func (c *call) reportToQuarantine(ctx context.Context, chosen *replica.Candidate, began time.Time, err error) {
	guard := c.forwarder.Quarantine
	switch {
	case guard == nil:
	case err == nil && c.status < http.StatusInternalServerError:
		guard.RecordSuccess(c.request.Work())
		if c.status < http.StatusMultipleChoices {
			guard.RecordPartSuccess(c.sharedParts())
		}
		c.trial = nil
	case LooksLikeCrash(err, c.status):
		run := quarantine.Run{
			Work: c.request.Work(), SentAt: began, Trial: c.trial != nil && c.triedPart == quarantine.Work{}, Parts: c.sharedParts(), TriedPart: c.triedPart, Answered: c.status != 0,
		}
		if c.trial != nil {
			guard.InterruptTrial(*c.trial)
			c.trial, c.triedPart = nil, quarantine.Work{}
		}
		guard.RecordInterruption(ctx, QuarantinedReplica(chosen.Info), run)
	}
}
