package forward

import (
	"context"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// recordingGuard records the replicas whose answers were reported as interrupted.
type recordingGuard struct{ interrupted []quarantine.Replica }

func (g *recordingGuard) RefuseRequest(context.Context, func() quarantine.Work) (*quarantine.Trial, error) {
	return nil, nil
}
func (g *recordingGuard) RecordSuccess(quarantine.Work)   {}
func (g *recordingGuard) InterruptTrial(quarantine.Trial) {}
func (g *recordingGuard) EndTrial(quarantine.Trial)       {}
func (g *recordingGuard) ClaimReplica(context.Context, quarantine.Trial, string) bool {
	return true
}
func (g *recordingGuard) ClaimedReplicas() map[string]bool { return nil }
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
