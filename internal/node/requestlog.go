package node

import (
	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// requestLog logs the attempts of requests.
type requestLog struct{ log, sampled zerolog.Logger }

// Sent implements forward.Notice.
func (l *requestLog) Sent(request *forward.Request, attempt int, chosen *replica.Candidate) {
	l.sampled.Info().Str("request", request.ID).Int("attempt", attempt).Str("replica", chosen.ID).
		Int("open", chosen.Open).Float64("others", chosen.Others).Int("pending_tokens", chosen.PendingTokens).
		Msg("attempt sent")
}

// Failed implements forward.Notice.
func (l *requestLog) Failed(request *forward.Request, attempt int, chosen replica.Info, err error) {
	l.log.Info().Str("request", request.ID).Int("attempt", attempt).Str("replica", chosen.ID).
		Str("address", chosen.Address).Err(err).Stringer("ran", outcome.Of(err)).Msg("attempt failed")
}
