// Package site runs a whole emulated site: the platform's stand-ins, the
// engines and the nodes, in one process or with the nodes as real processes.
package site

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/lab/emulator"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/object"
)

// Error is the class of all errors of this package.
var Error = errs.Class("site")

const (
	// MachineLag is the lag of the machine list.
	MachineLag = 3 * time.Second
	// LoadLag is the lag of the engines' load reports.
	LoadLag      = 150 * time.Millisecond
	weightBytes  = 256 << 10
	weightPerSec = 1 << 20

	tableName    = "wheelhoist"
	bucketName   = "wheelhoist"
	weightBucket = "weights"
	labRegion    = "local"
	labAccessKey = "lab"
	labSecretKey = "lab-secret"
)

// endpoint is an HTTP server of the lab.
type endpoint struct {
	url      string
	server   *http.Server
	listener *emulator.SilentListener
}

func serve(handler http.Handler) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	server := &http.Server{Handler: handler}
	silent := &emulator.SilentListener{Listener: listener}
	go func() { _ = server.Serve(silent) }()
	return &endpoint{url: "http://" + listener.Addr().String(), server: server, listener: silent}, nil
}

// Platform is the set of stand-ins for the platform's services.
type Platform struct {
	Table    *emulator.TableStore
	Objects  *emulator.ObjectStore
	Weights  *emulator.ObjectStore
	Machines *emulator.MachineList

	table, objects, weights, machines *endpoint
}

// Endpoints are the base URLs of the stand-ins.
type Endpoints struct {
	Table    string `json:"table"`
	Objects  string `json:"objects"`
	Weights  string `json:"weights"`
	Machines string `json:"machines"`
}

// StartPlatform starts the stand-ins.
func StartPlatform(seed uint64, recorder *history.Recorder) (*Platform, error) {
	p := &Platform{
		Table:    emulator.NewTableStore(seed, recorder),
		Objects:  emulator.NewObjectStore(seed + 1),
		Weights:  emulator.NewObjectStore(seed + 2),
		Machines: emulator.NewMachineList(seed+3, MachineLag),
	}
	p.Weights.LimitBandwidth(weightPerSec)
	var group errs.Group
	start := func(target **endpoint, handler http.Handler) {
		started, err := serve(handler)
		group.Add(err)
		*target = started
	}
	start(&p.table, p.Table.Handler())
	start(&p.objects, p.Objects.Handler())
	start(&p.weights, p.Weights.Handler())
	start(&p.machines, p.Machines.Handler())
	return p, group.Err()
}

// Endpoints returns the base URLs.
func (p *Platform) Endpoints() Endpoints {
	return Endpoints{Table: p.table.url, Objects: p.objects.url, Weights: p.weights.url, Machines: p.machines.url}
}

// WeightStore returns a client of the weight store.
func (p *Platform) WeightStore() object.Store {
	return object.NewS3(object.S3Config{
		Endpoint: p.weights.url, Region: labRegion, Bucket: weightBucket,
		AccessKey: labAccessKey, SecretKey: labSecretKey,
	})
}

// SeedWeights stores the weights of a version or adapter.
func (p *Platform) SeedWeights(model, version string) {
	p.Weights.Seed(weightBucket+"/"+emulator.WeightKey(model, version), make([]byte, weightBytes))
}

// Close stops the stand-ins.
func (p *Platform) Close() error {
	var group errs.Group
	for _, one := range []*endpoint{p.table, p.objects, p.weights, p.machines} {
		group.Add(one.server.Close())
	}
	return group.Err()
}

// Engine is a running emulated engine.
type Engine struct {
	ID         string
	Zone       string
	Generation string
	URL        string
	*emulator.Engine

	endpoint *endpoint
	cancel   context.CancelFunc
	done     sync.WaitGroup
	once     sync.Once
	// gone is set once the engine is killed or leaving.
	gone atomic.Bool
}

// StartEngine starts an emulated engine.
func StartEngine(config emulator.EngineConfig, zone string) (*Engine, error) {
	started := &Engine{
		ID: config.Replica, Zone: zone, Generation: config.Generation.Name,
		Engine: emulator.NewEngine(config),
	}
	var err error
	if started.endpoint, err = serve(started.Handler()); err != nil {
		return nil, err
	}
	started.URL = started.endpoint.url
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	started.done.Add(1)
	go func() {
		defer started.done.Done()
		started.Run(ctx)
	}()
	return started, nil
}

// Silence has the engine's open connections go silent without an end. It returns how many.
func (e *Engine) Silence() int { return e.endpoint.listener.Silence() }

// Kill stops the engine and breaks all its connections.
func (e *Engine) Kill() {
	e.once.Do(func() {
		e.cancel()
		_ = e.endpoint.server.Close()
		e.done.Wait()
	})
}

// errNotStarted reports use of a part that was not started.
var errNotStarted = errors.New("not started")
