package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestList_OneTrialClaimsReplica guards against two trials on one replica, the crash of which would not
// show which of the two works is harmful.
func TestList_OneTrialClaimsReplica(t *testing.T) {
	first, second := Trial{Work: work("first"), ID: 1}, Trial{Work: work("second"), ID: 2}
	claim := func(list *List, trial Trial, replica string, at time.Time) bool {
		return list.ClaimReplica(ReplicaClaim{Trial: trial, Replica: replica, At: at}, at)
	}
	for _, test := range []struct {
		name string
		// end ends the claim of r by first at the given time, if it is to end.
		end func(list *List, at time.Time)
		at  time.Duration
		// free reports whether second may claim r then.
		free bool
	}{
		{"under way", func(*List, time.Time) {}, ClaimDuration - 1, false},
		{"expired", func(*List, time.Time) {}, ClaimDuration, true},
		{"repeated", func(list *List, at time.Time) { claim(list, first, "r", at.Add(-1)) }, ClaimDuration, false},
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
		list.ClaimReplica(ReplicaClaim{Trial: trial, Replica: trial.Work.String() + string(rune(i)), At: start}, start)
	}
	if claimed := len(list.ClaimedReplicas(start)); claimed > maxClaims {
		t.Errorf("%d claims", claimed)
	}
}

// TestGuard_ClaimsReplicaForOneTrial checks that trials of two nodes do not run on one replica, and that
// the other nodes are told of a claim once and not of a denied one.
func TestGuard_ClaimsReplicaForOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owners := &fakeOwners{list: &List{}}
		claims := 0
		for i, want := range []bool{true, false} {
			guard, _, events := newGuard(ConnectionRefused)
			guard.Trials = owners
			trial := Trial{Work: work(fmt.Sprint(i)), ID: uint64(i)}
			for range 2 {
				if got := guard.ClaimReplica(t.Context(), trial, "r"); got != want {
					t.Errorf("node %d claims the replica: %v, want %v", i, got, want)
				}
			}
			if got := guard.ClaimedReplicas()["r"]; got != want {
				t.Errorf("node %d holds the claim: %v, want %v", i, got, want)
			}
			claims += events.claims
		}
		if claims != 1 {
			t.Errorf("%d claims reported", claims)
		}
	})
}

// latentOwners grants claims on another node after a round trip.
type latentOwners struct {
	fakeOwners
	beforeReply func()
}

func (o *latentOwners) Claim(_ context.Context, claim ReplicaClaim) bool {
	time.Sleep(2 * time.Millisecond)
	granted := o.list.ClaimReplica(claim, time.Now())
	if o.beforeReply != nil {
		o.beforeReply()
	}
	return granted
}

// TestGuard_DeniedNodeKnowsTheGrantedClaim guards against other work on a replica that runs a trial, from a
// node whose own claim of it was denied.
func TestGuard_DeniedNodeKnowsTheGrantedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		winner := ReplicaClaim{Trial: Trial{Work: work("winner"), ID: 1}, Replica: "r", At: time.Now()}
		owners := &latentOwners{fakeOwners: fakeOwners{list: &List{}}}
		owners.list.ClaimReplica(winner, winner.At)
		guard, _, _ := newGuard(ConnectionRefused)
		guard.Trials = owners
		// The message about the granted claim arrives while the node asks for its own.
		owners.beforeReply = func() { guard.List.ClaimReplica(winner, time.Now()) }
		loser := Trial{Work: work("loser"), ID: 2}
		if guard.ClaimReplica(t.Context(), loser, "r") {
			t.Fatal("two trials claim a replica")
		}
		owners.beforeReply = nil
		if !guard.ClaimReplica(t.Context(), loser, "s") {
			t.Fatal("a free replica is not granted")
		}
		if claimed := guard.ClaimedReplicas(); !claimed["r"] {
			t.Errorf("the node knows the claims %v only, and sends other work to the replica of the other trial", claimed)
		}
	})
}

