package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/streams"
)

// What two software versions of a model server write does not fit together, and model servers do not
// check this. From its first event on, a stream is continued only by the version that began it, also
// when its caller continues it with another request at another node.

// StreamOrigins stores where streams began. It is safe for concurrent use.
type StreamOrigins interface {
	// Record stores the origin of a stream until a time; zero if unknown. It is called before the
	// first event of the stream, or of its continuation, is relayed, and must not block.
	Record(id streams.ID, origin streams.Origin, until time.Time)
	// Find returns the origin of a stream: the one recorded, or the only one that it can have. known is
	// false if it cannot be found.
	Find(ctx context.Context, query streams.Query) (origin streams.Origin, known bool)
}

const (
	// originRetention is how long the origin of a stream is stored after the deadline of its request.
	originRetention = 30 * time.Second
	// minStreamLifetime and streamLifetimeFactor, times the timeout of the route, bound how long ago a
	// stream that is continued may have begun. unboundedStreamLifetime is assumed without a timeout.
	minStreamLifetime       = 5 * time.Second
	streamLifetimeFactor    = 2
	unboundedStreamLifetime = 5 * time.Minute
)

// ErrOriginUnknown reports that nothing tells at which software version a stream began.
var ErrOriginUnknown = errors.New("the software version that began the stream is not known")

// ErrOriginAmbiguous reports that a stream may have begun at any of several software versions.
var ErrOriginAmbiguous = errors.New("the stream may have begun at any of several software versions")

// ErrOtherSoftware reports that an answer may come from another software version than the one that
// began its stream.
var ErrOtherSoftware = errors.New("answer may be of another software version than its stream")

// requireSoftware is called before the first event of an attempt is relayed. If the event begins the
// stream, the software version of its replica becomes the only one allowed. Otherwise an error means
// that the event must not be relayed.
func (c *call) requireSoftware(use *replica.Use) error {
	confirmed := c.criteria.SoftwareVersion == nil || use.ConfirmSoftware()
	version, certain := use.SoftwareVersion(clock.Now())
	switch {
	case c.criteria.SoftwareVersion == nil:
		c.criteria.SoftwareVersion, c.softwareUncertain = &version, !certain
		c.recordOrigin()
		return nil
	case !confirmed || !certain || version != *c.criteria.SoftwareVersion:
		return outcome.AsUnknown(ErrOtherSoftware)
	case c.result.Events == 0:
		c.recordOrigin()
		return nil
	default:
		return nil
	}
}

// checkSoftware is called once an attempt that relayed events has ended. The replica may have been
// found to have restarted with another software version meanwhile.
func (c *call) checkSoftware(use *replica.Use) {
	if c.softwareUncertain || use.AnsweredBy(c.requiredSoftware()) {
		return
	}
	c.softwareUncertain = true
	c.recordOrigin()
}

// confirmSoftware is called before a stream that broke off is continued, by this node or by its caller. It
// waits until it is known which start of the replica sent the events, which takes long enough that the
// attempt has been reported before.
func (c *call) confirmSoftware() {
	use := c.interrupted
	c.interrupted = nil
	if use == nil || c.softwareUncertain || use.ConfirmSoftware() && use.AnsweredBy(c.requiredSoftware()) {
		return
	}
	c.softwareUncertain = true
	c.recordOrigin()
}

// requiredSoftware returns the software version that began the stream; empty if none has.
func (c *call) requiredSoftware() string {
	if c.criteria.SoftwareVersion == nil {
		return ""
	}
	return *c.criteria.SoftwareVersion
}

// streamID returns the ID of the stream that the request begins or continues.
func (c *call) streamID() streams.ID {
	if c.request.LastEventID > 0 {
		return streams.NewID(c.request.Tenant, c.request.Resumes)
	}
	return streams.NewID(c.request.Tenant, c.request.ID)
}

// recordOrigin stores the origin of the stream for the nodes that may have to continue it.
func (c *call) recordOrigin() {
	if c.forwarder.Origins == nil || !c.route.Resumable || c.request.LastEventID > 0 && c.request.Resumes == "" {
		return
	}
	until := c.deadline
	if !until.IsZero() {
		until = until.Add(originRetention)
	}
	origin := streams.Origin{Pool: c.result.Pool, SoftwareVersion: c.requiredSoftware(), Ambiguous: c.softwareUncertain}
	c.forwarder.Origins.Record(c.streamID(), origin, until)
}

// requireOrigin makes a request that continues a stream use the pool and the software version that
// began it. It returns ErrOriginUnknown or ErrOriginAmbiguous if it cannot.
func (c *call) requireOrigin(ctx context.Context) error {
	if c.forwarder.Origins == nil || c.route.Kind != route.Stream || c.request.LastEventID == 0 {
		return nil
	}
	origin, known := c.forwarder.Origins.Find(ctx, c.originQuery())
	isShare := func(share route.Share) bool { return share.Pool == origin.Pool }
	if !known || !slices.ContainsFunc(c.route.Shares, isShare) {
		return ErrOriginUnknown
	}
	if origin.Ambiguous {
		return ErrOriginAmbiguous
	}
	c.result.Pool, c.criteria.SoftwareVersion = origin.Pool, &origin.SoftwareVersion
	return nil
}

// originQuery returns the query for the origin of the stream that the request continues.
func (c *call) originQuery() streams.Query {
	query := streams.Query{Lifetime: unboundedStreamLifetime}
	if c.request.Resumes != "" {
		query.Named, query.ID, query.Name = true, c.streamID(), c.request.Resumes
	}
	if c.route.Timeout > 0 {
		query.Lifetime = max(minStreamLifetime, streamLifetimeFactor*c.route.Timeout)
	}
	isOther := func(share route.Share) bool { return share.Pool != c.result.Pool }
	if !slices.ContainsFunc(c.route.Shares, isOther) {
		query.Pool = c.result.Pool
	}
	return query
}
