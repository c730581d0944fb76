package jobs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Check returns ErrInvalid, with the reason, if the submission can never be accepted.
func (s *Submission) Check() error {
	if s.ID == "" {
		return invalid("the job has no id")
	}
	if len(s.Items) == 0 {
		return invalid("the job has no items")
	}
	if len(s.Items) > MaxItems {
		return invalid("the job has %d items, at most %d are taken", len(s.Items), MaxItems)
	}
	seen := make(map[string]bool, len(s.Items))
	for i, item := range s.Items {
		switch {
		case item.ID == "":
			return invalid("item %d has no id", i)
		case seen[item.ID]:
			return invalid("item %d repeats the id %q", i, item.ID)
		case item.Path == "" || item.Path[0] != '/':
			return invalid("item %q has no path", item.ID)
		case item.Tokens < 0:
			return invalid("item %q has a negative number of tokens", item.ID)
		}
		seen[item.ID] = true
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return Error.Wrap(fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, arguments...)))
}

func (s *Submission) tokens() int64 {
	var total int64
	for _, item := range s.Items {
		total += item.Tokens
	}
	return total
}

// Submit accepts a job durably. ErrInvalid, ErrIDTaken, ErrQuota, ErrNotAccepted and ErrSuperseded
// mean that the submission was not accepted and never runs, ErrUnknownOutcome that it may have been
// accepted. Submitting an accepted job again succeeds.
func (s *Service) Submit(ctx context.Context, submission *Submission) error {
	start := clock.Now()
	if err := submission.Check(); err != nil {
		return err
	}
	if entry := s.View.Get(submission.ID); entry != nil {
		return s.acceptExisting(submission, entry, start, true)
	}
	if err := s.View.awaitLoaded(ctx); err != nil {
		return Error.Wrap(errors.Join(ErrNotAccepted, err))
	}
	if err := s.checkQuota(ctx, submission); err != nil {
		return s.recheckRefusal(ctx, submission, start, err)
	}
	routing := &Job{}
	s.setRouting(routing, submission)
	if routing.AllowedRegions != nil && len(routing.AllowedRegions) == 0 {
		err := Error.Wrap(errors.Join(ErrNotAccepted, ErrNoRegion))
		s.Events.Refused(submission.ID, 0, submission.tokens(), submission.Quota, 0, err)
		return err
	}
	content := newContent(submission)
	if err := s.putContent(ctx, content); err != nil {
		s.Events.Refused(submission.ID, 0, submission.tokens(), submission.Quota, 0, err)
		err = Error.Wrap(errors.Join(ErrNotAccepted, err))
		s.resolveContent(ctx, submission.ID, content, err)
		return err
	}
	// The runner may start the job before admit returns.
	s.cacheContent(submission.ID, content.name, submission.Items)
	err := s.admit(ctx, submission, content, start)
	s.resolveContent(ctx, submission.ID, content, err)
	if err != nil || !s.runsHere(ctx, submission.ID) {
		s.dropContent(submission.ID)
	}
	return err
}

// acceptExisting answers a submission whose job exists: it succeeds if the tenant is the same.
func (s *Service) acceptExisting(submission *Submission, entry *Entry, start time.Time, resent bool) error {
	if entry.Job.Tenant != submission.Tenant {
		return Error.Wrap(ErrIDTaken)
	}
	s.Events.Accepted(entry.Job, clock.Since(start), resent)
	return nil
}

// recheckRefusal returns the error for a submission that does not fit by this node's view. If the
// view is older than maxTrustedAge, the job may have been accepted elsewhere, or may fit by now, so
// the table is read. If the job is not there, the error is ErrNotAccepted instead of ErrQuota.
func (s *Service) recheckRefusal(ctx context.Context, submission *Submission, start time.Time, refusal error) error {
	if asOf := s.View.AsOf(); asOf.IsZero() || clock.Since(asOf) <= s.maxTrustedAge() {
		return refusal
	}
	entry, err := s.find(ctx, submission.ID)
	switch {
	case err == nil:
		return s.acceptExisting(submission, entry, start, true)
	case errors.Is(err, ErrNotFound):
		return Error.Wrap(errors.Join(ErrNotAccepted, ErrUnavailable))
	default:
		return Error.Wrap(errors.Join(ErrUnknownOutcome, err))
	}
}

// checkQuota returns ErrQuota if the job does not fit the quota as known here. Before it refuses,
// it requests an update of the view, since items may have been listed a moment ago.
func (s *Service) checkQuota(ctx context.Context, submission *Submission) error {
	if submission.Quota <= 0 {
		return nil
	}
	used := s.View.used(submission.account())
	if used+submission.tokens() > submission.Quota && s.RequestUpdate != nil {
		s.awaitUpdate(ctx)
		used = s.View.used(submission.account())
	}
	if used+submission.tokens() <= submission.Quota {
		return nil
	}
	return s.refuseQuota(submission, used, 0)
}