// TestGuard_EndedTrialsDoNotWithholdReplicas guards against a caller whose requests end early, so that
// each is a trial without a result that claims another replica.
func TestGuard_EndedTrialsDoNotWithholdReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard, _, _ := newGuard(ConnectionRefused)
		owners := &fakeOwners{list: guard.List}
		guard.Trials = owners
		w := work("w")
		for i := range DefaultCrashLimit {
			at := time.Now()
			time.Sleep(100 * time.Millisecond)
			guard.RecordCrash(CrashReport{Replica: fmt.Sprint("lost", i), Runs: runsOf(at, w), At: time.Now()})
		}
		const requests = 20
		for i := range requests {
			trial, err := guard.RefuseRequest(t.Context(), func() Work { return w })
			if trial == nil {
				t.Fatalf("request %d: no trial, %v", i, err)
			}
			guard.ClaimReplica(t.Context(), *trial, fmt.Sprint("r", i))
			time.Sleep(10 * time.Millisecond)
			guard.EndTrial(*trial)
		}
		if claimed := len(guard.ClaimedReplicas()); claimed > 1 {
			t.Errorf("%d requests of one work, each of which has ended, withhold %d replicas", requests, claimed)
		}
	})
}

// TestList_EarlierSuccessDoesNotReleaseClaims guards against late words of a success before the quarantine
// (SuccessAges, replies to queries, Proven), which say nothing about the trial under way.
func TestList_EarlierSuccessDoesNotReleaseClaims(t *testing.T) {
	var list List
	trial := Trial{Work: work("w"), ID: 1}
	list.ClaimReplica(ReplicaClaim{Trial: trial, Replica: "r", At: start}, start)
	list.Clear(trial.Work, start.Add(-time.Minute))
	if !list.ClaimedReplicas(start)["r"] {
		t.Error("a success before the trial ends its claim")
	}
}

// TestList_ReorderedClaimsAreIgnored guards against a late message about a replica that refused the trial.
func TestList_ReorderedClaimsAreIgnored(t *testing.T) {
	var list List
	trial := Trial{Work: work("w"), ID: 1}
	now := start.Add(200 * time.Millisecond)
	list.ClaimReplica(ReplicaClaim{Trial: trial, Replica: "second", At: start.Add(150 * time.Millisecond)}, now)
	list.ClaimReplica(ReplicaClaim{Trial: trial, Replica: "first", At: start}, now)
	if claimed := list.ClaimedReplicas(now); !claimed["second"] || claimed["first"] {
		t.Errorf("claimed %v", claimed)
	}
}

// TestList_RenewedTrialKeepsItsReplica shows that the claim of a trial that runs for long ends before the
// trial.
func TestList_RenewedTrialKeepsItsReplica(t *testing.T) {
	var list List
	long, other := Trial{Work: work("long"), ID: 1}, Trial{Work: work("other"), ID: 2}
	list.GrantTrial(long, start)
	list.ClaimReplica(ReplicaClaim{Trial: long, Replica: "r", At: start}, start)
	for age := trialRenewInterval; age <= ClaimDuration; age += trialRenewInterval {
		list.RenewTrial(long, start.Add(age))
	}
	now := start.Add(ClaimDuration)
	if list.ClaimReplica(ReplicaClaim{Trial: other, Replica: "r", At: now}, now) {
		t.Error("another trial may run on the replica of a trial under way")
	}
}

// TestList_ClaimEndsWithTheCrash shows that the claim outlives the replica: its next start is withheld.
func TestList_ClaimEndsWithTheCrash(t *testing.T) {
	var list List
	trial := Trial{Work: work("w"), ID: 1}
	list.ClaimReplica(ReplicaClaim{Trial: trial, Replica: "r", At: start}, start)
	crashed := start.Add(300 * time.Millisecond)
	addFailedTrial(&list, "r", crashed, trial.Work)
	if list.ClaimedReplicas(crashed)["r"] {
		t.Error("the replica is withheld after the trial crashed it")
	}
}

// BenchmarkList_CheckManyTrials measures a check of work with failed trials in a list of many crashes.
func BenchmarkList_CheckManyTrials(b *testing.B) {
	for _, crashes := range []int{100, 1000, maxWorks - 10} {
		b.Run(fmt.Sprint(crashes), func(b *testing.B) {
			list := List{}
			for i := range crashes {
				at := start.Add(time.Duration(i) * 100 * time.Millisecond)
				list.Add(CrashReport{Replica: fmt.Sprint("x", i), Runs: runsOf(at.Add(-time.Second), work(fmt.Sprint(i))), At: at}, at)
			}
			at := start.Add(time.Duration(crashes) * 100 * time.Millisecond)
			for i := range 8 {
				at = at.Add(2 * time.Second)
				addFailedTrial(&list, fmt.Sprint("t", i), at, work("w"))
			}
			for b.Loop() {
				list.Check(work("w"), at)
			}
		})
	}
}
