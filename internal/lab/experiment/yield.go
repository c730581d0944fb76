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

// variant is one way to run the same online load.
type variant struct {
	name string
	// batch runs an endless batch beside the online load.
	batch  bool
	policy *v1.BatchPolicy
	// split gives half of the replicas to online and half to batch.
	split bool
	// online scales the online load; 0 means 1.
	online float64
	nodes  int
}

// Names of figures.
const (
	figureTTFTP50   = "ttft_p50_ms"
	figureTTFTP99   = "ttft_p99_ms"
	figureItems     = "items_per_s"
	figureIdleUse   = "idle_use"
	figureWasted    = "wasted_share"
	figureVersus    = "ttft_p99_vs_alone"
	figureHitRate   = "prefix_hit_rate"
	figureSpread    = "replica_spread"
	figureRefused   = "refused"
	figureGoodput   = "answers_per_s"
	figureFailed    = "failed"
	figureGapP95    = "token_gap_p95_ms"
	figureRequests  = "requests"
	figureBusyShare = "online_slot_share"
)

// endlessItems is the size of a job that outlasts every run.
const endlessItems = 12_000

// warmup lets the batch fill the replicas before the online load begins.
const warmup = 2500 * time.Millisecond

// measured is a variant's outcome.
type measured struct {
	row    Row
	stats  *load.Stats
	events []history.Event
}

// runVariant runs one variant and measures it between the first and the last
// online arrival.
func runVariant(ctx context.Context, options Options, v variant) (*measured, error) {
	options.Progress("variant %s", v.name)
	recorder := &history.Recorder{}
	nodes := v.nodes
	if nodes == 0 {
		nodes = max(options.Nodes, defaultNodes)
	}
	running, err := site.Start(ctx, site.Config{
		Profile: options.Profile, Nodes: nodes, Listen: "127.0.0.1:0", Seed: options.Seed,
		Recorder: recorder, Policy: v.policy,
	})
	if err != nil {
		return nil, err
	}
	defer running.Close()
	if v.split {
		if err := splitRoles(ctx, running); err != nil {
			return nil, err
		}
	}
	if v.batch {
		submitter := &load.Submitter{Model: options.Profile.Model, Key: site.TenantKey, URLs: running.URLs}
		items := load.Items(options.Profile.Batch, options.Seed, "endless", endlessItems, false)
		if _, err := submitter.Submit(ctx, items, time.Hour, ""); err != nil {
			return nil, err
		}
	}
	retry.Sleep(ctx, warmup)
	stats := load.NewStats()
	caller := (&load.Caller{
		Model: options.Profile.Model, Key: site.TenantKey, Version: options.Profile.Version, Recorder: recorder,
		Stats: stats, URLs: running.ReadyURLs, Delay: options.Profile.ClientDelay,
	}).Open()
	defer caller.Close()
	scale := v.online
	if scale == 0 {
		scale = 1
	}
	before := readTotals(running)
	itemsBefore := itemsDone(running)
	started := time.Now()
	caller.Replay(ctx, load.Schedule(options.Profile.Online, options.Seed, options.Duration, scale))
	elapsed := time.Since(started)
	after := readTotals(running)
	row := Row{Name: v.name, Figures: slotFigures(running, before, after, elapsed)}
	row.Figures[figureItems] = float64(itemsDone(running)-itemsBefore) / elapsed.Seconds()
	onlineFigures(row.Figures, stats.Summary(), elapsed)
	return &measured{row: row, stats: stats, events: recorder.Events()}, nil
}

// splitRoles gives every second replica to batch and the others to online, and
// waits for the roles to be in force.
func splitRoles(ctx context.Context, running *site.Site) error {
	byRole := map[string][]string{}
	for i, engine := range running.Engines() {
		role := "online"
		if i%2 == 0 {
			role = "batch"
		}
		byRole[role] = append(byRole[role], engine.ID)
	}
	for role, ids := range byRole {
		if err := running.DeclareRole(ctx, role, ids); err != nil {
			return err
		}
	}
	const rolesInForce = 4 * time.Second
	retry.Sleep(ctx, rolesInForce)
	return nil
}

func readTotals(running *site.Site) []emulator.EngineTotals {
	var totals []emulator.EngineTotals
	for _, engine := range running.Engines() {
		totals = append(totals, engine.Totals())
	}
	return totals
}

func itemsDone(running *site.Site) uint64 {
	var items uint64
	for _, member := range running.Nodes() {
		if inner := member.InProcess(); inner != nil {
			items += inner.ItemsCompleted()
		}
	}
	return items
}

