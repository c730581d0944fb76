package quarantine

import (
	"testing"
	"time"
)

// Guards against a node that starts and quarantines work which another node has seen succeed after the
// crashes that it reports.
func TestKnown_IncludesSuccesses(t *testing.T) {
	now := time.Now()
	whole := &List{}
	guard := &Guard{List: whole, Parts: NewPartList(whole)}
	harmful, harmless := work("harmful"), work("harmless")
	for i, replica := range []string{"a", "b", "c", "d", "e"} {
		at := now.Add(time.Duration(i-10) * time.Second)
		sent := at.Add(-100 * time.Millisecond)
		run := func(work Work) Run { return Run{Work: work, SentAt: sent} }
		whole.Add(CrashReport{Replica: replica, StartedUnixMs: 1, At: at, Runs: []Run{run(harmful), run(harmless)}}, now)
		report := CrashReport{Replica: replica, StartedUnixMs: 2, At: at, Runs: []Run{run(work("with part " + replica))}, Parts: []Run{run(bad), run(first)}}
		whole.Add(report, now)
		addParts(guard.Parts, report, now)
	}
	guard.Clear(Clearing{Work: harmless, At: now.Add(-time.Second)})
	guard.Clear(Clearing{Work: first, At: now.Add(-time.Second), Part: true})

	learned := &List{}
	other := &Guard{List: learned, Parts: NewPartList(learned)}
	reports, clearings := guard.Known(maxWorks)
	for _, clearing := range clearings {
		other.Clear(clearing)
	}
	for _, report := range reports {
		learned.Add(report, now)
		addParts(other.Parts, report, now)
	}
	for _, test := range []struct {
		name        string
		quarantined bool
		want        bool
	}{
		{"harmful work", learned.Check(harmful, now).Quarantined, true},
		{"work that has succeeded", learned.Check(harmless, now).Quarantined, false},
		{"harmful part", other.Parts.CheckParts([]Work{first, bad}, now).Quarantined, true},
		{"part that has succeeded", other.Parts.CheckParts([]Work{first, rare}, now).Quarantined, false},
	} {
		if test.quarantined != test.want {
			t.Errorf("%s: quarantined %v", test.name, test.quarantined)
		}
	}
	if few, _ := guard.Known(2); len(few) != 4 || few[1].Replica != "e" || few[1].At.IsZero() {
		t.Errorf("the two newest crashes are %+v", few)
	}
}
