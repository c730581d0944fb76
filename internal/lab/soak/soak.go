package soak

import (
	"cmp"
	"context"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Error is the class of all errors of this package.
var Error = errs.Class("soak")

const (
	host       = "soak.example"
	answerSize = 12
	eventTime  = 15 * time.Millisecond
	itemTokens = 500
	// tokenQuota is small enough that some jobs are refused.
	tokenQuota = 40000
)

const (
	// DefaultServers and LeastServers are numbers of servers; one is left for what is done in calm.
	DefaultServers = 8
	MinServers     = 3
	// DefaultSlots of a server are so few that requests often find no slot of their node
	// free and ask for one elsewhere.
	DefaultSlots = 2
)

// Options are the choices of a soak.
type Options struct {
	Seed uint64
	// Duration is the time with faults; the run takes some 20 s more, and up to listBound and the
	// time for the work that is left beside these where items are not listed.
	Duration time.Duration
	Nodes    int
	// Servers is their number, Slots what each of them has; 0 means the defaults.
	Servers, Slots int
	// Overcommit has servers set every slot aside that they are asked for, run all that comes at
	// once, and always tell the same load: nodes cannot see where there is room. Otherwise
	// they keep to their slots, and others wait there, as the platform promises.
	Overcommit bool
	// FirstPlanOnly leaves the faults of SecondPlan out.
	FirstPlanOnly bool
	// Regions is in how many regions the zones lie, 1 or 2; default 1.
	Regions int
	// ReadyTimeout is how long the nodes may take to serve; 0 means until the context ends.
	ReadyTimeout time.Duration
	// Progress is told of each fault; nil drops it.
	Progress func(format string, arguments ...any)
}

// Report is the outcome of a soak.
type Report struct {
	Seed     uint64
	Faults   int
	Requests int
	Whole    int
	// Limited counts the requests that were refused beyond a tenant's limit.
	Limited int
	Jobs    int
	Items   int
	// Reads counts the calls that read a job.
	Reads int
	Runs  int
	// Evacuations and Losses count zones, ColdSends what cold servers got.
	Evacuations, Losses, ColdSends int
	// HarmfulRequests counts requests with harmful work, HarmfulCrashes the servers that it ended.
	HarmfulRequests, HarmfulCrashes int
	// Silences, ServerStarts and ForeignRows count the faults of the second plan that went
	// silent, started servers again and left rows of other writers.
	Silences, ServerStarts, ForeignRows int
	// HistoryLosses counts the faults in which the store lost its history and answers.
	HistoryLosses int
	Violations    []Violation
	// Logs is the directory with the nodes' logs, kept if a promise was broken.
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
	// version and prefixes are of the configuration; routes are only added.
	configMu sync.Mutex
	version  int
	prefixes []string
	faults   sync.WaitGroup
	// warming are the servers that are to say that they are warm again, which may outlast
	// the fault that chilled them.
	warming sync.WaitGroup
	// zoneOutage is held while a zone is emptied or lost, none longer than until ends.
	zoneOutage     sync.Mutex
	outageDeadline time.Time
}

// newSoak returns a soak without nodes and servers.
func newSoak(options Options) *soak {
	options.Servers = cmp.Or(options.Servers, DefaultServers)
	options.Slots = cmp.Or(options.Slots, DefaultSlots)
	return &soak{
		Options: options, store: standin.NewStore(), zones: newZones(options.Regions), prefixes: []string{"resume", "once"},
		History: History{
			Events: answerSize, Quota: tokenQuota, Final: map[string][]standin.Listed{},
			NodeZones: map[string]string{}, ServerZones: map[string]string{}, ServerSlots: map[string]int{},
			listed: map[string]bool{},
		},
	}
}

// Run soaks the system and checks the promises. A node that ends while it is
// waited for is an EndedError, one that runs and does not serve an UnreadyError.
func Run(ctx context.Context, options Options) (*Report, error) {
	plan := Plan(options.Seed, options.Duration)
	if !options.FirstPlanOnly {
		plan = mergePlans(plan, SecondPlan(options.Seed, options.Duration))
	}
	return runPlan(ctx, options, plan)
}

// runPlan is Run with a plan of faults.
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

// collect takes in what servers and nodes have noted.
func (s *soak) collect() {
	for _, srv := range s.servers {
		for _, run := range srv.Runs() {
			s.Runs = append(s.Runs, ServerRun{Server: srv.name, Run: run})
		}
		for _, send := range srv.ColdSends() {
			s.ColdSends = append(s.ColdSends, ColdSend{Server: srv.name, ColdSend: send})
		}
		s.ServerOutages = append(s.ServerOutages, srv.outagesUntil(time.Now())...)
		s.Overwritten = append(s.Overwritten, srv.overwritten...)
	}
	for _, run := range s.foreignServer.Runs() {
		s.Runs = append(s.Runs, ServerRun{Server: foreignServerName, Run: run})
	}
	for _, node := range s.gateways {
		s.Exits = append(s.Exits, node.unexpectedExits()...)
	}
}

// report counts what was seen, and checks the promises.
func (s *soak) report() *Report {
	report := &Report{
		Seed: s.Seed, Requests: len(s.Requests), Jobs: len(s.Jobs), Reads: len(s.Reads), Runs: len(s.Runs),
		Evacuations: len(s.Evacuations), Losses: len(s.Losses), ColdSends: len(s.ColdSends),
		HarmfulRequests: len(s.HarmfulRequests), HarmfulCrashes: len(s.HarmfulCrashes),
		Silences: len(s.Silences), ServerStarts: len(s.ServerStarts), ForeignRows: len(s.ForeignRows),
		HistoryLosses: len(s.HistoryLosses),
	}
	for _, req := range s.Requests {
		switch {
		case req.Answer.Status == http.StatusOK && req.Answer.Whole:
			report.Whole++
		case req.Answer.Status == http.StatusTooManyRequests:
			report.Limited++
		}
	}
	for _, results := range s.Final {
		report.Items += len(results)
	}
	report.Violations = Check(&s.History)
	return report
}

func (s *soak) progressf(format string, arguments ...any) {
	if s.Progress != nil {
		s.Progress(format, arguments...)
	}
}

func (s *soak) close() {
	for _, node := range s.gateways {
		node.stop(syscall.SIGKILL)
		node.store.close()
	}
	for _, closer := range s.closers {
		closer()
	}
}

// execute runs load and faults, lets the system settle and reads everything.
func (s *soak) execute(ctx context.Context, plan []Fault) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for caller := range 2 * s.Nodes {
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
	for reader := range watchers {
		load.Go(func() { s.watchJobs(loadCtx, reader) })
	}
	for reader := range latestReaders {
		load.Go(func() { s.readLatest(loadCtx, reader) })
	}
	start := time.Now()
	s.LoadStart = start
	s.outageDeadline = start.Add(s.Duration + minOutage)
	harmCtx, stopHarm := context.WithDeadline(ctx, start.Add(s.Duration))
	defer stopHarm()
	load.Go(func() { s.callHarmful(harmCtx) })
	for _, fault := range plan {
		if !retry.Sleep(ctx, time.Until(start.Add(fault.After))) {
			break
		}
		s.progressf("%6.1f s  %s for %v", fault.After.Seconds(), fault.Kind, fault.Duration.Round(time.Millisecond))
		s.faults.Go(func() { s.inject(ctx, fault) })
	}
	retry.Sleep(ctx, time.Until(start.Add(s.Duration)))
	s.faults.Wait()
	s.store.SetTrouble(nil)
	s.CalmFrom = time.Now().Add(3 * time.Second)
	// Load goes on in calm for a while, so that what is done there counts strictly.
	s.injectCalmFaults(ctx)
	retry.Sleep(ctx, time.Until(s.CalmFrom.Add(calmLoadTime)))
	stopLoad()
	load.Wait()
	s.LoadEnd = time.Now()
	s.settle(ctx)
}

// injectCalmFaults empties a zone, and then has another server turn cold and a third drain,
// each of another zone.
func (s *soak) injectCalmFaults(ctx context.Context) {
	var done sync.WaitGroup
	done.Go(func() { s.evacuateZone(ctx, s.zones[1], calmEvacuation) })
	retry.Sleep(ctx, time.Until(s.CalmFrom))
	done.Go(func() { s.chill(ctx, s.servers[2], coldStart) })
	s.drain(ctx, s.servers[0], true)
	done.Wait()
}

// client returns a caller of one of the nodes.
func (s *soak) client(number int) *standin.Client {
	return &standin.Client{Address: s.gateways[number%len(s.gateways)].listenAddress(), Host: host, Key: apiKey(tenantMain)}
}
