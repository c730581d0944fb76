// Package site runs a complete emulated site: stand-ins for the services of the platform, emulated
// engines and real nodes. The nodes run in this process or as separate processes.
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
	// MachineLag is the time until readers of the machine list see that a machine was changed or
	// removed.
	MachineLag = 3 * time.Second
	// LoadLag is the age of the load that engines report.
	LoadLag = 150 * time.Millisecond
	// weightSize is the size in bytes of the weights of a model version, weightBandwidth the
	// bandwidth of the weight store in bytes per second.
	weightSize      = 256 << 10
	weightBandwidth = 1 << 20

	tableName    = "wheelhoist"
	bucketName   = "wheelhoist"
	weightBucket = "weights"
	labRegion    = "local"
	labAccessKey = "lab"
	labSecretKey = "lab-secret"
)

// endpoint is an HTTP server on a loopback port.
type endpoint struct {
	url      string
	server   *http.Server
	listener *emulator.SilentListener
}

// serve starts an HTTP server for handler on a port that the kernel chooses.
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

// Platform contains the stand-ins for the services of the platform.
type Platform struct {
	Table    *emulator.TableStore
	Objects  *emulator.ObjectStore
	Weights  *emulator.ObjectStore
	Machines *emulator.MachineList

	table, objects, weights, machines *endpoint
}

// Endpoints contains the base URLs of the stand-ins.
type Endpoints struct {
	Table    string `json:"table"`
	Objects  string `json:"objects"`
	Weights  string `json:"weights"`
	Machines string `json:"machines"`
}

// StartPlatform starts the stand-ins, each with a random stream derived from seed.
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

// Endpoints returns the base URLs of the stand-ins.
func (p *Platform) Endpoints() Endpoints {
	return Endpoints{Table: p.table.url, Objects: p.objects.url, Weights: p.weights.url, Machines: p.machines.url}
}

// WeightStore returns a client for the object store that holds the model weights.
func (p *Platform) WeightStore() object.Store {
	return object.NewS3(object.S3Config{
		Endpoint: p.weights.url, Region: labRegion, Bucket: weightBucket,
		AccessKey: labAccessKey, SecretKey: labSecretKey,
	})
}

// SeedWeights stores placeholder weights for a version or adapter of a model.
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

// Engine is an emulated engine with its HTTP server.
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
	// retired is set when the engine is killed or its machine is marked as leaving.
	retired atomic.Bool
}

// StartEngine starts an emulated engine and its HTTP server.
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

// Silence stalls the open connections of the engine without closing them and returns their number.
func (e *Engine) Silence() int { return e.endpoint.listener.Silence() }

// Kill stops the engine and closes all its connections. It may be called more than once.
func (e *Engine) Kill() {
	e.killOnce.Do(func() {
		e.cancel()
		_ = e.endpoint.server.Close()
		e.done.Wait()
	})
}

// errNoProcess is returned by Signal for a node that does not run as a process.
var errNoProcess = errors.New("node does not run as a process")
