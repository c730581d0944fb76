package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// work returns a Work derived from name.
func work(name string) Work {
	content := Content{Target: name}
	return content.Work()
}

// addCrash reports a crash of a replica that ran works, at second after start.
func addCrash(list *List, replica string, second int, works ...Work) []Verdict {
	at := start.Add(time.Duration(second) * time.Second)
	return list.Add(CrashReport{Replica: replica, Runs: runsOf(at.Add(-100*time.Millisecond), works...), At: at}, at)
}

// runsOf returns one run per work, all sent at the same time.
func runsOf(sentAt time.Time, works ...Work) []Run {
	var runs []Run
	for _, work := range works {
		runs = append(runs, Run{Work: work, SentAt: sentAt})
	}
	return runs
}

// isQuarantined reports whether work is quarantined at second after start.
func isQuarantined(list *List, work Work, second int) bool {
	return list.Check(work, start.Add(time.Duration(second)*time.Second)).Quarantined
}

func TestList_QuarantinesAfterThreeCrashes(t *testing.T) {
	var list List
	bad := work("bad")
	for i := range 2 {
		if got := addCrash(&list, fmt.Sprintf("r%d", i), i, bad, work(fmt.Sprintf("beside %d", i))); len(got) != 0 {
			t.Fatalf("quarantined after %d crashes: %v", i+1, got)
		}
	}
	got := addCrash(&list, "r2", 2, bad, work("beside"))
	if len(got) != 1 || got[0].Work != bad || len(got[0].Replicas) != 3 {
		t.Fatalf("verdicts %v", got)
	}
	if !isQuarantined(&list, bad, 10) || isQuarantined(&list, work("beside"), 10) {
		t.Fatal("the wrong work is quarantined")
	}
}

func TestList_IgnoresDuplicateReports(t *testing.T) {
	var list List
	for range 5 {
		addCrash(&list, "r", 0, work("w"))
	}
	if verdict := list.Check(work("w"), start); len(verdict.Replicas) != 1 {
		t.Fatalf("%d crashes count, want 1", len(verdict.Replicas))
	}
}

func TestList_CountsRepeatedCrashesOfOneReplica(t *testing.T) {
	var list List
	for i := range 3 {
		addCrash(&list, "machine", 10*i, work("w"))
	}
	if !isQuarantined(&list, work("w"), 21) {
		t.Fatal("three crashes of one replica count as fewer")
	}
}

// TestList_CountsConcurrentCrashesOnce covers a failing rack or zone, which takes down many
// replicas that all run a popular request.
func TestList_CountsConcurrentCrashesOnce(t *testing.T) {
	var list List
	popular := work("popular")
	for i := range 6 {
		at := start.Add(time.Duration(i) * 300 * time.Millisecond)
		list.Add(CrashReport{Replica: fmt.Sprintf("r%d", i), Runs: runsOf(start.Add(-time.Second), popular), At: at}, at)
	}
	if verdict := list.Check(popular, start.Add(2*time.Second)); len(verdict.Replicas) != 1 {
		t.Fatalf("%d crashes count, want 1", len(verdict.Replicas))
	}
	// Runs sent after a crash count again, even if clock skew makes them appear slightly earlier.
	for i := range 2 {
		at := start.Add(time.Duration(1+i) * time.Second)
		crashedAt := start.Add(time.Duration(i) * time.Second)
		list.Add(CrashReport{Replica: fmt.Sprintf("again%d", i), Runs: runsOf(crashedAt.Add(-clockSkew), popular), At: at}, at)
	}
	if !isQuarantined(&list, popular, 3) {
		t.Fatal("crashes of runs sent after earlier crashes do not count")
	}
}

