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

// Check reports what is wrong with a submission, as ErrInvalid.
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

// Submit accepts a job for good, or says that it never runs (ErrQuota,
// ErrNotAccepted), or that nobody can tell yet (ErrUndecided).
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
	declared := &Job{}
	s.setRouting(declared, submission)
	if declared.AllowedRegions != nil && len(declared.AllowedRegions) == 0 {
		err := Error.Wrap(errors.Join(ErrNotAccepted, ErrNoRegion))
		s.Events.Refused(submission.ID, 0, submission.tokens(), submission.Quota, err)
		return err
	}
	content := encode(submission.Items)
	if err := s.putContent(ctx, submission.ID, content); err != nil {
		s.Events.Refused(submission.ID, 0, submission.tokens(), submission.Quota, err)
		return Error.Wrap(errors.Join(ErrNotAccepted, err))
	}
	// The runner may take the job up before admit returns.
	s.cacheContent(submission.ID, submission.Items)
	err := s.admit(ctx, submission, content, start)
	if err != nil || !s.runsHere(ctx, submission.ID) {
		s.dropContent(submission.ID)
	}
	return err
}

// acceptExisting answers a submission whose job is there: it is accepted, if it is the tenant's.
func (s *Service) acceptExisting(submission *Submission, entry *Entry, start time.Time, resent bool) error {
	if entry.Job.Tenant != submission.Tenant {
		return Error.Wrap(ErrIDTaken)
	}
	s.Events.Accepted(entry.Job, clock.Since(start), resent)
	return nil
}

// recheckRefusal answers a submission that is to be refused with an error by what is known here. Where
// the view is old, the job may have been accepted elsewhere, and may fit: the table is asked for
// it, and if it is not there the caller is told that it was not accepted, not that there is no
// room.
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
		return Error.Wrap(errors.Join(ErrUndecided, err))
	}
}

// checkQuota reports ErrQuota if the job does not fit by what is known now. Before it does, it
// asks for the newest news, for items may have been listed a moment ago.
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
	return s.refuseQuota(submission, used)
}

// awaitUpdate asks for a look at the jobs and waits for it, for lookPatience at most.
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

// refuseQuota tells that a job does not fit beside what is used, and returns ErrQuota.
func (s *Service) refuseQuota(submission *Submission, used int64) error {
	err := Error.Wrap(ErrQuota)
	s.Events.Refused(submission.ID, used, submission.tokens(), submission.Quota, err)
	return err
}

// admission is the state of one try to get a job admitted.
type admission struct {
	submission *Submission
	// content holds the encoded items.
	content   []byte
	operation string
	// pending is set while a write without an answer may still land; pendingOn is
	// the version of the counter that it, the newest of them, is conditional on.
	pending        bool
	pendingVersion uint64
	// failures counts the tries that had no answer or a refusal, conflicts those
	// whose conditions did not hold.
	failures  int
	conflicts int
}

// admit writes the job's rows in one transaction.
//
// With a quota the transaction also moves the counter of the job's shard on. A
// later version of that counter then proves that no earlier write of this job can
// land any more: the version that it was conditional on is gone.
func (s *Service) admit(ctx context.Context, submission *Submission, content []byte, start time.Time) error {
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
			return s.undecided(adm, err)
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

// conflictBackoff returns how long to wait after a conflict: not at all after the
// first, which only shows what this node had not heard of.
func (a *admission) conflictBackoff() time.Duration {
	a.conflicts++
	if a.conflicts == 1 {
		return 0
	}
	return rand.N(min(time.Duration(a.conflicts-1)*conflictDelay, conflictDelayMax))
}

func (s *Service) admissionStopped(adm *admission, err error) error {
	if adm.pending {
		return s.undecided(adm, err)
	}
	return s.refuseAdmission(adm, errors.Join(ErrNotAccepted, err))
}

// undecided says that the job may have been accepted.
func (s *Service) undecided(adm *admission, err error) error {
	return s.refuseAdmission(adm, errors.Join(ErrUndecided, err))
}

func (s *Service) refuseAdmission(adm *admission, final error) error {
	s.Events.Refused(adm.submission.ID, 0, adm.submission.tokens(), adm.submission.Quota, final)
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
		return outcome.Failed(err)
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
	}
	return err
}

// putRows returns the rows that a commit has put.
func putRows(writes []table.Write, versions []uint64) []table.Row {
	var rows []table.Row
	for i, write := range writes {
		if write.Kind == table.Put {
			rows = append(rows, table.Row{Key: write.Key, Version: versions[i], Body: write.Body})
		}
	}
	return rows
}

// refuseOrFence turns a job away that does not fit, once no write of it can land any more.
func (s *Service) refuseOrFence(ctx context.Context, adm *admission, usages [shards]usage) error {
	if adm.pending {
		return s.fenceWrites(ctx, adm, usages)
	}
	return s.refuseQuota(adm.submission, totalUsed(usages))
}

// fenceWrites makes sure that no unanswered write of the job can land any more, by
// moving the counter on under the condition that the job is not there.
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
		return outcome.Failed(ErrQuota)
	}
	return s.afterConflict(adm, err)
}

func (s *Service) admissionWrites(ctx context.Context, submission *Submission, content []byte, accepted int64) ([]table.Write, error) {
	session, err := s.Session(ctx)
	if err != nil {
		return nil, err
	}
	now := s.View.Now()
	job := &Job{
		ID: submission.ID, Created: now, Accepted: accepted,
		Due: now + submission.Completion, Expires: now + submission.Retention,
	}
	s.setRouting(job, submission)
	if submission.FIFO {
		job.Rank = now - submission.HeadStart
	}
	chunks := contentChunks(content)
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

// afterConflict takes in what a conflict shows: the job itself, accepted by an
// earlier try or elsewhere, a guard that does not hold, or counters that have moved.
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
		return Error.Wrap(outcome.Failed(ErrSuperseded))
	}
	own, _ := conflict.Row(counterKey(adm.submission.account(), shardOf(adm.submission.ID)))
	if own.Version > adm.pendingVersion {
		adm.pending = false
	}
	return err
}

// existingJobError returns the error of a try that met the job's rows. If they cannot be read the
// next try would meet them again: the job may have been accepted before, and nobody can tell.
func (s *Service) existingJobError(id string, err error) error {
	if s.View.Get(id) == nil {
		return Error.Wrap(outcome.Failed(ErrUnreadable))
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
