package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// statedAgeMutations returns changes of a valid history that each break one promise.
func statedAgeMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		AsRecentAsSaid: func(h *History) { h.Reads[readLater].State.Version-- },
	}
}

// Guards against a check that misses an answer which is older than it says, or that asks more of an answer
// than it says. In the valid history node n shows version 20 at 2.5 s, and node m is read at 3.6 s.
func TestCheck_AnswersAreAsRecentAsTheySay(t *testing.T) {
	state := func(version uint64, age time.Duration) standin.JobState {
		return standin.JobState{Version: version, Age: age, HasAge: true}
	}
	cases := []struct {
		name   string
		change func(read *Read)
		broken bool
	}{
		{"same version", func(read *Read) { read.State = state(20, 0) }, false},
		{"newer version", func(read *Read) { read.State = state(21, 0) }, false},
		{"old, and says so", func(read *Read) { read.State = state(19, 1100*time.Millisecond) }, false},
		{"old, and says to be younger", func(read *Read) { read.State = state(19, 1099*time.Millisecond) }, true},
		{"old, though it has the position", func(read *Read) { read.State = state(1, 0) }, true},
		{"old, sent before the other's answer arrived", func(read *Read) {
			read.State, read.Sent = state(19, 0), read.Sent.Add(-1100*time.Millisecond)
		}, false},
		{"old, of a node that was just started", func(read *Read) { read.State = state(19, 0) }, true},
		{"old, at the node that showed the version itself", func(read *Read) { read.State, read.Node = state(19, 0), "n" }, true},
		{"no age", func(read *Read) { read.State = standin.JobState{Version: 19} }, false},
		{"not sure", func(read *Read) { read.Status, read.Results, read.State = 503, nil, standin.JobState{} }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := validHistory()
			sent := h.Reads[readLater].Sent
			h.Disturbances = []Disturbance{{Name: "m", Restart: true, From: sent.Add(-2 * time.Second), To: sent.Add(-time.Second)}}
			test.change(&h.Reads[readLater])
			found := Check(h)
			if !test.broken && len(found) > 0 {
				t.Errorf("got violations %v, want none", found)
			}
			if test.broken && (len(found) != 1 || found[0].Promise != AsRecentAsSaid || !strings.Contains(found[0].Detail, "n had shown version 20")) {
				t.Errorf("got violations %v, want one of %s", found, AsRecentAsSaid)
			}
		})
	}
}

// Guards against nodes that take the first answers of their process for recent though these came late: they
// denied what had been shown elsewhere while the answers were under way.
func TestRun_AnswersTellTheirAgeThoughFirstAnswersAreLate(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some 50 s")
	}
	// With this many slots, items are listed throughout the run.
	options := Options{Seed: 1, Duration: 20 * time.Second, Nodes: 6, Servers: 16, Slots: 8, ReadyTimeout: remainingTime(t), Progress: t.Logf}
	var plan []Fault
	for number := range 2 {
		at := time.Second + time.Duration(number)*(latencyPause+time.Second)
		plan = append(plan, Fault{After: at, Duration: latencyPause, Kind: StoreAnswersLate, Target: latencyRestarts*number + latencyRestarts - 1})
	}
	report, err := runPlan(t.Context(), options, plan)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.StoreDelays != len(plan) || report.Occasions[AsRecentAsSaid] < minReads {
		t.Errorf("the run exercised too little: %d times a late store, %d answers that tell their age", report.StoreDelays, report.Occasions[AsRecentAsSaid])
	}
}
