package quarantine

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestList_OneTrialClaimsReplica guards against two trials on one replica, the crash of which would not
// show which of the two works is harmful.
func TestList_OneTrialClaimsReplica(t *testing.T) {
	first, second := Trial{Work: work("first"), ID: 1}, Trial{Work: work("second"), ID: 2}
	claim := func(list *List, trial Trial, replica string, at time.Time) bool {
		return list.ClaimReplica(Claim{Trial: trial, Replica: replica, At: at}, at)
	}
	for _, test := range []struct {
		name string
		// end ends the claim of r by first at the given time, if it is to end.
		end func(list *List, at time.Time)
		at  time.Duration
		// free reports whether second may claim r then.
		free bool
	}{
		{"under way", func(*List, time.Time) {}, claimDuration - 1, false},
		{"expired", func(*List, time.Time) {}, claimDuration, true},
		{"repeated", func(list *List, at time.Time) { claim(list, first, "r", at.Add(-1)) }, claimDuration, false},
		{"succeeded", func(list *List, at time.Time) { list.Clear(first.Work, at) }, time.Second, true},
		{"other work succeeded", func(list *List, at time.Time) { list.Clear(work("other"), at) }, time.Second, false},
		{"moved to another replica", func(list *List, at time.Time) { claim(list, first, "s", at) }, time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var list List
			if list.ClaimedReplicas(start) != nil {
				t.Fatal("a replica is claimed at first")
			}
			if !claim(&list, first, "r", start) || !claim(&list, second, "other", start) {
				t.Fatal("claim denied")
			}
			at := start.Add(test.at)
			test.end(&list, at)
			if got := !list.ClaimedReplicas(at)["r"]; got != test.free {
				t.Errorf("the replica is free: %v, want %v", got, test.free)
			}
			if got := claim(&list, second, "r", at); got != test.free {
				t.Errorf("another trial may claim the replica: %v, want %v", got, test.free)
			}
		})
	}
}

// TestList_ClaimsAreBounded checks that claims of many replicas do not use memory without limit.
func TestList_ClaimsAreBounded(t *testing.T) {
	var list List
	for i := range 3 * maxClaims {
		trial := Trial{Work: work("w"), ID: uint64(i)}
		list.ClaimReplica(Claim{Trial: trial, Replica: trial.Work.String() + string(rune(i)), At: start}, start)
	}
	if claimed := len(list.ClaimedReplicas(start)); claimed > maxClaims {
		t.Errorf("%d claims", claimed)
	}
}

// TestGuard_ClaimsReplicaForOneTrial checks that trials of two nodes do not run on one replica, and that
// the other nodes are told of a claim and not of a denied one.
func TestGuard_ClaimsReplicaForOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owners := &fakeOwners{list: &List{}}
		claims := 0
		for i, want := range []bool{true, false} {
			guard, _, events := newGuard(ConnectionRefused)
			guard.Trials = owners
			if got := guard.ClaimReplica(t.Context(), Trial{Work: work("w"), ID: uint64(i)}, "r"); got != want {
				t.Errorf("node %d claims the replica: %v, want %v", i, got, want)
			}
			if !guard.ClaimedReplicas()["r"] {
				t.Errorf("node %d does not know that the replica is claimed", i)
			}
			claims += events.claims
		}
		if claims != 1 {
			t.Errorf("%d claims reported", claims)
		}
	})
}
