package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
)

// Result is the outcome of a run. Nil figures were not measured.
type Result struct {
	Nodes           int      `json:"nodes"`
	Replicas        int      `json:"replicas"`
	RealNodes       int      `json:"real_nodes"`
	Processes       int      `json:"processes"`
	CPUShareMax     *float64 `json:"cpu_core_share_max"`
	CPUShareHollow  *float64 `json:"cpu_core_share_hollow_mean"`
	RealMemoryMax   *float64 `json:"rss_mb_real_max"`
	HollowMemory    *float64 `json:"state_mb_per_hollow"`
	BytesMax        *float64 `json:"bytes_per_s_max"`
	InForceP50      *float64 `json:"config_in_force_p50_s"`
	InForceP99      *float64 `json:"config_in_force_p99_s"`
	InForceMax      *float64 `json:"config_in_force_max_s"`
	Changes         int      `json:"config_changes"`
	FalseSuspicions *float64 `json:"false_suspicions"`
	TotalMemoryMB   float64  `json:"total_memory_mb"`
	Violations      []string `json:"violations"`
}

const (
	// settleTime lets the fleet come to rest before the measurement.
	settleTime  = 5 * time.Second
	changeEvery = time.Second
)

// Run starts a fleet, measures it at rest and under changes, replays a day's
// failures, and checks the history.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	f, err := startFleet(ctx, options)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	options.Progress("%d nodes see each other", options.Nodes)
	if err := f.declare(ctx); err != nil {
		return nil, err
	}
	sleep(ctx, settleTime)
	result := &Result{
		Nodes: options.Nodes, Replicas: options.Replicas, RealNodes: len(f.real),
		Processes: len(f.real) + len(f.workers) + 1, Violations: []string{},
	}
	before := f.sample(ctx)
	sleep(ctx, options.Duration)
	f.costs(ctx, before, result)
	f.inForce(f.change(ctx, options.Duration), result)
	if options.Day {
		f.replayDay(ctx)
	}
	for _, violation := range history.Check(f.recorder.Events()) {
		result.Violations = append(result.Violations, violation.String())
	}
	return result, nil
}

