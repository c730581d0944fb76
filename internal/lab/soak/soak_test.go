package soak

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/command"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// TestMain allows this program to run as a node, since gateways start the node command of the
// current executable.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "node" {
		os.Exit(command.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// A short run with a fixed seed. Use "wheelhoist-lab soak" for other seeds.
func TestRun_PromisesHoldUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some 20 s")
	}
	report, err := Run(t.Context(), Options{Seed: 1, Duration: 8 * time.Second, Nodes: 3, FirstPlanOnly: true, ReadyTimeout: remainingTime(t), Progress: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.Whole == 0 || report.Items == 0 {
		t.Errorf("the run exercised too little: %d complete answers, %d results", report.Whole, report.Items)
	}
	if report.Evacuations == 0 || report.ColdSends == 0 {
		t.Errorf("the run exercised too little: %d evacuations, %d requests to cold servers", report.Evacuations, report.ColdSends)
	}
	if report.HarmfulCrashes < harmThreshold || report.HarmfulRequests < 20 {
		t.Errorf("the run exercised too little: %d servers crashed by %d harmful requests", report.HarmfulCrashes, report.HarmfulRequests)
	}
}

// A short run with both plans. Its seed contains several faults of each kind that is counted below,
// since the server of a single one may be down already.
func TestRun_PromisesHoldUnderBothPlans(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some 25 s")
	}
	report, err := Run(t.Context(), Options{Seed: 1677, Duration: 12 * time.Second, Nodes: 3, ReadyTimeout: remainingTime(t), Progress: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.Silences == 0 || report.ServerStarts == 0 || report.ForeignRows == 0 {
		t.Errorf("the run exercised too little: %d silences, %d restarts of servers, %d foreign rows",
			report.Silences, report.ServerStarts, report.ForeignRows)
	}
	if report.ServerUpdates == 0 || report.Occasions[OneVersion] == 0 || report.Occasions[StreamsGoOn] == 0 {
		t.Errorf("the run exercised too little: %d updates of servers, %d streams of several runs, %d continued streams",
			report.ServerUpdates, report.Occasions[OneVersion], report.Occasions[StreamsGoOn])
	}
	if report.StoreDelays == 0 || report.Pauses == 0 || report.Occasions[AsRecentAsSaid] < minReads {
		t.Errorf("the run exercised too little: %d times a late or slow store, %d pauses of servers, %d answers that tell their age",
			report.StoreDelays, report.Pauses, report.Occasions[AsRecentAsSaid])
	}
}

// drawnLast are the kinds of the second plan that are drawn after its series, in the order in which they
// were added.
var drawnLast = []FaultKind{StoreLosesHistory, UpdateServers, CrowdNode, StoreAnswersLate, StoreSlowAtStarts, PauseServer, DisruptServers, FillServers, CutBesideLongTexts, RefuseJobs}

// The second plan is deterministic and does not change the first.
func TestSecondPlan_IsFixedByItsSeed(t *testing.T) {
	first, again := SecondPlan(7, time.Minute), SecondPlan(7, time.Minute)
	if len(first) < 20 || !slices.Equal(first, again) {
		t.Fatalf("plans have %d and %d faults", len(first), len(again))
	}
	both := mergePlans(Plan(7, time.Minute), first)
	kinds := append(weightedKinds(secondWeights), drawnLast...)
	both = slices.DeleteFunc(both, func(fault Fault) bool { return slices.Contains(kinds, fault.Kind) })
	if !slices.Equal(both, Plan(7, time.Minute)) {
		t.Fatal("the second plan changes the first")
	}
}

// Guards against changes of the series that are drawn for a seed, since findings are recorded by
// seed.
func TestSecondPlan_SeriesOfASeedDoNotChange(t *testing.T) {
	const (
		faults = 36
		sum    = "2fb99d6b5c5376e76f68d5f99c0ee326a577f79eb64ed22692a785e3abf2518b"
	)
	plan := SecondPlan(7, time.Minute)
	series := slices.DeleteFunc(slices.Clone(plan), func(fault Fault) bool { return slices.Contains(drawnLast, fault.Kind) })
	if got := fmt.Sprintf("%x", sha256.Sum256([]byte(fmt.Sprint(series)))); len(series) != faults || got != sum {
		t.Errorf("got %d faults with checksum %s; the series of recorded seeds have changed", len(series), got)
	}
	count := map[FaultKind]int{}
	for _, fault := range plan {
		count[fault.Kind]++
	}
	for _, kind := range drawnLast {
		if count[kind] < 3 {
			t.Errorf("%d of %s in a minute", count[kind], kind)
		}
	}
}

// Guards against new kinds that change what was drawn before them for a seed.
func TestSecondPlan_LaterKindsChangeNoEarlierOnes(t *testing.T) {
	const (
		faults = 54
		sum    = "77d2b7b83bbf015e8ea26376dd450fddc80306483b144c89e9664a0cf2470e4e"
	)
	later := drawnLast[slices.Index(drawnLast, StoreAnswersLate):]
	earlier := slices.DeleteFunc(SecondPlan(7, time.Minute), func(fault Fault) bool { return slices.Contains(later, fault.Kind) })
	if got := fmt.Sprintf("%x", sha256.Sum256([]byte(fmt.Sprint(earlier)))); len(earlier) != faults || got != sum {
		t.Errorf("got %d faults with checksum %s; the plans of recorded seeds have changed", len(earlier), got)
	}
}

// The first plan is deterministic and depends on the seed.
func TestPlan_IsFixedByItsSeed(t *testing.T) {
	first, again, other := Plan(7, time.Minute), Plan(7, time.Minute), Plan(8, time.Minute)
	if len(first) < 20 || len(first) != len(again) {
		t.Fatalf("plans have %d and %d faults", len(first), len(again))
	}
	samePlan := len(first) == len(other)
	for i := range first {
		if first[i] != again[i] {
			t.Fatalf("fault %d is %+v and %+v", i, first[i], again[i])
		}
		samePlan = samePlan && first[i] == other[i]
	}
	if samePlan {
		t.Fatal("two seeds have the same plan")
	}
}

const testEvents = 3

// wholeText returns the text of a complete result.
func wholeText() string {
	var pieces []string
	for id := 1; id <= testEvents; id++ {
		pieces = append(pieces, standin.EventData(id))
	}
	return strings.Join(pieces, "\n")
}

// wholeBody returns the body of a complete stream.
func wholeBody() []byte {
	var body strings.Builder
	for piece := range strings.SplitSeq(wholeText(), "\n") {
		body.WriteString("data: " + piece + "\n\n")
	}
	return []byte(body.String())
}

// validHistory returns a history without violations.
func validHistory() *History {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	listed := []standin.JobResult{{Item: "j-0", Text: wholeText()}, {Item: "j-1", DeadLetter: true}}
	run := func(server, id string, when float64, behaviour standin.Behaviour) ServerRun {
		return ServerRun{Server: server, Run: standin.Run{ID: id, Received: at(when), At: at(when), Behaviour: behaviour, Header: http.Header{"Tenant": {tenantMain}}}}
	}
	queued := run("s1", "queued", 9, standin.Succeed)
	queued.Received = at(5.9)
	history := &History{
		Events: testEvents, Quota: 1000, CalmFrom: at(5),
		Requests: []Request{
			{ID: "whole", Tenant: tenantMain, Prefix: "once", AtMostOnce: true, Node: "n", Process: 1, Sent: at(1), Ended: at(1.2), Answer: &standin.Response{Status: 200, Complete: true, Body: wholeBody()}},
			{ID: "shed", Tenant: tenantMain, Prefix: "once", AtMostOnce: true, Node: "n", Process: 1, Sent: at(2), Ended: at(2.1), Answer: &standin.Response{Status: 503, HasRetryAfter: true}},
			{ID: "early", Tenant: tenantMain, Prefix: "added", Node: "n", Process: 1, Sent: at(1), Ended: at(1.1), Answer: &standin.Response{Status: 404}},
			{ID: "added", Tenant: tenantMain, Prefix: "added", Node: "n", Process: 1, Sent: at(3), Ended: at(3.1), Answer: &standin.Response{Status: 200, Complete: true, Body: wholeBody()}},
		},
		Jobs: []Job{
			{ID: "j", Items: []string{"j-0", "j-1"}, Tokens: 400, Accepted: true, At: at(1)},
			{ID: "ended", Items: []string{"e-0"}, Tokens: 400, Accepted: true, At: at(5.5), EndedAt: at(6)},
			{ID: "refused", Items: []string{"r-0"}, Tokens: 400, Refused: true},
		},
		Observations: []Observation{{Job: "j", Position: 0, JobResult: listed[0]}, {Job: "j", Position: 1, JobResult: listed[1]}, {Job: "j", Position: 0, JobResult: listed[0]}},
		Final:        map[string][]standin.JobResult{"j": listed, "ended": nil},
		Drains:       []Drain{{Server: "s1", At: at(6)}},
		Runs: []ServerRun{
			run("s0", "whole", 1, standin.Succeed), run("s0", "added", 3, standin.Succeed), run("s0", "j-0", 2, standin.Succeed),
			run("s0", "j-1", 2, standin.RejectInvalid), run("s0", "e-0", 5.8, standin.Succeed), run("s1", "other", 7, standin.Succeed),
			queued,
		},
		NodeZones: map[string]string{"n": "a", "m": "b"}, ServerZones: map[string]string{"s0": "a", "s1": "a", "s2": "b"},
	}
	addValidRepeats(history, at)
	addValidCrowd(history, at)
	addValidConfigChange(history, at)
	addValidZones(history, at)
	addValidHarm(history, at)
	addValidWaits(history, at)
	addValidReads(history, at)
	addValidStreams(history, at)
	addValidParts(history, at)
	return history
}

// mutations returns a change of a valid history for each promise, which breaks it.
func mutations() map[Promise]func(h *History) {
	mutations := map[Promise]func(h *History){
		OnePosition: func(h *History) {
			h.Observations = append(h.Observations, Observation{Job: "j", Position: 2, JobResult: standin.JobResult{Item: "j-0", Text: wholeText()}})
		},
		WholeText:       func(h *History) { h.Observations[0].Text, h.Observations[2].Text = "piece 1", "piece 1" },
		JobFinishes:     func(h *History) { h.Final["j"] = h.Final["j"][:1] },
		DeadWithCause:   func(h *History) { h.Runs[3].Behaviour = standin.Succeed },
		AtMostOnce:      func(h *History) { h.Runs = append(h.Runs, h.Runs[0]) },
		NotRunIsTrue:    func(h *History) { h.Runs[0].ID = "shed" },
		WholeAnswer:     func(h *History) { h.Requests[0].Answer.Body = h.Requests[0].Answer.Body[:10] },
		ConfigNeverBack: func(h *History) { h.Requests[2].Sent, h.Requests[2].Ended = h.CalmFrom, h.CalmFrom },
		DrainingUnused:  func(h *History) { h.Runs[5].Received = h.Drains[0].At.Add(3 * time.Second) },
		EndedJobStops:   func(h *History) { h.Runs[4].At = h.Jobs[1].EndedAt.Add(4 * time.Second) },
		WithinQuota:     func(h *History) { h.Jobs[0].Tokens = 600 },
		RefusedNotRun:   func(h *History) { h.Runs[5].ID, h.Runs[5].Server = "r-0", "s0" },
		RetryAfterGiven: func(h *History) { h.Requests[1].Answer.HasRetryAfter = false },
		KeyNotForwarded: func(h *History) { h.Runs[0].Header.Set("Authorization", "Bearer x") },
		NodeKeepsRunning: func(h *History) {
			h.Exits = append(h.Exits, ExitError{Node: "n", Process: 1, State: "exit status 2", Log: "panic"})
		},
		WithinLimit: func(h *History) {
			for number := range 50 {
				id := fmt.Sprintf("beyond-%d", number)
				h.Requests = append(h.Requests, Request{ID: id, Tenant: tenantLimited, Answer: &standin.Response{Status: 200, Complete: true, Body: wholeBody()}})
				h.Runs = append(h.Runs, ServerRun{Server: "s0", Run: standin.Run{ID: id, At: h.Runs[0].At, Header: http.Header{"Tenant": {tenantLimited}}}})
			}
		},
	}
	maps.Copy(mutations, zoneMutations())
	maps.Copy(mutations, harmMutations())
	maps.Copy(mutations, waitMutations())
	maps.Copy(mutations, readMutations())
	maps.Copy(mutations, statedAgeMutations())
	maps.Copy(mutations, configMutations())
	maps.Copy(mutations, streamMutations())
	maps.Copy(mutations, partMutations())
	maps.Copy(mutations, repeatMutations())
	return mutations
}

// A valid history has no violations, and a change that breaks a promise is reported as a violation
// of that promise.
func TestCheck_FindsWhatIsBroken(t *testing.T) {
	if violations := Check(validHistory()); len(violations) > 0 {
		t.Fatalf("a valid history has violations %v", violations)
	}
	mutations := mutations()
	for _, promise := range Promises() {
		mutate := mutations[promise]
		if mutate == nil {
			t.Errorf("no test case breaks %s", promise)
			continue
		}
		history := validHistory()
		mutate(history)
		found := Check(history)
		if len(found) == 0 || found[0].Promise != promise {
			t.Errorf("a history that breaks %s has violations %v", promise, found)
		}
	}
}

func TestProxy_ConnectionFaults(t *testing.T) {
	s := &soak{Options: Options{Nodes: 0}, store: standin.NewStore()}
	t.Cleanup(s.close)
	address, err := s.listen(s.store)
	if err != nil {
		t.Fatal(err)
	}
	proxy, err := startProxy(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.close)
	getStatus := func() int {
		client := standin.Client{Address: proxy.address(), Host: host}
		return client.Stream(t.Context(), "unknown", "id", 300*time.Millisecond).Status
	}
	const reached = 404
	if status := getStatus(); status != reached {
		t.Fatalf("status without a fault is %d", status)
	}
	for _, fault := range []ConnectionFault{Reset, StallToUpstream, StallToCaller} {
		proxy.setFault(fault)
		if status := getStatus(); status != 0 {
			t.Errorf("status with connection fault %d is %d", fault, status)
		}
	}
	proxy.setFault(NoFault)
	if status := getStatus(); status != reached {
		t.Errorf("status after all connection faults is %d", status)
	}
}
