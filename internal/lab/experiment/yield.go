package experiment

import (
	"context"
	"fmt"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lab/emulator"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/load"
	"github.com/wheelhoist/wheelhoist/internal/lab/site"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// variant is one configuration in a comparison under the same online load.
type variant struct {
	name string
	// batch adds a batch job that outlasts the run.
	batch  bool
	policy *v1.BatchPolicy
	// split dedicates half of the replicas to online and half to batch.
	split bool
	// onlineScale scales the online rate of the profile; 0 means 1.
	onlineScale float64
	nodes       int
}

// Names of figures in results.
const (
	figureTTFTP50            = "ttft_p50_ms"
	figureTTFTP99            = "ttft_p99_ms"
	figureItems              = "items_per_s"
	figureIdleUse            = "idle_use"
	figureWasted             = "wasted_share"
	figureTTFTP99VersusAlone = "ttft_p99_vs_alone"
	figureHitRate            = "prefix_hit_rate"
	figureReplicaSpread      = "replica_spread"
	figureRefused            = "refused"
	figureGoodput            = "answers_per_s"
	figureFailed             = "failed"
	figureGapP95             = "token_gap_p95_ms"
	figureRequests           = "requests"
	figureOnlineSlotShare    = "online_slot_share"
)

// endlessItems is the number of items of a job that outlasts a run.
const endlessItems = 12_000

// warmupDuration is the time for the batch to fill the replicas before the online load starts.
const warmupDuration = 2500 * time.Millisecond

// measurement is the result of running a variant.
type measurement struct {
	row    Row
	stats  *load.Stats
	events []history.Event
}

// runVariant runs one variant. The measurement covers the replay of the online schedule, without the
// warm-up.
func runVariant(ctx context.Context, options Options, v variant) (*measurement, error) {
	options.Progress("variant %s", v.name)
	recorder := &history.Recorder{}
	nodes := v.nodes
	if nodes == 0 {
		nodes = max(options.Nodes, defaultNodes)
	}
	labSite, err := site.Start(ctx, site.Config{
		Profile: options.Profile, Nodes: nodes, Listen: "127.0.0.1:0", Seed: options.Seed,
		Recorder: recorder, Policy: v.policy,
	})
	if err != nil {
		return nil, err
	}
	defer labSite.Close()
	if v.split {
		if err := splitRoles(ctx, labSite); err != nil {
			return nil, err
		}
	}
	if v.batch {
		submitter := &load.Submitter{Model: options.Profile.Model, Key: site.TenantKey, URLs: labSite.URLs}
		items := load.Items(options.Profile.Batch, options.Seed, "endless", endlessItems, false)
		if _, err := submitter.Submit(ctx, items, time.Hour, ""); err != nil {
			return nil, err
		}
	}
	retry.Sleep(ctx, warmupDuration)
	stats := load.NewStats()
	caller := (&load.Caller{
		Model: options.Profile.Model, Key: site.TenantKey, Version: options.Profile.Version, Recorder: recorder,
		Stats: stats, URLs: labSite.ReadyURLs, Delay: options.Profile.ClientDelay,
	}).Open()
	defer caller.Close()
	scale := v.onlineScale
	if scale == 0 {
		scale = 1
	}
	before := readTotals(labSite)
	itemsBefore := completedItems(labSite)
	started := time.Now()
	caller.Replay(ctx, load.Schedule(options.Profile.Online, options.Seed, options.Duration, scale))
	elapsed := time.Since(started)
	after := readTotals(labSite)
	row := Row{Name: v.name, Figures: slotFigures(labSite, before, after, elapsed)}
	row.Figures[figureItems] = float64(completedItems(labSite)-itemsBefore) / elapsed.Seconds()
	onlineFigures(row.Figures, stats.Summary(), elapsed)
	return &measurement{row: row, stats: stats, events: recorder.Events()}, nil
}

// splitRoles assigns the batch role to every second replica and the online role to the others, then
// waits for roleDelay so that the engines apply them.
func splitRoles(ctx context.Context, labSite *site.Site) error {
	byRole := map[string][]string{}
	for i, engine := range labSite.Engines() {
		role := "online"
		if i%2 == 0 {
			role = "batch"
		}
		byRole[role] = append(byRole[role], engine.ID)
	}
	for role, ids := range byRole {
		if err := labSite.DeclareRole(ctx, role, ids); err != nil {
			return err
		}
	}
	const roleDelay = 4 * time.Second
	retry.Sleep(ctx, roleDelay)
	return nil
}

func readTotals(labSite *site.Site) []emulator.EngineTotals {
	var totals []emulator.EngineTotals
	for _, engine := range labSite.Engines() {
		totals = append(totals, engine.Totals())
	}
	return totals
}

func completedItems(labSite *site.Site) uint64 {
	var items uint64
	for _, node := range labSite.Nodes() {
		if inner := node.InProcess(); inner != nil {
			items += inner.ItemsCompleted()
		}
	}
	return items
}

// slotFigures computes how the sequence slots of the engines were used. Idle use is the slot time of
// batch work divided by the slot time not used by online work.
func slotFigures(labSite *site.Site, before, after []emulator.EngineTotals, elapsed time.Duration) map[string]float64 {
	var capacity, online, all time.Duration
	var batchTokens, aborted, recomputed, prompt, cached uint64
	for i, engine := range labSite.Engines() {
		capacity += time.Duration(engine.Slots()) * elapsed
		online += after[i].OnlineSlotTime - before[i].OnlineSlotTime
		all += after[i].SlotTime - before[i].SlotTime
		batchTokens += after[i].BatchTokens - before[i].BatchTokens
		aborted += after[i].AbortedTokens - before[i].AbortedTokens
		recomputed += after[i].RecomputeTokens - before[i].RecomputeTokens
		prompt += after[i].OnlinePromptTokens - before[i].OnlinePromptTokens
		cached += after[i].OnlineCachedTokens - before[i].OnlineCachedTokens
	}
	figures := map[string]float64{
		figureIdleUse:         float64(all-online) / float64(capacity-online),
		figureOnlineSlotShare: float64(online) / float64(capacity),
	}
	if batchTokens > 0 {
		figures[figureWasted] = float64(aborted) / float64(batchTokens)
		figures["recomputed_share"] = float64(recomputed) / float64(batchTokens)
	}
	if prompt > 0 {
		figures[figureHitRate] = float64(cached) / float64(prompt)
	}
	figures[figureReplicaSpread] = replicaSpread(before, after)
	return figures
}

// replicaSpread returns the maximum online slot time per replica divided by the mean.
func replicaSpread(before, after []emulator.EngineTotals) float64 {
	var maximum, sum float64
	for i := range after {
		used := float64(after[i].OnlineSlotTime - before[i].OnlineSlotTime)
		maximum = max(maximum, used)
		sum += used
	}
	if sum == 0 {
		return 0
	}
	return maximum / (sum / float64(len(after)))
}

func onlineFigures(figures map[string]float64, online load.Online, elapsed time.Duration) {
	figures[figureTTFTP50], figures[figureTTFTP99] = online.TTFTP50, online.TTFTP99
	figures["ttft_p95_ms"] = online.TTFTP95
	figures[figureGapP95] = online.GapP95
	figures[figureRequests] = float64(online.Requests)
	figures[figureRefused], figures[figureFailed] = float64(online.Refused), float64(online.Failed)
	figures[figureGoodput] = float64(online.Answered-online.Wrong) / elapsed.Seconds()
}

// compareVariants runs variants one after the other with the same seed. The first one is the baseline
// for figureTTFTP99VersusAlone.
func compareVariants(ctx context.Context, options Options, variants []variant) (*Result, []*measurement, error) {
	result := &Result{Violations: []string{}, Figures: map[string]float64{}}
	var measurements []*measurement
	for _, v := range variants {
		m, err := runVariant(ctx, options, v)
		if err != nil {
			return nil, nil, fmt.Errorf("variant %s: %w", v.name, err)
		}
		if earlier := measurements; len(earlier) > 0 && earlier[0].row.Figures[figureTTFTP99] > 0 {
			m.row.Figures[figureTTFTP99VersusAlone] = m.row.Figures[figureTTFTP99] / earlier[0].row.Figures[figureTTFTP99]
		}
		measurements = append(measurements, m)
		result.Rows = append(result.Rows, m.row)
		options.Progress("  %s", formatFigures(m.row.Figures))
		for _, violation := range history.Check(m.events) {
			result.Violations = append(result.Violations, v.name+": "+violation.String())
		}
	}
	return result, measurements, nil
}

func formatFigures(figures map[string]float64) string {
	return fmt.Sprintf("ttft p50 %.1f p99 %.1f ms (x%.3f), %.0f items/s, idle use %.3f, wasted %.3f, hits %.2f, refused %.0f",
		figures[figureTTFTP50], figures[figureTTFTP99], figures[figureTTFTP99VersusAlone], figures[figureItems],
		figures[figureIdleUse], figures[figureWasted], figures[figureHitRate], figures[figureRefused])
}

func onlineAloneVariant() variant { return variant{name: "online-alone"} }

// minimalOnlineScale reduces the online load to rare requests: runVariant measures while the online
// schedule is replayed, but the batch gets nearly all of the capacity.
const minimalOnlineScale = 0.002

// runYield measures the online tail latency with batch relative to online alone, and the share of the
// idle capacity that batch uses.
func runYield(ctx context.Context, options Options) (*Result, error) {
	result, measurements, err := compareVariants(ctx, options, []variant{onlineAloneVariant(), {name: "with-batch", batch: true}})
	if err != nil {
		return nil, err
	}
	withBatch := measurements[1]
	result.Online = withBatch.stats.Summary()
	result.Points = withBatch.stats.Points()
	result.Events = withBatch.events
	versus, idle := withBatch.row.Figures[figureTTFTP99VersusAlone], withBatch.row.Figures[figureIdleUse]
	result.TTFTP99VersusAlone, result.IdleUse = &versus, &idle
	result.Batch = Batch{
		Jobs: 1, Items: int(withBatch.row.Figures[figureItems] * options.Duration.Seconds()),
		PerSecond: withBatch.row.Figures[figureItems], WastedTokenShare: withBatch.row.Figures[figureWasted],
	}
	return result, nil
}

// runFrontier compares several batch headrooms with the baselines: online alone, batch alone and a
// static split of the replicas.
func runFrontier(ctx context.Context, options Options) (*Result, error) {
	variants := []variant{
		onlineAloneVariant(),
		{name: "batch alone", batch: true, onlineScale: minimalOnlineScale},
		{name: "baseline static split", batch: true, split: true},
	}
	for _, headroom := range []float64{0.05, 0.1, 0.2, 0.35, 0.5, 0.65} {
		variants = append(variants, variant{
			name: fmt.Sprintf("headroom %g", headroom), batch: true, policy: &v1.BatchPolicy{Headroom: headroom},
		})
	}
	result, _, err := compareVariants(ctx, options, variants)
	return result, err
}

// runBatchAlone measures batch with almost no online load.
func runBatchAlone(ctx context.Context, options Options) (*Result, error) {
	result, measurements, err := compareVariants(ctx, options, []variant{{name: "batch alone", batch: true, onlineScale: minimalOnlineScale}})
	if err != nil {
		return nil, err
	}
	idle := measurements[0].row.Figures[figureIdleUse]
	result.IdleUse = &idle
	return result, nil
}
