package forward

import (
	"context"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// toldGuard records what the quarantine is told.
type toldGuard struct{ broken []quarantine.Replica }

func (g *toldGuard) RefuseRequest(context.Context, func() quarantine.Work) error { return nil }
func (g *toldGuard) Refuse(func() quarantine.Work) error                         { return nil }
func (g *toldGuard) RecordSuccess(quarantine.Work)                               {}
func (g *toldGuard) RecordInterruption(_ context.Context, broken quarantine.Replica, _ quarantine.Run) {
	g.broken = append(g.broken, broken)
}

// TestRestart_TheQuarantineIsToldWhichStartEnded: what ran there may have ended it.
func TestRestart_TheQuarantineIsToldWhichStartEnded(t *testing.T) {
	forwarder, guard := startingForwarder(nil, 2), &toldGuard{}
	backend := &scriptedBackend{}
	backend.answer = func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number > 1 {
			return streamOf(events(1, 2)), nil
		}
		listStart(forwarder, attempt.Replica.ID, 2000, attempt.Replica.Address)
		return silentStream(ctx, ""), nil
	}
	forwarder.Backend, forwarder.Quarantine = backend, guard
	if _, _, err := do(t, forwarder, patient(route.Stream, true, 2)); err != nil {
		t.Fatal(err)
	}
	if len(guard.broken) != 1 || guard.broken[0].StartTime != 1000 {
		t.Errorf("told %+v", guard.broken)
	}
}
