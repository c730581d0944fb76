package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// addFailedTrial reports a crash of a replica during a trial of work.
func addFailedTrial(list *List, replica string, at time.Time, work Work) {
	list.Add(CrashReport{Replica: replica, Runs: []Run{{Work: work, SentAt: at.Add(-100 * time.Millisecond), Trial: true}}, At: at}, at)
}

// TestVerdict_RequestTrialsAreSpaced checks that requests of quarantined work are tried again at growing
// intervals, which do not end.
func TestVerdict_RequestTrialsAreSpaced(t *testing.T) {
	list := List{Window: 10 * time.Hour}
	for i := range 3 {
		addCrash(&list, fmt.Sprintf("r%d", i), i, work("w"))
	}
	if !list.Check(work("w"), start.Add(2*time.Second)).Quarantined {
		t.Fatal("work at three crashes is not quarantined")
	}
	at := start.Add(2 * time.Second)
	addFailedTrial(&list, "first", at, work("w"))
	for i, delay := range []time.Duration{time.Second, 10 * time.Second, 12 * time.Minute, time.Hour, time.Hour} {
		verdict := list.Check(work("w"), at)
		next := at.Add(delay)
		if verdict.RequestTrialDue(next.Add(-1)) || !verdict.RequestTrialDue(next) {
			t.Fatalf("trial %d is not due %v after the last", i+1, delay)
		}
		at = next
		addFailedTrial(&list, fmt.Sprintf("t%d", i), at, work("w"))
	}
}

// TestVerdict_CrashesWithoutTrialDoNotDelayTrials covers crashes that are reported after work was
// quarantined, by nodes that did not know it yet. They must not count as failed trials, or harmless
// work is refused until the next trial minutes later although none has taken place (soak seed
// 990631).
func TestVerdict_CrashesWithoutTrialDoNotDelayTrials(t *testing.T) {
	var list List
	for i := range 7 {
		addCrash(&list, fmt.Sprintf("r%d", i), i, work("w"))
	}
	now := start.Add(7 * time.Second)
	verdict := list.Check(work("w"), now)
	if !verdict.Quarantined || !verdict.RequestTrialDue(now) {
		t.Errorf("no trial is due: %+v", verdict)
	}
	if wait := verdict.RetryAfter(now); wait != trialPropagation {
		t.Errorf("callers are to retry after %v", wait)
	}
}

// TestVerdict_RetryAfterFollowsNextTrial checks that refused callers are asked to wait until the
// result of the next trial is known.
func TestVerdict_RetryAfterFollowsNextTrial(t *testing.T) {
	var list List
	for i := range 3 {
		addCrash(&list, fmt.Sprintf("r%d", i), i, work("w"))
	}
	retryAfter := func(second int) time.Duration {
		now := start.Add(time.Duration(second) * time.Second)
		verdict := list.Check(work("w"), now)
		return verdict.RetryAfter(now)
	}
	if wait := retryAfter(4); wait != trialPropagation {
		t.Errorf("with a trial due: %v", wait)
	}
	for i, test := range []struct {
		trial, now int
		want       time.Duration
	}{
		{trial: 10, now: 10, want: time.Second},
		{trial: 20, now: 23, want: 7 * time.Second},
		{trial: 30, now: 60, want: 12*time.Minute - 30*time.Second},
		{trial: 800, now: 801, want: time.Hour - time.Second},
	} {
		addFailedTrial(&list, fmt.Sprintf("t%d", i), start.Add(time.Duration(test.trial)*time.Second), work("w"))
		if wait := retryAfter(test.now); wait != test.want+trialPropagation {
			t.Errorf("%d s after failed trial %d: %v, want %v", test.now-test.trial, i+1, wait, test.want+trialPropagation)
		}
	}
}

