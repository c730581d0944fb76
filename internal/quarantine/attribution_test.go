package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// partSite is a pair of lists to which crashes with parts of prompts are reported, 100 ms apart.
type partSite struct {
	t     *testing.T
	whole *List
	parts *List
	now   time.Time
	count int
}

func newPartSite(t *testing.T) *partSite {
	whole := &List{}
	return &partSite{t: t, whole: whole, parts: NewPartList(whole), now: time.Now()}
}

// crash reports a crash under one request for each set of parts. Requests with the same number are the same.
func (s *partSite) crash(request int, sets ...[]Work) {
	s.t.Helper()
	sentAt := s.now.Add(10 * time.Millisecond)
	s.now = s.now.Add(100 * time.Millisecond)
	s.count++
	var runs []Run
	for i, parts := range sets {
		runs = append(runs, Run{Work: work(fmt.Sprintf("request %d-%d", request, i)), SentAt: sentAt, Parts: parts})
	}
	replica := Replica{ID: fmt.Sprintf("replica-%d", s.count)}
	report := replica.crashReport(runs, s.now)
	s.whole.Add(report, s.now)
	addParts(s.parts, report, s.now)
}

// addParts records a report in a list of parts, as a Guard does: there the parts take the place of the runs.
func addParts(list *List, report CrashReport, now time.Time) {
	report.Runs = report.Parts
	list.Add(report, now)
}

// isRefused reports whether a request with the given parts is refused.
func (s *partSite) isRefused(parts ...Work) bool { return s.parts.CheckParts(parts, s.now).Quarantined }

// Parts of prompts in the tests of attribution.
var first, bad, worse, rare = work("first"), work("bad"), work("worse"), work("rare")

func TestAttribution_BlamesPartOfAllCrashes(t *testing.T) {
	site := newPartSite(t)
	for request := range 4 {
		if site.isRefused(first, bad) {
			t.Fatalf("refused after %d crashes", request)
		}
		beside := []Work{first}
		if request != 2 {
			beside = append(beside, rare)
		}
		site.crash(request, []Work{first, bad}, beside)
		site.parts.Clear(first, site.now)
	}
	if !site.isRefused(first, bad) || !site.isRefused(bad, rare) {
		t.Error("the part that all crashes have in common is sent")
	}
	site.crash(5, []Work{first, bad}, []Work{first, rare})
	if site.isRefused(first, rare) || site.isRefused(first) {
		t.Error("a part that other crashes explain is refused")
	}
}

// Guards against a part that cannot be told from the harmful one and is refused by itself.
func TestAttribution_PartsThatCannotBeToldApart(t *testing.T) {
	site := newPartSite(t)
	for request := range 4 {
		site.crash(request, []Work{first, bad, rare})
	}
	if !site.isRefused(first, bad, rare) {
		t.Error("a request with all suspects is sent")
	}
	if site.isRefused(first, rare) || site.isRefused(first, bad) {
		t.Error("a request that would tell the suspects apart is refused")
	}
	site.parts.Clear(first, site.now)
	site.crash(5, []Work{first, bad})
	if !site.isRefused(first, bad) || site.isRefused(first, rare) {
		t.Error("the crash without the other suspect does not count")
	}
}

func TestAttribution_TwoHarmfulParts(t *testing.T) {
	site := newPartSite(t)
	for request := range 9 {
		harmful := bad
		if request%2 == 1 {
			harmful = worse
		}
		site.crash(request, []Work{first, harmful}, []Work{first, rare})
		site.parts.Clear(first, site.now)
		site.parts.Clear(rare, site.now)
	}
	if !site.isRefused(first, bad) || !site.isRefused(first, worse) || site.isRefused(first, rare) {
		t.Errorf("refused: bad %v, worse %v, rare %v", site.isRefused(bad), site.isRefused(worse), site.isRefused(rare))
	}
}

// Guards against a sound part that is refused because one harmful request that is sent again and again holds it.
func TestAttribution_HarmfulRequestExplainsItsParts(t *testing.T) {
	site := newPartSite(t)
	for range 6 {
		site.crash(1, []Work{first, rare})
		site.parts.Clear(first, site.now)
	}
	if site.isRefused(first, rare) {
		t.Error("a part is refused though one quarantined request was at all crashes")
	}
	site.crash(2, []Work{first, rare})
	if !site.isRefused(rare) {
		t.Error("a part that crashes replicas under another request too is sent")
	}
}

