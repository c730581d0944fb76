package site

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
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/tail"
	"github.com/wheelhoist/wheelhoist/internal/node"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// process is a node that runs as a process of its own.
type process struct {
	command *exec.Cmd
	// logTail is the end of what it said.
	logTail tail.Writer
	exited  chan struct{}
	readers sync.WaitGroup
}

// ExitError reports that a node's process ended while it was waited for.
type ExitError struct {
	Node string
	// State is how it ended, as in "exit status 1".
	State string
	// Log is the end of what it said.
	Log string
}

func (e *ExitError) Error() string {
	return fmt.Sprintf("site: node %s ended: %s; it said last:\n%s", e.Node, e.State, e.Log)
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
	proc := &process{command: command, exited: make(chan struct{})}
	command.Stderr = io.MultiWriter(os.Stderr, &proc.logTail)
	if err := command.Start(); err != nil {
		return Error.Wrap(err)
	}
	proc.readers.Add(1)
	go func() {
		defer proc.readers.Done()
		m.readLog(io.TeeReader(output, &proc.logTail))
	}()
	go func() {
		proc.readers.Wait()
		_ = command.Wait()
		close(proc.exited)
	}()
	m.mu.Lock()
	m.process = proc
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
	inProcess, proc := m.detach()
	m.recorder.Record(history.Event{Source: "lab", Type: history.NodeKilled, Detail: m.ID})
	if inProcess != nil {
		_ = inProcess.Close()
	}
	if proc != nil {
		_ = proc.command.Process.Kill()
		<-proc.exited
	}
}

// Signal sends a signal to a process; in-process nodes take none.
func (m *Member) Signal(signal syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return Error.Wrap(errNoProcess)
	}
	return Error.Wrap(m.process.command.Process.Signal(signal))
}

// Drain stops the node as planned and waits for its end.
func (m *Member) Drain(ctx context.Context) error {
	m.recorder.Record(history.Event{Source: "lab", Type: history.NodeStopping, Detail: m.ID})
	m.mu.Lock()
	inProcess, proc := m.inProcess, m.process
	m.mu.Unlock()
	var err error
	if inProcess != nil {
		err = inProcess.Drain(ctx)
	}
	if proc != nil {
		err = proc.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-proc.exited:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	_, _ = m.detach()
	return Error.Wrap(err)
}

// withCancelOnExit returns a context that ends with the first process of a node that ends,
// with an EndedError as its cause. Nodes that are no processes do not end it.
func (s *Site) withCancelOnExit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	for _, member := range s.Nodes() {
		member.mu.Lock()
		proc := member.process
		member.mu.Unlock()
		if proc != nil {
			go proc.cancelOnExit(ctx, member.ID, cancel)
		}
	}
	return ctx, func() { cancel(nil) }
}

// cancelOnExit waits for the end of the process or of the context.
func (p *process) cancelOnExit(ctx context.Context, id string, cancel context.CancelCauseFunc) {
	select {
	case <-p.exited:
		cancel(&ExitError{Node: id, State: p.command.ProcessState.String(), Log: p.logTail.String()})
	case <-ctx.Done():
	}
}

// await waits until a node meets a condition or the context ends.
func (s *Site) await(ctx context.Context, member *Member, condition func(context.Context, *Member) bool) error {
	const interval = 50 * time.Millisecond
	for !condition(ctx, member) {
		if !retry.Sleep(ctx, interval) {
			return Error.Wrap(fmt.Errorf("node %s not ready: %w", member.ID, context.Cause(ctx)))
		}
	}
	return nil
}

// detach marks the node as not running and returns what ran.
func (m *Member) detach() (inProcess *node.Node, proc *process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	inProcess, proc = m.inProcess, m.process
	m.inProcess, m.process = nil, nil
	return inProcess, proc
}
