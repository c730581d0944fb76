package quarantine

import (
	"testing"
	"time"
)

// addCrashAt reports a crash of one start of a replica that ran works, the given time after start.
func addCrashAt(list *List, replica string, startedUnixMs int64, after time.Duration, works ...Work) {
	at := start.Add(after)
	list.Add(CrashReport{Replica: replica, StartedUnixMs: startedUnixMs, Runs: runsOf(at.Add(-50*time.Millisecond), works...), At: at}, at)
}

// crashCount returns how many crashes count against work.
func crashCount(list *List, work Work) int {
	verdict := list.Check(work, start.Add(time.Minute))
	return len(verdict.Replicas)
}

// TestList_CountsCrashesPerStart covers a replica that restarts and crashes again within
// sameCrashWindow.
func TestList_CountsCrashesPerStart(t *testing.T) {
	var list List
	bad := work("bad")
	addCrashAt(&list, "r", 2000, 0, bad)
	// The clock of the replica's machine was set back.
	addCrashAt(&list, "r", 1000, 500*time.Millisecond, bad)
	addCrashAt(&list, "r", 3000, time.Second, bad)
	if got := crashCount(&list, bad); got != 3 {
		t.Errorf("%d crashes count, want 3", got)
	}
	if !isQuarantined(&list, bad, 2) {
		t.Error("work that crashed three starts of a replica is not quarantined")
	}
}

// TestList_CountsOneCrashPerStart covers stalled nodes that report the same crash long after it.
func TestList_CountsOneCrashPerStart(t *testing.T) {
	var list List
	bad := work("bad")
	for _, after := range []time.Duration{0, time.Second, 5 * time.Second, 20 * time.Second} {
		addCrashAt(&list, "r", 1000, after, bad)
	}
	if got := crashCount(&list, bad); got != 1 {
		t.Errorf("%d crashes count, want 1", got)
	}
}

// TestList_ReportsWithoutStartTime covers reports and rows from older versions.
func TestList_ReportsWithoutStartTime(t *testing.T) {
	var list List
	bad := work("bad")
	addCrashAt(&list, "r", 0, 0, bad)
	addCrashAt(&list, "r", 1000, 500*time.Millisecond, bad)
	if got := crashCount(&list, bad); got != 1 {
		t.Errorf("%d crashes count for one that two nodes report", got)
	}
	addCrashAt(&list, "r", 2000, time.Second, bad)
	addCrashAt(&list, "r", 0, 10*time.Second, bad)
	if got := crashCount(&list, bad); got != 3 {
		t.Errorf("%d crashes count, want 3", got)
	}
}

func TestRows_RoundTripStartTime(t *testing.T) {
	var list List
	writer := &Rows{Partition: "g/q", Guard: &Guard{List: &list}}
	writer.Apply(rowsOf(t, 0), true)
	write, err := writer.putCrash("x", CrashReport{Replica: "r", StartedUnixMs: 1000, Runs: runsOf(writer.readAt, work("w")), At: writer.readAt})
	if err != nil {
		t.Fatal(err)
	}
	read, err := writer.decode(rowOf(write))
	if err != nil || read[0].report.StartedUnixMs != 1000 || read[0].report.Replica != "r" {
		t.Errorf("decoded %+v, error %v", read[0].report, err)
	}
}

// TestPublisher_SeparatesStartsOfOneReplica checks that only reports about the same start are
// merged.
func TestPublisher_SeparatesStartsOfOneReplica(t *testing.T) {
	publisher := NewPublisher(nil, nil, nil)
	for _, startedUnixMs := range []int64{1000, 2000, 1000} {
		publisher.PublishCrash(CrashReport{Replica: "r", StartedUnixMs: startedUnixMs, Runs: runsOf(start, work("w")), At: start})
	}
	if unsent := publisher.unsent.Reports; len(unsent) != 2 || len(unsent[0].Runs) != 2 || unsent[1].StartedUnixMs != 2000 {
		t.Errorf("unsent reports: %+v", unsent)
	}
}