// TestList_RequestTrialsAreSpacedAndExclusive checks that the trials of a work, also those of
// requests at other nodes, take place one at a time and at growing intervals.
func TestList_RequestTrialsAreSpacedAndExclusive(t *testing.T) {
	list := List{Window: 10 * time.Hour}
	for i := range 3 {
		addCrash(&list, fmt.Sprintf("r%d", i), i, work("w"))
	}
	var id uint64
	begin := func(at time.Time) bool { id++; return list.BeginTrial(Trial{Work: work("w"), ID: id}, at) }
	grant := func(at time.Time) bool { id++; return list.GrantTrial(Trial{Work: work("w"), ID: id}, at) }
	at := start.Add(2 * time.Second)
	for i, delay := range []time.Duration{0, time.Second, 10 * time.Second, 12 * time.Minute, time.Hour} {
		next := at.Add(delay)
		if delay > 0 && (begin(next.Add(-1)) || grant(next.Add(-1))) || !begin(next) {
			t.Fatalf("trial %d is not due after %v", i, delay)
		}
		if begin(next.Add(1)) || grant(next.Add(trialLease-1)) {
			t.Fatalf("two concurrent trials %d", i)
		}
		at = next.Add(200 * time.Millisecond)
		addFailedTrial(&list, fmt.Sprintf("t%d", i), at, work("w"))
	}
	if list.BeginTrial(Trial{Work: work("other")}, at) {
		t.Fatal("a trial of work that is not quarantined started")
	}
}

// addSharedTrial reports a crash of a replica during trials of all the works.
func addSharedTrial(list *List, replica string, at time.Time, works ...Work) {
	runs := runsOf(at.Add(-50*time.Millisecond), works...)
	for i := range runs {
		runs[i].Trial = true
	}
	list.Add(CrashReport{Replica: replica, Runs: runs, At: at}, at)
}

// TestVerdict_SharedTrialsAreLimited covers trials on replicas on which other suspects run. Those of
// harmless work must follow each other soon, so that its held requests are not refused after two of them.
// No work may get more than three trials in its first ten minutes by them: which of two suspects on a
// replica crashed it can't be told.
func TestVerdict_SharedTrialsAreLimited(t *testing.T) {
	const firstMinutes, maxTrials = 10 * time.Minute, 3
	for _, test := range []struct {
		name string
		// shared is the number of crashes with both works before the first trial, and harmless and
		// harmful those with one of them.
		shared, harmless, harmful int
		// trialOfBoth is set if the runs of both works on the shared replicas are trials.
		trialOfBoth bool
	}{
		{"equally suspect", 0, 3, 3, false},
		{"equally suspect, both tried", 0, 3, 3, true},
		{"harmful one more suspect", 3, 0, 1, true},
		{"harmful one much more suspect", 3, 0, 8, true},
		{"harmless one alone at a lost replica", 2, 1, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var list List
			harmless, harmful := work("harmless"), work("harmful")
			second := 0
			add := func(count int, works ...Work) {
				for range count {
					addCrash(&list, fmt.Sprint("r", second), second, works...)
					second++
				}
			}
			add(test.shared, harmless, harmful)
			add(test.harmless, harmless)
			add(test.harmful, harmful)
			began := start.Add(time.Minute)
			trials := 0
			for at := began; at.Sub(began) < firstMinutes; trials++ {
				verdict := list.Check(harmless, at)
				tooSoon := trials > 0 && verdict.RequestTrialDue(verdict.LastTrial.Add(repeatedTrialDelay-1))
				if verdict.FailedTrials != trials || !verdict.RequestTrialDue(at) || tooSoon {
					t.Fatalf("after trial %d: %+v", trials, verdict)
				}
				runs := runsOf(at.Add(-50*time.Millisecond), harmless, harmful)
				runs[0].Trial, runs[1].Trial = true, test.trialOfBoth
				list.Add(CrashReport{Replica: fmt.Sprint("t", trials), Runs: runs, At: at}, at)
				verdict = list.Check(harmless, at)
				if wait := verdict.nextRequestTrial().Sub(at); trials+1 < maxTrials && wait >= maxTrialWait {
					t.Errorf("the next trial is due %v after trial %d, so that held requests are refused", wait, trials)
				}
				at = verdict.nextRequestTrial()
			}
			if trials != maxTrials {
				t.Errorf("%d trials of harmless work in %v, want %d", trials, firstMinutes, maxTrials)
			}
			if verdict := list.Check(harmful, began.Add(time.Minute)); test.trialOfBoth && verdict.FailedTrials != trials {
				t.Errorf("%d failed trials of harmful work after %d", verdict.FailedTrials, trials)
			}
		})
	}
}

