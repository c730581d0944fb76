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

// Fault is a failure that is injected while the load runs.
type Fault struct {
	Name  string
	About string
	// Processes tells that the nodes must be real processes.
	Processes bool
	// Inject injects the fault, possibly several times, and heals it before it
	// returns. The context ends with the run.
	Inject func(ctx context.Context, r *run)
}

// Times of the faults.
const (
	killEvery    = 4 * time.Second
	restartAfter = time.Second
	// pauseLength is beyond the lease's time to live and its detection.
	pauseLength   = 6 * time.Second
	slowDelay     = 400 * time.Millisecond
	throttledRate = 25
	lostShare     = 0.15
	stopLimit     = 30 * time.Second
)

var faults = []Fault{
	{"kill-node", "SIGKILL of a random node every 4 s, restarted after 1 s", true, killNodes},
	{"kill-after-ack", "SIGKILL of the node that acknowledged, right after", true, killAfterAck},
	{"pause-node", "SIGSTOP of a random node beyond its lease, then SIGCONT", true, pauseNodes},
	{"store-down", "table and object store down for half of the run", false, storeDown},
	{"store-slow", "every store call takes 400 ms longer", false, storeSlow},
	{"store-throttled", "the table allows 25 calls a second", false, storeThrottled},
	{"store-lost-answers", "15% of store calls take effect and lose their answer", false, storeLostAnswers},
	{"engine-death", "a random engine dies every 4 s and is replaced", false, killEngines},
	{"engine-leaving", "a random engine is told to leave every 4 s", false, leaveEngines},
	{"engine-slow", "a random engine becomes 8 times slower for a while", false, slowEngines},
	{"engine-silent", "the open connections of a random engine go silent for good every 4 s; new ones work", false, silenceEngines},
	{"zone-cut", "a zone is cut off from the table for a third of the run", false, cutZone},
	{"rolling-restart", "every node in turn is stopped as planned and started again", true, rollingRestart},
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

func (r *run) randomNode() *site.Member {
	nodes := r.site.Nodes()
	return nodes[r.random.IntN(len(nodes))]
}

// restart starts a killed node again; the run must not end without it.
func (r *run) restart(ctx context.Context, member *site.Member) {
	if _, err := r.site.StartNode(context.WithoutCancel(ctx), member.Slot); err != nil {
		r.fail(err)
	}
}

func killNodes(ctx context.Context, r *run) {
	for retry.Sleep(ctx, killEvery) {
		victim := r.randomNode()
		if !victim.Running() {
			continue
		}
		r.options.Progress("kill %s", victim.ID)
		victim.Kill()
		retry.Sleep(ctx, restartAfter)
		r.restart(ctx, victim)
	}
}

// killAfterAck kills the node that has just acknowledged a job.
func killAfterAck(ctx context.Context, r *run) {
	submitter := r.submitter()
	for round := 0; retry.Sleep(ctx, killEvery); round++ {
		victim := r.randomNode()
		if !victim.Running() {
			continue
		}
		submitter.URLs = func() []string { return []string{victim.URL()} }
		job, err := submitter.Submit(ctx, r.smallJob(round), jobWindow, "")
		victim.Kill()
		r.options.Progress("killed %s right after its answer", victim.ID)
		if err == nil {
			r.mu.Lock()
			r.jobs = append(r.jobs, job)
			r.mu.Unlock()
		}
		retry.Sleep(ctx, restartAfter)
		r.restart(ctx, victim)
	}
}

func pauseNodes(ctx context.Context, r *run) {
	for retry.Sleep(ctx, time.Second) {
		victim := r.randomNode()
		if victim.Signal(syscall.SIGSTOP) != nil {
			continue
		}
		r.options.Progress("paused %s", victim.ID)
		time.Sleep(pauseLength)
		if err := victim.Signal(syscall.SIGCONT); err != nil {
			r.fail(err)
		}
		r.options.Progress("woke %s", victim.ID)
	}
}

// storeFault changes the condition of the table and the object store for half
// of the run, from its second quarter on.
func (r *run) storeFault(ctx context.Context, edit func(*emulator.Condition)) {
	quarter := r.options.Duration / 4
	retry.Sleep(ctx, quarter)
	before := r.tableRate(ctx, rateWindow)
	r.options.Progress("store fault begins")
	r.site.Platform.Table.Faults.Change(edit)
	r.site.Platform.Objects.Faults.Change(edit)
	retry.Sleep(ctx, 2*quarter)
	heal := func(condition *emulator.Condition) { *condition = emulator.Condition{} }
	r.site.Platform.Table.Faults.Change(heal)
	r.site.Platform.Objects.Faults.Change(heal)
	r.options.Progress("store fault ends")
	// What callers and nodes held back must not come all at once.
	returning := r.tableRate(context.WithoutCancel(ctx), rateWindow)
	r.figure("table_calls_per_s_before", before)
	r.figure("table_calls_per_s_at_return", returning)
}

// rateWindow is the time over which the table's calls are counted.
const rateWindow = 2 * time.Second

// tableRate counts the calls to the table over a time.
func (r *run) tableRate(ctx context.Context, window time.Duration) float64 {
	first, _ := r.site.Platform.Table.Faults.Calls()
	began := time.Now()
	retry.Sleep(ctx, window)
	last, _ := r.site.Platform.Table.Faults.Calls()
	return float64(last-first) / time.Since(began).Seconds()
}

func storeDown(ctx context.Context, r *run) {
	r.storeFault(ctx, func(condition *emulator.Condition) { condition.Down = true })
}

func storeSlow(ctx context.Context, r *run) {
	r.storeFault(ctx, func(condition *emulator.Condition) { condition.Delay = slowDelay })
}

func storeThrottled(ctx context.Context, r *run) {
	r.storeFault(ctx, func(condition *emulator.Condition) { condition.CallsPerSecond = throttledRate })
}

func storeLostAnswers(ctx context.Context, r *run) {
	r.storeFault(ctx, func(condition *emulator.Condition) { condition.LoseAnswers = lostShare })
}

func (r *run) randomEngine() *site.Engine {
	engines := r.site.LiveEngines()
	return engines[r.random.IntN(len(engines))]
}

func killEngines(ctx context.Context, r *run) {
	for retry.Sleep(ctx, killEvery) {
		victim := r.randomEngine()
		r.options.Progress("kill %s", victim.ID)
		r.site.KillEngine(victim)
		retry.Sleep(ctx, restartAfter)
		if err := r.site.ReplaceEngine(victim); err != nil {
			r.fail(err)
		}
	}
}

func leaveEngines(ctx context.Context, r *run) {
	for retry.Sleep(ctx, killEvery) {
		leaver := r.randomEngine()
		r.options.Progress("%s leaves", leaver.ID)
		r.recorder.Record(history.Event{Source: "lab", Type: history.ReplicaLeaving, Replica: leaver.ID})
		leaver.Leave()
		r.site.SetEngineState(leaver, machines.Leaving)
		if err := r.site.ReplaceEngine(leaver); err != nil {
			r.fail(err)
		}
	}
}

func slowEngines(ctx context.Context, r *run) {
	const factor = 8
	for retry.Sleep(ctx, killEvery) {
		victim := r.randomEngine()
		r.options.Progress("%s becomes slow", victim.ID)
		victim.SetSlowdown(factor)
		retry.Sleep(ctx, killEvery)
		victim.SetSlowdown(1)
	}
}

func silenceEngines(ctx context.Context, r *run) {
	for retry.Sleep(ctx, killEvery) {
		victim := r.randomEngine()
		r.options.Progress("%d connections of %s go silent", victim.Silence(), victim.ID)
	}
}

func cutZone(ctx context.Context, r *run) {
	third := r.options.Duration / 3
	retry.Sleep(ctx, third)
	zones := r.options.Profile.Zones
	lost := zones[r.random.IntN(len(zones))]
	r.options.Progress("zone %s cut off from the table", lost)
	r.site.SetCutOff(lost, true)
	retry.Sleep(ctx, third)
	r.site.SetCutOff(lost, false)
	r.options.Progress("zone %s back", lost)
}

func rollingRestart(ctx context.Context, r *run) {
	for _, member := range r.site.Nodes() {
		if !retry.Sleep(ctx, restartAfter) {
			return
		}
		r.options.Progress("stop %s as planned", member.ID)
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
		err := member.Drain(stopCtx)
		cancel()
		if err != nil {
			r.fail(err)
		}
		r.restart(ctx, member)
	}
}
