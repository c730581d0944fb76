package node

import (
	"errors"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// requestLog implements forward.Observer: it logs the attempts of requests.
type requestLog struct {
	log, sampled zerolog.Logger
	metrics      *coreMetrics
	// evacuated returns the evacuated zones.
	evacuated func() []string
}

// Sent implements forward.Observer.
func (l *requestLog) Sent(request *forward.Request, attempt int, chosen *replica.Candidate, predicted time.Duration) {
	entry := l.sampled.Info()
	if !entry.Enabled() {
		return
	}
	if zones := l.evacuated(); len(zones) > 0 {
		entry.Strs("evacuated", zones)
	}
	entry.Str("request", request.ID).Int("attempt", attempt).Str("replica", chosen.ID).Str("software", chosen.SoftwareVersion).Str("zone", chosen.Zone).
		Str("region", chosen.Region).Int("open", chosen.Open).Int("share", chosen.Share).Int("items", chosen.Batch).Float64("others", chosen.Others).
		Float64("waiting", chosen.Waiting).Dur("load_age_ms", chosen.LoadAge).Dur("slot_ms", chosen.SlotTime).
		Int("pending_tokens", chosen.PendingTokens).Dur("predicted_ms", predicted).
		Msg("attempt sent")
}

// Continued implements forward.Observer.
func (l *requestLog) Continued(request *forward.Request, continuation forward.Continuation) {
	initiator, match := continuationLabels(continuation)
	l.metrics.continuations.WithLabelValues(initiator, match).Inc()
	// A crash may interrupt many streams at once; only a mixed one is never left out.
	log := &l.sampled
	if match == softwareOther {
		log = &l.log
	}
	log.Info().Str("request", request.ID).Str("resumes", request.Resumes).Str("by", initiator).Int("after", continuation.After).
		Str("replica", continuation.Replica.ID).Str("software", continuation.Replica.SoftwareVersion).
		Str("software_before", continuation.Previous).Str("software_match", match).Msg("stream continued")
}

// Values of the label for whether a stream is continued at the software version of the events before.
const (
	softwareSame    = "same"
	softwareOther   = "other"
	softwareUnknown = "unknown"
)

// continuationLabels returns who continued a stream, the node within one answer or the caller with
// another request, and whether the software version is that of the events before.
func continuationLabels(continuation forward.Continuation) (initiator, match string) {
	initiator = "node"
	if continuation.ByCaller {
		initiator = "caller"
	}
	switch {
	case !continuation.PreviousKnown:
		return initiator, softwareUnknown
	case continuation.Previous == continuation.Replica.SoftwareVersion:
		return initiator, softwareSame
	default:
		return initiator, softwareOther
	}
}

// Reserved implements forward.Observer.
func (l *requestLog) Reserved(request *forward.Request, candidate *replica.Candidate, took time.Duration, err error) {
	l.metrics.reservations.WithLabelValues(reservationOutcome(err)).Inc()
	l.metrics.observeAnswer(err)
	entry := l.sampled.Info().Str("request", request.ID).Str("replica", candidate.ID).Str("region", candidate.Region).Int("open", candidate.Open).
		Float64("others", candidate.Others).Dur("took_ms", took).Err(err)
	withConnection(entry, err).Msg("slot asked for")
}

func reservationOutcome(err error) string {
	switch {
	case err == nil:
		return "reserved"
	case errors.Is(err, forward.ErrRefused):
		return "full"
	default:
		return "failed"
	}
}

// FirstEvent implements forward.Observer.
func (l *requestLog) FirstEvent(_ *forward.Request, predicted, actual time.Duration) {
	l.metrics.predictionError.Observe((actual - predicted).Seconds())
}

// partKeys returns the keys of the parts of the prompt that other requests may hold too, as callers
// write them.
func partKeys(request *forward.Request) []string {
	shared := request.Prompt.SharedParts()
	keys := make([]string, len(shared))
	for i, part := range shared {
		keys[i] = strconv.FormatUint(part.Key, 16)
	}
	return keys
}

// Failed implements forward.Observer.
func (l *requestLog) Failed(request *forward.Request, attempt int, chosen replica.Info, err error) {
	entry := l.log.Info().Str("request", request.ID).Int("attempt", attempt).Str("replica", chosen.ID).
		Str("software", chosen.SoftwareVersion).Str("address", chosen.Address).Err(err).Stringer("ran", outcome.Of(err))
	if outcome.Of(err) != outcome.NotDone {
		// Work that was running on a replica when its response broke off may be the cause.
		entry = entry.Stringer("work", request.Work()).Str("parts", joinWorks(request.SharedParts(chosen.Pool))).Strs("part_keys", partKeys(request))
	}
	l.metrics.observeAnswer(err)
	withConnection(entry, err).Msg("attempt failed")
}

// withConnection adds to the log of a failed attempt what its connection had carried before, and for which
// request the answer was if it was for another.
func withConnection(entry *zerolog.Event, err error) *zerolog.Event {
	var failed *forward.ConnectionError
	if !errors.As(err, &failed) {
		return entry
	}
	entry = entry.Int("conn_requests_before", failed.RequestsBefore).Bool("conn_same_request_before", failed.Repeated)
	if failed.OtherAnswer {
		entry = entry.Str("answered_request", failed.AnswerID)
	}
	return entry
}
