package experiment

import (
	"context"
	"syscall"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lab/emulator"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/site"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// Fault is a fault or a planned operation that is injected while the load runs.
type Fault struct {
	Name        string
	Description string
	// NeedsProcesses is set if the nodes must run as separate processes.
	NeedsProcesses bool
	// Inject injects the fault, possibly several times, and reverts it before it returns. The
	// context ends when the load ends.
	Inject func(ctx context.Context, r *run)
}

// Parameters of the faults.
const (
	faultInterval = 4 * time.Second
	restartDelay  = time.Second
	// pauseDuration exceeds the lease TTL plus the time to detect its expiry.
	pauseDuration           = 6 * time.Second
	storeDelay              = 400 * time.Millisecond
	throttledCallsPerSecond = 25
	lostAnswerProbability   = 0.15
	drainTimeout            = 30 * time.Second
)

var faults = []Fault{
	{"kill-node", "SIGKILL of a random node every 4 s, restarted after 1 s", true, killNodes},
	{"kill-after-ack", "SIGKILL of a node right after it acknowledges a job", true, killAfterAck},
	{"pause-node", "SIGSTOP of a random node for longer than its lease, then SIGCONT", true, pauseNodes},
	{"store-down", "table and object store down for half of the run", false, storeDown},
	{"store-slow", "every store call takes 400 ms longer", false, storeSlow},
	{"store-throttled", "the table allows 25 calls a second", false, storeThrottled},
	{"store-lost-answers", "15% of store calls take effect, but their response is lost", false, storeLostAnswers},
	{"engine-death", "a random engine dies every 4 s and is replaced", false, killEngines},
	{"engine-leaving", "a random engine is requested to leave every 4 s", false, leaveEngines},
	{"engine-slow", "a random engine runs 8 times slower for 4 s", false, slowEngines},
	{"engine-silent", "the open connections of a random engine are silenced every 4 s; new ones work", false, silenceEngines},
	{"zone-cut", "a zone is partitioned from the table for a third of the run", false, cutZone},
	{"rolling-restart", "all nodes are drained and restarted one after the other", true, rollingRestart},
	{"none", "no fault", false, func(context.Context, *run) {}},
}

func faultByName(name string) (Fault, bool) {
	for _, fault := range faults {
		if fault.Name == name {
			return fault, true
		}
	}
	return Fault{}, false
}

func (r *run) randomNode() *site.Node {
	nodes := r.site.Nodes()
	return nodes[r.random.IntN(len(nodes))]
}

// restartNode starts a stopped node again, even if ctx is done, so that every run ends with all nodes.
func (r *run) restartNode(ctx context.Context, node *site.Node) {
	if _, err := r.site.StartNode(context.WithoutCancel(ctx), node.Slot); err != nil {
		r.addError(err)
	}
}

func killNodes(ctx context.Context, r *run) {
	for retry.Sleep(ctx, faultInterval) {
		victim := r.randomNode()
		if !victim.Running() {
			continue
		}
		r.options.Progress("kill %s", victim.ID)
		victim.Kill()
		retry.Sleep(ctx, restartDelay)
		r.restartNode(ctx, victim)
	}
}

// killAfterAck submits a job to a random node and kills the node as soon as the call returns.
func killAfterAck(ctx context.Context, r *run) {
	submitter := r.newSubmitter()
	for round := 0; retry.Sleep(ctx, faultInterval); round++ {
		victim := r.randomNode()
		if !victim.Running() {
			continue
		}
		submitter.URLs = func() []string { return []string{victim.URL()} }
		job, err := submitter.Submit(ctx, r.smallJob(round), completionWindow, "")
		victim.Kill()
		r.options.Progress("killed %s right after its answer", victim.ID)
		if err == nil {
			r.mu.Lock()
			r.jobs = append(r.jobs, job)
			r.mu.Unlock()
		}
		retry.Sleep(ctx, restartDelay)
		r.restartNode(ctx, victim)
	}
}

func pauseNodes(ctx context.Context, r *run) {
	for retry.Sleep(ctx, time.Second) {
		victim := r.randomNode()
		if victim.Signal(syscall.SIGSTOP) != nil {
			continue
		}
		r.options.Progress("paused %s", victim.ID)
		time.Sleep(pauseDuration)
		if err := victim.Signal(syscall.SIGCONT); err != nil {
			r.addError(err)
		}
		r.options.Progress("woke %s", victim.ID)
	}
}

// injectStoreFault applies edit to the condition of the table and the object store during the second
// and third quarter of the run. It reports the rate of table calls before the fault and right after
// it.
func (r *run) injectStoreFault(ctx context.Context, edit func(*emulator.Condition)) {
	quarter := r.options.Duration / 4
	retry.Sleep(ctx, quarter)
	rateBefore := r.tableCallRate(ctx, callRateWindow)
	r.options.Progress("store fault begins")
	r.site.Platform.Table.Faults.Change(edit)
	r.site.Platform.Objects.Faults.Change(edit)
	retry.Sleep(ctx, 2*quarter)
	reset := func(condition *emulator.Condition) { *condition = emulator.Condition{} }
	r.site.Platform.Table.Faults.Change(reset)
	r.site.Platform.Objects.Faults.Change(reset)
	r.options.Progress("store fault ends")
	// The rate right after recovery shows whether clients and nodes retry all at once.
	rateAfter := r.tableCallRate(context.WithoutCancel(ctx), callRateWindow)
	r.addFigure("table_calls_per_s_before", rateBefore)
	r.addFigure("table_calls_per_s_at_return", rateAfter)
}

// callRateWindow is the time over which the rate of table calls is measured.
const callRateWindow = 2 * time.Second

// tableCallRate measures the table calls per second over a time window.
func (r *run) tableCallRate(ctx context.Context, window time.Duration) float64 {
	first, _ := r.site.Platform.Table.Faults.Calls()
	start := time.Now()
	retry.Sleep(ctx, window)
	last, _ := r.site.Platform.Table.Faults.Calls()
	return float64(last-first) / time.Since(start).Seconds()
}

func storeDown(ctx context.Context, r *run) {
	r.injectStoreFault(ctx, func(condition *emulator.Condition) { condition.Down = true })
}

func storeSlow(ctx context.Context, r *run) {
	r.injectStoreFault(ctx, func(condition *emulator.Condition) { condition.Delay = storeDelay })
}

func storeThrottled(ctx context.Context, r *run) {
	r.injectStoreFault(ctx, func(condition *emulator.Condition) { condition.CallsPerSecond = throttledCallsPerSecond })
}

func storeLostAnswers(ctx context.Context, r *run) {
	r.injectStoreFault(ctx, func(condition *emulator.Condition) { condition.LoseAnswers = lostAnswerProbability })
}

func (r *run) randomEngine() *site.Engine {
	engines := r.site.LiveEngines()
	return engines[r.random.IntN(len(engines))]
}

func killEngines(ctx context.Context, r *run) {
	for retry.Sleep(ctx, faultInterval) {
		victim := r.randomEngine()
		r.options.Progress("kill %s", victim.ID)
		r.site.KillEngine(victim)
		retry.Sleep(ctx, restartDelay)
		if err := r.site.ReplaceEngine(victim); err != nil {
			r.addError(err)
		}
	}
}

func leaveEngines(ctx context.Context, r *run) {
	for retry.Sleep(ctx, faultInterval) {
		leaving := r.randomEngine()
		r.options.Progress("%s leaves", leaving.ID)
		r.recorder.Record(history.Event{Source: "lab", Type: history.ReplicaLeaving, Replica: leaving.ID})
		leaving.MarkLeaving()
		r.site.SetEngineState(leaving, machines.Leaving)
		if err := r.site.ReplaceEngine(leaving); err != nil {
			r.addError(err)
		}
	}
}

func slowEngines(ctx context.Context, r *run) {
	const factor = 8
	for retry.Sleep(ctx, faultInterval) {
		victim := r.randomEngine()
		r.options.Progress("%s becomes slow", victim.ID)
		victim.SetSlowdown(factor)
		retry.Sleep(ctx, faultInterval)
		victim.SetSlowdown(1)
	}
}

func silenceEngines(ctx context.Context, r *run) {
	for retry.Sleep(ctx, faultInterval) {
		victim := r.randomEngine()
		r.options.Progress("%d connections of %s go silent", victim.Silence(), victim.ID)
	}
}

func cutZone(ctx context.Context, r *run) {
	third := r.options.Duration / 3
	retry.Sleep(ctx, third)
	zones := r.options.Profile.Zones
	zone := zones[r.random.IntN(len(zones))]
	r.options.Progress("zone %s cut off from the table", zone)
	r.site.SetCutOff(zone, true)
	retry.Sleep(ctx, third)
	r.site.SetCutOff(zone, false)
	r.options.Progress("zone %s back", zone)
}

func rollingRestart(ctx context.Context, r *run) {
	for _, node := range r.site.Nodes() {
		if !retry.Sleep(ctx, restartDelay) {
			return
		}
		r.options.Progress("stop %s as planned", node.ID)
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
		err := node.Drain(stopCtx)
		cancel()
		if err != nil {
			r.addError(err)
		}
		r.restartNode(ctx, node)
	}
}
