package forward

import (
	"context"
	"net/http"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// recordingGuard records the replicas whose answers were reported as interrupted. All replicas have ended if
// ended is set.
type recordingGuard struct {
	interrupted []quarantine.Replica
	ended       bool
}

func (g *recordingGuard) RefuseRequest(context.Context, func() quarantine.Work) (*quarantine.Trial, error) {
	return nil, nil
}
func (g *recordingGuard) RefuseParts(context.Context, func() []quarantine.Work, func() quarantine.Work) (*quarantine.Trial, error) {
	return nil, nil
}
func (g *recordingGuard) RecordPartSuccess([]quarantine.Work) {}
func (g *recordingGuard) RecordSuccess(quarantine.Work)       {}
func (g *recordingGuard) InterruptTrial(quarantine.Trial)     {}
func (g *recordingGuard) EndTrial(quarantine.Trial)           {}
func (g *recordingGuard) ClaimReplica(context.Context, quarantine.Trial, string) bool {
	return true
}
func (g *recordingGuard) ClaimedReplicas() map[string]bool                  { return nil }
func (g *recordingGuard) HasEnded(context.Context, quarantine.Replica) bool { return g.ended }
func (g *recordingGuard) IsLeaving(quarantine.Replica) bool                 { return false }
func (g *recordingGuard) RecordInterruption(_ context.Context, interrupted quarantine.Replica, _ quarantine.Run) {
	g.interrupted = append(g.interrupted, interrupted)
}

// TestRestart_ReportsCrashedInstanceToQuarantine checks that the instance that ran the request is
// reported, not its successor.
func TestRestart_ReportsCrashedInstanceToQuarantine(t *testing.T) {
	forwarder, guard := forwarderWithStartTimes(nil, 2), &recordingGuard{}
	backend := &scriptedBackend{}
	backend.answer = func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number > 1 {
			return streamAnswer(events(1, 2)), nil
		}
		announceStart(forwarder, attempt.Replica.ID, 2000, attempt.Replica.Address)
		return silentStream(ctx, ""), nil
	}
	forwarder.Backend, forwarder.Quarantine = backend, guard
	if _, _, err := do(t, forwarder, patientRoute(route.Stream, true, 2)); err != nil {
		t.Fatal(err)
	}
	if len(guard.interrupted) != 1 || guard.interrupted[0].StartedUnixMs != 1000 {
		t.Errorf("reported %+v", guard.interrupted)
	}
}

// Guards against answers without a length or chunks that count as complete though their replica crashed: a
// stream goes on elsewhere, and a buffered answer is asked for again.
func TestDo_UnframedAnswerEndsWithItsReplica(t *testing.T) {
	for name, kind := range map[string]route.Kind{"stream": route.Stream, "buffered": route.Repeatable} {
		t.Run(name, func(t *testing.T) {
			guard := &recordingGuard{ended: true}
			forwarder, backend := forwarderWithStartTimes(nil, 2), &scriptedBackend{}
			backend.answer = func(_ context.Context, attempt *Attempt, number int) (*Answer, error) {
				answer := bufferedAnswer(http.StatusOK, "half")
				if kind == route.Stream {
					answer = streamAnswer(events(attempt.LastEventID+1, 2*number))
				}
				answer.Unframed = number == 1
				return answer, nil
			}
			forwarder.Backend, forwarder.Quarantine = backend, guard
			_, result, err := do(t, forwarder, patientRoute(kind, true, 2))
			if err != nil || result.Attempts != 2 || len(guard.interrupted) != 1 {
				t.Fatalf("%d attempts, %d interrupted, %v", result.Attempts, len(guard.interrupted), err)
			}
		})
	}
}

// Guards against a whole stream that fails since its replica ended right after it: what another replica has to
// add is nothing.
func TestDo_WholeUnframedStreamBeforeTheEndOfItsReplica(t *testing.T) {
	forwarder, backend := forwarderWithStartTimes(nil, 2), &scriptedBackend{}
	backend.answer = func(_ context.Context, attempt *Attempt, number int) (*Answer, error) {
		answer := streamAnswer(events(attempt.LastEventID+1, 4))
		answer.Unframed = number == 1
		return answer, nil
	}
	forwarder.Backend, forwarder.Quarantine = backend, &recordingGuard{ended: true}
	sink, result, err := do(t, forwarder, patientRoute(route.Stream, true, 2))
	if err != nil || result.Attempts != 2 || sink.body.String() != events(1, 4) {
		t.Fatalf("%d attempts, %q, %v", result.Attempts, sink.body.String(), err)
	}
}
