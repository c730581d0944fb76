package node

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/server"
	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// probeTimeout bounds a probe connection to a replica whose response was interrupted. It leaves
// time for several round trips to another region, of 40 ms each.
const probeTimeout = 400 * time.Millisecond

// quarantineState is what a node knows of work that crashes replicas.
type quarantineState struct {
	quarantine.List
	guard     quarantine.Guard
	rows      quarantine.Rows
	publisher *quarantine.Publisher
	exchange  *crashExchange
	// broadcastClaim, if set, tells the other nodes that a trial of this node has claimed a replica.
	broadcastClaim func(quarantine.ReplicaClaim)
}

// buildQuarantine creates the components that detect and store work that crashes replicas, and
// connects them.
func (c *core) buildQuarantine(service table.Service, declared settings.Quarantine) {
	state := &quarantineState{List: quarantine.List{CrashLimit: declared.Replicas, Window: time.Duration(declared.For), RowsPending: true}}
	state.guard = quarantine.Guard{List: &state.List, Parts: quarantine.NewPartList(&state.List), Replicas: replicaStates{c}, Events: c}
	state.rows = quarantine.Rows{Partition: jobs.QuarantinePartition(), Guard: &state.guard, OnMalformed: c.logMalformed}
	state.publisher = quarantine.NewPublisher(service, &state.rows, c.session.ID)
	state.exchange = newCrashExchange(&state.guard, c.onCrashReportsCut)
	state.publisher.OnError = func(err error) {
		c.log.Warn().Err(err).Msg("crash reports not written yet")
	}
	state.guard.Trials = localTrials{c}
	state.publisher.OwnsSweep = func() bool { return c.owners.Preferred(jobs.QuarantinePartition()) == c.session.ID() }
	c.quarantine = state
	c.forwarder.Quarantine = &state.guard
}

// onCrashReportsCut counts and logs what a limit of the exchange of crash reports leaves out.
func (c *core) onCrashReportsCut(limit string, count int) {
	c.metrics.crashReportsCut.WithLabelValues(limit).Add(float64(count))
	c.sampled.Warn().Str("limit", limit).Int("count", count).Msg("too many crash reports of other nodes, the table brings the rest")
}

var _ server.Quarantine = (*core)(nil)

// replicaStates implements quarantine.Replicas on the replica set of a core.
type replicaStates struct{ *core }

var _ quarantine.Replicas = replicaStates{}

// State implements quarantine.Replicas.
func (s replicaStates) State(queried quarantine.Replica) quarantine.ReplicaState {
	current, previous, listed := s.replicas.CurrentAndPrevious(queried.ID)
	start := replica.Info{ID: queried.ID, StartedUnixMs: queried.StartedUnixMs, Address: queried.Address}
	switch {
	case !listed:
		return quarantine.Gone
	case !current.SameStart(&start) && previous.Leaving && previous.SameStart(&start):
		return quarantine.Left
	case !current.SameStart(&start):
		return quarantine.Restarted
	case current.Leaving:
		return quarantine.Leaving
	default:
		return quarantine.Serving
	}
}

// Probe implements quarantine.Replicas.
func (s replicaStates) Probe(ctx context.Context, address string) quarantine.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", strings.TrimPrefix(address, "http://"))
	switch {
	case err == nil:
		_ = conn.Close()
		return quarantine.Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.ConnectionRefused
	default:
		return quarantine.Inconclusive
	}
}

// ReplicaCrashed implements quarantine.Events.
func (c *core) ReplicaCrashed(report quarantine.CrashReport) {
	works, answered := make([]string, len(report.Runs)), make([]bool, len(report.Runs))
	ages := make([]int64, len(report.Runs))
	parts := make([]string, len(report.Runs))
	var tried []quarantine.Work
	for i, run := range report.Runs {
		works[i], answered[i], ages[i] = run.Work.String(), run.Answered, report.At.Sub(run.SentAt).Milliseconds()
		parts[i] = joinWorks(run.Parts)
		if run.TriedPart != (quarantine.Work{}) {
			tried = append(tried, run.TriedPart)
		}
	}
	c.log.Warn().Str("replica", report.Replica).Int64("born", report.StartedUnixMs).Int64("noticed_ms_ago", clock.Since(report.At).Milliseconds()).
		Strs("works", works).Ints64("run_ms", ages).Bools("answered", answered).Strs("parts", parts).Str("tried_parts", joinWorks(tried)).
		Msg("replica crashed while it ran work of this node")
	c.quarantine.publisher.PublishCrash(report)
}

// joinWorks returns identities separated by commas.
func joinWorks(works []quarantine.Work) string {
	texts := make([]string, len(works))
	for i, work := range works {
		texts[i] = work.String()
	}
	return strings.Join(texts, ",")
}

// Cleared implements quarantine.Events.
func (c *core) Cleared(verdict quarantine.Verdict, at time.Time) {
	c.metrics.cleared.Inc()
	c.log.Info().Stringer("work", verdict.Work).Strs("replicas", verdict.Replicas).
		Bool("part", verdict.Part).Bool("quarantined", verdict.Quarantined).Msg("suspected work succeeded")
	c.quarantine.publisher.PublishClearing(quarantine.Clearing{Work: verdict.Work, At: at, Part: verdict.Part})
}

