package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
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
	host        = "soak.example"
	answerSize  = 12
	eventTime   = 15 * time.Millisecond
	serverCount = 8
	// serverSlots is so small that requests often find no slot of their node free and
	// ask for one elsewhere.
	serverSlots = 2
	itemTokens  = 500
	// tokenQuota is small enough that some jobs are refused.
	tokenQuota = 40000
	// settleTime is how long the system has after the last fault.
	settleTime = 25 * time.Second
	// headerTime is how long the stand-ins wait for the header of a request.
	headerTime = 15 * time.Second
	// readyCall is how long one call waits for a node that is to serve, readyPause
	// the time between two calls, some ten times what an idle machine takes for one.
	readyCall  = time.Second
	readyPause = 50 * time.Millisecond
	// readySlow is when a node that does not serve yet is spoken of; the first soaks
	// gave up then. Nothing is decided by it.
	readySlow = 15 * time.Second
)

// Options are the choices of a soak.
type Options struct {
	Seed uint64
	// For is the time with faults; the run takes some 20 s more.
	For   time.Duration
	Nodes int
	// Ready is how long the nodes may take to serve; 0 means until the context ends.
	Ready time.Duration
	// Progress is told of each fault; nil drops it.
	Progress func(format string, arguments ...any)
}

// Report is the outcome of a soak.
type Report struct {
	Seed     uint64
	Faults   int
	Requests int
	Whole    int
	Jobs     int
	Items    int
	Runs     int
	Broken   []Broken
	// Logs is the directory with the nodes' logs, kept if a promise was broken.
	Logs string
}

// soak is the state of a run.
type soak struct {
	Options
	History
	store    *standin.Store
	servers  []*server
	gateways []*gateway
	closers  []func()
	// version and prefixes are of the configuration; routes are only added.
	configMu sync.Mutex
	version  int
	prefixes []string
	faults   sync.WaitGroup
}

// server is a stand-in server behind a proxy.
type server struct {
	*standin.Server
	id    string
	proxy *proxy
	// gone is set once the server was told to leave.
	gone atomic.Bool
}

// Run soaks the system and checks the promises. A node that ends while it is
// waited for is an EndedError, one that runs and does not serve an UnreadyError.
func Run(ctx context.Context, options Options) (*Report, error) {
	directory, err := os.MkdirTemp("", "wheelhoist-soak-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &soak{Options: options, store: standin.NewStore(), prefixes: []string{"resume", "once"}}
	s.Events, s.Quota, s.Final = answerSize, tokenQuota, map[string][]standin.Listed{}
	defer s.close()
	if err := s.start(ctx, directory); err != nil {
		return nil, err
	}
	plan := Plan(options.Seed, options.For)
	s.play(ctx, plan)
	report := &Report{Seed: options.Seed, Faults: len(plan), Requests: len(s.Requests), Jobs: len(s.Jobs), Logs: directory}
	for _, one := range s.Requests {
		if one.Answer.Status == http.StatusOK && one.Answer.Whole {
			report.Whole++
		}
	}
	for _, one := range s.servers {
		for _, run := range one.Runs() {
			s.Runs = append(s.Runs, ServerRun{Server: one.id, Run: run})
		}
	}
	for _, one := range s.gateways {
		s.Ended = append(s.Ended, one.ended()...)
	}
	report.Runs = len(s.Runs)
	for _, results := range s.Final {
		report.Items += len(results)
	}
	report.Broken = Check(&s.History)
	if len(report.Broken) == 0 {
		_ = os.RemoveAll(directory)
		report.Logs = ""
	}
	return report, nil
}

func (s *soak) say(format string, arguments ...any) {
	if s.Progress != nil {
		s.Progress(format, arguments...)
	}
}

func (s *soak) close() {
	for _, one := range s.gateways {
		one.stop(syscall.SIGKILL)
		one.store.close()
	}
	for _, closer := range s.closers {
		closer()
	}
}

// listen serves a handler on a free loopback port.
func (s *soak) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	serving := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime}
	go func() { _ = serving.Serve(listener) }()
	s.closers = append(s.closers, func() { _ = serving.Close() })
	return listener.Addr().String(), nil
}

func (s *soak) start(ctx context.Context, directory string) error {
	storeAt, err := s.listen(s.store)
	if err != nil {
		return err
	}
	s.configure()
	for i := range serverCount {
		if err := s.addServer(fmt.Sprintf("server-%d", i)); err != nil {
			return err
		}
	}
	for i := range s.Nodes {
		one, err := newGateway(fmt.Sprintf("node-%d", i), "z", storeAt, directory)
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, one)
		if err := one.start(); err != nil {
			return err
		}
	}
	return s.ready(ctx)
}

