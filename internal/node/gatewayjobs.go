package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/platform"
)

const (
	// jobSpacing is the least time between two looks at the jobs' changes; it
	// bounds the calls while many results are listed. It grows with the number
	// of sessions, so that all nodes together stay below 700 calls a second.
	jobSpacing           = 120 * time.Millisecond
	jobSpacingPerSession = 1500 * time.Microsecond
	// jobPatience bounds how long a call about a job waits for the store.
	jobPatience = 2500 * time.Millisecond
)

// gatewayTiming makes lost owners be noticed within a few seconds, for items
// are due soon.
func gatewayTiming() lease.Timing {
	return lease.Timing{TimeToLive: 3 * time.Second, RenewInterval: time.Second}
}

func (g *Gateway) buildJobs() {
	rows := platform.Rows{Store: g.store}
	timing := gatewayTiming()
	g.session = lease.NewSession(rows, g.settings.Node.ID, timing)
	g.owners = lease.NewWatcher(rows, time.Now, timing)
	view := jobs.NewView()
	g.jobWatch = g.watch("job table", platform.JobFeed(g.store, jobs.Group, jobs.Parts()), view.Apply)
	g.jobWatch.Spacing = g.jobSpacing
	g.jobs = &jobs.Service{
		Table: rows, Objects: platform.Objects{Store: g.store}, View: view,
		Events: &jobLog{log: g.log, metrics: g.metrics}, Session: g.ownSession, Refresh: g.jobWatch.Refresh,
	}
	g.runner = jobs.NewRunner(jobs.RunnerOptions{
		Service: g.jobs, Replicas: g.replicas, Backend: g.backend, Routes: g.routes.Load, Owners: g.owners,
		Weights: g.weights(), Zone: g.settings.Node.Zone, ViewAge: g.jobWatch.Age,
	})
	g.replicas.Pressed = g.runner.Yield
}

// jobSpacing returns the least time between two looks at the jobs' changes.
func (g *Gateway) jobSpacing() time.Duration {
	return max(jobSpacing, time.Duration(len(g.owners.Live()))*jobSpacingPerSession)
}

// ownSession returns this node's session, which exists in the store.
func (g *Gateway) ownSession(ctx context.Context) (string, error) {
	return g.session.ID(), g.session.Ensure(ctx)
}

// runJobs runs the loops about jobs once the jobs are known.
func (g *Gateway) runJobs(ctx context.Context) {
	g.spawn(func() { g.jobWatch.Run(ctx) })
	g.spawn(func() { g.session.Run(ctx) })
	g.spawn(func() { g.runner.Run(ctx) })
	g.spawn(func() { g.runner.RunClaims(ctx) })
	g.spawn(func() { g.runner.RunKeeping(ctx) })
}

// handBackJobs gives this node's jobs to others before it stops.
func (g *Gateway) handBackJobs(ctx context.Context) {
	g.runner.HandBack(ctx)
	if err := g.session.End(ctx); err != nil {
		g.log.Warn().Err(err).Msg("session not ended, others wait for it to expire")
	}
}

// jobLog logs and counts what happens to jobs.
type jobLog struct {
	log     zerolog.Logger
	metrics *gatewayMetrics
}

var _ jobs.Events = (*jobLog)(nil)

// Accepted implements jobs.Events.
func (l *jobLog) Accepted(job *jobs.Job, took time.Duration, resent bool) {
	l.metrics.jobs.WithLabelValues("accepted").Inc()
	l.log.Info().Str("job", job.ID).Str("route", job.Route).Int("items", len(job.Items)).
		Bool("resent", resent).Dur("took_ms", took).Msg("job accepted")
}

// Refused implements jobs.Events.
func (l *jobLog) Refused(id string, used, asked, quota int64, err error) {
	l.metrics.jobs.WithLabelValues("refused").Inc()
	l.log.Warn().Str("job", id).Int64("tokens_used", used).Int64("tokens_asked", asked).
		Int64("quota", quota).Err(err).Msg("job refused")
}

// Ended implements jobs.Events.
func (l *jobLog) Ended(id string, err error) {
	l.metrics.jobs.WithLabelValues("ended").Inc()
	l.log.Info().Str("job", id).Err(err).Msg("job end asked for")
}

// Claimed implements jobs.Events.
func (l *jobLog) Claimed(entry *jobs.Entry, from string, err error) {
	l.log.Info().Str("job", entry.Job.ID).Str("from", from).Uint64("row_version", entry.Version).Err(err).Msg("job taken over")
}

// ItemSent implements jobs.Events.
func (l *jobLog) ItemSent(job *jobs.Job, item, replica string, after int) {
	l.metrics.items.WithLabelValues("sent").Inc()
	l.log.Debug().Str("job", job.ID).Str("item", item).Str("replica", replica).Int("after", after).Msg("item sent")
}

// ItemFailed implements jobs.Events.
func (l *jobLog) ItemFailed(job *jobs.Job, item, replica string, err error) {
	l.metrics.items.WithLabelValues("failed").Inc()
	l.log.Info().Str("job", job.ID).Str("item", item).Str("replica", replica).Err(err).Msg("item attempt failed")
}

// ItemListed implements jobs.Events.
func (l *jobLog) ItemListed(job *jobs.Job, item string, position int, dead bool, took time.Duration) {
	label, entry := "completed", l.log.Debug()
	if dead {
		label, entry = "dead", l.log.Info()
	}
	l.metrics.items.WithLabelValues(label).Inc()
	entry.Str("job", job.ID).Str("item", item).Int("position", position).Bool("dead", dead).
		Dur("took_ms", took).Msg("item listed")
}

// Resolved implements jobs.Events.
func (l *jobLog) Resolved(operation string, attempts int, err error) {
	l.log.Info().Str("operation", operation).Int("attempts", attempts).Err(err).Msg("write resolved")
}