// Quarantined implements quarantine.Events.
func (c *core) Quarantined(verdict quarantine.Verdict) {
	c.metrics.quarantined.Inc()
	ages := make([]int64, len(verdict.CrashTimes))
	for i, at := range verdict.CrashTimes {
		ages[i] = clock.Since(at).Milliseconds()
	}
	suspects := make([]string, len(verdict.OtherSuspects))
	for i, other := range verdict.OtherSuspects {
		suspects[i] = other.String()
	}
	c.log.Warn().Stringer("work", verdict.Work).Strs("replicas", verdict.Replicas).Ints64("crashed_ms_ago", ages).
		Bool("part", verdict.Part).Str("group", joinWorks(verdict.Group)).Strs("other_suspects", suspects).Dur("for_ms", clock.Until(verdict.Until)).Msg("work quarantined")
}

// TrialBegun implements quarantine.Events.
func (c *core) TrialBegun(verdict quarantine.Verdict) {
	c.metrics.trials.WithLabelValues("begun").Inc()
	c.log.Info().Stringer("work", verdict.Work).Strs("replicas", verdict.Replicas).Bool("part", verdict.Part).Int("failed_trials", verdict.FailedTrials).
		Str("group", joinWorks(verdict.Group)).Msg("trial of quarantined work begun")
}

// ReplicaClaimed implements quarantine.Events.
func (c *core) ReplicaClaimed(claim quarantine.ReplicaClaim) {
	c.log.Info().Stringer("work", claim.Work).Str("replica", claim.Replica).Msg("replica claimed for a trial of quarantined work")
	if c.quarantine.broadcastClaim != nil {
		c.quarantine.broadcastClaim(claim)
	}
}

// ClaimDenied implements quarantine.Events.
func (c *core) ClaimDenied(claim quarantine.ReplicaClaim) {
	c.metrics.trials.WithLabelValues("claim_denied").Inc()
	c.sampled.Info().Stringer("work", claim.Work).Str("replica", claim.Replica).Msg("replica not claimed for a trial, another trial runs there")
}

// TrialInconclusive implements quarantine.Events.
func (c *core) TrialInconclusive(work quarantine.Work) {
	c.metrics.trials.WithLabelValues("inconclusive").Inc()
	c.log.Info().Stringer("work", work).Msg("trial of quarantined work ended without a result")
}

// Suspects implements server.Quarantine.
func (c *core) Suspects() v1.SuspectList {
	now := clock.Now()
	list := v1.SuspectList{Node: lease.Node(c.session.ID()), Items: []v1.Suspect{}}
	for _, verdict := range c.quarantine.All(now) {
		list.Items = append(list.Items, suspectOf(verdict, now))
	}
	for _, verdict := range c.quarantine.guard.Parts.All(now) {
		// Other parts are bystanders of crashes until they succeed again.
		if verdict.Quarantined {
			list.Items = append(list.Items, suspectOf(verdict, now))
		}
	}
	return list
}

func suspectOf(verdict quarantine.Verdict, now time.Time) v1.Suspect {
	suspect := v1.Suspect{
		Work: verdict.Work.String(), Part: verdict.Part, Replicas: verdict.Replicas, Quarantined: verdict.Quarantined,
		SecondsSinceEnd: now.Sub(verdict.LastCrash).Seconds(),
	}
	if verdict.Quarantined {
		suspect.SecondsLeft = verdict.Until.Sub(now).Seconds()
	}
	return suspect
}

// Release implements server.Quarantine.
func (c *core) Release(name string) (v1.Suspect, bool) {
	work, err := quarantine.ParseWork(name)
	if err != nil {
		return v1.Suspect{}, false
	}
	now := clock.Now()
	verdict := c.quarantine.Clear(work, now)
	if len(verdict.Replicas) == 0 {
		verdict = c.releasePart(work, now)
	}
	if len(verdict.Replicas) == 0 {
		return v1.Suspect{}, false
	}
	c.metrics.released.Inc()
	c.log.Warn().Stringer("work", work).Bool("part", verdict.Part).Strs("replicas", verdict.Replicas).Msg("work released by an operator")
	c.quarantine.publisher.PublishClearing(quarantine.Clearing{Work: work, At: now, Part: verdict.Part})
	return suspectOf(verdict, now), true
}

// releasePart releases a part of prompts, and those that cannot be told apart from it: its crashes would
// count against them instead. It returns the verdict before.
func (c *core) releasePart(part quarantine.Work, now time.Time) quarantine.Verdict {
	guard := &c.quarantine.guard
	verdict := guard.Clear(quarantine.Clearing{Work: part, At: now, Part: true})
	for _, other := range verdict.Group {
		if other == part {
			continue
		}
		clearing := quarantine.Clearing{Work: other, At: now, Part: true}
		guard.Clear(clearing)
		c.quarantine.publisher.PublishClearing(clearing)
	}
	return verdict
}
