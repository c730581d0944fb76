package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// quietEvents ignores the events of a guard.
type quietEvents struct{ claims int }

func (*quietEvents) ReplicaCrashed(quarantine.CrashReport)    {}
func (*quietEvents) Cleared(quarantine.Verdict, time.Time)    {}
func (*quietEvents) Quarantined(quarantine.Verdict)           {}
func (*quietEvents) TrialBegun(quarantine.Verdict)            {}
func (e *quietEvents) ReplicaClaimed(quarantine.ReplicaClaim) { e.claims++ }
func (*quietEvents) ClaimDenied(quarantine.ReplicaClaim)      {}
func (*quietEvents) TrialInconclusive(quarantine.Work)        {}

// soleOwner grants all trials and claims itself.
type soleOwner struct{ list *quarantine.List }

func (soleOwner) Owns(quarantine.Work) bool                      { return true }
func (soleOwner) CanRequest() bool                               { return true }
func (soleOwner) Request(context.Context, quarantine.Trial) bool { return false }
func (soleOwner) Renew(quarantine.Trial, string)                 {}
func (soleOwner) End(quarantine.Trial, string)                   {}
func (o soleOwner) Claim(_ context.Context, c quarantine.ReplicaClaim) bool {
	return o.list.ClaimReplica(c, time.Now())
}

// TestDo_TrialsWithoutResultDoNotWithholdPool guards against one caller of quarantined work who leaves early,
// or whose work gets a 500, and repeats the request: each trial claims another replica.
func TestDo_TrialsWithoutResultDoNotWithholdPool(t *testing.T) {
	for name, patience := range map[string]time.Duration{"status 500": time.Hour, "caller leaves": quarantine.ClaimSettleTime / 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const replicas = 10
				list, events := &quarantine.List{}, &quietEvents{}
				guard := &quarantine.Guard{List: list, Events: events, Trials: soleOwner{list}}
				forwarder := newForwarder(&scriptedBackend{answer: func(ctx context.Context, _ *Attempt, _ int) (*Answer, error) {
					if ctx.Err() != nil {
						return nil, ctx.Err()
					}
					return bufferedAnswer(500, "failed"), nil
				}}, replicas)
				forwarder.Quarantine = guard
				request := &Request{ID: "q", Body: []byte("w")}
				for i := range 3 {
					sentAt := time.Now()
					time.Sleep(100 * time.Millisecond)
					list.Add(quarantine.CrashReport{Replica: fmt.Sprint("lost", i), At: time.Now(),
						Runs: []quarantine.Run{{Work: request.Work(), SentAt: sentAt}}}, time.Now())
				}
				began, most := time.Now(), 0
				for time.Since(began) < 3*time.Second {
					request.Received = time.Now()
					ctx, cancel := context.WithTimeout(t.Context(), patience)
					_, _ = forwarder.Do(ctx, patientRoute(route.Repeatable, true, 1), request, &recordingSink{})
					cancel()
					most = max(most, len(guard.ClaimedReplicas()))
				}
				time.Sleep(2 * slotReleaseDelay)
				if most > 1 {
					t.Errorf("one caller, one request at a time: %d of %d replicas claimed at once, %d claims told to all nodes in 3 s", most, replicas, events.claims)
				}
			})
		})
	}
}
