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
	LoadLag         = 150 * time.Millisecond
	weightSize      = 256 << 10
	weightBandwidth = 1 << 20

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
	silenceable := &emulator.SilentListener{Listener: listener}
	go func() { _ = server.Serve(silenceable) }()
	return &endpoint{url: "http://" + listener.Addr().String(), server: server, listener: silenceable}, nil
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
	p.Weights.LimitBandwidth(weightBandwidth)
	var group errs.Group
	start := func(target **endpoint, handler http.Handler) {
		ep, err := serve(handler)
		group.Add(err)
		*target = ep
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
	p.Weights.Seed(weightBucket+"/"+emulator.WeightKey(model, version), make([]byte, weightSize))
}

// Close stops the stand-ins.
func (p *Platform) Close() error {
	var group errs.Group
	for _, ep := range []*endpoint{p.table, p.objects, p.weights, p.machines} {
		group.Add(ep.server.Close())
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
	killOnce sync.Once
	// retired is set once the engine is killed or leaving.
	retired atomic.Bool
}

// StartEngine starts an emulated engine.
func StartEngine(config emulator.EngineConfig, zone string) (*Engine, error) {
	engine := &Engine{
		ID: config.Replica, Zone: zone, Generation: config.Generation.Name,
		Engine: emulator.NewEngine(config),
	}
	var err error
	if engine.endpoint, err = serve(engine.Handler()); err != nil {
		return nil, err
	}
	engine.URL = engine.endpoint.url
	ctx, cancel := context.WithCancel(context.Background())
	engine.cancel = cancel
	engine.done.Add(1)
	go func() {
		defer engine.done.Done()
		engine.Run(ctx)
	}()
	return engine, nil
}

// Silence has the engine's open connections go silent without an end. It returns how many.
func (e *Engine) Silence() int { return e.endpoint.listener.Silence() }

// Kill stops the engine and breaks all its connections.
func (e *Engine) Kill() {
	e.killOnce.Do(func() {
		e.cancel()
		_ = e.endpoint.server.Close()
		e.done.Wait()
	})
}

// errNoProcess reports use of a part that was not started.
var errNoProcess = errors.New("not started")