// Guards against parts that are refused because many replicas end at once, as when a zone is lost.
func TestAttribution_SimultaneousCrashesAreOne(t *testing.T) {
	site := newPartSite(t)
	sentAt := site.now
	for i := range 30 {
		replica := Replica{ID: fmt.Sprintf("replica-%d", i)}
		report := replica.crashReport([]Run{{Work: work(fmt.Sprint(i)), SentAt: sentAt, Parts: []Work{first}}}, sentAt.Add(time.Second))
		addParts(site.parts, report, sentAt.Add(time.Second))
	}
	if site.isRefused(first) {
		t.Error("a part is refused after crashes under requests that were sent before the first of them")
	}
}

// Guards against trials that never end, and against a part that is forgotten while requests with it still come:
// of those that come later than its fifth crash three run in the first day, and four in any later one.
func TestAttribution_TrialsOfParts(t *testing.T) {
	site := newPartSite(t)
	for request := range 4 {
		site.crash(request, []Work{bad})
	}
	const days = 5
	var trials [days]int
	number := 0
	for elapsed := time.Duration(0); elapsed < days*24*time.Hour; elapsed += time.Second {
		site.now = site.now.Add(time.Second)
		verdict := site.parts.CheckParts([]Work{bad}, site.now)
		if !verdict.Quarantined {
			t.Fatalf("sent again after %v and %v trials", elapsed, trials)
		}
		if !verdict.RequestTrialDue(site.now) {
			continue
		}
		number++
		trials[elapsed/(24*time.Hour)]++
		replica := Replica{ID: fmt.Sprintf("trial-%d", number)}
		report := replica.crashReport([]Run{{Work: work(fmt.Sprintf("trial %d", number)), SentAt: site.now, Parts: []Work{bad}, TriedPart: bad}}, site.now)
		addParts(site.parts, report, site.now)
	}
	// The first trial of the first day is the fifth crash.
	if trials[0] > 4 || slices.Max(trials[1:]) > 4 || slices.Min(trials[:]) < 1 {
		t.Errorf("trials by day: %v", trials)
	}
}

// Guards against memory that grows with the parts of a fleet: a part that has succeeded is forgotten.
func TestAttribution_SuccessForgetsCrashes(t *testing.T) {
	site := newPartSite(t)
	for request := range 100 {
		site.crash(request, []Work{first, work(fmt.Sprint(request))})
		site.parts.Clear(first, site.now)
		site.parts.Clear(work(fmt.Sprint(request)), site.now)
	}
	if !site.parts.Empty() || len(site.parts.byArrival) > 0 || len(site.parts.crashes) > 0 {
		t.Errorf("%d suspects, %d crashes remain", len(site.parts.suspects), len(site.parts.byArrival))
	}
}