func TestList_SuccessClears(t *testing.T) {
	var list List
	popular := work("popular")
	for i := range 10 {
		addCrash(&list, fmt.Sprintf("r%d", i), 2*i, popular)
		list.Clear(popular, start.Add(time.Duration(2*i+1)*time.Second))
		if isQuarantined(&list, popular, 2*i+1) {
			t.Fatalf("quarantined after %d crashes with successes between them", i+1)
		}
	}
	// Crashes after the clearing count.
	for i := range 6 {
		addCrash(&list, fmt.Sprintf("later%d", i), 100+i, popular)
	}
	if !isQuarantined(&list, popular, 106) {
		t.Fatal("six consecutive crashes do not quarantine")
	}
}

// TestList_ProvenWorkNeedsMoreCrashes covers popular work that is present at three crashes in short
// succession.
func TestList_ProvenWorkNeedsMoreCrashes(t *testing.T) {
	var list List
	popular, fresh := work("popular"), work("fresh")
	list.Clear(popular, start.Add(-time.Second))
	for i := range 5 {
		addCrash(&list, fmt.Sprintf("r%d", i), i, popular, fresh)
		if isQuarantined(&list, popular, i) || isQuarantined(&list, fresh, i) != (i >= 2) {
			t.Fatalf("after %d crashes: proven work quarantined %v, other %v", i+1, isQuarantined(&list, popular, i), isQuarantined(&list, fresh, i))
		}
	}
	if got := addCrash(&list, "r5", 5, popular); len(got) != 1 || !isQuarantined(&list, popular, 5) {
		t.Fatal("proven work is not quarantined after six crashes")
	}
	list.Clear(popular, start.Add(6*time.Second))
	if isQuarantined(&list, popular, 7) {
		t.Fatal("a success does not clear")
	}
}

func TestList_IgnoresCrashBeforeClearing(t *testing.T) {
	var list List
	list.Clear(work("w"), start.Add(time.Minute))
	addCrash(&list, "r", 0, work("w"))
	if verdict := list.Check(work("w"), start.Add(time.Hour/2)); len(verdict.Replicas) != 0 {
		t.Fatalf("%d crashes count, want 0", len(verdict.Replicas))
	}
}

func TestList_LateClearingCoversEarlierCrashes(t *testing.T) {
	var list List
	for i := range 3 {
		addCrash(&list, fmt.Sprintf("r%d", i), i, work("w"))
	}
	list.Clear(work("w"), start.Add(1500*time.Millisecond))
	if verdict := list.Check(work("w"), start.Add(5*time.Second)); verdict.Quarantined || len(verdict.Replicas) != 1 {
		t.Fatalf("verdict %+v", verdict)
	}
}

// TestList_FindsHarmfulWorkBesideQuarantinedWork checks that harmful work is quarantined even if
// other work that ran beside it each time already is.
func TestList_FindsHarmfulWorkBesideQuarantinedWork(t *testing.T) {
	var list List
	bad, beside := work("bad"), work("beside")
	for i := range 3 {
		addCrash(&list, fmt.Sprintf("before%d", i), i-10, beside)
		addCrash(&list, fmt.Sprintf("r%d", i), i, beside, bad)
	}
	if !isQuarantined(&list, bad, 3) {
		t.Fatal("harmful work is not quarantined")
	}
}

// TestList_CrashesByHarmfulWorkSpareProvenWork covers popular work that is present at the crashes
// of several harmful works. These crashes must not add up against it, or it is refused on all nodes
// for up to DefaultWindow (soak seed 7215).
func TestList_CrashesByHarmfulWorkSpareProvenWork(t *testing.T) {
	var list List
	popular := work("popular")
	list.Clear(popular, start.Add(-time.Second))
	for i := range 9 {
		harmful := work(fmt.Sprintf("harmful %d", i/3))
		addCrash(&list, fmt.Sprintf("r%d", i), i, popular, harmful)
		addCrash(&list, fmt.Sprintf("apart%d", i), i, harmful)
	}
	if verdict := list.Check(popular, start.Add(10*time.Second)); verdict.Quarantined || len(verdict.Replicas) != 0 {
		t.Errorf("crashes by three harmful works count: %+v", verdict)
	}
	for i := range 6 {
		if isQuarantined(&list, popular, 20+i) {
			t.Errorf("quarantined after %d unexplained crashes", i)
		}
		addCrash(&list, fmt.Sprintf("alone%d", i), 20+i, popular, work(fmt.Sprintf("beside %d", i)))
	}
	if !isQuarantined(&list, popular, 26) {
		t.Error("proven work that starts to crash replicas is not quarantined")
	}
}

