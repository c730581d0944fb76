package node

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// jobLog logs and counts the events of jobs.
type jobLog struct {
	log     zerolog.Logger
	sampled zerolog.Logger
	metrics *coreMetrics
}

var _ jobs.Events = (*jobLog)(nil)

// Accepted implements jobs.Events.
func (l *jobLog) Accepted(job *jobs.Job, took time.Duration, resent bool) {
	l.metrics.jobs.WithLabelValues("accepted").Inc()
	l.log.Info().Str("job", job.ID).Str("route", job.Route).Int("items", len(job.Items)).
		Bool("resent", resent).Dur("took_ms", took).Msg("job accepted")
}

// Refused implements jobs.Events.
func (l *jobLog) Refused(id string, used, requested, quota int64, unanswered int, err error) {
	l.metrics.jobs.WithLabelValues("refused").Inc()
	l.log.Warn().Str("job", id).Int64("tokens_used", used).Int64("tokens_asked", requested).
		Int64("quota", quota).Int("unanswered", unanswered).Err(err).Msg("job refused")
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

// Refreshed implements jobs.Events.
func (l *jobLog) Refreshed(job *jobs.Job, age time.Duration, err error) {
	if err != nil {
		l.metrics.jobs.WithLabelValues("unsure").Inc()
		l.sampled.Warn().Str("job", job.ID).Dur("view_age_ms", age).Err(err).Msg("result not confirmed, the table did not answer")
		return
	}
	l.metrics.jobs.WithLabelValues("asked").Inc()
	l.sampled.Info().Str("job", job.ID).Dur("view_age_ms", age).Msg("job read from the table, the view was old")
}

// EndChecked implements jobs.Events.
func (l *jobLog) EndChecked(job *jobs.Job, age time.Duration, err error) {
	if err != nil {
		l.metrics.jobs.WithLabelValues("end_unsure").Inc()
		l.sampled.Warn().Str("job", job.ID).Dur("view_age_ms", age).Err(err).Msg("job not confirmed to be open, the table did not answer")
		return
	}
	l.metrics.jobs.WithLabelValues("end_asked").Inc()
	l.sampled.Info().Str("job", job.ID).Dur("view_age_ms", age).Msg("job read from the table before its items are sent, the view was old")
}

// NoResult implements jobs.Events.
func (l *jobLog) NoResult(entry *jobs.Entry, position int, age time.Duration) {
	l.metrics.jobs.WithLabelValues("no_result").Inc()
	l.sampled.Info().Str("job", entry.Job.ID).Int("position", position).Int("listed", len(entry.Progress.Listed)).
		Uint64("row_version", entry.Version).Dur("age_ms", age).Msg("read without a result")
}

// ItemSent implements jobs.Events.
func (l *jobLog) ItemSent(job *jobs.Job, item, replica string, after int) {
	l.metrics.items.WithLabelValues("sent").Inc()
	l.sampled.Info().Str("job", job.ID).Str("item", item).Str("replica", replica).Int("after", after).Msg("item sent")
}

// ItemFailed implements jobs.Events.
func (l *jobLog) ItemFailed(job *jobs.Job, item, replica string, err error) {
	l.metrics.items.WithLabelValues("failed").Inc()
	l.metrics.observeAnswer(err)
	entry := l.log.Info().Str("job", job.ID).Str("item", item).Str("replica", replica).Err(err).Stringer("ran", outcome.Of(err))
	withConnection(entry, err).Msg("item attempt failed")
}

// ItemPreempted implements jobs.Events.
func (l *jobLog) ItemPreempted(job *jobs.Job, item, id string, after int, pressure replica.Pressure) {
	label := "arrival"
	switch {
	case pressure.Fleet > 0:
		label = "fleet"
	case pressure.Queued > 0:
		label = "queue"
	}
	l.metrics.preemptions.WithLabelValues(label).Inc()
	l.sampled.Info().Str("job", job.ID).Str("item", item).Str("replica", id).Int("after", after).
		Int("queued", pressure.Queued).Dur("wait_ms", pressure.Wait).Dur("patience_ms", pressure.Patience).Dur("load_age_ms", pressure.Age).
		Float64("fleet", pressure.Fleet).Msg("item yields its slot")
}

// ItemListed implements jobs.Events.
func (l *jobLog) ItemListed(job *jobs.Job, item string, position int, dead jobs.Reason, object string, size int, took time.Duration) {
	label, entry := "completed", l.sampled.Info()
	if dead != "" {
		label, entry = "dead", l.log.Info()
	} else {
		l.metrics.completed.Add(1)
	}
	l.metrics.items.WithLabelValues(label).Inc()
	entry.Str("job", job.ID).Str("item", item).Int("position", position).Str("dead", string(dead)).
		Str("object", object).Int("bytes", size).Dur("took_ms", took).Msg("item listed")
}

// TextNotListed implements jobs.Events.
func (l *jobLog) TextNotListed(job *jobs.Job, item string, position int, object string, size int, err error) {
	l.metrics.items.WithLabelValues("text_not_listed").Inc()
	l.log.Warn().Str("job", job.ID).Str("item", item).Int("position", position).
		Str("object", object).Int("bytes", size).Err(err).Msg("text written that is not the listed result")
}

// ContentUnused implements jobs.Events.
func (l *jobLog) ContentUnused(id, object string, size int, err error) {
	l.log.Warn().Str("job", id).Str("object", object).Int("bytes", size).Err(err).Msg("content written that no job has")
}

// CheckpointFailed implements jobs.Events.
func (l *jobLog) CheckpointFailed(job *jobs.Job, items int, err error) {
	l.log.Warn().Str("job", job.ID).Int("items", items).Err(err).Msg("checkpoint not saved")
}

// Removed implements jobs.Events.
func (l *jobLog) Removed(job *jobs.Job, err error) {
	l.metrics.jobs.WithLabelValues("removed").Inc()
	l.log.Info().Str("job", job.ID).Dur("accepted_at_ms", job.Created).Err(err).Msg("job removed")
}

// AwaitingRegion implements jobs.Events.
func (l *jobLog) AwaitingRegion(job *jobs.Job, regions place.Regions) {
	l.metrics.jobs.WithLabelValues("homeless").Inc()
	l.log.Warn().Str("job", job.ID).Str("route", job.Route).Str("tenant", job.Tenant).Strs("homes", regions).
		Msg("items wait, no node of an allowed region lives")
}

// Resolved implements jobs.Events.
func (l *jobLog) Resolved(operation string, attempts int, err error) {
	l.log.Info().Str("operation", operation).Int("attempts", attempts).Err(err).Msg("write resolved")
}

// Unresolved implements jobs.Events.
func (l *jobLog) Unresolved(operation, job string, attempts, rows int, err error) {
	l.log.Warn().Str("operation", operation).Str("job", job).Int("attempts", attempts).Int("rows", rows).Err(err).Msg("write keeps failing")
}
