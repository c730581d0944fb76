package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// partTrialSoon is how soon after a trial that says nothing the next one has to be due, for a request without
// other suspicious parts.
const partTrialSoon = maxTrialWait

// blameFirstPart reports crashes that are attributed to the first part alone, which is at more of them than the
// harmful one.
func blameFirstPart(site *partSite) {
	for request := range 3 {
		site.crash(request, []Work{first, bad})
	}
	for request := range 2 {
		site.crash(10+request, []Work{first, work(fmt.Sprint("document ", request))})
	}
}

// failTrial reports the crash of a trial of a part, under a request with the given parts and beside other runs.
func (s *partSite) failTrial(tried Work, parts []Work, beside ...Run) {
	s.now = s.now.Add(100 * time.Millisecond)
	s.count++
	run := Run{Work: work(fmt.Sprint("trial ", s.count)), SentAt: s.now, Parts: parts, TriedPart: tried}
	replica := Replica{ID: fmt.Sprintf("replica-%d", s.count)}
	report := replica.crashReport(append(beside, run), s.now)
	s.whole.Add(report, s.now)
	addParts(s.parts, report, s.now)
}

// mayTryAfter reports whether a request with the given parts may run as a trial a time later.
func (s *partSite) mayTryAfter(wait time.Duration, parts ...Work) bool {
	now := s.now.Add(wait)
	verdict := s.parts.CheckParts(parts, now)
	return verdict.RequestTrialDue(now) && s.parts.mayTry(&verdict, parts, now)
}

// Guards against a sound part that is refused for long because harmful work of another request, which had
// crashed replicas before, ran on the replica of its trial.
func TestPartTrial_BesideHarmfulRequestSaysNothing(t *testing.T) {
	site := newPartSite(t)
	blameFirstPart(site)
	harmful := work("harmful")
	site.whole.Add(CrashReport{Replica: "other", Runs: runsOf(site.now, harmful), At: site.now}, site.now)
	site.failTrial(first, []Work{first, rare}, Run{Work: harmful, SentAt: site.now})
	if !site.mayTryAfter(partTrialSoon, first, rare) {
		t.Error("the next trial is put off by a crash that a harmful request explains")
	}
}

// Guards against a sound part that is refused for long because a request with a harmful part ran on the replica
// of its trial.
func TestPartTrial_BesideSuspiciousPartSaysNothing(t *testing.T) {
	site := newPartSite(t)
	blameFirstPart(site)
	site.failTrial(first, []Work{first, rare}, Run{Work: work("beside"), SentAt: site.now, Parts: []Work{first, bad}})
	if !site.mayTryAfter(partTrialSoon, first, rare) {
		t.Error("the next trial is put off by a crash that a harmful part explains")
	}
}

// Guards against a sound part that is blamed alone, and refused for long, because of a trial of it together with
// a harmful part that could not be told from it.
func TestPartTrial_OfSeveralPartsBlamesNoneAlone(t *testing.T) {
	for name, blamed := range map[string]Work{"first": first, "bad": bad} {
		t.Run(name, func(t *testing.T) {
			site := newPartSite(t)
			for request := range 4 {
				site.crash(request, []Work{first, bad})
			}
			site.failTrial(blamed, []Work{first, bad})
			site.crash(10, []Work{first})
			if !site.isRefused(first, bad) {
				t.Fatal("the request with the harmful part is sent")
			}
			if site.isRefused(first) && !site.mayTryAfter(partTrialSoon, first, rare) {
				t.Error("a trial of two parts puts off the next trial of one of them")
			}
		})
	}
}

// Guards against a harmful part whose trials always run beside other harmful work, and are repeated without end.
func TestPartTrial_UnclearTrialsAreFew(t *testing.T) {
	site := newPartSite(t)
	for request := range 4 {
		site.crash(request, []Work{bad})
	}
	harmful := work("harmful")
	site.whole.Add(CrashReport{Replica: "other", Runs: runsOf(site.now, harmful), At: site.now}, site.now)
	trials := 0
	for ended := site.now.Add(10 * time.Minute); site.now.Before(ended); site.now = site.now.Add(100 * time.Millisecond) {
		if !site.isRefused(bad) {
			t.Fatal("the harmful part is sent")
		}
		if site.mayTryAfter(0, bad) {
			trials++
			site.failTrial(bad, []Work{bad}, Run{Work: harmful, SentAt: site.now})
		}
	}
	// One at once, and three more.
	if trials > 4 {
		t.Errorf("%d trials in the first ten minutes", trials)
	}
}

// Guards against a part whose trials never begin: no request holds it without another part that was at some of
// the crashes, and those parts cannot succeed as long as it is refused.
func TestPartTrial_BeginsBesidePartsOfFewCrashes(t *testing.T) {
	site := newPartSite(t)
	for request := range 6 {
		site.crash(request, []Work{first, bad}, []Work{first, work(fmt.Sprint("tool ", request%3))}, []Work{first})
	}
	site.crash(6, []Work{first})
	tool := work("tool 0")
	if !site.mayTryAfter(partTrialSoon, first, tool) {
		t.Error("no request with a part that was at a third of the crashes is tried")
	}
	if site.mayTryAfter(partTrialSoon, first, bad) {
		t.Error("a request with a part that explains almost all crashes is tried at once")
	}
}
