package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lab/port"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/settings"
)

const (
	// processGrace is the grace period of a node when it stops.
	processGrace = 5 * time.Second
	// killMargin is how much longer than processGrace to wait before a node is killed.
	killMargin = 3 * time.Second
	// maxPortRetries limits the restarts of a process on other ports.
	maxPortRetries = 5
)

// gateway is a node that runs as a separate process and reaches the store through a proxy.
type gateway struct {
	id, zone string
	places   place.Map
	// relayFrom is the number of nodes above which nodes follow relays; 0 means the default.
	relayFrom int
	// seeds are the addresses of other nodes in the node's settings.
	seeds    []string
	store    *proxy
	settings string
	log      string

	// restarting is held while the process is stopped and restarted.
	restarting sync.Mutex

	mu sync.Mutex
	// address is that of the listener for callers, readiness that for probes, peers that for other nodes.
	address, readiness, peers string
	current                   *process
	// started is the number of processes that were started; the current one has this number.
	started int
	exits   []ExitError
}

// process is one process of a node.
type process struct {
	command *exec.Cmd
	// logStart is the size of the log file when the process was started.
	logStart int64
	// portRetries is the number of previous attempts that failed because a port was in use.
	portRetries int
	// stopRequested is set before the process is sent a signal to stop.
	stopRequested bool
	// exited is closed when the exit of the process has been handled.
	exited chan struct{}
}

// newGateway chooses the ports of a node and writes its settings file.
func newGateway(id, zone string, places place.Map, store, directory string, relayFrom int) (*gateway, error) {
	storeProxy, err := startProxy(store)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		id: id, zone: zone, places: places, store: storeProxy, relayFrom: relayFrom,
		settings: filepath.Join(directory, id+".yaml"), log: filepath.Join(directory, id+".log"),
	}
	if err := g.choosePorts(); err != nil {
		storeProxy.close()
		return nil, err
	}
	return g, nil
}

// choosePorts chooses new free ports for the node and writes its settings file. Other nodes keep its previous
// address among their seeds.
func (g *gateway) choosePorts() error {
	for _, address := range []*string{&g.address, &g.readiness, &g.peers} {
		var err error
		if *address, err = port.Free(); err != nil {
			return Error.Wrap(err)
		}
	}
	return g.writeSettings()
}

// writeSettings writes the settings file of the node.
func (g *gateway) writeSettings() error {
	config := settings.Settings{
		Node: settings.Node{ID: g.id, Zone: g.zone, Region: g.places.Region(g.zone), Zones: g.places, Listen: g.address},
		Gateway: settings.Gateway{
			Store: g.store.address(), Readiness: g.readiness, Peers: g.peers, Seeds: g.seeds,
			Quota: settings.Quota{Over: quotaTolerance, Slack: limitSlack},
			Cold:  settings.Cold{Over: coldFactor, Slack: coldSlack},
			Grace: v1.Duration(processGrace), KeepJobs: v1.Duration(10 * time.Minute), RelayFrom: g.relayFrom,
		},
	}
	encoded, err := json.Marshal(config)
	if err != nil {
		return Error.Wrap(err)
	}
	source, err := yaml.JSONToYAML(encoded)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(g.settings, source, 0o600))
}

// start starts the node command of the current executable.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.startLocked(0)
}

// startLocked is start for a caller that holds mu.
func (g *gateway) startLocked(portRetries int) error {
	executable, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	logFile, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = logFile.Close() }()
	info, err := logFile.Stat()
	if err != nil {
		return Error.Wrap(err)
	}
	command := exec.Command(executable, "node", "--settings", g.settings)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return Error.Wrap(err)
	}
	g.current = &process{command: command, logStart: info.Size(), portRetries: portRetries, exited: make(chan struct{})}
	g.started++
	go g.supervise(g.current)
	return nil
}

// signal sends a signal to the current process.
func (g *gateway) signal(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signalLocked(signal)
}

func (g *gateway) signalLocked(signal syscall.Signal) {
	if g.current != nil {
		// Signal only fails if the process has already exited.
		_ = g.current.command.Process.Signal(signal)
	}
}

// stop sends a signal to the current process and waits until it has exited.
func (g *gateway) stop(signal syscall.Signal) {
	g.mu.Lock()
	p := g.current
	if p == nil {
		g.mu.Unlock()
		return
	}
	p.stopRequested = true
	g.signalLocked(signal)
	g.mu.Unlock()
	select {
	case <-p.exited:
	case <-time.After(processGrace + killMargin):
		g.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// listenAddress returns the current host:port for callers.
func (g *gateway) listenAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.address
}

// processNumber returns the number of the current process, from 1.
func (g *gateway) processNumber() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started
}