// awaitUpdate requests an update of the view and waits for it, for at most updateTimeout.
func (s *Service) awaitUpdate(ctx context.Context) {
	changed := s.View.Changed()
	s.RequestUpdate()
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

// refuseQuota reports that a job does not fit beside the used tokens, and returns ErrQuota.
func (s *Service) refuseQuota(submission *Submission, used int64, unanswered int) error {
	err := Error.Wrap(ErrQuota)
	s.Events.Refused(submission.ID, used, submission.tokens(), submission.Quota, unanswered, err)
	return err
}

// admission is the state of the tries to admit one submission.
type admission struct {
	submission *Submission
	content    *submittedContent
	operation  string
	// pending is set while an unanswered write may still be applied. pendingVersion is the counter
	// version that the latest such write is conditional on.
	pending        bool
	pendingVersion uint64
	// failures counts tries without an answer or with an error, conflicts those whose conditions
	// did not hold.
	failures  int
	conflicts int
	// unanswered counts the transactions that got no answer.
	unanswered int
}

// admit writes the job's rows in one transaction.
//
// With a quota, the transaction also advances the counter of the job's shard. A later version of
// that counter then proves that no earlier write of this job can be applied any more, since the
// version that it was conditional on is gone.
func (s *Service) admit(ctx context.Context, submission *Submission, content *submittedContent, start time.Time) error {
	adm := &admission{submission: submission, content: content, operation: table.NewOperation()}
	delay := retryDelay
	for {
		if entry := s.View.Get(submission.ID); entry != nil {
			s.notify(entry.activeNodes(), submission.ID)
			return s.acceptExisting(submission, entry, start, adm.pending)
		}
		err := s.tryAdmit(ctx, adm)
		backoff := delay
		switch {
		case err == nil:
			continue
		case errors.Is(err, ErrQuota), errors.Is(err, ErrSuperseded):
			return err
		case errors.Is(err, ErrUnreadable):
			return s.unknownOutcome(adm, err)
		case errors.Is(err, table.ErrRejected):
			return s.admissionStopped(adm, err)
		case errors.Is(err, table.ErrConflict):
			backoff = adm.conflictBackoff()
		default:
			adm.failures++
			delay = min(2*delay, retryDelayMax)
		}
		if !retry.Sleep(ctx, backoff) {
			return s.admissionStopped(adm, err)
		}
	}
}

// conflictBackoff returns how long to wait after a conflict. The first conflict is retried at once,
// since it only shows what this node's view lacked.
func (a *admission) conflictBackoff() time.Duration {
	a.conflicts++
	if a.conflicts == 1 {
		return 0
	}
	return rand.N(min(time.Duration(a.conflicts-1)*conflictDelay, conflictDelayMax))
}

func (s *Service) admissionStopped(adm *admission, err error) error {
	if adm.pending {
		return s.unknownOutcome(adm, err)
	}
	return s.refuseAdmission(adm, errors.Join(ErrNotAccepted, err))
}

// unknownOutcome reports that the job may have been accepted.
func (s *Service) unknownOutcome(adm *admission, err error) error {
	return s.refuseAdmission(adm, errors.Join(ErrUnknownOutcome, err))
}

func (s *Service) refuseAdmission(adm *admission, final error) error {
	s.Events.Refused(adm.submission.ID, 0, adm.submission.tokens(), adm.submission.Quota, adm.unanswered, final)
	return Error.Wrap(final)
}

func (s *Service) tryAdmit(ctx context.Context, adm *admission) error {
	submission := adm.submission
	usages := s.View.usages(submission.account())
	own := usages[shardNumber(submission.ID)]
	var counters []table.Write
	var accepted int64
	if submission.Quota > 0 {
		var fits bool
		counters, accepted, fits = reserveQuota(usages, submission.ID, submission.account(), submission.Quota, submission.tokens())
		if !fits {
			return s.refuseOrFence(ctx, adm, usages)
		}
	}
	writes, err := s.admissionWrites(ctx, submission, adm.content, accepted)
	if err != nil {
		return outcome.AsNotDone(err)
	}
	writes = append(writes, counters...)
	var versions []uint64
	err = s.writeLatency.call(ctx, adm.failures, func(callCtx context.Context) error {
		versions, err = s.Table.Commit(callCtx, adm.operation, writes...)
		return err
	})
	switch {
	case err == nil:
		s.View.Put(putRows(writes, versions)...)
		return nil
	case errors.Is(err, table.ErrConflict):
		return s.afterConflict(adm, err)
	case outcome.Of(err) != outcome.NotDone:
		adm.pending, adm.pendingVersion = true, own.version
		adm.unanswered++
	}
	return err
}

// putRows returns the rows that a commit has written.
func putRows(writes []table.Write, versions []uint64) []table.Row {
	var rows []table.Row
	for i, write := range writes {
		if write.Kind == table.Put {
			rows = append(rows, table.Row{Key: write.Key, Version: versions[i], Body: write.Body})
		}
	}
	return rows
}

// refuseOrFence refuses a job that does not fit, once no unanswered write of it can be applied any
// more.
func (s *Service) refuseOrFence(ctx context.Context, adm *admission, usages [shards]usage) error {
	if adm.pending {
		return s.fenceWrites(ctx, adm, usages)
	}
	return s.refuseQuota(adm.submission, totalUsed(usages), adm.unanswered)
}

// fenceWrites makes sure that no unanswered write of the job can be applied any more: it advances
// the counter on condition that the job's row does not exist.
func (s *Service) fenceWrites(ctx context.Context, adm *admission, usages [shards]usage) error {
	shard := shardNumber(adm.submission.ID)
	own := usages[shard]
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	advanced := own.counterWrite(adm.submission.account(), shard, own.counter)
	versions, err := s.Table.Commit(callCtx, table.NewOperation(), advanced,
		table.Write{Key: jobKey(adm.submission.ID), Kind: table.Check, Expect: table.Absent})
	if err == nil {
		s.View.Put(table.Row{Key: advanced.Key, Version: versions[0], Body: advanced.Body})
		adm.pending = false
		return outcome.AsNotDone(s.refuseQuota(adm.submission, totalUsed(usages), adm.unanswered))
	}
	return s.afterConflict(adm, err)
}

func (s *Service) admissionWrites(ctx context.Context, submission *Submission, content *submittedContent, accepted int64) ([]table.Write, error) {
	session, err := s.Session(ctx)
	if err != nil {
		return nil, err
	}
	now := s.View.Now()
	job := &Job{
		ID: submission.ID, Created: now, Accepted: accepted, Content: content.name,
		Due: now + submission.Completion, Expires: now + submission.Retention,
	}
	s.setRouting(job, submission)
	if submission.FIFO {
		job.Rank = now - submission.HeadStart
	}
	chunks := contentChunks(content.body)
	job.Chunks = len(chunks)
	for _, item := range submission.Items {
		job.Items = append(job.Items, ItemHead{ID: item.ID, Tokens: item.Tokens})
	}
	s.spread(job, submission, lease.Node(session))
	progress := &Progress{}
	if len(job.Nodes) == 0 && s.mayStore(job, session) {
		progress.Owner = session
	}
	writes := []table.Write{
		{Key: jobKey(job.ID), Expect: table.Absent, Body: encode(job)},
		{Key: progressKey(job.ID), Expect: table.Absent, Body: encode(progress)},
	}
	for number, chunk := range chunks {
		writes = append(writes, table.Write{Key: chunkKey(job.ID, number), Expect: table.Absent, Body: chunk})
	}
	for _, guard := range submission.Guards {
		guard.Kind = table.Check
		writes = append(writes, guard)
	}
	return writes, nil
}

// afterConflict applies the rows of a conflict: the job itself, accepted by an earlier try or at
// another node, a guard that does not hold, or counters that have changed.
func (s *Service) afterConflict(adm *admission, err error) error {
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	s.applyConflict(err)
	if _, accepted := conflict.Row(jobKey(adm.submission.ID)); accepted {
		return s.existingJobError(adm.submission.ID, err)
	}
	if adm.submission.guardFailed(conflict) {
		return Error.Wrap(outcome.AsNotDone(ErrSuperseded))
	}
	own, _ := conflict.Row(counterKey(adm.submission.account(), shardOf(adm.submission.ID)))
	if own.Version > adm.pendingVersion {
		adm.pending = false
	}
	return err
}

// existingJobError returns the error of a try that found the job's rows in the table. If they
// cannot be read, the next try would find them again, and whether the job was accepted is unknown.
func (s *Service) existingJobError(id string, err error) error {
	if s.View.Get(id) == nil {
		return Error.Wrap(outcome.AsNotDone(ErrUnreadable))
	}
	return err
}

// guardFailed reports whether a conflict is about one of the guards.
func (s *Submission) guardFailed(conflict *table.ConflictError) bool {
	for _, guard := range s.Guards {
		row, _ := conflict.Row(guard.Key)
		if row.Version != guard.Expect {
			return true
		}
	}
	return false
}
