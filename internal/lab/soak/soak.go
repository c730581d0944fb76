package soak

import (
	"cmp"
	"context"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Error is the class of all errors of this package.
var Error = errs.Class("soak")

const (
	// host is the host name of all routes.
	host       = "soak.example"
	answerSize = 12
	eventTime  = 15 * time.Millisecond
	itemTokens = 500
	// tokenQuota is small enough that some jobs are refused.
	tokenQuota = 40000
)

const (
	// DefaultServers and MinServers are numbers of servers, one of which is reserved for the calm
	// phase.
	DefaultServers = 8
	MinServers     = 3
	// DefaultSlots is small enough that nodes often have no free slot and request one from another
	// node.
	DefaultSlots = 2
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Duration is the length of the phase with faults. The whole run takes about 20 s longer, and
	// up to listBound plus the time for the remaining work if items are not listed.
	Duration time.Duration
	Nodes    int
	// Servers is the number of servers, Slots the number of slots of each; 0 means the default.
	Servers, Slots int
	// Overcommit makes servers grant every slot that is requested, run all requests at once, and
	// report a constant load, so that nodes cannot see their free capacity. Otherwise servers run
	// at most Slots requests at once and queue the others, as the platform specifies.
	Overcommit bool
	// RelayFrom is the number of nodes above which nodes follow relays; 0 means the default of the
	// settings, which exceeds what a run has.
	RelayFrom int
	// WithoutHarm omits the harmful work, which ends servers that a run with few of them needs.
	WithoutHarm bool
	// FirstPlanOnly omits the faults of SecondPlan.
	FirstPlanOnly bool
	// Regions is the number of regions that the zones are in, 1 or 2; default 1.
	Regions int
	// ReadyTimeout limits the time until all nodes serve; 0 means until the context ends.
	ReadyTimeout time.Duration
	// Progress, if not nil, is called for each fault.
	Progress func(format string, arguments ...any)
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Faults   int
	Requests int
	// Whole counts the requests with a complete answer.
	Whole int
	// Limited counts the requests that exceeded the limit of their tenant.
	Limited int
	Jobs    int
	Items   int
	// Reads counts the calls that read a job or the content of an item.
	Reads int
	Runs  int
	// Evacuations and Losses count zones, ColdSends the requests to cold servers.
	Evacuations, Losses, ColdSends int
	// HarmfulRequests counts requests with harmful work, HarmfulCrashes the servers that they
	// crashed.
	HarmfulRequests, HarmfulCrashes int
	// Silences, ServerStarts and ForeignRows count the faults of the second plan that silenced
	// connections, restarted servers and wrote rows as another writer.
	Silences, ServerStarts, ForeignRows int
	// HistoryLosses counts the faults in which the store lost its history and answers.
	HistoryLosses int
	// StoreDelays counts the faults of the store's latency, Pauses those that made a server fall silent
	// for a while.
	StoreDelays, Pauses int
	// ServerUpdates counts the updates of the servers' software, Continued the requests that continued
	// a stream at another node.
	ServerUpdates, Continued int
	// Disrupted counts the answers that servers disrupted, LateToOnce the late ones that came in place of the
	// answer to a request which may run once, Refusals the requests that servers refused, and LongCuts the faults
	// that cut a node off beside long texts. RefusedJobs counts the jobs that were refused at every attempt.
	Disrupted, LateToOnce, Refusals, LongCuts, RefusedJobs int
	// LongestCalmWait is the longest time that an item waited in the calm phase beside a free slot
	// without interruption, which is limited to maxCalmWait.
	LongestCalmWait time.Duration
	Violations      []Violation
	// Occasions counts how often each promise could have been broken.
	Occasions map[Promise]int
	// Logs is the directory with the logs of the nodes. It is kept if a promise was broken.
	Logs string
}

// soak is the state of a run.
type soak struct {
	Options
	History
	store         *standin.Store
	zones         []*zone
	servers       []*server
	foreignServer foreignServer
	gateways      []*gateway
	closers       []func()
	// configMu guards version and prefixes, those of the latest configuration. Routes are only
	// added.
	configMu sync.Mutex
	version  int
	prefixes []string
	faults   sync.WaitGroup
	// warming waits for the servers that have to announce that they are warm again. That may take
	// longer than the fault that made them cold.
	warming sync.WaitGroup
	// zoneOutage is held while a zone is evacuated or lost, until outageDeadline at the latest.
	zoneOutage     sync.Mutex
	outageDeadline time.Time
	// crowded is the node that gets most new connections; nil if there is none.
	crowded atomic.Pointer[gateway]
}

// newSoak returns a soak without nodes and servers.
func newSoak(options Options) *soak {
	options.Servers = cmp.Or(options.Servers, DefaultServers)
	options.Slots = cmp.Or(options.Slots, DefaultSlots)
	return &soak{
		Options: options, store: standin.NewStore(), zones: newZones(options.Regions), prefixes: []string{"resume", "once"},
		History: History{
			Events: answerSize, Quota: tokenQuota, Final: map[string][]standin.JobResult{},
			NodeZones: map[string]string{}, ServerZones: map[string]string{}, ServerSlots: map[string]int{},
			listed: map[string]bool{}, texts: map[string]string{},
		},
	}
}

// Run runs a soak and checks the promises. The error is an ExitError if a node exits during
// startup, and a NotReadyError if a node runs but does not serve.
func Run(ctx context.Context, options Options) (*Report, error) {
	plan := Plan(options.Seed, options.Duration)
	if !options.FirstPlanOnly {
		plan = mergePlans(plan, SecondPlan(options.Seed, options.Duration))
	}
	return runPlan(ctx, options, plan)
}

// runPlan is Run with a given plan of faults.
func runPlan(ctx context.Context, options Options, plan []Fault) (*Report, error) {
	directory, err := os.MkdirTemp("", "wheelhoist-soak-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := newSoak(options)
	defer s.close()
	defer s.warming.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := s.start(ctx, directory); err != nil {
		return nil, err
	}
	s.execute(ctx, plan)
	s.collect()
	report := s.report()
	report.Faults = len(plan)
	if len(report.Violations) > 0 {
		report.Logs = directory
		return report, nil
	}
	if err := os.RemoveAll(directory); err != nil {
		s.progressf("logs of the nodes stay: %v", err)
	}
	return report, nil
}

// collect adds the observations of servers and the exits of nodes to the history.
func (s *soak) collect() {
	for _, srv := range s.servers {
		for _, run := range srv.Runs() {
			s.Runs = append(s.Runs, ServerRun{Server: srv.name, Run: run})
		}
		for _, send := range srv.ColdRequests() {
			s.ColdSends = append(s.ColdSends, ColdSend{Server: srv.name, ColdRequest: send})
		}
		for _, disrupted := range srv.connections.Disrupted() {
			s.Disrupted = append(s.Disrupted, DisruptedAnswer{Server: srv.name, Disrupted: disrupted})
		}
		s.Refusals += srv.Refusals()
		s.ServerOutages = append(s.ServerOutages, srv.outagesUntil(time.Now())...)
		s.Overwritten = append(s.Overwritten, srv.overwritten...)
		s.Versions = append(s.Versions, srv.versions...)
	}
	for _, run := range s.foreignServer.Runs() {
		s.Runs = append(s.Runs, ServerRun{Server: foreignServerName, Run: run})
	}
	for _, node := range s.gateways {
		s.Exits = append(s.Exits, node.unexpectedExits()...)
	}
}

// report counts the observations and checks the promises.
func (s *soak) report() *Report {
	report := &Report{
		Seed: s.Seed, Requests: len(s.Requests), Jobs: len(s.Jobs), Reads: len(s.Reads), Runs: len(s.Runs),
		Evacuations: len(s.Evacuations), Losses: len(s.Losses), ColdSends: len(s.ColdSends),
		HarmfulRequests: len(s.HarmfulRequests), HarmfulCrashes: len(s.HarmfulCrashes),
		Silences: len(s.Silences), ServerStarts: len(s.ServerStarts), ForeignRows: len(s.ForeignRows),
		HistoryLosses: len(s.HistoryLosses), ServerUpdates: len(s.ServerUpdates), Continued: s.continuations(),
		StoreDelays: len(s.StoreDelays), Pauses: len(s.Pauses),
		Disrupted: len(s.Disrupted), LateToOnce: s.lateToOnce(), Refusals: s.Refusals, LongCuts: len(s.LongCuts),
	}
	for _, req := range s.Requests {
		switch {
		case req.Answer.Status == http.StatusOK && req.Answer.Complete:
			report.Whole++
		case req.Answer.Status == http.StatusTooManyRequests:
			report.Limited++
		}
	}
	for _, job := range s.Jobs {
		if job.Refused {
			report.RefusedJobs++
		}
	}
	for _, results := range s.Final {
		report.Items += len(results)
	}
	report.Violations = Check(&s.History)
	report.LongestCalmWait = LongestCalmWait(&s.History)
	report.Occasions = Occasions(&s.History)
	return report
}

// progressf prints a line of progress.
func (s *soak) progressf(format string, arguments ...any) {
	if s.Progress != nil {
		s.Progress(format, arguments...)
	}
}

// close kills the nodes and stops the stand-ins.
func (s *soak) close() {
	for _, node := range s.gateways {
		node.stop(syscall.SIGKILL)
		node.store.close()
	}
	for _, closer := range s.closers {
		closer()
	}
}

// execute runs the load and the faults, then the calm phase, and reads all jobs at the end.
func (s *soak) execute(ctx context.Context, plan []Fault) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for caller := range s.onlineCallers() {
		load.Go(func() { s.callOnline(loadCtx, caller) })
	}
	for caller := range 3 {
		load.Go(func() { s.callJobs(loadCtx, caller) })
	}
	load.Go(func() { s.callOverLimit(loadCtx) })
	load.Go(func() { s.callUnderLimit(loadCtx) })
	load.Go(func() { s.readJobs(loadCtx) })
	for caller := range keepAliveCallers {
		load.Go(func() { s.callKeepAlive(loadCtx, caller) })
	}
	for caller := range soundPartCallers {
		load.Go(func() { s.callSoundParts(loadCtx, caller) })
	}
	for caller := range streamCallers {
		load.Go(func() { s.callStreams(loadCtx, caller) })
	}
	for reader := range watchers {
		load.Go(func() { s.watchJobs(loadCtx, reader) })
	}
	for reader := range latestReaders {
		load.Go(func() { s.readLatest(loadCtx, reader) })
	}
	for reader := range pairReaders {
		load.Go(func() { s.readPairs(loadCtx, reader) })
	}
	start := time.Now()
	s.LoadStart = start
	s.outageDeadline = start.Add(s.Duration + minOutage)
	harmCtx, stopHarm := context.WithDeadline(ctx, start.Add(s.Duration))
	defer stopHarm()
	if !s.WithoutHarm {
		load.Go(func() { s.callHarmful(harmCtx) })
	}
	// The requests beside a harmful part are judged only seconds after its first crashes and after the loss of
	// a zone, so the part is sent for as long as there are faults.
	partsCtx, stopParts := context.WithCancel(ctx)
	defer stopParts()
	if !s.WithoutHarm {
		load.Go(func() { s.callHarmfulParts(partsCtx) })
	}
	for _, fault := range plan {
		if !retry.Sleep(ctx, time.Until(start.Add(fault.After))) {
			break
		}
		s.progressf("%6.1f s  %s for %v", fault.After.Seconds(), fault.Kind, fault.Duration.Round(time.Millisecond))
		s.faults.Go(func() { s.inject(ctx, fault) })
	}
	retry.Sleep(ctx, time.Until(start.Add(s.Duration)))
	s.faults.Wait()
	stopParts()
	s.store.SetFault(nil)
	s.CalmFrom = time.Now().Add(3 * time.Second)
	// The load continues in the calm phase, in which the bounds are stricter.
	s.injectCalmFaults(ctx)
	retry.Sleep(ctx, time.Until(s.CalmFrom.Add(calmLoadTime)))
	s.Crowds = append(s.Crowds, s.crowd(ctx, s.gateways[int(s.Seed%uint64(len(s.gateways)))], calmCrowd))
	stopLoad()
	load.Wait()
	s.LoadEnd = time.Now()
	s.settle(ctx)
}

// onlineCallers returns the number of callers that send online requests.
func (s *soak) onlineCallers() int { return 2 * s.Nodes }

// injectCalmFaults evacuates a zone, makes a server of another zone cold, drains a server of the third zone
// and changes the configuration.
func (s *soak) injectCalmFaults(ctx context.Context) {
	var done sync.WaitGroup
	done.Go(func() { s.evacuateZone(ctx, s.zones[1], calmEvacuation) })
	retry.Sleep(ctx, time.Until(s.CalmFrom))
	done.Go(func() { s.configureInCalm(ctx) })
	done.Go(func() { s.makeCold(ctx, s.servers[2], coldStart) })
	s.drain(ctx, s.servers[0], true)
	done.Wait()
}

// client returns a client of the node with the given number, modulo the number of nodes.
func (s *soak) client(number int) *standin.Client {
	return &standin.Client{Address: s.gateways[number%len(s.gateways)].listenAddress(), Host: host, Key: apiKey(tenantMain)}
}
