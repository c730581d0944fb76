package lease

import (
	"context"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// slowTable makes commits whose responses are given up: the call ends without a response when its
// context does, and the store makes the change all the same.
type slowTable struct {
	*tabletest.Table
	slow bool
	// commits counts the commits, reads the reads of one row.
	commits, reads int
}

func (s *slowTable) Commit(ctx context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	s.commits++
	versions, err := s.Table.Commit(ctx, operation, writes...)
	if s.slow {
		<-ctx.Done()
		return nil, outcome.AsUnknown(ctx.Err())
	}
	return versions, err
}

func (s *slowTable) Get(ctx context.Context, key table.Key) (table.Row, error) {
	s.reads++
	if ctx.Err() != nil {
		return table.Row{}, outcome.AsUnknown(ctx.Err())
	}
	return s.Table.Get(ctx, key)
}

// Guards against a session that its node does not know of: at the start of a large fleet the partition
// of the member rows makes a node wait longer than it does, the row is created all the same, and unless
// the node finds it, others end it and the node creates it again, for all nodes and for good.
func TestSession_CreatedAfterResponseWasGivenUp(t *testing.T) {
	shared := &slowTable{Table: tabletest.New(), slow: true}
	session := NewSession(shared, "a", Timing{TimeToLive: 300 * time.Millisecond, RenewInterval: 100 * time.Millisecond})
	session.MemberPartition = memberGroup
	if err := session.Ensure(t.Context()); err == nil {
		t.Fatal("a creation without a response succeeded")
	}
	if session.SinceConfirmed() > time.Second {
		t.Error("the node does not know that its session exists")
	}
	shared.slow = false
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := session.Renew(t.Context()); err != nil {
		t.Errorf("the session cannot be renewed: %v", err)
	}
	if shared.commits != 2 {
		t.Errorf("%d commits, want one creation and one renewal", shared.commits)
	}
	if err := session.End(t.Context()); err != nil {
		t.Errorf("the session cannot be ended: %v", err)
	}
}

// Guards against watchers that keep an overloaded store overloaded: one that is refused pauses, though
// many sessions have expired.
func TestRoster_EndingPausesWhenThrottled(t *testing.T) {
	f := newFleet(t, 40)
	f.advance(2)
	for i := range 10 {
		f.dead[i*4+1] = true
	}
	attempts := 0
	f.shared.CommitFault = func(writes []table.Write) tabletest.Fault {
		if writes[0].Kind != table.Delete {
			return tabletest.None
		}
		attempts++
		return tabletest.Throttled
	}
	f.advance(20)
	// Each of the 30 live nodes tries at most once in two seconds, though all sessions are overdue.
	if most := 30 * 17 / 2; attempts == 0 || attempts > most {
		t.Errorf("%d attempts in 20 s, want at most %d", attempts, most)
	}
	f.shared.CommitFault = nil
	f.advance(12)
	f.checkGone(f.dead)
}