func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// declare applies a pool and the tenants.
func (f *fleet) declare(ctx context.Context) error {
	pool, err := json.Marshal(v1.ModelPoolSpec{
		Model: modelName, Version: "v1", Replicas: v1.ReplicaRange{Max: f.options.Replicas},
	})
	if err != nil {
		return Error.Wrap(err)
	}
	operator := f.operator(0)
	declared := []*v1.Resource{{APIVersion: v1.APIVersion, Kind: v1.KindModelPool, Metadata: v1.Metadata{Name: poolName}, Spec: pool}}
	for i := range f.options.Tenants {
		spec, err := json.Marshal(v1.TenantSpec{KeySHA256: v1.HashKey(tenantKey(i)), Weight: 1})
		if err != nil {
			return Error.Wrap(err)
		}
		name := fmt.Sprintf("tenant-%04d", i)
		declared = append(declared, &v1.Resource{APIVersion: v1.APIVersion, Kind: v1.KindTenant, Metadata: v1.Metadata{Name: name}, Spec: spec})
	}
	for _, resource := range declared {
		if _, err := operator.Put(ctx, resource, nil); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// tenantKey is the key of a declared tenant.
func tenantKey(i int) string { return fmt.Sprintf("tenant-key-%d", i) }

// sample is a reading of all counters.
type sample struct {
	at      time.Time
	cpu     map[*process]time.Duration
	metrics map[int]map[string]float64
}

// sampledNodes is how many nodes, hollow ones among them, are scraped.
const sampledNodes = 24

func (f *fleet) sample(ctx context.Context) sample {
	reading := sample{at: time.Now(), cpu: map[*process]time.Duration{}, metrics: map[int]map[string]float64{}}
	for _, one := range append(append([]*process(nil), f.real...), f.workers...) {
		if used, err := cpuTime(one.command.Process.Pid); err == nil {
			reading.cpu[one] = used
		}
	}
	step := max(1, len(f.nodes)/sampledNodes)
	for i := 0; i < len(f.nodes); i += step {
		if metrics, err := scrape(ctx, "http://"+f.nodes[i].Node.Listen); err == nil {
			reading.metrics[i] = metrics
		}
	}
	return reading
}

// costs compares two readings.
func (f *fleet) costs(ctx context.Context, before sample, result *Result) {
	after := f.sample(ctx)
	elapsed := after.at.Sub(before.at).Seconds()
	for _, one := range f.real {
		raise(&result.CPUShareMax, (after.cpu[one]-before.cpu[one]).Seconds()/elapsed)
		if resident, err := residentBytes(one.command.Process.Pid); err == nil {
			raise(&result.RealMemoryMax, float64(resident)/(1<<20))
			result.TotalMemoryMB += float64(resident) / (1 << 20)
		}
	}
	hollowCPU, hollowMemory, hollowNodes := 0.0, 0.0, 0
	for _, one := range f.workers {
		hollowCPU += (after.cpu[one] - before.cpu[one]).Seconds() / elapsed
		hollowNodes += len(one.nodes)
		if resident, err := residentBytes(one.command.Process.Pid); err == nil {
			hollowMemory += float64(resident) / (1 << 20)
		}
	}
	result.TotalMemoryMB += hollowMemory
	if hollowNodes > 0 {
		raise(&result.CPUShareHollow, hollowCPU/float64(hollowNodes))
		raise(&result.HollowMemory, hollowMemory/float64(hollowNodes))
	}
	for i, metrics := range after.metrics {
		if earlier, ok := before.metrics[i]; ok {
			raise(&result.BytesMax, (controlBytes(metrics)-controlBytes(earlier))/elapsed)
		}
	}
	// No node has died up to here, so every session that is missing was wrongly
	// taken for expired.
	raise(&result.FalseSuspicions, float64(f.options.Nodes-f.seen(ctx)))
}

func raise(target **float64, value float64) {
	if *target == nil || **target < value {
		*target = &value
	}
}

// written is a committed change and when its write began.
type written struct {
	revision uint64
	began    time.Time
}

// change writes a policy through random nodes for a time.
func (f *fleet) change(ctx context.Context, length time.Duration) []written {
	random := rand.New(rand.NewPCG(f.options.Seed, 3))
	end := time.Now().Add(length)
	var done []written
	for round := 0; time.Now().Before(end) && ctx.Err() == nil; round++ {
		began := time.Now()
		answer, err := f.write(ctx, random.IntN(len(f.nodes)), round)
		if err == nil {
			done = append(done, written{revision: answer.Metadata.ResourceVersion, began: began})
		} else {
			f.options.Progress("change %d: %v", round, err)
		}
		sleep(ctx, time.Until(began.Add(changeEvery)))
	}
	return done
}

func (f *fleet) write(ctx context.Context, node, round int) (*v1.Resource, error) {
	spec, err := json.Marshal(v1.SitePolicySpec{Note: fmt.Sprint(round)})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return f.operator(node).Put(ctx, &v1.Resource{
		APIVersion: v1.APIVersion, Kind: v1.KindSitePolicy, Metadata: v1.Metadata{Name: "site"}, Spec: spec,
	}, nil)
}

// inForce works out how long changes took to be in force on each node.
func (f *fleet) inForce(changes []written, result *Result) {
	result.Changes = len(changes)
	reached := map[string][]history.Event{}
	for _, event := range f.recorder.Events() {
		if event.Type == history.ConfigApplied {
			reached[event.Source] = append(reached[event.Source], event)
		}
	}
	var times []float64
	for _, change := range changes {
		for _, events := range reached {
			for _, event := range events {
				if event.Revision >= change.revision {
					times = append(times, time.Unix(0, event.Time).Sub(change.began).Seconds())
					break
				}
			}
		}
	}
	missing := len(changes)*len(f.nodes) - len(times)
	if missing > 0 {
		result.Violations = append(result.Violations, fmt.Sprintf("%d times a change was not in force on a node", missing))
	}
	if len(times) == 0 {
		return
	}
	sort.Float64s(times)
	at := func(q float64) *float64 { return &times[min(len(times)-1, int(q*float64(len(times))))] }
	result.InForceP50, result.InForceP99, result.InForceMax = at(0.5), at(0.99), at(1)
}
