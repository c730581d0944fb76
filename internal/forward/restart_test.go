package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// leftWithin is how soon an attempt must be left after the start is known, on a busy machine.
const leftWithin = restartGraces*restartGrace + 500*time.Millisecond

// listStart lists a replica at a start.
func listStart(forwarder *Forwarder, id string, born int64, address string) {
	forwarder.Replicas.Put(replica.Info{ID: id, Pool: testPool, Address: address, Slots: 4, StartedUnixMs: born})
}

// startingForwarder returns a forwarder whose replicas say when they started.
func startingForwarder(backend Backend, replicas int) *Forwarder {
	forwarder := newForwarder(backend, 0)
	for i := range replicas {
		id := fmt.Sprintf("r%d", i)
		listStart(forwarder, id, 1000, id)
	}
	return forwarder
}

// silentStream answers with the first events and then says nothing until the attempt ends.
func silentStream(ctx context.Context, text string) *Answer {
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, text)
		<-ctx.Done()
		writer.CloseWithError(ctx.Err())
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Events: true, Body: reader}
}

// patient returns a route whose attempts are not left for silence in the time of a test.
func patient(kind route.Kind, resumable bool, attempts int) *route.Route {
	target := routeOf(kind, resumable, attempts)
	target.Timeout, target.Objective, target.Gap = 10*time.Second, 5*time.Second, 5*time.Second
	return target
}

func TestRestart_AStreamGoesOnElsewhereAtOnce(t *testing.T) {
	forwarder := startingForwarder(nil, 3)
	var told time.Time
	backend := &scriptedBackend{}
	backend.answer = func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number > 1 {
			return streamOf(events(attempt.After+1, 6)), nil
		}
		time.AfterFunc(2*restartGrace, func() {
			told = time.Now()
			// The clock of its machine has stepped back.
			listStart(forwarder, attempt.Replica.ID, 900, attempt.Replica.Address)
		})
		return silentStream(ctx, events(1, 3)), nil
	}
	forwarder.Backend = backend
	sink, result, err := do(t, forwarder, patient(route.Stream, true, 2))
	if err != nil || sink.body.String() != events(1, 6) || result.Attempts != 2 {
		t.Fatalf("caller got %q after %d attempts, %v", sink.body.String(), result.Attempts, err)
	}
	if took := time.Since(told); took > restartGrace {
		t.Errorf("went on %v after the start was known", took)
	}
}

// TestRestart_WhatMayNotRepeatEndsAsUndecided: it may have run at the start before.
func TestRestart_WhatMayNotRepeatEndsAsUndecided(t *testing.T) {
	for _, target := range []*route.Route{patient(route.Stream, false, 3), patient(route.Once, false, 3)} {
		forwarder := startingForwarder(nil, 3)
		var told time.Time
		backend := &scriptedBackend{}
		backend.answer = func(ctx context.Context, attempt *Attempt, _ int) (*Answer, error) {
			time.AfterFunc(50*time.Millisecond, func() {
				told = time.Now()
				listStart(forwarder, attempt.Replica.ID, 2000, attempt.Replica.Address)
			})
			<-ctx.Done()
			return nil, outcome.Undecided(fmt.Errorf("%w: %w", ErrBroken, ctx.Err()))
		}
		forwarder.Backend = backend
		_, _, err := do(t, forwarder, target)
		if len(backend.sent) != 1 || outcome.Of(err) != outcome.Unknown || !errors.Is(err, ErrRestarted) {
			t.Fatalf("%s was sent %d times, %v", target.Kind, len(backend.sent), err)
		}
		if took := time.Since(told); took > leftWithin {
			t.Errorf("%s ended %v after the start was known", target.Kind, took)
		}
	}
}

// TestRestart_AnAnswerThatGoesOnIsThatOfTheNewOne: the list tells late of a start.
func TestRestart_AnAnswerThatGoesOnIsThatOfTheNewOne(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		forwarder := startingForwarder(nil, 3)
		backend := &scriptedBackend{}
		backend.answer = func(_ context.Context, attempt *Attempt, _ int) (*Answer, error) {
			reader, writer := io.Pipe()
			go func() {
				for id := 1; id <= 20; id++ {
					if id == 4 {
						listStart(forwarder, attempt.Replica.ID, 2000, attempt.Replica.Address)
					}
					_, _ = io.WriteString(writer, events(id, id))
					time.Sleep(restartGrace / 6)
				}
				_ = writer.Close()
			}()
			return &Answer{Status: http.StatusOK, Header: http.Header{}, Events: true, Body: reader}, nil
		}
		forwarder.Backend = backend
		sink, result, err := do(t, forwarder, patient(route.Stream, resumable, 3))
		if err != nil || result.Attempts != 1 || sink.body.String() != events(1, 20) {
			t.Errorf("resumable %v: caller got %d bytes after %d attempts, %v", resumable, sink.body.Len(), result.Attempts, err)
		}
	}
}

// TestRestart_WhatSurelyDidNotRunIsSentAgain: the connection came up at neither start.
func TestRestart_WhatSurelyDidNotRunIsSentAgain(t *testing.T) {
	forwarder := startingForwarder(nil, 3)
	backend := &scriptedBackend{}
	backend.answer = func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number > 1 {
			return wholeOf(http.StatusOK, "body"), nil
		}
		listStart(forwarder, attempt.Replica.ID, 2000, attempt.Replica.Address)
		<-ctx.Done()
		return nil, outcome.Failed(fmt.Errorf("%w: %w", ErrUnreachable, ctx.Err()))
	}
	forwarder.Backend = backend
	sink, _, err := do(t, forwarder, patient(route.Once, false, 1))
	if err != nil || sink.body.String() != "body" {
		t.Fatalf("caller got %q, %v", sink.body.String(), err)
	}
}

// TestRestart_BetweenChoiceAndSending: what is sent goes to the start that is known now.
func TestRestart_BetweenChoiceAndSending(t *testing.T) {
	backend := answerAll()
	forwarder := startingForwarder(backend, 1)
	now := time.Now()
	for range 4 {
		forwarder.Replicas.Begin("r0", replica.RequestInfo{}, now)
	}
	listStart(forwarder, "r1", 1000, "r1")
	for range 4 {
		forwarder.Replicas.Begin("r1", replica.RequestInfo{}, now)
	}
	reserver := &scriptedReserver{}
	reserver.answer = func(id string) (string, error) {
		listStart(forwarder, id, 2000, "new-"+id)
		return "slot-at-the-start-before", nil
	}
	forwarder.Reserver = reserver
	forwarder.Replicas.Divide("a", nowhere("a", "b"))
	if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
		t.Fatal(err)
	}
	for _, sent := range backend.sent {
		if sent.Replica.StartedUnixMs == 1000 && strings.HasPrefix(sent.Replica.Address, "new-") || sent.Reservation != "" && sent.Replica.StartedUnixMs == 1000 {
			t.Errorf("sent %+v with %q", sent.Replica, sent.Reservation)
		}
		if known, _ := forwarder.Replicas.Get(sent.Replica.ID); known.Address != sent.Replica.Address {
			t.Errorf("sent to %s, the replica is at %s", sent.Replica.Address, known.Address)
		}
	}
}