// slotFigures works out how the engines' sequence slots were used. Idle use is
// the slot time of batch work as a share of what online work left over.
func slotFigures(running *site.Site, before, after []emulator.EngineTotals, elapsed time.Duration) map[string]float64 {
	var capacity, online, all time.Duration
	var batchTokens, aborted, recomputed, prompt, cached uint64
	for i, engine := range running.Engines() {
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
		figureIdleUse:   float64(all-online) / float64(capacity-online),
		figureBusyShare: float64(online) / float64(capacity),
	}
	if batchTokens > 0 {
		figures[figureWasted] = float64(aborted) / float64(batchTokens)
		figures["recomputed_share"] = float64(recomputed) / float64(batchTokens)
	}
	if prompt > 0 {
		figures[figureHitRate] = float64(cached) / float64(prompt)
	}
	figures[figureSpread] = spread(before, after)
	return figures
}

// spread is the greatest online slot time of a replica over the mean.
func spread(before, after []emulator.EngineTotals) float64 {
	var most, sum float64
	for i := range after {
		used := float64(after[i].OnlineSlotTime - before[i].OnlineSlotTime)
		most = max(most, used)
		sum += used
	}
	if sum == 0 {
		return 0
	}
	return most / (sum / float64(len(after)))
}

func onlineFigures(figures map[string]float64, online load.Online, elapsed time.Duration) {
	figures[figureTTFTP50], figures[figureTTFTP99] = online.TTFTP50, online.TTFTP99
	figures["ttft_p95_ms"] = online.TTFTP95
	figures[figureGapP95] = online.GapP95
	figures[figureRequests] = float64(online.Requests)
	figures[figureRefused], figures[figureFailed] = float64(online.Refused), float64(online.Failed)
	figures[figureGoodput] = float64(online.Answered-online.Wrong) / elapsed.Seconds()
}

// compare runs variants one after the other with the same seed; the first is
// the one the others are compared with.
func compare(ctx context.Context, options Options, variants []variant) (*Result, []*measured, error) {
	result := &Result{Violations: []string{}, Figures: map[string]float64{}}
	var all []*measured
	for _, v := range variants {
		one, err := runVariant(ctx, options, v)
		if err != nil {
			return nil, nil, fmt.Errorf("variant %s: %w", v.name, err)
		}
		if base := all; len(base) > 0 && base[0].row.Figures[figureTTFTP99] > 0 {
			one.row.Figures[figureVersus] = one.row.Figures[figureTTFTP99] / base[0].row.Figures[figureTTFTP99]
		}
		all = append(all, one)
		result.Rows = append(result.Rows, one.row)
		options.Progress("  %s", summary(one.row.Figures))
		for _, violation := range history.Check(one.events) {
			result.Violations = append(result.Violations, v.name+": "+violation.String())
		}
	}
	return result, all, nil
}

func summary(figures map[string]float64) string {
	return fmt.Sprintf("ttft p50 %.1f p99 %.1f ms (x%.3f), %.0f items/s, idle use %.3f, wasted %.3f, hits %.2f, refused %.0f",
		figures[figureTTFTP50], figures[figureTTFTP99], figures[figureVersus], figures[figureItems],
		figures[figureIdleUse], figures[figureWasted], figures[figureHitRate], figures[figureRefused])
}

func aloneVariant() variant { return variant{name: "online-alone"} }

// nearlyNone scales the online load down to a request now and then, so that the
// measurement has its times and the batch nearly all of the capacity.
const nearlyNone = 0.002

// runYield measures both of the users' measures: what batch does to the online
// tail, and how much of the idle capacity it uses.
func runYield(ctx context.Context, options Options) (*Result, error) {
	result, all, err := compare(ctx, options, []variant{aloneVariant(), {name: "with-batch", batch: true}})
	if err != nil {
		return nil, err
	}
	beside := all[1]
	result.Online = beside.stats.Summary()
	result.Points = beside.stats.Points()
	result.Events = beside.events
	versus, idle := beside.row.Figures[figureVersus], beside.row.Figures[figureIdleUse]
	result.VersusOne, result.IdleUse = &versus, &idle
	result.Batch = Batch{
		Jobs: 1, Items: int(beside.row.Figures[figureItems] * options.Duration.Seconds()),
		PerSecond: beside.row.Figures[figureItems], WastedPart: beside.row.Figures[figureWasted],
	}
	return result, nil
}

// runFrontier measures headrooms against the baselines.
func runFrontier(ctx context.Context, options Options) (*Result, error) {
	variants := []variant{
		aloneVariant(),
		{name: "batch alone", batch: true, online: nearlyNone},
		{name: "baseline static split", batch: true, split: true},
	}
	for _, headroom := range []float64{0.05, 0.1, 0.2, 0.35, 0.5, 0.65} {
		variants = append(variants, variant{
			name: fmt.Sprintf("headroom %g", headroom), batch: true, policy: &v1.BatchPolicy{Headroom: headroom},
		})
	}
	result, _, err := compare(ctx, options, variants)
	return result, err
}

// runBatchAlone measures the batch without online work.
func runBatchAlone(ctx context.Context, options Options) (*Result, error) {
	result, all, err := compare(ctx, options, []variant{{name: "batch alone", batch: true, online: nearlyNone}})
	if err != nil {
		return nil, err
	}
	idle := all[0].row.Figures[figureIdleUse]
	result.IdleUse = &idle
	return result, nil
}
