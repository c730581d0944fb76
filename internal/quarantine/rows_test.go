package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// rowsOf returns the rows of crashes of one work and of one clearing, at the given times of the
// table's clock.
func rowsOf(t *testing.T, cleared time.Duration, crashes ...time.Duration) table.Changes {
	t.Helper()
	var list List
	writer := &Rows{Partition: "g/q", Guard: &Guard{List: &list}}
	writer.Apply(table.Changes{Now: time.Hour}, true)
	at := func(after time.Duration) time.Time { return writer.readAt.Add(after - time.Hour) }
	var writes []table.Write
	for i, crashedAt := range crashes {
		report := CrashReport{Replica: fmt.Sprintf("r%d", i), Runs: runsOf(at(crashedAt-50*time.Millisecond), work("w")), At: at(crashedAt)}
		write, err := writer.putCrash(fmt.Sprint(i), report)
		if err != nil {
			t.Fatal(err)
		}
		writes = append(writes, write)
	}
	write, err := writer.putClearing(Clearing{Work: work("w"), At: at(cleared)})
	if err != nil {
		t.Fatal(err)
	}
	read := table.Changes{Now: time.Hour}
	for i, write := range append(writes, write) {
		read.Changes = append(read.Changes, table.Change{Row: table.Row{Key: write.Key, Version: uint64(i + 1), Body: write.Body}})
	}
	return read
}

// TestRows_AppliesClearingsBeforeCrashes checks that a starting node does not briefly quarantine
// work because it applies crashes before the clearing that covers them.
func TestRows_AppliesClearingsBeforeCrashes(t *testing.T) {
	guard, _, events := newGuard(ConnectionRefused)
	rows := &Rows{Partition: "g/q", Guard: guard}
	rows.Apply(rowsOf(t, 30*time.Minute, 10*time.Minute, 15*time.Minute, 20*time.Minute, 25*time.Minute), true)
	if len(events.quarantined) != 0 {
		t.Fatalf("temporarily quarantined: %+v", events.quarantined)
	}
	if verdict := guard.List.Check(work("w"), time.Now()); len(verdict.Replicas) != 0 {
		t.Fatalf("%d crashes count, want 0", len(verdict.Replicas))
	}
}

func TestRows_StartingNodeRestoresQuarantine(t *testing.T) {
	guard, _, events := newGuard(ConnectionRefused)
	rows := &Rows{Partition: "g/q", Guard: guard, OnMalformed: func(key table.Key, err error) { t.Error(key, err) }}
	read := rowsOf(t, 5*time.Minute, 10*time.Minute, 15*time.Minute, 20*time.Minute, 25*time.Minute, 30*time.Minute, 35*time.Minute)
	read.Changes = append(read.Changes, table.Change{Row: table.Row{Key: table.Key{Partition: "g/other", Sort: "end/x"}, Version: 90, Body: []byte{1}}})
	rows.Apply(read, true)
	if len(events.quarantined) != 1 || !guard.List.Check(work("w"), time.Now()).Quarantined {
		t.Fatalf("verdicts %+v", events.quarantined)
	}
	if writes := rows.expired(100); len(writes) != 0 {
		t.Fatalf("%d rows within the window are to be removed", len(writes))
	}
	// An hour later nothing counts, and all rows are removed.
	late := &Rows{Partition: "g/q", Guard: &Guard{List: &List{}, Events: events}}
	read.Now = 2 * time.Hour
	late.Apply(read, true)
	if all := late.Guard.List.All(time.Now()); len(all) != 0 || len(late.expired(100)) != 7 {
		t.Fatalf("%d suspects, %d of 7 rows to be removed", len(all), len(late.expired(100)))
	}
}

func TestRows_SkipsMalformedRows(t *testing.T) {
	malformed := 0
	guard, _, _ := newGuard(ConnectionRefused)
	rows := &Rows{Partition: "g/q", Guard: guard, OnMalformed: func(table.Key, error) { malformed++ }}
	var read table.Changes
	for i, key := range []string{"end/x", "cleared/zz", "cleared/" + work("w").String()} {
		read.Changes = append(read.Changes, table.Change{Row: table.Row{Key: table.Key{Partition: "g/q", Sort: key}, Version: uint64(i + 1), Body: []byte{0xff}}})
	}
	rows.Apply(read, true)
	if malformed != 3 || !guard.List.Empty() {
		t.Fatalf("%d of 3 rows were reported as malformed", malformed)
	}
}

// rowOf returns the row that a write creates.
func rowOf(write table.Write) table.Row {
	return table.Row{Key: write.Key, Version: 1, Body: write.Body}
}

