// Package experiment runs the scenarios of the lab. A scenario runs a site under load, injects faults
// and checks the recorded history at the end.
package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/load"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
	"github.com/wheelhoist/wheelhoist/internal/lab/site"
)

// Error is the class of all errors of this package.
var Error = errs.Class("experiment")

// Options configures one run.
type Options struct {
	Profile  profile.Profile
	Seed     uint64
	Duration time.Duration
	// Nodes is the number of nodes; 0 uses the number of the scenario.
	Nodes int
	// Progress receives progress messages; nil discards them.
	Progress func(format string, arguments ...any)
}

// Mix describes the load of a scenario.
type Mix struct {
	// Online scales the profile's online rate; 0 means none.
	Online float64
	// NotRepeatableShare is the share of online requests that are not repeatable. About half of
	// them have an Idempotency-Key.
	NotRepeatableShare float64
	// Jobs is the number of jobs per wave; 0 means no batch load.
	Jobs int
	// Items is the number of items per job; 0 uses the number of the profile.
	Items int
	// NotRepeatableItems makes the items of every third job not repeatable.
	NotRepeatableItems bool
	// Cancel cancels every fourth job one second after it is accepted.
	Cancel bool
	// Resend submits every job twice concurrently.
	Resend bool
	// Operators is the number of operators that concurrently update two resources.
	Operators int
	// Rollout changes the model version of the pool during the run.
	Rollout bool
}

// Scenario is a named experiment.
type Scenario struct {
	Name        string
	Description string
	Mix         Mix
	Nodes       int
	// Faults are injected concurrently while the load runs.
	Faults []Fault
	// Run, if set, replaces the standard run of Mix and Faults.
	Run func(ctx context.Context, options Options) (*Result, error)
}

// needsProcesses reports whether any fault needs the nodes to run as separate processes.
func (s *Scenario) needsProcesses() bool {
	for _, fault := range s.Faults {
		if fault.NeedsProcesses {
			return true
		}
	}
	return false
}

// Batch summarizes the batch load of a run.
type Batch struct {
	Jobs             int     `json:"jobs"`
	Items            int     `json:"items"`
	PerSecond        float64 `json:"items_per_s"`
	WastedTokenShare float64 `json:"wasted_token_share"`
	// TableWrites is the number of table row writes per 1,000 items.
	TableWrites float64 `json:"table_writes_per_1000_items,omitempty"`
}

// Result is the result of a run.
type Result struct {
	Scenario           string             `json:"scenario"`
	Profile            string             `json:"profile"`
	Seed               uint64             `json:"seed"`
	Violations         []string           `json:"violations"`
	Online             load.Online        `json:"online"`
	Batch              Batch              `json:"batch"`
	TTFTP99VersusAlone *float64           `json:"ttft_p99_vs_alone,omitempty"`
	IdleUse            *float64           `json:"idle_use,omitempty"`
	Figures            map[string]float64 `json:"figures,omitempty"`
	Rows               []Row              `json:"rows,omitempty"`

	Events []history.Event `json:"-"`
	Points []load.Point    `json:"-"`
}

// Row holds the figures of one variant in a comparison.
type Row struct {
	Name    string             `json:"name"`
	Figures map[string]float64 `json:"figures"`
}

// run is the state of a standard run.
type run struct {
	options  Options
	scenario *Scenario
	site     *site.Site
	recorder *history.Recorder
	stats    *load.Stats
	random   *lockedRandom
	started  time.Time

	mu      sync.Mutex
	jobs    []*load.Job
	errors  []error
	figures map[string]float64
}

// lockedRandom is a random source that is safe for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newRandom(seed uint64) *lockedRandom {
	return &lockedRandom{source: rand.New(rand.NewPCG(seed, 99))}
}

// IntN returns a number in [0, n).
func (r *lockedRandom) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.IntN(n)
}

// Float64 returns a number in [0, 1).
func (r *lockedRandom) Float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Float64()
}

const (
	defaultNodes = 4
	// jobsTimeout bounds the wait for all jobs after the load has ended.
	jobsTimeout = 90 * time.Second
)

// Execute runs a scenario. Violations are part of the result, not an error.
func Execute(ctx context.Context, scenario *Scenario, options Options) (*Result, error) {
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	if scenario.Run != nil {
		result, err := scenario.Run(ctx, options)
		if err != nil {
			return nil, err
		}
		result.Scenario, result.Profile, result.Seed = scenario.Name, options.Profile.Name, options.Seed
		return result, nil
	}
	return executeMix(ctx, scenario, options)
}

// executeMix executes a standard run: load and faults concurrently, then the wait for all jobs, then
// the check of the history.
func executeMix(ctx context.Context, scenario *Scenario, options Options) (*Result, error) {
	nodes := options.Nodes
	if nodes == 0 {
		nodes = scenario.Nodes
	}
	if nodes == 0 {
		nodes = defaultNodes
	}
	r := &run{
		options: options, scenario: scenario, recorder: &history.Recorder{},
		stats: load.NewStats(), random: newRandom(options.Seed), figures: map[string]float64{},
	}
	var err error
	r.site, err = site.Start(ctx, site.Config{
		Profile: options.Profile, Nodes: nodes, Listen: "127.0.0.1:0", Seed: options.Seed,
		Recorder: r.recorder, Processes: scenario.needsProcesses(),
	})
	if err != nil {
		return nil, err
	}
	defer r.site.Close()
	options.Progress("site ready: %d nodes, %d replicas", nodes, options.Profile.ReplicaCount())
	r.started = time.Now()
	r.runLoadAndFaults(ctx)
	r.verifyJobs(ctx)
	return r.result(), nil
}

