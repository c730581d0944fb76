// Package forward carries one opaque request to a replica and its answer back.
//
// Every attempt ends as done, not run, or unknown (package outcome). A request
// is sent anew only if the last attempt provably did not run, or if its route
// lets it run again. Events are passed on whole, so that a stream that broke
// off goes on at another replica after the last event, without a seam.
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
	// ErrCallerDisconnected reports that the caller went away.
	ErrCallerDisconnected = errors.New("caller left")
	// ErrTimeout reports that the time for the request was over.
	ErrTimeout = errors.New("time is over")
	// ErrBusy reports that no replica had room in time.
	ErrBusy = errors.New("no replica had room in time")
	// ErrRefused reports that a replica turned the request away; it did not run.
	ErrRefused = errors.New("replica refused the request")
	// ErrMoved reports that another replica has the address; the request did not run.
	ErrMoved = errors.New("another replica has this address")
	// ErrUnreachable reports that no connection came up; the request did not run.
	ErrUnreachable = errors.New("replica unreachable")
	// ErrBroken reports that an answer broke off, was wrong or never came.
	ErrBroken = errors.New("replica answer broke off")
	// ErrSilent reports that a replica said nothing for too long.
	ErrSilent = errors.New("replica is silent")
	// ErrRestarted reports that a replica has started again since the request was sent.
	ErrRestarted = errors.New("replica has started again since")
	// ErrStalled reports that nothing came of one answer for too long, while the replica
	// may answer others: its connection may be dead.
	ErrStalled = errors.New("answer stalled")
)

// CanceledAsUnresponsive reports whether the context of an attempt was ended because nothing came: its
// connection may be dead, and those that rest with it.
func CanceledAsUnresponsive(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, ErrSilent) || errors.Is(cause, ErrStalled)
}

// Request is an opaque request of a route.
type Request struct {
	// ID is the caller's request id, passed on unchanged.
	ID     string
	Method string
	// Target is the path with its query, passed on unchanged.
	Target string
	Host   string
	// Header holds the headers to pass on.
	Header http.Header
	Body   []byte
	Prompt route.Prompt
	// LastEventID is the last event that the caller has; 0 for none.
	LastEventID int
	// AtMostOnce requests are never sent again once they may have run, whatever their
	// route says.
	AtMostOnce bool
	// Batch requests give way to others.
	Batch bool
	// Tenant names the caller; empty where callers are not told apart.
	Tenant string
	// Regions are where the caller allows the request to be served; nil is anywhere. Those
	// of the route bind beside them.
	Regions place.Regions
	// Received is when the request came in.
	Received time.Time
	// Deadline is when the caller stops waiting; zero if it did not say.
	Deadline time.Time

	// work is what Work has returned; nil until it is asked for.
	work *quarantine.Work
}

// Work identifies what the request asks for, under whatever id it comes. The body is hashed
// once, however often it is asked. It is not safe for concurrent use.
func (r *Request) Work() quarantine.Work {
	if r.work == nil {
		content := quarantine.Content{Caller: r.Tenant, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}
		work := content.Work()
		r.work = &work
	}
	return *r.work
}

// Attempt is one sending of a request to one replica.
type Attempt struct {
	Request *Request
	Replica replica.Info
	// LastEventID is the last event passed on so far; 0 for none.
	LastEventID int
	// Deadline is when the replica may stop.
	Deadline time.Time
	// Reservation names the slot set aside for the request; empty if there is none.
	Reservation string
}

// Answer is a replica's answer whose head has arrived.
type Answer struct {
	Status int
	Header http.Header
	// EventStream tells that the body is a stream of events.
	EventStream bool
	// Load is what the replica said of its load; nil if it said nothing.
	Load *replica.Load
	// ColdLeft is how long the replica says that it is cold yet; 0 if it said nothing.
	ColdLeft time.Duration
	// Body must be closed. Closing it before its end breaks the answer off.
	Body io.ReadCloser
}

// Backend sends attempts. The outcome of its errors (package outcome) tells
// whether the request may have run. It is safe for concurrent use.
type Backend interface {
	Send(ctx context.Context, attempt *Attempt) (*Answer, error)
}

// Reserver sets slots of replicas aside for requests about to be sent. It is safe
// for concurrent use.
type Reserver interface {
	// Reserve sets a free slot, and memory for so many tokens, aside for as long as
	// said and returns the name of the reservation, which lapses by itself. It returns
	// ErrRefused if the replica has none.
	Reserve(ctx context.Context, replica replica.Info, tokens int, hold time.Duration) (string, error)
}

// Sink takes an answer for the caller. Its errors mean that the caller left.
type Sink interface {
	// Head is called once, before any Write.
	Head(status int, header http.Header) error
	// Write passes on a piece of the body. It returns when the piece is sent
	// or, with more set, may wait for the next one.
	Write(chunk []byte, more bool) error
}

// Result tells how a request ended, for logs and metrics.
type Result struct {
	Pool    string
	Replica string
	// Region is that of the replica, Distance how far it is from this node.
	Region   string
	Distance place.Distance
	Status   int
	Attempts int
	// Refusals counts replicas that turned the request away unrun.
	Refusals int
	Events   int
	// HeadSent tells that the head of an answer has been passed on.
	HeadSent bool
	// TimeToFirstByte is the time from receipt to the first byte of the body.
	TimeToFirstByte time.Duration
	// MaxGap is the longest pause between two events.
	MaxGap time.Duration
}
