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

// probeTimeout bounds a try of a connection to a replica whose answer broke off. A way there
// and back takes 2 to 6 ms within a region, 40 ms to another one.
const probeTimeout = 400 * time.Millisecond

// harm is what a node knows of work that ends replicas.
type harm struct {
	quarantine.List
	guard     quarantine.Guard
	rows      quarantine.Rows
	publisher *quarantine.Publisher
}

// buildQuarantine joins the parts that find and keep what ends replicas.
func (c *core) buildQuarantine(service table.Service, declared settings.Quarantine) {
	h := &harm{List: quarantine.List{CrashLimit: declared.Replicas, Window: time.Duration(declared.For), RowsPending: true}}
	h.guard = quarantine.Guard{List: &h.List, Replicas: standings{c}, Events: c}
	h.rows = quarantine.Rows{Partition: jobs.QuarantinePartition(), Guard: &h.guard, OnMalformed: c.logMalformed}
	h.publisher = quarantine.NewPublisher(service, &h.rows, c.session.ID)
	h.publisher.OnError = func(err error) {
		c.log.Warn().Err(err).Msg("ends of replicas not written yet")
	}
	h.guard.OwnsTrials = func(work quarantine.Work) bool { return c.owners.Preferred(work.String()) == c.session.ID() }
	h.publisher.OwnsSweep = func() bool { return c.owners.Preferred(jobs.QuarantinePartition()) == c.session.ID() }
	c.harm = h
	c.forwarder.Quarantine = &h.guard
}

var _ server.Quarantine = (*core)(nil)

// standings tells the quarantine about replicas.
type standings struct{ *core }

var _ quarantine.Replicas = standings{}

// State implements quarantine.Replicas.
func (s standings) State(asked quarantine.Replica) quarantine.ReplicaState {
	known, before, listed := s.replicas.CurrentAndPrevious(asked.ID)
	start := replica.Info{ID: asked.ID, StartedUnixMs: asked.StartTime, Address: asked.Address}
	switch {
	case !listed:
		return quarantine.Gone
	case !known.SameStart(&start) && before.Leaving && before.SameStart(&start):
		return quarantine.Leaving
	case !known.SameStart(&start):
		return quarantine.Restarted
	case known.Leaving:
		return quarantine.Leaving
	default:
		return quarantine.Serving
	}
}

// Probe implements quarantine.Replicas.
func (s standings) Probe(ctx context.Context, address string) quarantine.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", strings.TrimPrefix(address, "http://"))
	switch {
	case err == nil:
		_ = conn.Close()
		return quarantine.Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.Refused
	default:
		return quarantine.Inconclusive
	}
}

// ReplicaCrashed implements quarantine.Events.
func (c *core) ReplicaCrashed(report quarantine.CrashReport) {
	works := make([]string, len(report.Runs))
	for i, run := range report.Runs {
		works[i] = run.Work.String()
	}
	c.log.Warn().Str("replica", report.Replica).Int64("born", report.StartTime).Strs("works", works).Msg("replica ended under work of this node")
	c.harm.publisher.PublishCrash(report)
}

// Cleared implements quarantine.Events.
func (c *core) Cleared(before quarantine.Verdict, at time.Time) {
	c.metrics.cleared.Inc()
	c.log.Info().Stringer("work", before.Work).Strs("replicas", before.Replicas).
		Bool("quarantined", before.Quarantined).Msg("suspected work ended well")
	c.harm.publisher.PublishClearing(quarantine.Clearing{Work: before.Work, At: at})
}

// Quarantined implements quarantine.Events.
func (c *core) Quarantined(verdict quarantine.Verdict) {
	c.metrics.quarantined.Inc()
	c.log.Warn().Stringer("work", verdict.Work).Strs("replicas", verdict.Replicas).
		Dur("for_ms", clock.Until(verdict.Until)).Msg("work quarantined")
}

// Suspects implements server.Quarantine.
func (c *core) Suspects() v1.SuspectList {
	now := clock.Now()
	list := v1.SuspectList{Node: lease.Node(c.session.ID()), Items: []v1.Suspect{}}
	for _, verdict := range c.harm.All(now) {
		list.Items = append(list.Items, suspectOf(verdict, now))
	}
	return list
}

func suspectOf(verdict quarantine.Verdict, now time.Time) v1.Suspect {
	suspect := v1.Suspect{
		Work: verdict.Work.String(), Replicas: verdict.Replicas, Quarantined: verdict.Quarantined,
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
	before := c.harm.Clear(work, now)
	if len(before.Replicas) == 0 {
		return v1.Suspect{}, false
	}
	c.metrics.released.Inc()
	c.log.Warn().Stringer("work", work).Strs("replicas", before.Replicas).Msg("work released by an operator")
	c.harm.publisher.PublishClearing(quarantine.Clearing{Work: work, At: now})
	return suspectOf(before, now), true
}
