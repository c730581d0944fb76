package lease

import (
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock/clocktest"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// Guards against a node that treats its session as confirmed after a suspension, during which other
// nodes may have ended it.
func TestSession_SinceConfirmedIncludesSuspension(t *testing.T) {
	machine := clocktest.New(t)
	session := NewSession(tabletest.New(), "a", testTiming)
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	if since := session.SinceConfirmed(); since > time.Second {
		t.Fatalf("unconfirmed for %v after the session was created", since)
	}
	for suspended := 300 * time.Millisecond; suspended < 5*time.Second; suspended += 300 * time.Millisecond {
		machine.Suspend(300 * time.Millisecond)
		if since := session.SinceConfirmed(); since < suspended {
			t.Fatalf("unconfirmed for %v after suspensions of %v", since, suspended)
		}
	}
	if err := session.Renew(t.Context()); err != nil {
		t.Fatal(err)
	}
	if since := session.SinceConfirmed(); since > time.Second {
		t.Fatalf("unconfirmed for %v after a renewal", since)
	}
}
