package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// fillLists returns a guard that knows a number of crashes. With parts, all are under one harmful part, and each
// replica also ran requests with other parts, some of them popular.
func fillLists(crashes int, withParts bool) (*Guard, time.Time) {
	list := &List{}
	guard := &Guard{List: list, Parts: NewPartList(list), Events: &recordedEvents{}}
	now := time.Now()
	for i := range crashes {
		guard.RecordCrash(costReport(i, now.Add(-time.Duration(crashes-i)*time.Second), withParts))
	}
	return guard, now
}

// costReport returns the report of a crash with a few runs.
func costReport(number int, at time.Time, withParts bool) CrashReport {
	report := CrashReport{Replica: fmt.Sprint("r", number), StartedUnixMs: int64(number + 1), At: at}
	sentAt := at.Add(-50 * time.Millisecond)
	for i := range 6 {
		report.Runs = append(report.Runs, Run{Work: work(fmt.Sprint("w", number, "-", i)), SentAt: sentAt})
		if withParts {
			report.Parts = append(report.Parts, Run{Work: work(fmt.Sprint("popular", (number+i)%8)), SentAt: sentAt}, Run{Work: work(fmt.Sprint("rare", number, "-", i)), SentAt: sentAt})
		}
	}
	if withParts {
		report.Parts = append(report.Parts, Run{Work: work("harmful"), SentAt: sentAt})
	}
	return report
}

// BenchmarkRecordCrash records one more crash beside a number of others.
func BenchmarkRecordCrash(b *testing.B) {
	for _, withParts := range []bool{false, true} {
		for _, crashes := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%d crashes, parts %v", crashes, withParts), func(b *testing.B) {
				guard, now := fillLists(crashes, withParts)
				for i := 0; b.Loop(); i++ {
					guard.RecordCrash(costReport(crashes+i, now, withParts))
				}
			})
		}
	}
}

// Guards against a crash report whose cost grows faster than the crashes that are known, and against a known
// one that is evaluated again.
func TestRecordCrash_CostIsLinearInCrashes(t *testing.T) {
	const fewer, more = 50, 500
	for _, withParts := range []bool{false, true} {
		allocated := func(crashes int, record func(guard *Guard, now time.Time)) float64 {
			guard, now := fillLists(crashes, withParts)
			return testing.AllocsPerRun(10, func() { record(guard, now) })
		}
		next := 0
		recordNew := func(guard *Guard, now time.Time) {
			next++
			guard.RecordCrash(costReport(more+next, now, withParts))
		}
		few, many := allocated(fewer, recordNew), allocated(more, recordNew)
		if many > few*more/fewer {
			t.Errorf("parts %v: %.0f allocations with %d crashes, %.0f with %d", withParts, few, fewer, many, more)
		}
		recordKnown := func(guard *Guard, now time.Time) {
			if guard.RecordCrash(costReport(0, now.Add(-more*time.Second), withParts)) {
				t.Error("a known report counts as new")
			}
		}
		if known := allocated(more, recordKnown); known > few {
			t.Errorf("parts %v: %.0f allocations for a report that is known among %d, %.0f for a new one among %d", withParts, known, more, few, fewer)
		}
	}
}
