package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/wheelhoist/wheelhoist/api/client"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/port"
	"github.com/wheelhoist/wheelhoist/internal/lab/site"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/server"
	"github.com/wheelhoist/wheelhoist/internal/settings"
)

const (
	modelName = "hollow-llm"
	poolName  = "hollow"
	// nodesPerWorker keeps the number of processes low and each one's heap small.
	nodesPerWorker = 40
	defaultReal    = 4
	readyLimit     = 90 * time.Second
)

// zones are those of the size to build towards: two regions, five zones.
var zones = []struct{ region, zone string }{
	{"west", "west-a"}, {"west", "west-b"}, {"west", "west-c"}, {"east", "east-a"}, {"east", "east-b"},
}

// Options are the choices of a run.
type Options struct {
	Nodes    int
	Replicas int
	Duration time.Duration
	Seed     uint64
	// Tenants is the number of tenants declared.
	Tenants int
	// Day replays a day's failures after the measurement.
	Day bool
	// Profile is the file for a CPU profile of the first worker; empty for none.
	Profile  string
	Progress func(format string, arguments ...any)
}

// fleet is a running fleet.
type fleet struct {
	options   Options
	directory string
	platform  *site.Platform
	engines   *engines
	recorder  *history.Recorder
	nodes     []settings.Settings
	workers   []*process
	real      []*process
}

// process is a worker or a real node.
type process struct {
	command *exec.Cmd
	input   io.WriteCloser
	nodes   []string
	url     string
	readers sync.WaitGroup
}

