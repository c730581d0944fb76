package site

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/node"
)

// process is a node that runs as a process of its own.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	readers sync.WaitGroup
}

// startProcess runs this program's own node command.
func (m *Member) startProcess(ctx context.Context) error {
	executable, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	path, err := m.writeSettings()
	if err != nil {
		return err
	}
	command := exec.CommandContext(context.WithoutCancel(ctx), executable, "node", "--settings", path)
	output, err := command.StdoutPipe()
	if err != nil {
		return Error.Wrap(err)
	}
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return Error.Wrap(err)
	}
	started := &process{command: command, exited: make(chan struct{})}
	started.readers.Add(1)
	go func() {
		defer started.readers.Done()
		m.readLog(output)
	}()
	go func() {
		started.readers.Wait()
		_ = command.Wait()
		close(started.exited)
	}()
	m.mu.Lock()
	m.process = started
	m.mu.Unlock()
	return nil
}

// writeSettings stores the settings as a file. JSON tags name the keys in YAML too.
func (m *Member) writeSettings() (string, error) {
	encoded, err := json.Marshal(m.settings)
	if err != nil {
		return "", Error.Wrap(err)
	}
	source, err := yaml.JSONToYAML(encoded)
	if err != nil {
		return "", Error.Wrap(err)
	}
	directory, err := os.MkdirTemp("", "wheelhoist-lab-")
	if err != nil {
		return "", Error.Wrap(err)
	}
	path := filepath.Join(directory, m.ID+".yaml")
	return path, Error.Wrap(os.WriteFile(path, source, 0o600))
}

// readLog turns the node's log into history events.
func (m *Member) readLog(output io.Reader) {
	const maxLogLine = 1 << 20
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var line struct {
			Message  string `json:"message"`
			Revision uint64 `json:"revision"`
			UnixNano int64  `json:"unix_ns"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Message != "configuration applied" {
			continue
		}
		m.recorder.Record(history.Event{
			Time: line.UnixNano, Source: "node/" + m.ID, Type: history.ConfigApplied, Revision: line.Revision,
		})
	}
}

// Kill ends the node at once: SIGKILL for a process.
func (m *Member) Kill() {
	inner, running := m.detach()
	m.recorder.Record(history.Event{Source: "lab", Type: history.NodeKilled, Detail: m.ID})
	if inner != nil {
		_ = inner.Close()
	}
	if running != nil {
		_ = running.command.Process.Kill()
		<-running.exited
	}
}

// Signal sends a signal to a process; in-process nodes take none.
func (m *Member) Signal(signal syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return Error.Wrap(errNotStarted)
	}
	return Error.Wrap(m.process.command.Process.Signal(signal))
}

// Drain stops the node as planned and waits for its end.
func (m *Member) Drain(ctx context.Context) error {
	m.recorder.Record(history.Event{Source: "lab", Type: history.NodeStopping, Detail: m.ID})
	m.mu.Lock()
	inner, running := m.inner, m.process
	m.mu.Unlock()
	var err error
	if inner != nil {
		err = inner.Drain(ctx)
	}
	if running != nil {
		err = running.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-running.exited:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	_, _ = m.detach()
	return Error.Wrap(err)
}

// await waits until a node meets a condition.
func (s *Site) await(ctx context.Context, member *Member, met func(context.Context, *Member) bool) error {
	const interval = 50 * time.Millisecond
	for {
		if met(ctx, member) {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("node %s not ready: %v", member.ID, ctx.Err())
		case <-time.After(interval):
		}
	}
}

// detach marks the node as not running and returns what ran.
func (m *Member) detach() (inner *node.Node, running *process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	inner, running = m.inner, m.process
	m.inner, m.process = nil, nil
	return inner, running
}
