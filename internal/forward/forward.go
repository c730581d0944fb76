// Package forward sends one opaque request to a replica and relays its answer to the caller.
//
// Every attempt ends as done, not run or unknown (see package outcome). A request is retried only
// if the last attempt provably did not run, or if its route allows repeated runs. Events are
// relayed whole, so a stream that breaks can resume at another replica after the last complete
// event.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// Error is the class of all errors of this package.
var Error = errs.Class("forward")

var (
	// ErrCallerDisconnected reports that the caller closed the connection.
	ErrCallerDisconnected = errors.New("caller disconnected")
	// ErrTimeout reports that the request's deadline passed.
	ErrTimeout = errors.New("time is over")
	// ErrBusy reports that no replica had capacity before the deadline.
	ErrBusy = errors.New("no replica had room in time")
	// ErrRefused reports that a replica rejected the request without running it.
	ErrRefused = errors.New("replica refused the request")
	// ErrMoved reports that the address now belongs to another replica; the request did not run.
	ErrMoved = errors.New("another replica has this address")
	// ErrUnreachable reports that no connection was established; the request did not run.
	ErrUnreachable = errors.New("replica unreachable")
	// ErrNotAccepted reports that no connection was established in time, because the replica or the path
	// to it is gone or pauses; the request did not run. Such an error is ErrUnreachable too.
	ErrNotAccepted = errors.New("no connection in time")
	// ErrBroken reports that an answer was truncated, invalid or missing.
	ErrBroken = errors.New("replica answer broke off")
	// ErrSilent reports that a replica sent nothing to any request for too long.
	ErrSilent = errors.New("replica is silent")
	// ErrRestarted reports that the replica has restarted since the request was sent.
	ErrRestarted = errors.New("replica has started again since")
	// ErrStalled reports that one answer made no progress for too long while the replica may still
	// answer other requests. Its connection may be dead.
	ErrStalled = errors.New("answer stalled")
)

// CanceledAsUnresponsive reports whether the context of an attempt was canceled because no data
// arrived. The connection may be dead, and so may idle connections to the same replica.
func CanceledAsUnresponsive(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, ErrSilent) || errors.Is(cause, ErrStalled)
}

// Request is an opaque request to a route.
type Request struct {
	// ID is the caller's request ID, passed on unchanged.
	ID     string
	Method string
	// Target is the path and query, passed on unchanged.
	Target string
	Host   string
	// Header holds the headers to pass on.
	Header http.Header
	Body   []byte
	Prompt route.Prompt
	// LastEventID is the last event that the caller has received; 0 if none.
	LastEventID int
	// Resumes is the ID of the caller's request that received the first event of the stream that
	// this request continues; empty if the caller names none.
	Resumes string
	// AtMostOnce forbids another attempt once the request may have run, whatever the route allows.
	AtMostOnce bool
	// Batch marks requests of lower priority, which yield to online requests.
	Batch bool
	// Tenant names the caller; empty if callers are not authenticated.
	Tenant string
	// Regions are the regions in which the caller allows the request to be served; nil allows any.
	// The route's regions apply as well.
	Regions place.Regions
	// Received is when the request arrived.
	Received time.Time
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time

	// work caches the result of Work; nil until the first call.
	work *quarantine.Work
}

// Work identifies the content of the request independently of its ID. The body is hashed only once.
// Work is not safe for concurrent use.
func (r *Request) Work() quarantine.Work {
	if r.work == nil {
		content := quarantine.Content{Caller: r.Tenant, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}
		work := content.Work()
		r.work = &work
	}
	return *r.work
}

// SharedParts identifies the parts of the prompt that other requests to the pool may hold too.
func (r *Request) SharedParts(pool string) []quarantine.Work {
	shared := r.Prompt.SharedParts()
	parts := make([]quarantine.Work, len(shared))
	for i, part := range shared {
		parts[i] = quarantine.PartOf(pool, part.Key)
	}
	return parts
}

// Attempt is one transmission of a request to one replica.
type Attempt struct {
	Request *Request
	Replica replica.Info
	// LastEventID is the last event relayed so far; 0 if none.
	LastEventID int
	// Deadline is when the replica may stop working on the request.
	Deadline time.Time
	// Reservation identifies the slot reserved for the request; empty if there is none.
	Reservation string
}

// Answer is a replica's answer once its header has arrived.
type Answer struct {
	Status int
	Header http.Header
	// EventStream reports whether the body is a stream of server-sent events.
	EventStream bool
	// Unframed reports that the body has neither a length nor chunks, so that its end may also be that
	// of its replica.
	Unframed bool
	// Load is the load that the replica reported with the answer; nil if none.
	Load *replica.Load
	// ColdLeft is how long the replica expects to remain cold; 0 if not reported.
	ColdLeft time.Duration
	// ConnectedAt is when the connection that carries the answer was opened; zero if unknown.
	ConnectedAt time.Time
	// Body must be closed. Closing it before its end aborts the answer.
	Body io.ReadCloser
}

// Backend sends attempts. The outcome of its errors (see package outcome) states whether the
// request may have run. A Backend is safe for concurrent use.
type Backend interface {
	Send(ctx context.Context, attempt *Attempt) (*Answer, error)
}

// Reserver reserves slots at replicas for requests about to be sent. A Reserver is safe for
// concurrent use.
type Reserver interface {
	// Reserve reserves a free slot and memory for the given number of tokens and returns the ID of
	// the reservation, which expires after ttl. It returns ErrRefused if the replica has no free
	// slot.
	Reserve(ctx context.Context, replica replica.Info, tokens int, ttl time.Duration) (string, error)
}

// Sink writes an answer to the caller. Its errors mean that the caller disconnected.
type Sink interface {
	// Head is called once, before any Write.
	Head(status int, header http.Header) error
	// Write relays a part of the body. It returns once the part has been sent. If more is true, the
	// part may be buffered until the next call.
	Write(chunk []byte, more bool) error
}

// Result describes how a request ended, for logs and metrics.
type Result struct {
	Pool    string
	Replica string
	// Region is the replica's region; Distance is its distance from this node.
	Region   string
	Distance place.Distance
	Status   int
	Attempts int
	// Refusals counts the attempts that provably did not run.
	Refusals int
	Events   int
	// HeadSent reports whether the header of an answer has been relayed.
	HeadSent bool
	// TimeToFirstByte is measured from the receipt of the request to the first byte of the body.
	TimeToFirstByte time.Duration
	// MaxGap is the longest pause between two events.
	MaxGap time.Duration
}
