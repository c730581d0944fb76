package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// putVersioned lists replicas with the given software versions.
func putVersioned(set *replica.Set, versions map[string]string) {
	for id, version := range versions {
		set.Put(replica.Info{ID: id, Pool: testPool, Address: id, Slots: 4, StartedUnixMs: 1, SoftwareVersion: version})
	}
}

// newVersionedForwarder returns a forwarder with replicas of the given software versions, by ID.
func newVersionedForwarder(backend Backend, versions map[string]string) *Forwarder {
	forwarder := newForwarder(backend, 0)
	putVersioned(forwarder.Replicas, versions)
	return forwarder
}

// Guards against an answer that continues at a replica of another software version, and against one
// that waits for a version which no replica runs.
func TestDo_BrokenStreamEndsAtOnceIfItsSoftwareVersionIsGone(t *testing.T) {
	versions := map[string]string{"a": "v1", "b": "v2", "c": "v3"}
	var forwarder *Forwarder
	backend := &scriptedBackend{answer: func(_ context.Context, attempt *Attempt, _ int) (*Answer, error) {
		forwarder.Replicas.Put(replica.Info{ID: attempt.Replica.ID, Pool: testPool, Address: attempt.Replica.Address, Slots: 4, StartedUnixMs: 1, SoftwareVersion: attempt.Replica.SoftwareVersion, Leaving: true})
		return streamAnswer(events(1, 3) + "id"), nil
	}}
	forwarder = newVersionedForwarder(backend, versions)
	began := time.Now()
	sink, result, err := do(t, forwarder, routeOf(route.Stream, true, 3))
	if sink.body.String() != events(1, 3) || len(backend.sent) != 1 || outcome.Of(err) != outcome.Unknown {
		t.Fatalf("caller got %q after %d attempts, %v", sink.body.String(), len(backend.sent), err)
	}
	if took := time.Since(began); took > time.Second || !result.HeadSent {
		t.Fatalf("the answer ended after %v", took)
	}
}

// Guards against a retry before the first event that is held to the software version of the replica
// which failed.
func TestDo_RetryBeforeTheFirstEventMayUseAnySoftwareVersion(t *testing.T) {
	backend := &scriptedBackend{answer: func(_ context.Context, _ *Attempt, number int) (*Answer, error) {
		if number == 1 {
			return nil, outcome.AsUnknown(ErrBroken)
		}
		return streamAnswer(events(1, 6)), nil
	}}
	sink, _, err := do(t, newVersionedForwarder(backend, map[string]string{"a": "v1", "b": "v2"}), routeOf(route.Stream, true, 2))
	if err != nil || sink.body.String() != events(1, 6) {
		t.Fatalf("caller got %q, %v", sink.body.String(), err)
	}
}

// Guards against continuing a stream that may have begun at either of two starts of a replica, of
// different software versions.
func TestDo_StreamOfAReplicaThatRestartedWithOtherSoftwareIsNotContinued(t *testing.T) {
	var forwarder *Forwarder
	backend := &scriptedBackend{answer: func(_ context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number == 1 {
			body := &callbackBody{text: events(1, 3) + "id", atEnd: func() {
				forwarder.Replicas.Put(replica.Info{ID: attempt.Replica.ID, Pool: testPool, Address: attempt.Replica.Address, Slots: 4, StartedUnixMs: 2, SoftwareVersion: "v2"})
			}}
			return &Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true, Body: body}, nil
		}
		return streamAnswer(events(attempt.LastEventID+1, 6)), nil
	}}
	forwarder = newVersionedForwarder(backend, map[string]string{"a": "v1", "b": "v1", "c": "v1"})
	sink, _, err := do(t, forwarder, routeOf(route.Stream, true, 3))
	if sink.body.String() != events(1, 3) || len(backend.sent) != 1 || !errors.Is(err, ErrBroken) && !errors.Is(err, ErrRestarted) {
		t.Fatalf("caller got %q after %d attempts, %v", sink.body.String(), len(backend.sent), err)
	}
}

// callbackBody is a body that calls atEnd before it ends.
type callbackBody struct {
	text  string
	atEnd func()
}