// configure puts the next version of the configuration in force.
func (s *soak) configure() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.version++
	if s.version > 1 {
		s.prefixes = append(s.prefixes, fmt.Sprintf("added-%d", s.version))
	}
	s.store.Put("op", "config", standin.DeclareKeyed(s.version, host, tokenQuota, tenants(), s.prefixes...))
}

// prefix picks a declared prefix.
func (s *soak) prefix(random *rand.Rand) string {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	return s.prefixes[random.IntN(len(s.prefixes))]
}

func (s *soak) addServer(id string) error {
	one := &server{Server: &standin.Server{ID: id, Events: answerSize, EventTime: eventTime}, id: id}
	address, err := s.listen(one.Server)
	if err != nil {
		return err
	}
	if one.proxy, err = startProxy(address); err != nil {
		return err
	}
	s.closers = append(s.closers, one.proxy.close)
	s.servers = append(s.servers, one)
	s.store.Put("servers", id, standin.Listing(one.proxy.address(), "z", serverSlots, false))
	return nil
}

// ready waits until all nodes serve, one has ended or the time for it is over.
func (s *soak) ready(ctx context.Context) error {
	if s.Ready > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.Ready)
		defer cancel()
	}
	for _, one := range s.gateways {
		if err := s.await(ctx, one); err != nil {
			return err
		}
	}
	return nil
}

// await waits until a node serves.
func (s *soak) await(ctx context.Context, node *gateway) error {
	began := time.Now()
	said := false
	for number := 0; ; number++ {
		client := standin.Client{Address: node.at(), Host: host, Key: keyOf(tenantMain)}
		status := client.Stream(ctx, "resume", fmt.Sprintf("%s-ready-%d", node.id, number), readyCall).Status
		if status == http.StatusOK {
			return nil
		}
		if err := s.firstEnd(); err != nil {
			return err
		}
		waited := time.Since(began)
		if ctx.Err() != nil {
			return &UnreadyError{
				Node: node.id, Waited: waited, Status: status, Log: node.lastLines(), Path: node.log, Cause: context.Cause(ctx),
			}
		}
		if waited > readySlow && !said {
			said = true
			s.say("node %s does not serve after %v, last status %d; its log ends in:\n%s", node.id, waited, status, node.lastLines())
		}
		retry.Sleep(ctx, readyPause)
	}
}

// firstEnd returns the first end of a node that nobody had asked for, or nil.
func (s *soak) firstEnd() error {
	for _, one := range s.gateways {
		if ends := one.ended(); len(ends) > 0 {
			return &ends[0]
		}
	}
	return nil
}

// play runs load and faults, lets the system settle and reads everything.
func (s *soak) play(ctx context.Context, plan []Fault) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for caller := range 2 * s.Nodes {
		load.Go(func() { s.callOnline(loadCtx, caller) })
	}
	for caller := range 3 {
		load.Go(func() { s.callJobs(loadCtx, caller) })
	}
	load.Go(func() { s.callBeyond(loadCtx) })
	load.Go(func() { s.readJobs(loadCtx) })
	began := time.Now()
	for _, fault := range plan {
		if !retry.Sleep(ctx, time.Until(began.Add(fault.At))) {
			break
		}
		s.say("%6.1f s  %s for %v", fault.At.Seconds(), fault.Kind, fault.For.Round(time.Millisecond))
		s.faults.Go(func() { s.apply(ctx, fault) })
	}
	retry.Sleep(ctx, time.Until(began.Add(s.For)))
	s.faults.Wait()
	s.store.SetTrouble(nil)
	s.Calm = time.Now().Add(3 * time.Second)
	// Load goes on in calm for a while, so that ends and a drain there count.
	retry.Sleep(ctx, time.Until(s.Calm))
	s.drain(ctx, s.servers[0], true)
	stopLoad()
	load.Wait()
	s.settle(ctx)
}

// settle waits until all accepted jobs are listed, and reads them at every node.
func (s *soak) settle(ctx context.Context) {
	deadline := time.Now().Add(settleTime)
	for _, job := range s.jobs() {
		if !job.Accepted {
			continue
		}
		for number := 0; time.Now().Before(deadline); number++ {
			results, total, err := s.client(number).Results(ctx, job.ID, 0)
			if err == nil {
				s.reading(job.ID, 0, results)
				s.Final[job.ID] = results
				if len(results) == total || !job.EndedAt.IsZero() {
					break
				}
			}
			retry.Sleep(ctx, 100*time.Millisecond)
		}
	}
}

// client returns a caller of one of the nodes.
func (s *soak) client(number int) *standin.Client {
	return &standin.Client{Address: s.gateways[number%len(s.gateways)].at(), Host: host, Key: keyOf(tenantMain)}
}