// TestList_ProvenWorkExplainsNoCrash checks that proven work, even if it is quarantined by mistake,
// does not hide harmful work that has succeeded at times.
func TestList_ProvenWorkExplainsNoCrash(t *testing.T) {
	var list List
	popular, harmful := work("popular"), work("harmful at times")
	list.Clear(popular, start.Add(-time.Second))
	list.Clear(harmful, start.Add(-time.Second))
	for i := range 6 {
		addCrash(&list, fmt.Sprintf("r%d", i), i, popular, harmful)
	}
	if !isQuarantined(&list, harmful, 6) {
		t.Error("work present at six crashes is not quarantined beside other proven work")
	}
}

func TestList_QuarantineExpires(t *testing.T) {
	list := List{CrashLimit: 3, Window: time.Minute}
	bad := work("bad")
	for i := range 3 {
		addCrash(&list, fmt.Sprintf("r%d", i), 10*i, bad)
	}
	if verdict := list.Check(bad, start.Add(30*time.Second)); !verdict.Until.Equal(start.Add(time.Minute)) {
		t.Fatalf("until %v", verdict.Until.Sub(start))
	}
	if !isQuarantined(&list, bad, 59) || isQuarantined(&list, bad, 60) {
		t.Fatal("the quarantine does not end when the oldest crash is a minute old")
	}
	if addCrash(&list, "again", 61, bad); !isQuarantined(&list, bad, 62) {
		t.Fatal("a new crash does not count together with those of the last minute")
	}
	if addCrash(&list, "late", 500, work("other")); isQuarantined(&list, bad, 500) {
		t.Fatal("still quarantined")
	}
	if all := list.All(start.Add(10 * time.Hour)); len(all) != 0 || !list.Empty() {
		t.Fatalf("%d suspects are left", len(all))
	}
}

func TestList_EvictsOldestBeyondBound(t *testing.T) {
	var list List
	for i := range maxWorks + 100 {
		addCrash(&list, fmt.Sprintf("r%d", i), 0, work(fmt.Sprint(i)))
	}
	if count := list.suspectCount.Load(); count != maxWorks {
		t.Fatalf("%d suspects, want maxWorks", count)
	}
	if len(list.Check(work("0"), start).Replicas) != 0 || len(list.Check(work(fmt.Sprint(maxWorks)), start).Replicas) != 1 {
		t.Fatal("crashes other than the oldest were evicted")
	}
}

// BenchmarkList_CheckFull measures the time and allocations of Check on a full list.
func BenchmarkList_CheckFull(b *testing.B) {
	var list List
	for i := range maxWorks / 8 {
		var beside []Work
		for slot := range 8 {
			beside = append(beside, work(fmt.Sprint(8*i+slot)))
		}
		addCrash(&list, fmt.Sprintf("i-%010x", i), 0, beside...)
	}
	b.ReportAllocs()
	for b.Loop() {
		list.Check(work("innocent"), start)
	}
}

// BenchmarkList_Memory measures the heap size of a full list in bytes.
func BenchmarkList_Memory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var list List
		for i := range maxWorks {
			addCrash(&list, fmt.Sprintf("i-%010x", i/8), 0, work(fmt.Sprint(i)))
		}
		for i := range 2 * maxRecent {
			list.Clear(work(fmt.Sprint("well", i)), start)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/list")
		runtime.KeepAlive(&list)
	}
}