// BenchmarkList_CheckPartsOfSoundRequest measures what a request costs while nothing is quarantined, and while
// one part is.
func BenchmarkList_CheckPartsOfSoundRequest(b *testing.B) {
	for name, crashes := range map[string]int{"nothing quarantined": 0, "one part quarantined": 10} {
		b.Run(name, func(b *testing.B) {
			whole := &List{}
			guard := &Guard{List: whole, Parts: NewPartList(whole)}
			now := time.Now()
			for i := range crashes {
				now = now.Add(100 * time.Millisecond)
				replica := Replica{ID: fmt.Sprint(i)}
				report := replica.crashReport([]Run{{Work: work(fmt.Sprint(i)), SentAt: now, Parts: []Work{bad}}}, now)
				addParts(guard.Parts, report, now)
			}
			parts := func() []Work { return []Work{PartOf("pool", 1), PartOf("pool", 2), PartOf("pool", 3)} }
			for b.Loop() {
				if _, err := guard.RefuseParts(b.Context(), parts, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkGuard_RecordPartSuccess measures what each complete answer costs.
func BenchmarkGuard_RecordPartSuccess(b *testing.B) {
	whole := &List{}
	guard := &Guard{List: whole, Parts: NewPartList(whole)}
	number := uint64(0)
	for b.Loop() {
		number++
		guard.RecordPartSuccess([]Work{PartOf("pool", 1), PartOf("pool", number%200), PartOf("pool", number)})
	}
}

// BenchmarkList_AddCrashOfParts measures a crash report with 12 runs of three parts among many others, which
// every node of a fleet records.
func BenchmarkList_AddCrashOfParts(b *testing.B) {
	for _, known := range []int{1000, 2000} {
		b.Run(fmt.Sprintf("%d crashes known", known), func(b *testing.B) {
			whole := &List{}
			parts := NewPartList(whole)
			now := time.Now()
			add := func(number int) {
				now = now.Add(50 * time.Millisecond)
				var runs []Run
				for i := range 12 {
					held := []Work{first, work(fmt.Sprint("tool ", (number+i)%200)), work(fmt.Sprint("document ", number*12+i))}
					runs = append(runs, Run{Work: work(fmt.Sprint(number, i)), SentAt: now.Add(-20 * time.Millisecond), Parts: held})
				}
				replica := Replica{ID: fmt.Sprint(number)}
				report := replica.crashReport(runs, now)
				addParts(parts, report, now)
				parts.Clear(first, now)
				for i := range 12 {
					parts.Clear(work(fmt.Sprint("tool ", (number+i)%200)), now)
				}
			}
			for i := range known {
				add(i)
			}
			number := known
			for b.Loop() {
				add(number)
				number++
			}
		})
	}
}

// Guards against a quarantined part that is sent again by all nodes that hold requests for it, because the crash
// of another part's trial is added and explains some of its crashes (simulation with five parts).
func TestAttribution_TriedPartStaysQuarantined(t *testing.T) {
	site := newPartSite(t)
	for request := range 4 {
		site.crash(request, []Work{bad})
	}
	replica := Replica{ID: "trial"}
	report := replica.crashReport([]Run{{Work: work("trial"), SentAt: site.now, Parts: []Work{bad}, TriedPart: bad}}, site.now)
	addParts(site.parts, report, site.now)
	for request := range 8 {
		site.crash(10+request, []Work{worse}, []Work{bad})
	}
	if !site.isRefused(bad) {
		t.Error("a part whose trial crashed a replica is sent again without a success")
	}
}

// Guards against a first part that all requests hold and that is refused because a pool was lost under several
// harmful parts, none of which has reached the limit (simulation with five parts).
func TestAttribution_ProvenPartIsNoCauseBesideSuspiciousOnes(t *testing.T) {
	site := newPartSite(t)
	site.parts.Clear(first, site.now)
	for request := range 9 {
		site.crash(request, []Work{first, work(fmt.Sprint("harmful ", request%3))})
	}
	if site.isRefused(first) {
		t.Error("a part that succeeded before is refused though other parts may explain all crashes")
	}
}

// Guards against trials that say nothing: a request that holds another suspicious part crashes its replica
// though the tried part is sound.
func TestAttribution_TrialNeedsRequestWithoutOtherSuspects(t *testing.T) {
	site := newPartSite(t)
	for request := range 4 {
		harmful := bad
		if request%2 == 1 {
			harmful = worse
		}
		site.crash(request, []Work{first, harmful})
	}
	verdict := site.parts.CheckParts([]Work{first}, site.now)
	if !verdict.Quarantined {
		t.Fatal("the part at all crashes is sent")
	}
	if site.parts.mayTry(&verdict, []Work{first, bad}, site.now) || !site.parts.mayTry(&verdict, []Work{first, rare}, site.now) {
		t.Error("a request with another suspicious part runs as the trial, or one without does not")
	}
}

// Guards against harmless work that is refused for crashes of a part of other prompts: it is repeated, so it
// is at several of them, and has no success between.
func TestAttribution_PartExplainsCrashesOfWholeRequests(t *testing.T) {
	site := newPartSite(t)
	repeated := work("repeated")
	crash := func(request int, beside ...Run) {
		sentAt := site.now.Add(10 * time.Millisecond)
		site.now = site.now.Add(100 * time.Millisecond)
		report := CrashReport{
			Replica: fmt.Sprintf("replica-%d", request), StartedUnixMs: 1, At: site.now,
			Runs:  append(beside, Run{Work: work(fmt.Sprintf("request-%d", request)), SentAt: sentAt}),
			Parts: []Run{{Work: bad, SentAt: sentAt}},
		}
		site.whole.Add(report, site.now)
		addParts(site.parts, report, site.now)
	}
	for request := range 3 {
		crash(request, Run{Work: repeated, SentAt: site.now.Add(10 * time.Millisecond)})
	}
	if !site.whole.Check(repeated, site.now).Quarantined {
		t.Fatal("work at three crashes that nothing explains is not quarantined")
	}
	crash(3)
	if !site.isRefused(bad) || site.whole.Check(repeated, site.now).Quarantined {
		t.Errorf("part refused: %v, work that ran beside it: %+v", site.isRefused(bad), site.whole.Check(repeated, site.now))
	}
	site.parts.Clear(bad, site.now)
	if site.isRefused(bad) || !site.whole.Check(repeated, site.now).Quarantined {
		t.Error("the part succeeded, and explains the crashes no longer")
	}
}