// TestRows_StartingNodeRestoresSuccesses covers proven work that was present at six crashes. A
// starting node must restore its last success from the crash rows, or it would quarantine the work
// at the limit of unproven work. A trial is due in either case.
func TestRows_StartingNodeRestoresSuccesses(t *testing.T) {
	for name, proven := range map[string]bool{"succeeded before": true, "never succeeded": false} {
		t.Run(name, func(t *testing.T) {
			var list List
			writer := &Rows{Partition: "g/q", Guard: &Guard{List: &list}}
			writer.Apply(table.Changes{Now: time.Hour}, true)
			now := writer.readAt
			if proven {
				list.Clear(work("w"), now.Add(-time.Minute))
			}
			read := table.Changes{Now: time.Hour}
			for i := range 6 {
				at := now.Add(time.Duration(i-30) * time.Second)
				report := CrashReport{Replica: fmt.Sprintf("r%d", i), Runs: runsOf(at.Add(-50*time.Millisecond), work("w")), At: at}
				write, err := writer.putCrash(fmt.Sprint(i), report)
				if err != nil {
					t.Fatal(err)
				}
				read.Changes = append(read.Changes, table.Change{Row: table.Row{Key: write.Key, Version: uint64(i + 1), Body: write.Body}})
			}
			guard, _, _ := newGuard(ConnectionRefused)
			(&Rows{Partition: "g/q", Guard: guard}).Apply(read, true)
			verdict := guard.List.Check(work("w"), now)
			limit := DefaultCrashLimit
			if proven {
				limit *= provenFactor
			}
			if len(verdict.Replicas) != 6 || !verdict.Quarantined || verdict.Limit != limit || !verdict.RequestTrialDue(now) {
				t.Fatalf("verdict %+v, trial due %v, want a due trial and limit %d", verdict, verdict.RequestTrialDue(now), limit)
			}
		})
	}
}

// TestRows_StartingNodeKnowsFailedTrials checks that the rows preserve which crashes were failed
// trials. Otherwise each restart of a node would run the first trials of harmful work again.
func TestRows_StartingNodeKnowsFailedTrials(t *testing.T) {
	var list List
	writer := &Rows{Partition: "g/q", Guard: &Guard{List: &list}}
	writer.Apply(table.Changes{Now: time.Hour}, true)
	now := writer.readAt
	read := table.Changes{Now: time.Hour}
	for i := range 5 {
		at := now.Add(time.Duration(i-10) * time.Second)
		runs := []Run{{Work: work("beside"), SentAt: at.Add(-time.Second)}, {Work: work("w"), SentAt: at.Add(-50 * time.Millisecond), Trial: i >= 3}}
		write, err := writer.putCrash(fmt.Sprint(i), CrashReport{Replica: fmt.Sprintf("r%d", i), Runs: runs, At: at})
		if err != nil {
			t.Fatal(err)
		}
		read.Changes = append(read.Changes, table.Change{Row: table.Row{Key: write.Key, Version: uint64(i + 1), Body: write.Body}})
	}
	guard, _, _ := newGuard(ConnectionRefused)
	(&Rows{Partition: "g/q", Guard: guard}).Apply(read, true)
	if verdict := guard.List.Check(work("w"), now); verdict.FailedTrials != 2 || verdict.RequestTrialDue(now) {
		t.Errorf("work with two failed trials: %+v", verdict)
	}
	if verdict := guard.List.Check(work("beside"), now); verdict.FailedTrials != 0 {
		t.Errorf("work beside it: %+v", verdict)
	}
}

// TestRows_PendingRowsRaiseLimit covers a node that serves requests before it has read the rows
// from a slow table. It receives crash reports but knows no successes, so it must not quarantine
// popular work at the limit of unproven work (soak --seed 7219 --nodes 7, --seed 990118 --nodes 20,
// --seed 7244 --nodes 20).
func TestRows_PendingRowsRaiseLimit(t *testing.T) {
	guard, _, events := newGuard(ConnectionRefused)
	guard.List.RowsPending = true
	rows := &Rows{Partition: "g/q", Guard: guard}
	now := time.Now()
	recordCrash := func(replica string, age time.Duration) {
		at := now.Add(-age)
		guard.RecordCrash(CrashReport{Replica: replica, Runs: runsOf(at.Add(-50*time.Millisecond), work("w")), At: at})
	}
	for i := range DefaultCrashLimit {
		recordCrash(fmt.Sprint("r", i), time.Duration(10-i)*time.Second)
	}
	if verdict := guard.List.Check(work("w"), now); verdict.Quarantined {
		t.Errorf("quarantined by %v before the rows were read", verdict.Replicas)
	}
	rows.Apply(table.Changes{Now: time.Hour}, false)
	if verdict := guard.List.Check(work("w"), now); verdict.Quarantined {
		t.Error("quarantined before all rows were read")
	}
	rows.Apply(table.Changes{Now: time.Hour}, true)
	if verdict := guard.List.Check(work("w"), now); !verdict.Quarantined || len(events.quarantined) != 1 {
		t.Errorf("not quarantined after all rows were read: %+v, events %v", verdict, events.quarantined)
	}
}

// TestRows_PendingRowsStillQuarantine checks that before the rows are read work is quarantined at
// the limit of proven work.
func TestRows_PendingRowsStillQuarantine(t *testing.T) {
	list := List{RowsPending: true}
	for i := range provenFactor * DefaultCrashLimit {
		if isQuarantined(&list, work("w"), i) {
			t.Fatalf("quarantined after %d crashes", i)
		}
		addCrash(&list, fmt.Sprint("r", i), i, work("w"))
	}
	if !isQuarantined(&list, work("w"), 6) {
		t.Error("not quarantined after six crashes")
	}
}
