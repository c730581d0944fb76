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

// process is a node that runs as a separate process.
type process struct {
	command *exec.Cmd
	// logTail keeps the end of its output.
	logTail tail.Writer
	// exited is closed when the process has exited and its output has been read.
	exited  chan struct{}
	readers sync.WaitGroup
}

// ExitError reports that the process of a node exited while the site was starting.
type ExitError struct {
	Node string
	// State describes the exit, such as "exit status 1".
	State string
	// Log contains the last lines of its output.
	Log string
}

func (e *ExitError) Error() string {
	return fmt.Sprintf("site: node %s exited: %s; last lines of its log:\n%s", e.Node, e.State, e.Log)
}

// startProcess starts the node command of the current executable. The process outlives ctx.
func (n *Node) startProcess(ctx context.Context) error {
	executable, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	path, err := n.writeSettings()
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
		n.readLog(io.TeeReader(output, &proc.logTail))
	}()
	go func() {
		proc.readers.Wait()
		_ = command.Wait()
		close(proc.exited)
	}()
	n.mu.Lock()
	n.process = proc
	n.mu.Unlock()
	return nil
}

// writeSettings writes the settings to a YAML file in a new temporary directory and returns its path.
// It encodes them as JSON first, because the JSON tags define the keys of the YAML.
func (n *Node) writeSettings() (string, error) {
	encoded, err := json.Marshal(n.settings)
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
	path := filepath.Join(directory, n.ID+".yaml")
	return path, Error.Wrap(os.WriteFile(path, source, 0o600))
}

// readLog records an event for each configuration revision that the log of the node reports as applied.
func (n *Node) readLog(output io.Reader) {
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
		n.recorder.Record(history.Event{
			Time: line.UnixNano, Source: "node/" + n.ID, Type: history.ConfigApplied, Revision: line.Revision,
		})
	}
}

// Kill stops the node without draining it. A process is sent SIGKILL.
func (n *Node) Kill() {
	inProcess, proc := n.detach()
	n.recorder.Record(history.Event{Source: "lab", Type: history.NodeKilled, Detail: n.ID})
	if inProcess != nil {
		_ = inProcess.Close()
	}
	if proc != nil {
		_ = proc.command.Process.Kill()
		<-proc.exited
	}
}

// Signal sends a signal to the process of the node. It fails for an in-process node.
func (n *Node) Signal(signal syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return Error.Wrap(errNoProcess)
	}
	return Error.Wrap(n.process.command.Process.Signal(signal))
}

// Drain shuts the node down gracefully and waits until it has stopped or the context ends.
func (n *Node) Drain(ctx context.Context) error {
	n.recorder.Record(history.Event{Source: "lab", Type: history.NodeStopping, Detail: n.ID})
	n.mu.Lock()
	inProcess, proc := n.inProcess, n.process
	n.mu.Unlock()
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
	_, _ = n.detach()
	return Error.Wrap(err)
}

// withCancelOnExit returns a context that is cancelled when the process of any node exits, with an
// ExitError as its cause. In-process nodes are not watched.
func (s *Site) withCancelOnExit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	for _, n := range s.Nodes() {
		n.mu.Lock()
		proc := n.process
		n.mu.Unlock()
		if proc != nil {
			go proc.cancelOnExit(ctx, n.ID, cancel)
		}
	}
	return ctx, func() { cancel(nil) }
}

// cancelOnExit calls cancel with an ExitError when the process exits. It returns when the context ends.
func (p *process) cancelOnExit(ctx context.Context, id string, cancel context.CancelCauseFunc) {
	select {
	case <-p.exited:
		cancel(&ExitError{Node: id, State: p.command.ProcessState.String(), Log: p.logTail.String()})
	case <-ctx.Done():
	}
}

// await polls until the condition holds for a node. It fails with the cause of the context if that
// ends first.
func (s *Site) await(ctx context.Context, n *Node, condition func(context.Context, *Node) bool) error {
	const interval = 50 * time.Millisecond
	for !condition(ctx, n) {
		if !retry.Sleep(ctx, interval) {
			return Error.Wrap(fmt.Errorf("node %s not ready: %w", n.ID, context.Cause(ctx)))
		}
	}
	return nil
}

// detach marks the node as not running and returns the node or process that was running, if any.
func (n *Node) detach() (inProcess *node.Node, proc *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inProcess, proc = n.inProcess, n.process
	n.inProcess, n.process = nil, nil
	return inProcess, proc
}

// PID returns the id of the node's process, and a channel that is closed when it has ended. It returns
// errNoProcess for a node that does not run as a process.
func (n *Node) PID() (int, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0, nil, Error.Wrap(errNoProcess)
	}
	return n.process.command.Process.Pid, n.process.exited, nil
}
