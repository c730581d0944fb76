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

// abandonWithin is the time within which an attempt must be canceled once the restart is known, on
// a busy machine.
const abandonWithin = restartGraceCount*restartGrace + 500*time.Millisecond

// announceStart lists a replica with the given start time.
func announceStart(forwarder *Forwarder, id string, startedAt int64, address string) {
	forwarder.Replicas.Put(replica.Info{ID: id, Pool: testPool, Address: address, Slots: 4, StartedUnixMs: startedAt})
}

// forwarderWithStartTimes returns a forwarder whose replicas report when they started.
func forwarderWithStartTimes(backend Backend, replicas int) *Forwarder {
	forwarder := newForwarder(backend, 0)
	for i := range replicas {
		id := fmt.Sprintf("r%d", i)
		announceStart(forwarder, id, 1000, id)
	}
	return forwarder
}

// silentStream sends the given text and then nothing until the attempt ends.
func silentStream(ctx context.Context, text string) *Answer {
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, text)
		<-ctx.Done()
		writer.CloseWithError(ctx.Err())
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true, Body: reader}
}

// patientRoute returns a route whose attempts are not canceled for silence during a test.
func patientRoute(kind route.Kind, resumable bool, attempts int) *route.Route {
	target := routeOf(kind, resumable, attempts)
	target.Timeout, target.Objective, target.Gap = 10*time.Second, 5*time.Second, 5*time.Second
	return target
}

func TestRestart_StreamResumesElsewhere(t *testing.T) {
	forwarder := forwarderWithStartTimes(nil, 3)
	var restartedAt time.Time
	backend := &scriptedBackend{}
	backend.answer = func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number > 1 {
			return streamAnswer(events(attempt.LastEventID+1, 6)), nil
		}
		time.AfterFunc(2*restartGrace, func() {
			restartedAt = time.Now()
			// The clock of the replica's machine has stepped back.
			announceStart(forwarder, attempt.Replica.ID, 900, attempt.Replica.Address)
		})
		return silentStream(ctx, events(1, 3)), nil
	}
	forwarder.Backend = backend
	sink, result, err := do(t, forwarder, patientRoute(route.Stream, true, 2))
	if err != nil || sink.body.String() != events(1, 6) || result.Attempts != 2 {
		t.Fatalf("caller got %q after %d attempts, %v", sink.body.String(), result.Attempts, err)
	}
	if took := time.Since(restartedAt); took > restartGrace {
		t.Errorf("resumed %v after the restart was known", took)
	}
}

// TestRestart_NonRepeatableRequestIsUnknown covers a request that may have run at the previous
// instance.
func TestRestart_NonRepeatableRequestIsUnknown(t *testing.T) {
	for _, target := range []*route.Route{patientRoute(route.Stream, false, 3), patientRoute(route.Once, false, 3)} {
		forwarder := forwarderWithStartTimes(nil, 3)
		var restartedAt time.Time
		backend := &scriptedBackend{}
		backend.answer = func(ctx context.Context, attempt *Attempt, _ int) (*Answer, error) {
			time.AfterFunc(50*time.Millisecond, func() {
				restartedAt = time.Now()
				announceStart(forwarder, attempt.Replica.ID, 2000, attempt.Replica.Address)
			})
			<-ctx.Done()
			return nil, outcome.AsUnknown(fmt.Errorf("%w: %w", ErrBroken, ctx.Err()))
		}
		forwarder.Backend = backend
		_, _, err := do(t, forwarder, target)
		if len(backend.sent) != 1 || outcome.Of(err) != outcome.Unknown || !errors.Is(err, ErrRestarted) {
			t.Fatalf("%s was sent %d times, %v", target.Kind, len(backend.sent), err)
		}
		if took := time.Since(restartedAt); took > abandonWithin {
			t.Errorf("%s ended %v after the restart was known", target.Kind, took)
		}
	}
}

// TestRestart_ProgressingAnswerIsKept covers a restart that the list reports late, while the new
// instance is already answering.
func TestRestart_ProgressingAnswerIsKept(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		forwarder := forwarderWithStartTimes(nil, 3)
		backend := &scriptedBackend{}
		backend.answer = func(_ context.Context, attempt *Attempt, _ int) (*Answer, error) {
			reader, writer := io.Pipe()
			go func() {
				for id := 1; id <= 20; id++ {
					if id == 4 {
						announceStart(forwarder, attempt.Replica.ID, 2000, attempt.Replica.Address)
					}
					_, _ = io.WriteString(writer, events(id, id))
					time.Sleep(restartGrace / 6)
				}
				_ = writer.Close()
			}()
			return &Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true, Body: reader}, nil
		}
		forwarder.Backend = backend
		sink, result, err := do(t, forwarder, patientRoute(route.Stream, resumable, 3))
		if err != nil || result.Attempts != 1 || sink.body.String() != events(1, 20) {
			t.Errorf("resumable %v: caller got %d bytes after %d attempts, %v", resumable, sink.body.Len(), result.Attempts, err)
		}
	}
}

// TestRestart_UnsentRequestIsRetried covers a connection that was established to neither instance.
func TestRestart_UnsentRequestIsRetried(t *testing.T) {
	forwarder := forwarderWithStartTimes(nil, 3)
	backend := &scriptedBackend{}
	backend.answer = func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number > 1 {
			return bufferedAnswer(http.StatusOK, "body"), nil
		}
		announceStart(forwarder, attempt.Replica.ID, 2000, attempt.Replica.Address)
		<-ctx.Done()
		return nil, outcome.AsNotDone(fmt.Errorf("%w: %w", ErrUnreachable, ctx.Err()))
	}
	forwarder.Backend = backend
	sink, _, err := do(t, forwarder, patientRoute(route.Once, false, 1))
	if err != nil || sink.body.String() != "body" {
		t.Fatalf("caller got %q, %v", sink.body.String(), err)
	}
}

// TestRestart_BetweenPickAndSend checks that a request is sent to the instance that is known when
// it is sent, not to the one that was picked.
func TestRestart_BetweenPickAndSend(t *testing.T) {
	backend := answerAll()
	forwarder := forwarderWithStartTimes(backend, 1)
	now := time.Now()
	for range 4 {
		forwarder.Replicas.Begin("r0", replica.RequestInfo{}, now)
	}
	announceStart(forwarder, "r1", 1000, "r1")
	for range 4 {
		forwarder.Replicas.Begin("r1", replica.RequestInfo{}, now)
	}
	reserver := &scriptedReserver{}
	reserver.answer = func(id string) (string, error) {
		announceStart(forwarder, id, 2000, "new-"+id)
		return "slot-at-the-start-before", nil
	}
	forwarder.Reserver = reserver
	forwarder.Replicas.Divide("a", nodesWithoutPlace("a", "b"))
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