// Read implements io.Reader.
func (b *callbackBody) Read(into []byte) (int, error) {
	if b.text == "" {
		b.atEnd()
		return 0, errors.New("connection reset")
	}
	read := copy(into, b.text)
	b.text = b.text[read:]
	return read, nil
}

// Close implements io.Closer.
func (*callbackBody) Close() error { return nil }

// Guards against a stream that goes on at a replica which has restarted under its ID with other software,
// or began at one, before the list shows it.
func TestDo_StreamIsNotMixedByARestartThatIsListedLater(t *testing.T) {
	for _, restarted := range []int{1, 2} {
		var forwarder *Forwarder
		started := time.Now()
		backend := &scriptedBackend{answer: func(_ context.Context, attempt *Attempt, number int) (*Answer, error) {
			answer := streamAnswer(events(attempt.LastEventID+1, 6))
			if number == 1 {
				answer = streamAnswer(events(1, 3) + "id")
				answer.Body = &callbackBody{text: events(1, 3) + "id", atEnd: func() {}}
			}
			answer.ConnectedAt = time.Now()
			if number == restarted {
				time.AfterFunc(100*time.Millisecond, func() {
					forwarder.Replicas.Put(replica.Info{ID: attempt.Replica.ID, Pool: testPool, Address: attempt.Replica.Address, Slots: 4, StartedUnixMs: 2, SoftwareVersion: "v2"})
				})
			}
			time.AfterFunc(500*time.Millisecond, func() { forwarder.Replicas.SetListTime(time.Now(), time.Now()) })
			return answer, nil
		}}
		forwarder = newVersionedForwarder(backend, map[string]string{"a": "v1", "b": "v1", "c": "v1", "d": "v2"})
		forwarder.Replicas.Remove("d", time.Now())
		forwarder.Replicas.SetListTime(started, started)
		sink, _, err := do(t, forwarder, routeOf(route.Stream, true, 2))
		if sink.body.String() != events(1, 3) || err == nil {
			t.Errorf("attempt %d at a restarted replica: caller got %q after %d attempts, %v", restarted, sink.body.String(), len(backend.sent), err)
		}
	}
}

// timingGuard records when interruptions are reported.
type timingGuard struct {
	recordingGuard
	reportedAt []time.Time
}

// RecordInterruption implements Quarantine.
func (g *timingGuard) RecordInterruption(ctx context.Context, interrupted quarantine.Replica, run quarantine.Run) {
	g.reportedAt = append(g.reportedAt, time.Now())
	g.recordingGuard.RecordInterruption(ctx, interrupted, run)
}

// Guards against a crash that is reported only once it is known which start of the replica answered.
func TestDo_InterruptionIsReportedBeforeItsSoftwareIsConfirmed(t *testing.T) {
	const confirmedAfter = 600 * time.Millisecond
	backend := &scriptedBackend{answer: func(_ context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number > 1 {
			return streamAnswer(events(attempt.LastEventID+1, 6)), nil
		}
		body := &callbackBody{text: events(1, 3) + "id", atEnd: func() {}}
		return &Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true, Body: body, ConnectedAt: time.Now()}, nil
	}}
	forwarder := newVersionedForwarder(backend, map[string]string{"a": "v1", "b": "v1", "c": "v1", "d": "v2"})
	forwarder.Replicas.Remove("d", time.Now())
	guard := &timingGuard{}
	forwarder.Quarantine = guard
	began := time.Now()
	forwarder.Replicas.SetListTime(began, began)
	time.AfterFunc(confirmedAfter, func() { forwarder.Replicas.SetListTime(time.Now(), time.Now()) })
	sink, _, err := do(t, forwarder, routeOf(route.Stream, true, 2))
	if err != nil || sink.body.String() != events(1, 6) || time.Since(began) < confirmedAfter {
		t.Fatalf("caller got %q after %v, %v", sink.body.String(), time.Since(began), err)
	}
	if len(guard.reportedAt) != 1 || guard.reportedAt[0].Sub(began) > confirmedAfter/2 {
		t.Errorf("interruptions reported at %v, the request began at %v", guard.reportedAt, began)
	}
}
