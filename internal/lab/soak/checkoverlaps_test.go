package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// addValidRepeats adds to a valid history a request that began at a second server while the first one still ran it
// for less than maxOverlap, and a request that may run once, in whose place a late answer came.
func addValidRepeats(h *History, at func(float64) time.Time) {
	run := func(server, id string, from float64) ServerRun {
		return ServerRun{Server: server, Run: standin.Run{ID: id, Received: at(from), At: at(from), Header: http.Header{"Tenant": {tenantMain}}}}
	}
	request := func(id, prefix string, once bool) Request {
		return Request{ID: id, Tenant: tenantMain, Prefix: prefix, AtMostOnce: once, Node: "n", Process: 1, Sent: at(2.2), Ended: at(3), Answer: &standin.Response{Status: 200, Complete: true, Body: wholeBody()}}
	}
	h.Requests = append(h.Requests, request("repeated", "resume", false), request("plain", plainPrefix, true))
	h.Runs = append(h.Runs, run("s0", "repeated", 2.3), run("s2", "repeated", 2.4), run("s2", "plain", 2.5))
	h.Disrupted = []DisruptedAnswer{{Server: "s2", Disrupted: standin.Disrupted{At: at(2.5), Disruption: standin.LateRefusal, Request: "plain", Of: "shed"}}}
}

// repeated returns the run of the request that ran at two servers at one of them.
func repeated(h *History, server string) *ServerRun {
	index := slices.IndexFunc(h.Runs, func(run ServerRun) bool { return run.ID == "repeated" && run.Server == server })
	return &h.Runs[index]
}

// repeatMutations returns changes of a valid history that each break one promise.
func repeatMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		OneRunAtATime: func(h *History) {
			repeated(h, "s0").Ended = repeated(h, "s2").At.Add(maxOverlap + 10*time.Millisecond)
		},
		ResultNeverChanges: func(h *History) {
			h.Observations[2].Text = "piece 1 of v2\npiece 2 of v2\npiece 3 of v2"
		},
	}
}

// Guards against a check that blames nodes which were disturbed, or servers out of reach, or that excuses others.
func TestCheck_OverlapsOfConnectedNodesCount(t *testing.T) {
	at := func(h *History, seconds float64) time.Time {
		return h.LoadStart.Add(time.Duration(seconds * float64(time.Second)))
	}
	disturb := func(name string, from, to float64, store bool) func(h *History) {
		return func(h *History) {
			h.Disturbances = append(h.Disturbances, Disturbance{Name: name, From: at(h, from), To: at(h, to), Store: store})
		}
	}
	for name, test := range map[string]struct {
		change func(h *History)
		want   int
	}{
		"no disturbance":                               {func(*History) {}, 1},
		"run that has not ended":                       {func(h *History) { repeated(h, "s0").Ended = time.Time{} }, 1},
		"node disturbed before":                        {disturb("n", -0.5, -0.4, false), 0},
		"store disturbed before":                       {disturb(AllNodes, 1.5, 1.6, true), 0},
		"other node disturbed":                         {disturb("m", 2, 3, false), 1},
		"node disturbed contactBound before":           {disturb("n", -2, -1.6, false), 1},
		"first server out of reach":                    {disturb("s0", 2.6, 2.7, false), 0},
		"second server out of reach":                   {disturb("s2", 2.4, 2.7, false), 0},
		"other server out of reach":                    {disturb("s1", 2, 3, false), 1},
		"zone of the first server lost":                {func(h *History) { h.Losses = append(h.Losses, Outage{Zone: "a", From: at(h, 2.4), To: at(h, 2.6)}) }, 0},
		"both runs at one server":                      {func(h *History) { repeated(h, "s2").Server = "s0" }, 0},
		"disturbed before a long run, not after":       {func(h *History) { repeated(h, "s0").Received = at(h, -3); disturb("n", -2.5, -2, false)(h) }, 0},
		"waited at the first server, went on too long": {func(h *History) { repeated(h, "s0").At = at(h, 2.6) }, 1},
		"waited at the first server, ended in time": {func(h *History) {
			repeated(h, "s0").At, repeated(h, "s0").Ended = at(h, 2.6), at(h, 2.7)
			repeated(h, "s2").Ended = at(h, 4)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			repeatMutations()[OneRunAtATime](h)
			test.change(h)
			count := 0
			for _, violation := range Check(h) {
				if violation.Promise == OneRunAtATime {
					count++
				}
			}
			if count != test.want {
				t.Errorf("%d violations, want %d", count, test.want)
			}
		})
	}
}

// Guards against checks that judge only one of the kinds of requests which may run once: streams that cannot be
// resumed and requests that are no streams.
func TestCheck_AllRequestsThatRunOnce(t *testing.T) {
	for _, id := range []string{"whole", "plain"} {
		twice := validHistory()
		for _, run := range twice.Runs {
			if run.ID == id {
				twice.Runs = append(twice.Runs, run)
				break
			}
		}
		refused := validHistory()
		for i := range refused.Requests {
			if refused.Requests[i].ID == id {
				refused.Requests[i].Answer = &standin.Response{Status: http.StatusServiceUnavailable, HasRetryAfter: true}
			}
		}
		for promise, h := range map[Promise]*History{AtMostOnce: twice, NotRunIsTrue: refused} {
			if found := Check(h); len(found) != 1 || found[0].Promise != promise {
				t.Errorf("%s: violations %v, want one of %s", id, found, promise)
			}
		}
	}
	if !runsOnce("once") || !runsOnce(plainPrefix) || runsOnce("resume") {
		t.Error("the routes whose requests may run once are not all known")
	}
}

// Guards against a run without late answers to requests that run once that seems to say something about them.
func TestOccasions_WithoutLateAnswers(t *testing.T) {
	h := validHistory()
	if with := Occasions(h); with[AtMostOnce] != 1 {
		t.Errorf("%d occasions with one late answer", with[AtMostOnce])
	}
	h.Disrupted = nil
	if without := Occasions(h); without[AtMostOnce] != 0 || without[NotRunIsTrue] != 0 {
		t.Errorf("%d and %d occasions without late answers", without[AtMostOnce], without[NotRunIsTrue])
	}
}

// Guards against a check that is content with a result that changes and changes back, or misses a second change or
// one from a dead letter.
func TestCheck_AnyChangeOfAResultCounts(t *testing.T) {
	back := validHistory()
	first := back.Observations[0]
	changed := first
	changed.Text = "piece 1 of v2\npiece 2 of v2\npiece 3 of v2"
	back.Observations = append(back.Observations, changed, first)
	again := validHistory()
	third := changed
	third.Text = "piece 1 of v3\npiece 2 of v3\npiece 3 of v3"
	again.Observations = append(again.Observations, changed, third, first)
	dead := validHistory()
	revived := dead.Observations[1]
	revived.DeadLetter, revived.Text = false, wholeText()
	dead.Observations = append(dead.Observations, revived)
	for name, test := range map[string]struct {
		history *History
		want    int
	}{"back": {back, 1}, "again": {again, 2}, "dead": {dead, 1}} {
		found := Check(test.history)
		if len(found) != test.want || found[0].Promise != ResultNeverChanges {
			t.Errorf("%s: violations %v", name, found)
		}
	}
}
