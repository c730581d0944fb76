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
	// processGrace is how long a node may take to stop.
	processGrace = 5 * time.Second
	// killMargin is how much longer than that one waits before it is killed.
	killMargin = 3 * time.Second
	// maxPortRetries bounds the starts of one life on other ports.
	maxPortRetries = 5
)

// gateway is a node that runs as a process of its own, behind a proxy to the store.
type gateway struct {
	id, zone string
	places   place.Map
	store    *proxy
	settings string
	log      string

	// restarting is held while the process is ended and started again.
	restarting sync.Mutex

	mu      sync.Mutex
	address string
	current *process
	started int
	exits   []ExitError
}

// process is one process of a node.
type process struct {
	command *exec.Cmd
	// logStart is the size of the node's log at its start.
	logStart int64
	// portRetries counts the ports that were in use before this life's.
	portRetries int
	// stopRequested is set once it was sent a signal to end.
	stopRequested bool
	// exited is closed when the process has ended and what follows from it is done.
	exited chan struct{}
}

// newGateway chooses a node's ports and writes its settings.
func newGateway(id, zone string, places place.Map, store, directory string) (*gateway, error) {
	storeProxy, err := startProxy(store)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		id: id, zone: zone, places: places, store: storeProxy,
		settings: filepath.Join(directory, id+".yaml"), log: filepath.Join(directory, id+".log"),
	}
	if err := g.choosePorts(); err != nil {
		storeProxy.close()
		return nil, err
	}
	return g, nil
}

// choosePorts gives the node ports that it has not had and writes its settings.
func (g *gateway) choosePorts() error {
	addresses := make([]string, 3)
	for i := range addresses {
		var err error
		if addresses[i], err = port.Free(); err != nil {
			return Error.Wrap(err)
		}
	}
	config := settings.Settings{
		Node: settings.Node{ID: g.id, Zone: g.zone, Region: g.places.Region(g.zone), Zones: g.places, Listen: addresses[0]},
		Gateway: settings.Gateway{
			Store: g.store.address(), Readiness: addresses[1], Peers: addresses[2],
			Quota: settings.Quota{Over: quotaTolerance, Slack: limitSlack},
			Cold:  settings.Cold{Over: coldFactor, Slack: coldSlack},
			Grace: v1.Duration(processGrace), KeepJobs: v1.Duration(10 * time.Minute),
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
	g.address = addresses[0]
	return Error.Wrap(os.WriteFile(g.settings, source, 0o600))
}

// start runs this program's own node command.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.startLocked(0)
}

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

// signal sends a signal to the process.
func (g *gateway) signal(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signalLocked(signal)
}

func (g *gateway) signalLocked(signal syscall.Signal) {
	if g.current != nil {
		// It fails only if the process has ended already.
		_ = g.current.command.Process.Signal(signal)
	}
}

// stop ends the process with a signal and waits until it is gone.
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

// listenAddress returns the node's present host:port for callers.
func (g *gateway) listenAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.address
}

// processNumber returns the number of the present process.
func (g *gateway) processNumber() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started
}