// runLoadAndFaults runs the load and the faults concurrently for the duration of the run.
func (r *run) runLoadAndFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	var group sync.WaitGroup
	spawn := func(action func(context.Context)) {
		group.Add(1)
		go func() {
			defer group.Done()
			action(ctx)
		}()
	}
	mix := r.scenario.Mix
	if mix.Online > 0 {
		spawn(r.replayOnline)
	}
	if mix.Jobs > 0 {
		spawn(r.submitWaves)
	}
	for operator := range mix.Operators {
		spawn(func(ctx context.Context) { r.runOperator(ctx, operator) })
	}
	if mix.Rollout {
		spawn(r.rollOutVersion)
	}
	for _, fault := range r.scenario.Faults {
		spawn(func(ctx context.Context) {
			r.recorder.Record(history.Event{Source: "lab", Type: history.FaultStart, Detail: fault.Name})
			fault.Inject(ctx, r)
			r.recorder.Record(history.Event{Source: "lab", Type: history.FaultEnd, Detail: fault.Name})
		})
	}
	group.Wait()
}

func (r *run) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, err)
}

// addFigure sets a figure of the result.
func (r *run) addFigure(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures[name] = value
}

// result checks the history and summarizes the run.
func (r *run) result() *Result {
	elapsed := time.Since(r.started).Seconds()
	events := r.recorder.Events()
	result := &Result{
		Scenario: r.scenario.Name, Profile: r.options.Profile.Name, Seed: r.options.Seed,
		Violations: []string{}, Figures: r.figures, Online: r.stats.Summary(), Events: events, Points: r.stats.Points(),
	}
	for _, violation := range history.Check(events) {
		result.Violations = append(result.Violations, violation.String())
	}
	for _, err := range r.errors {
		result.Violations = append(result.Violations, "run: "+err.Error())
	}
	result.Batch = r.batchSummary(events, elapsed)
	return result
}

func (r *run) batchSummary(events []history.Event, elapsed float64) Batch {
	summary := Batch{Jobs: len(r.jobs)}
	var last int64
	for _, event := range events {
		if event.Type == history.BatchResult && event.Outcome == "completed" {
			summary.Items++
		}
		if event.Type == history.BatchFinal {
			last = event.Time
		}
	}
	if last > 0 {
		elapsed = time.Unix(0, last).Sub(r.started).Seconds()
	}
	if elapsed > 0 {
		summary.PerSecond = float64(summary.Items) / elapsed
	}
	var batchTokens, wasted uint64
	for _, engine := range r.site.Engines() {
		totals := engine.Totals()
		batchTokens += totals.BatchTokens
		wasted += totals.AbortedTokens
	}
	if batchTokens > 0 {
		summary.WastedTokenShare = float64(wasted) / float64(batchTokens)
	}
	if summary.Items > 0 {
		writes, _ := r.site.Platform.Table.Counts()
		summary.TableWrites = float64(writes) / float64(summary.Items) * 1000
	}
	return summary
}

// Find returns the scenario with the given name. A name can combine several faults with "+", as in
// "batch-kill-node+store-down".
func Find(name string) (*Scenario, error) {
	for _, scenario := range All() {
		if scenario.Name == name {
			return scenario, nil
		}
	}
	family, list, found := strings.Cut(name, "-")
	base, known := families[family]
	if !found || !known {
		return nil, Error.New("unknown scenario %q, see run --list", name)
	}
	combined := &Scenario{Name: name, Mix: base.mix, Nodes: base.nodes}
	for _, faultName := range strings.Split(list, "+") {
		fault, ok := faultByName(faultName)
		if !ok {
			return nil, Error.New("unknown scenario %q: no fault %q", name, faultName)
		}
		combined.Faults = append(combined.Faults, fault)
	}
	return combined, nil
}

// All returns all scenarios: every family with every single fault, sorted by family, then the
// standalone ones.
func All() []*Scenario {
	var scenarios []*Scenario
	var names []string
	for name := range families {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, fault := range faults {
			scenarios = append(scenarios, &Scenario{
				Name: name + "-" + fault.Name, Description: fmt.Sprintf("%s under: %s", families[name].description, fault.Description),
				Mix: families[name].mix, Nodes: families[name].nodes, Faults: []Fault{fault},
			})
		}
	}
	return append(scenarios, standaloneScenarios...)
}

// family is a load that can be combined with any fault.
type family struct {
	description string
	mix         Mix
	nodes       int
}

var families = map[string]family{
	"batch": {
		description: "waves of jobs, some resent, cancelled or not repeatable, with light online load",
		mix:         Mix{Online: 0.3, Jobs: 3, NotRepeatableItems: true, Cancel: true, Resend: true},
	},
	"online": {
		description: "online bursts, some requests not repeatable, with batch load",
		mix:         Mix{Online: 1, NotRepeatableShare: 0.2, Jobs: 1},
	},
	"config": {
		description: "operators updating the same resources concurrently",
		mix:         Mix{Online: 0.2, Operators: 6},
	},
	"placement": {
		description: "rollout of a new version under load",
		mix:         Mix{Online: 0.5, Jobs: 1, Operators: 1, Rollout: true},
	},
	"membership": {
		description: "node membership under light load",
		mix:         Mix{Online: 0.2, Operators: 2},
		nodes:       6,
	},
}
