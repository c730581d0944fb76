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
	// killAfter is how much longer than that one waits before it is killed.
	killAfter = 3 * time.Second
	// portChoices bounds the starts of one life on other ports.
	portChoices = 5
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
	current *life
	life    int
	ends    []EndedError
}

// life is one process of a node.
type life struct {
	command *exec.Cmd
	// logFrom is the size of the node's log at its start.
	logFrom int64
	// choices counts the ports that were in use before this life's.
	choices int
	// told is set once it was sent a signal to end.
	told bool
	// exited is closed when the process has ended and what follows from it is done.
	exited chan struct{}
}

// newGateway chooses a node's ports and writes its settings.
func newGateway(id, zone string, places place.Map, store, directory string) (*gateway, error) {
	towards, err := startProxy(store)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		id: id, zone: zone, places: places, store: towards,
		settings: filepath.Join(directory, id+".yaml"), log: filepath.Join(directory, id+".log"),
	}
	if err := g.choosePorts(); err != nil {
		towards.close()
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
			Quota: settings.Quota{Over: quotaOver, Slack: limitSlack},
			Cold:  settings.Cold{Over: coldOver, Slack: coldSlack},
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

func (g *gateway) startLocked(choices int) error {
	executable, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	output, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = output.Close() }()
	before, err := output.Stat()
	if err != nil {
		return Error.Wrap(err)
	}
	command := exec.Command(executable, "node", "--settings", g.settings)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return Error.Wrap(err)
	}
	g.current = &life{command: command, logFrom: before.Size(), choices: choices, exited: make(chan struct{})}
	g.life++
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
	ending := g.current
	if ending == nil {
		g.mu.Unlock()
		return
	}
	ending.told = true
	g.signalLocked(signal)
	g.mu.Unlock()
	select {
	case <-ending.exited:
	case <-time.After(processGrace + killAfter):
		g.signal(syscall.SIGKILL)
		<-ending.exited
	}
}

// at returns the node's present host:port for callers.
func (g *gateway) at() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.address
}

// lives returns the number of the present process.
func (g *gateway) lives() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.life
}
