package quarantine

import "time"

const (
	// trialLease is how long a granted trial is considered under way without a renewal, and
	// trialRenewInterval the time between two renewals. After the answer to a trial was interrupted
	// it is not renewed, and its replica may be found to have crashed until the lease expires: most
	// leave the list earlier.
	trialLease         = 2 * time.Second
	trialRenewInterval = 500 * time.Millisecond
	// maxTrials bounds the granted trials that a node remembers, and the works that it asks for.
	maxTrials = 1000
)

// Trial is the permission to run quarantined work once, to show that it is harmless. At most one
// trial of a work is under way in the fleet.
type Trial struct {
	// Work is the work, or in a list of parts of prompts the part, that is tried.
	Work Work
	// ID distinguishes trials of one work.
	ID uint64
}

// grantedTrial is a trial that this node granted.
type grantedTrial struct {
	id uint64
	// startedAt is when it was granted, renewedAt when it was last granted or renewed.
	startedAt, renewedAt time.Time
}

// underWay reports whether the trial may be running, given the time of the last crash during a
// trial.
func (t *grantedTrial) underWay(lastTrial, now time.Time) bool {
	return now.Sub(t.renewedAt) < trialLease && !lastTrial.After(t.startedAt)
}

// BeginTrial grants a trial if the work is quarantined, a trial is due and none is under way. It
// reports whether it did. It is called on the node that owns the trials of the work.
func (l *List) BeginTrial(trial Trial, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := l.evaluate(trial.Work, now)
	return verdict.RequestTrialDue(now) && l.grantTrial(trial, &verdict, now)
}

// GrantTrial is like BeginTrial, for a request of another node. The crash reports that quarantine
// the work there may not have arrived here yet, so the work need not be quarantined.
func (l *List) GrantTrial(trial Trial, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := l.evaluate(trial.Work, now)
	if verdict.Quarantined && !verdict.RequestTrialDue(now) {
		return false
	}
	return l.grantTrial(trial, &verdict, now)
}

// grantTrial grants a trial unless another one is under way. The caller holds mu.
func (l *List) grantTrial(trial Trial, verdict *Verdict, now time.Time) bool {
	if current, ok := l.trials[trial.Work]; ok && current.underWay(verdict.LastTrial, now) {
		// A node repeats its request if the reply was lost.
		return current.id == trial.ID
	}
	l.recordTrial(trial, now)
	return true
}

// recordTrial records a trial that starts now. The caller holds mu.
func (l *List) recordTrial(trial Trial, now time.Time) {
	if l.trials == nil || len(l.trials) >= maxTrials {
		l.trials = map[Work]grantedTrial{}
	}
	l.trials[trial.Work] = grantedTrial{id: trial.ID, startedAt: now, renewedAt: now}
}

// RenewTrial records that a trial is still under way. It has no effect if another trial of the work
// has been granted since.
func (l *List) RenewTrial(trial Trial, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewClaim(trial, now)
	current, ok := l.trials[trial.Work]
	if !ok {
		// The node that granted it was lost, or this one has restarted.
		l.recordTrial(trial, now)
		return
	}
	if current.id == trial.ID {
		current.renewedAt = now
		l.trials[trial.Work] = current
	}
}

// EndTrial records that a granted trial ended without a result, so that another one may begin.
func (l *List) EndTrial(trial Trial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deleteClaimsWhere(func(claim *ReplicaClaim) bool { return claim.Trial == trial })
	if l.trials[trial.Work].id != trial.ID {
		return
	}
	delete(l.trials, trial.Work)
	if s := l.suspects[trial.Work]; s != nil {
		s.notify()
	}
}

// changed returns a channel that is closed when crashes of work are added or cleared; nil if the
// work is not suspect.
func (l *List) changed(work Work) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[work]
	if s == nil {
		return nil
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