// TestVerdict_TrialsAfterSharedCrashAreSpread checks that works whose trials ended in one crash are
// not tried again at the same time, which would end their trials in one crash again: neither works
// that crashed replicas apart nor works that never did.
func TestVerdict_TrialsAfterSharedCrashAreSpread(t *testing.T) {
	const works = 20
	all := make([]Work, works)
	for i := range all {
		all[i] = work(fmt.Sprint(i))
	}
	for _, test := range []struct {
		name     string
		addCrash func(list *List, number int)
	}{
		{"apart", func(list *List, number int) {
			for _, work := range all {
				addCrash(list, fmt.Sprintf("%s-%d", work, number), number, work)
			}
		}},
		{"together", func(list *List, number int) { addCrash(list, fmt.Sprint(number), number, all...) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var list List
			for number := range 3 {
				test.addCrash(&list, number)
			}
			at := start.Add(10 * time.Second)
			addSharedTrial(&list, "shared", at, all...)
			var delays []time.Duration
			for _, work := range all {
				verdict := list.Check(work, at)
				delay := verdict.nextRequestTrial().Sub(at)
				if delay < repeatedTrialDelay || delay >= repeatedTrialDelay+maxTrialSpread {
					t.Errorf("the next trial is due after %v", delay)
				}
				delays = append(delays, delay)
			}
			slices.Sort(delays)
			if spread := delays[works-1] - delays[0]; spread < maxTrialSpread/2 {
				t.Errorf("%d trials are due within %v", works, spread)
			}
		})
	}
}

// TestVerdict_ThirdTrialFollowsUnclearOne guards against refusals of harmless work whose first two trials
// ran on replicas that something else ended: the third one must follow soon. Harmful work must get no
// more trials by this.
func TestVerdict_ThirdTrialFollowsUnclearOne(t *testing.T) {
	w := work("w")
	loseOthers := func(list *List, at time.Time, others ...Work) {
		for i, other := range others {
			report := CrashReport{Replica: fmt.Sprintf("lost%d-%v", i, at), Runs: runsOf(at.Add(-time.Second), other), At: at.Add(sameCauseWindow)}
			list.Add(report, report.At)
		}
	}
	for _, test := range []struct {
		name string
		// addTrial reports the crash of the first trial at the given time.
		addTrial func(list *List, at time.Time)
		third    time.Duration
	}{
		{"alone", func(list *List, at time.Time) { addFailedTrial(list, "t", at, w) }, 10 * time.Second},
		{"beside new work", func(list *List, at time.Time) { addSharedTrial(list, "t", at, w, work("new")) }, time.Second},
		{"beside proven work", func(list *List, at time.Time) {
			list.Clear(work("proven"), at.Add(-time.Second))
			addSharedTrial(list, "t", at, w, work("proven"))
		}, 10 * time.Second},
		{"lost with two replicas", func(list *List, at time.Time) {
			addFailedTrial(list, "t", at, w)
			loseOthers(list, at, work("a"), work("b"))
		}, time.Second},
		{"lost with one replica", func(list *List, at time.Time) {
			addFailedTrial(list, "t", at, w)
			loseOthers(list, at, work("a"))
		}, 10 * time.Second},
		{"beside crashes by the work", func(list *List, at time.Time) {
			addFailedTrial(list, "t", at, w)
			loseOthers(list, at, w, w)
		}, 10 * time.Second},
		{"long before other crashes", func(list *List, at time.Time) {
			addFailedTrial(list, "t", at, w)
			loseOthers(list, at.Add(1), work("a"), work("b"))
		}, 10 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			list := List{Window: 10 * time.Hour}
			for i := range 3 {
				addCrash(&list, fmt.Sprintf("r%d", i), i, w)
			}
			at := start.Add(10 * time.Second)
			test.addTrial(&list, at)
			for i, delay := range []time.Duration{time.Second, test.third, 12 * time.Minute, time.Hour} {
				verdict := list.Check(w, at)
				if verdict.FailedTrials != i+1 {
					t.Fatalf("after trial %d: %d failed", i, verdict.FailedTrials)
				}
				if next := verdict.nextRequestTrial().Sub(verdict.LastTrial); next != delay {
					t.Errorf("the next trial is due %v after trial %d, want %v", next, i, delay)
				}
				at = at.Add(2 * delay)
				addFailedTrial(&list, fmt.Sprintf("t%d", i), at, w)
			}
		})
	}
}

