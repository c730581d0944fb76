package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Indexes of the reads that keptReads adds.
const (
	readFirst = iota
	readInTime
	readLater
	readUnavailable
	readJobLater
	readBodyLater
)

// addValidReads adds to a sound history reads of its first job, which was accepted at 1 s, with all
// that is just allowed.
func addValidReads(h *History, at func(seconds float64) time.Time) {
	result := []standin.Listed{h.Observations[0].Listed}
	read := func(node string, sent float64, status int, results []standin.Listed) Read {
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
}

func readMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		ReadEverywhere: func(h *History) { h.Reads[readLater].Results = nil },
	}
}

// Each answer that lacks what it had to have is found, whichever that is.
func TestCheck_FindsStaleReads(t *testing.T) {
	sendLater := func(h *History, number int) { h.Reads[number].Sent = h.Reads[number].Sent.Add(200 * time.Millisecond) }
	cases := []struct {
		name   string
		change func(h *History)
		want   string
	}{
		{"the result", func(h *History) { sendLater(h, readInTime) }, "position 0 of job j, read as \"j-0\" at n first at 2.50 s"},
		{"the same result", func(h *History) { h.Reads[readLater].Results = []standin.Listed{{Item: "j-1", Dead: true}} }, "is \"j-1\" at m"},
		{"the job", func(h *History) { sendLater(h, readJobLater) }, "job j, accepted at 1.00 s"},
		{"the content", func(h *History) {
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
				t.Errorf("found %v, which should be one that says %q", found, test.want)
			}
		})
	}
}

// A node is excused by what befell it alone in the time before, and not by the store.
func TestCheck_ReadsAtDisturbedNodesDoNotCount(t *testing.T) {
	cases := []struct {
		name        string
		disturbance Disturbance
		broken      bool
	}{
		{"the node", Disturbance{Name: "m"}, false},
		{"a restart of the node", Disturbance{Name: "m", Restart: true}, false},
		{"a restart of all nodes", Disturbance{Name: AllNodes, Restart: true}, false},
		{"another node", Disturbance{Name: "n"}, true},
		{"the store", Disturbance{Name: AllNodes, Store: true}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := validHistory()
			readMutations()[ReadEverywhere](h)
			sent := h.Reads[readLater].Sent
			test.disturbance.From, test.disturbance.To = sent.Add(-contactBound), sent.Add(time.Millisecond-contactBound)
			h.Disturbances = []Disturbance{test.disturbance}
			if found := Check(h); (len(found) > 0) != test.broken {
				t.Errorf("found %v, broken should be %v", found, test.broken)
			}
			h.Disturbances[0].To = sent.Add(-contactBound - time.Millisecond)
			h.Disturbances[0].From = h.Disturbances[0].To
			if found := Check(h); len(found) != 1 {
				t.Errorf("long after the disturbance: found %v", found)
			}
		})
	}
}

// The node of a zone that was lost is excused until a while after.
func TestCheck_ReadsInLostZonesDoNotCount(t *testing.T) {
	h := validHistory()
	readMutations()[ReadEverywhere](h)
	sent := h.Reads[readLater].Sent
	h.Losses = append(h.Losses, Outage{Zone: "b", From: sent.Add(-2 * time.Second), To: sent.Add(-time.Second)})
	if found := Check(h); len(found) > 0 {
		t.Errorf("found %v", found)
	}
}

// A line says whether the store had been stable.
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
			t.Errorf("found %v, which should say %q", found, want)
		}
	}
}

// While the store leaves calls without an answer and loses its history, no node answers that
// what others have read is not there.
func TestRun_ReadsHoldWhileTheStoreLosesItsHistory(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some 40 s")
	}
	// With as many slots items are listed all along.
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
		t.Errorf("%d losses of the history, %d reads: nothing was proved", report.HistoryLosses, report.Reads)
	}
}

// minReads is how many reads a run must have made to tell something of them, a tenth of what
// an idle machine makes.
const minReads = 500