// TestGuard_RestartUnderSameIDIsCrash covers a replica that accepts connections and is always
// listed, because it restarted under its id.
func TestGuard_RestartUnderSameIDIsCrash(t *testing.T) {
	for _, state := range []ReplicaState{Restarted, Leaving} {
		guard, replicas, events := newGuard(Accepted)
		run := Run{Work: work("w"), SentAt: time.Now()}
		first := Replica{ID: "r", StartedUnixMs: 1000, Address: "r"}
		guard.RecordInterruption(t.Context(), first, run)
		replicas.setState("r", state)
		want := 0
		if state == Restarted {
			want = 1
		}
		time.Sleep(3 * delistPollInterval)
		if events.crashCount() != want {
			t.Errorf("state %d: %d crashes, want %d", state, events.crashCount(), want)
		}
		// A later interruption on the same start.
		guard.RecordInterruption(t.Context(), first, Run{Work: work("v"), SentAt: time.Now()})
		if verdict := guard.List.Check(work("v"), time.Now()); len(verdict.Replicas) != want {
			t.Errorf("state %d: %d crashes count against other work on that start, want %d", state, len(verdict.Replicas), want)
		}
	}
}

// TestGuard_WatchesEachStartSeparately checks that starts of one replica do not share a watch.
func TestGuard_WatchesEachStartSeparately(t *testing.T) {
	guard, _, events := newGuard(ConnectionRefused)
	for _, startedUnixMs := range []int64{1000, 2000, 3000} {
		guard.RecordInterruption(t.Context(), Replica{ID: "r", StartedUnixMs: startedUnixMs, Address: "r"}, Run{Work: work("w"), SentAt: time.Now()})
	}
	if events.crashCount() != 3 {
		t.Errorf("%d crashes of three starts", events.crashCount())
	}
	if verdict := guard.List.Check(work("w"), time.Now()); len(verdict.Replicas) != 3 || !verdict.Quarantined {
		t.Errorf("verdict %+v", verdict)
	}
}

// TestGuard_InterruptionAfterRestartIsCrash covers a restart that is known before the first
// interruption, so that nothing needs to be watched.
func TestGuard_InterruptionAfterRestartIsCrash(t *testing.T) {
	guard, replicas, events := newGuard(Accepted)
	replicas.setState("r", Restarted)
	guard.RecordInterruption(t.Context(), Replica{ID: "r", StartedUnixMs: 1000, Address: "r"}, Run{Work: work("w"), SentAt: time.Now()})
	if events.crashCount() != 1 || events.crashed[0].StartedUnixMs != 1000 {
		t.Errorf("reported crashes: %+v", events.crashed)
	}
}

// TestList_IgnoresWorkSentAfterCrash covers a node with an outdated list that still sends to a
// crashed replica and later reports the crash together with that work. The work must not count as
// running at the crash (soak seed 7215).
func TestList_IgnoresWorkSentAfterCrash(t *testing.T) {
	for _, order := range [][]string{{"seen", "late"}, {"late", "seen"}} {
		var list List
		harmful, popular := work("harmful"), work("popular")
		for _, report := range order {
			switch report {
			case "seen":
				addCrashAt(&list, "r", 1000, 0, harmful)
			case "late":
				addCrashAt(&list, "r", 1000, 6*time.Second, popular)
			}
		}
		if got := crashCount(&list, harmful); got != 1 {
			t.Errorf("%v: %d crashes count against work that was running, want 1", order, got)
		}
		if got := crashCount(&list, popular); got != 0 {
			t.Errorf("%v: %d crashes count against work that was sent later, want 0", order, got)
		}
	}
}

// TestList_CountsEarlierRunReportedLate covers a stalled node that reports a crash late, with work
// that it sent before the crash.
func TestList_CountsEarlierRunReportedLate(t *testing.T) {
	var list List
	delayed := work("held up")
	addCrashAt(&list, "r", 1000, 0, work("other"))
	at := start.Add(6 * time.Second)
	list.Add(CrashReport{Replica: "r", StartedUnixMs: 1000, Runs: runsOf(start.Add(-50*time.Millisecond), delayed), At: at}, at)
	if got := crashCount(&list, delayed); got != 1 {
		t.Errorf("%d crashes count, want 1", got)
	}
}