// TestList_TrialWithoutResultIsFollowedByAnother covers trials that end with neither a success nor a
// crash, or whose node is lost.
func TestList_TrialWithoutResultIsFollowedByAnother(t *testing.T) {
	var list List
	for i := range 3 {
		addCrash(&list, fmt.Sprintf("r%d", i), i, work("w"))
	}
	at := start.Add(3 * time.Second)
	first, second, third := Trial{work("w"), 1}, Trial{work("w"), 2}, Trial{work("w"), 3}
	if !list.GrantTrial(first, at) || list.GrantTrial(second, at) {
		t.Fatal("not one trial of two that were requested is granted")
	}
	list.EndTrial(second)
	if list.GrantTrial(third, at) {
		t.Fatal("the end of a trial that was not granted ends another one")
	}
	list.EndTrial(first)
	if !list.GrantTrial(second, at) {
		t.Fatal("no trial is granted after one without a result")
	}
	if list.BeginTrial(third, at.Add(trialLease-1)) || !list.BeginTrial(third, at.Add(trialLease)) {
		t.Fatal("no trial is granted after one whose node was lost, or too early")
	}
	// The reports that quarantine the work elsewhere have not arrived yet.
	if !list.GrantTrial(Trial{work("unknown"), 4}, at) || list.GrantTrial(Trial{work("unknown"), 5}, at) {
		t.Fatal("not one trial of work that only the other node suspects is granted")
	}
}

// TestVerdict_UnclearTrialSpeedsUpOneTrialOnly guards against many trials 1 s apart: one unclear failure must
// make one trial follow sooner, also if later ones are explained by more suspect work.
func TestVerdict_UnclearTrialSpeedsUpOneTrialOnly(t *testing.T) {
	list := List{Window: 10 * time.Hour}
	w, other := work("w"), work("other")
	for i := range 3 {
		addCrash(&list, fmt.Sprint("r", i), i, w)
	}
	for i := range 10 {
		addCrash(&list, fmt.Sprint("o", i), i, other)
	}
	at := start.Add(20 * time.Second)
	addSharedTrial(&list, "t0", at, w, work("new"))
	at = at.Add(5 * time.Second)
	addFailedTrial(&list, "t1", at, w)
	trials, until := 0, at.Add(time.Minute)
	for {
		verdict := list.Check(w, at)
		next := verdict.nextRequestTrial()
		if next.After(until) {
			break
		}
		trials++
		at = next.Add(200 * time.Millisecond)
		addSharedTrial(&list, fmt.Sprint("s", trials), at, w, other)
	}
	if trials > 6 {
		t.Errorf("%d trials in the minute after two failed ones", trials)
	}
}