func startFleet(ctx context.Context, options Options) (*fleet, error) {
	f := &fleet{options: options, recorder: &history.Recorder{}}
	var err error
	if f.directory, err = os.MkdirTemp("", "wheelhoist-hollow-"); err != nil {
		return nil, Error.Wrap(err)
	}
	// The table's effects are recorded, for the check of the operators' writes.
	if f.platform, err = site.StartPlatform(options.Seed, f.recorder); err != nil {
		return nil, err
	}
	if f.engines, err = startEngines(); err != nil {
		return nil, err
	}
	if err := f.describe(); err != nil {
		return nil, err
	}
	hollow := f.nodes[min(defaultReal, len(f.nodes)):]
	for start := 0; start < len(hollow); start += nodesPerWorker {
		part := hollow[start:min(start+nodesPerWorker, len(hollow))]
		if err := f.startWorker(ctx, part); err != nil {
			return nil, err
		}
	}
	for i := range min(defaultReal, len(f.nodes)) {
		if err := f.startReal(ctx, f.nodes[i]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// describe lists all machines and makes the nodes' settings.
func (f *fleet) describe() error {
	endpoints := f.platform.Endpoints()
	for i := range f.options.Nodes {
		place := zones[i%len(zones)]
		listen, err := port.Free()
		if err != nil {
			return err
		}
		config := settings.Settings{
			Node: settings.Node{ID: fmt.Sprintf("node-%03d", i), Zone: place.zone, Region: place.region, Listen: listen},
			Platform: settings.Platform{
				Table:    settings.TableService{Endpoint: endpoints.Table, Table: "wheelhoist", AccessKey: "lab", SecretKey: "lab"},
				Objects:  settings.ObjectStore{Endpoint: endpoints.Objects, Bucket: "wheelhoist", AccessKey: "lab", SecretKey: "lab"},
				Machines: settings.MachineList{URL: endpoints.Machines},
			},
			Operator: settings.Operator{KeySHA256: v1.HashKey(site.OperatorKey)},
		}
		config.ApplyDefaults()
		f.nodes = append(f.nodes, config)
		f.platform.Machines.Add(machines.Machine{
			ID: config.Node.ID, Role: machines.RoleNode, Zone: place.zone, Region: place.region,
			State: machines.Live, Address: listen,
		})
	}
	for i := range f.options.Replicas {
		place := zones[i%len(zones)]
		id := fmt.Sprintf("replica-%03d", i)
		f.platform.Machines.Add(machines.Machine{
			ID: id, Role: machines.RoleEngine, Zone: place.zone, Region: place.region, Generation: "newer",
			State: machines.Live, Address: f.engines.address(id), Pool: poolName,
		})
	}
	return nil
}

func (f *fleet) startWorker(ctx context.Context, nodes []settings.Settings) error {
	path := filepath.Join(f.directory, fmt.Sprintf("worker-%d.json", len(f.workers)))
	source, err := json.Marshal(workerPlan{Nodes: nodes})
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(path, source, 0o600); err != nil {
		return Error.Wrap(err)
	}
	started := &process{}
	for _, config := range nodes {
		started.nodes = append(started.nodes, config.Node.ID)
	}
	arguments := []string{"hollow-worker", "--plan", path}
	if f.options.Profile != "" && len(f.workers) == 0 {
		arguments = append(arguments, "--cpuprofile", f.options.Profile)
	}
	f.workers = append(f.workers, started)
	return f.launch(ctx, started, arguments...)
}

func (f *fleet) startReal(ctx context.Context, config settings.Settings) error {
	encoded, err := json.Marshal(config)
	if err != nil {
		return Error.Wrap(err)
	}
	source, err := yaml.JSONToYAML(encoded)
	if err != nil {
		return Error.Wrap(err)
	}
	path := filepath.Join(f.directory, config.Node.ID+".yaml")
	if err := os.WriteFile(path, source, 0o600); err != nil {
		return Error.Wrap(err)
	}
	started := &process{nodes: []string{config.Node.ID}, url: "http://" + config.Node.Listen}
	f.real = append(f.real, started)
	return f.launch(ctx, started, "node", "--settings", path)
}

// launch runs this program with other arguments and reads its output.
func (f *fleet) launch(ctx context.Context, started *process, arguments ...string) error {
	executable, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	started.command = exec.CommandContext(context.WithoutCancel(ctx), executable, arguments...)
	started.command.Stderr = os.Stderr
	output, err := started.command.StdoutPipe()
	if err != nil {
		return Error.Wrap(err)
	}
	if started.input, err = started.command.StdinPipe(); err != nil {
		return Error.Wrap(err)
	}
	if err := started.command.Start(); err != nil {
		return Error.Wrap(err)
	}
	started.readers.Add(1)
	go func() {
		defer started.readers.Done()
		f.readApplied(output)
	}()
	return nil
}

// readApplied records the revisions that come into force.
func (f *fleet) readApplied(output io.Reader) {
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		var line appliedLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Revision == 0 || line.UnixNano == 0 {
			continue
		}
		f.recorder.Record(history.Event{
			Time: line.UnixNano, Source: "node/" + line.Node, Type: history.ConfigApplied, Revision: line.Revision,
		})
	}
}

// workerOf returns the worker that runs a hollow node.
func (f *fleet) workerOf(id string) *process {
	for _, worker := range f.workers {
		for _, node := range worker.nodes {
			if node == id {
				return worker
			}
		}
	}
	return nil
}

// tell sends a command to a worker.
func (p *process) tell(command, argument string) {
	_, _ = fmt.Fprintf(p.input, "%s %s\n", command, argument)
}

func (f *fleet) operator(node int) *client.Client {
	return client.New("http://"+f.nodes[node].Node.Listen, site.OperatorKey)
}

// awaitReady waits until the first node counts all others.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		live := f.seen(ctx)
		if live >= f.options.Nodes {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("fleet not ready: %d of %d nodes seen", live, f.options.Nodes)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// seen counts the nodes that the first node takes for live.
func (f *fleet) seen(ctx context.Context) int {
	body, err := f.operator(0).Status(ctx)
	var status server.NodeStatus
	if err != nil || json.Unmarshal(body, &status) != nil {
		return 0
	}
	live := 0
	for _, member := range status.Members {
		if member.Status == server.MemberAlive {
			live++
		}
	}
	return live
}

func (f *fleet) close() {
	for _, worker := range f.workers {
		// A worker ends when its input does.
		_ = worker.input.Close()
	}
	for _, one := range f.real {
		_ = one.command.Process.Kill()
	}
	for _, one := range append(append([]*process(nil), f.workers...), f.real...) {
		one.readers.Wait()
		_ = one.command.Wait()
	}
	f.engines.close()
	_ = f.platform.Close()
	_ = os.RemoveAll(f.directory)
}
