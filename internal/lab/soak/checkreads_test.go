package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Indexes of the reads that addValidReads adds.
const (
	readFirst = iota
	readInTime
	readLater
	readUnavailable
	readJobLater
	readBodyLater
)

// addValidReads adds reads of the first job, which was accepted at 1 s, to a valid history. They
// include the latest answers that are allowed to lack something.
func addValidReads(h *History, at func(seconds float64) time.Time) {
	result := []standin.JobResult{h.Observations[0].JobResult}
	read := func(node string, sent float64, status int, results []standin.JobResult) Read {
		return Read{Job: "j", Node: node, Sent: at(sent), Ended: at(sent + 0.1), Status: status, Results: results}
	}
	h.Reads = []Read{
		readFirst:       read("n", 2.4, 200, result),
		readInTime:      read("m", 3.4, 200, nil),
		readLater:       read("m", 3.6, 200, result),
		readUnavailable: read("m", 3.6, 503, nil),
		readJobLater:    read("m", 1.9, 404, nil),
		readBodyLater:   read("m", 3.6, 404, nil),
	}
	h.Reads[readBodyLater].Item = "j-0"
	h.Reads[readFirst].State = standin.JobState{Version: 20, HasAge: true}
	h.Reads[readInTime].State = standin.JobState{Version: 19, Age: 1200 * time.Millisecond, HasAge: true}
	h.Reads[readLater].State = standin.JobState{Version: 20, Age: 100 * time.Millisecond, HasAge: true}
}

// readMutations returns changes of a valid history that each break one promise.
func readMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		ReadEverywhere: func(h *History) { h.Reads[readLater].Results = nil },
	}
}

// Each kind of stale answer is reported: a missing or different result, an unknown job and missing
// content of an item.
func TestCheck_FindsStaleReads(t *testing.T) {
	sendLater := func(h *History, number int) { h.Reads[number].Sent = h.Reads[number].Sent.Add(200 * time.Millisecond) }
	cases := []struct {
		name   string
		change func(h *History)
		want   string
	}{
		{"missing result", func(h *History) { sendLater(h, readInTime) }, "position 0 of job j, read as \"j-0\" at n first at 2.50 s"},
		{"different result", func(h *History) { h.Reads[readLater].Results = []standin.JobResult{{Item: "j-1", DeadLetter: true}} }, "is \"j-1\" at m"},
		{"unknown job", func(h *History) { sendLater(h, readJobLater) }, "job j, accepted at 1.00 s"},
		{"missing content", func(h *History) {
			h.Reads[readBodyLater].Ended = h.Reads[readFirst].Sent
			h.Reads[readBodyLater].Sent = h.Reads[readBodyLater].Ended.Add(-10 * time.Millisecond)
		}, "item j-0 of job j, accepted at 1.00 s"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := validHistory()
			test.change(h)
			found := Check(h)
			if len(found) != 1 || found[0].Promise != ReadEverywhere || !strings.Contains(found[0].Detail, test.want) {
				t.Errorf("got violations %v, want one that contains %q", found, test.want)
			}
		})
	}
}

// A disturbance shortly before a read excuses the node that it affected. A disturbance of the store
// does not.
func TestCheck_ReadsAtDisturbedNodesDoNotCount(t *testing.T) {
	cases := []struct {
		name        string
		disturbance Disturbance
		broken      bool
	}{
		{"node", Disturbance{Name: "m"}, false},
		{"restart of the node", Disturbance{Name: "m", Restart: true}, false},
		{"restart of all nodes", Disturbance{Name: AllNodes, Restart: true}, false},
		{"other node", Disturbance{Name: "n"}, true},
		{"store", Disturbance{Name: AllNodes, Store: true}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := validHistory()
			readMutations()[ReadEverywhere](h)
			sent := h.Reads[readLater].Sent
			test.disturbance.From, test.disturbance.To = sent.Add(-contactBound), sent.Add(time.Millisecond-contactBound)
			h.Disturbances = []Disturbance{test.disturbance}
			if found := Check(h); (len(found) > 0) != test.broken {
				t.Errorf("got violations %v, want broken = %v", found, test.broken)
			}
			h.Disturbances[0].To = sent.Add(-contactBound - time.Millisecond)
			h.Disturbances[0].From = h.Disturbances[0].To
			if found := Check(h); len(found) != 1 {
				t.Errorf("long after the disturbance: got violations %v, want one", found)
			}
		})
	}
}

// A node is excused for a while after its zone was lost.
func TestCheck_ReadsInLostZonesDoNotCount(t *testing.T) {
	h := validHistory()
	readMutations()[ReadEverywhere](h)
	sent := h.Reads[readLater].Sent
	h.Losses = append(h.Losses, Outage{Zone: "b", From: sent.Add(-2 * time.Second), To: sent.Add(-time.Second)})
	if found := Check(h); len(found) > 0 {
		t.Errorf("unexpected violations %v", found)
	}
}

// A violation says whether the store was stable.
func TestCheck_StaleReadsReportStoreState(t *testing.T) {
	for want, before := range map[string]time.Duration{
		"the store was stable":                    minStoreStable,
		"the store was disturbed until 1s before": time.Second,
		"the store was disturbed then":            -time.Millisecond,
	} {
		h := validHistory()
		readMutations()[ReadEverywhere](h)
		until := h.Reads[readLater].Sent.Add(-before)
		h.Disturbances = []Disturbance{{Name: AllNodes, Store: true, From: until.Add(-time.Second), To: until}}
		if found := Check(h); len(found) != 1 || !strings.Contains(found[0].Detail, want) {
			t.Errorf("got violations %v, want one that contains %q", found, want)
		}
	}
}

// Guards against nodes that answer that a result does not exist after others have returned it,
// while the store leaves calls without an answer and loses its change history.
func TestRun_ReadsHoldWhileTheStoreLosesItsHistory(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some 40 s")
	}
	// With this many slots, items are listed throughout the run.
	options := Options{Seed: 1, Duration: 17 * time.Second, Nodes: 8, Servers: 16, Slots: 8, ReadyTimeout: remainingTime(t), Progress: t.Logf}
	var plan []Fault
	for _, at := range []time.Duration{2 * time.Second, 9 * time.Second} {
		plan = append(plan, Fault{After: at, Duration: 5 * time.Second, Kind: StoreLosesHistory, Share: minSilentShare + silentShareJitter/2})
	}
	report, err := runPlan(t.Context(), options, plan)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.HistoryLosses != len(plan) || report.Reads < minReads {
		t.Errorf("the run exercised too little: %d losses of the history, %d reads", report.HistoryLosses, report.Reads)
	}
}

// minReads is the number of reads below which a run does not exercise the promise, about a tenth of
// what an idle machine makes.
const minReads = 500
