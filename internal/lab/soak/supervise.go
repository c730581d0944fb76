package soak

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lab/tail"
)

// ExitError reports that a process of a node exited unexpectedly or with a failure.
type ExitError struct {
	Node string
	// Process is the number of the process, from 1.
	Process int
	// State describes the exit, such as "exit status 1".
	State string
	// Log contains the last lines of the log, Path the path of the whole log.
	Log, Path string
}

func (e *ExitError) Error() string {
	return fmt.Sprintf("soak: node %s, life %d, ended: %s; log %s ends in:\n%s", e.Node, e.Process, e.State, e.Path, e.Log)
}

// NotReadyError reports that a node was running but did not serve in time.
type NotReadyError struct {
	Node   string
	Waited time.Duration
	// Status is the status of the last answer; 0 if there was none.
	Status int
	// Log contains the last lines of the log, Path the path of the whole log.
	Log, Path string
	// Cause is why the wait ended.
	Cause error
}

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("soak: node %s runs and does not serve after %v (%v), last status %d; log %s ends in:\n%s",
		e.Node, e.Waited.Round(time.Millisecond), e.Cause, e.Status, e.Path, e.Log)
}

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// supervise waits until a process exits. A process that found a port in use is restarted on other
// ports. Any other exit that was not requested is recorded.
func (g *gateway) supervise(p *process) {
	// ProcessState contains the result.
	_ = p.command.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	defer close(p.exited)
	if p.exitedAsRequested() {
		return
	}
	log, state := g.logTailFrom(p.logStart), p.command.ProcessState.String()
	if portInUse(log) {
		err := g.restartOnOtherPorts(p)
		if err == nil {
			return
		}
		state += ", not started on other ports: " + err.Error()
	}
	g.exits = append(g.exits, ExitError{Node: g.id, Process: g.started, State: state, Log: log, Path: g.log})
}

// errPortRetries reports that a node found its ports in use more than maxPortRetries times.
var errPortRetries = errors.New("it was started on others often enough")

// restartOnOtherPorts replaces a process that found a port in use by one with other ports, unless
// it was requested to stop. The caller holds mu.
func (g *gateway) restartOnOtherPorts(p *process) error {
	if p.stopRequested {
		return nil
	}
	if p.portRetries >= maxPortRetries {
		return errPortRetries
	}
	if err := g.choosePorts(); err != nil {
		return err
	}
	return g.startLocked(p.portRetries + 1)
}

// exitedAsRequested reports whether the process was requested to stop, and exited with success or
// by the signal that stop sent. An exit with a failure status is always unexpected.
func (p *process) exitedAsRequested() bool {
	status, ok := p.command.ProcessState.Sys().(syscall.WaitStatus)
	return p.stopRequested && (p.command.ProcessState.Success() || ok && status.Signaled() && isStopSignal(status.Signal()))
}

// isStopSignal reports whether signal is one of the signals that end a process on request.
func isStopSignal(signal syscall.Signal) bool {
	return signal == syscall.SIGKILL || signal == syscall.SIGTERM
}

// unexpectedExits returns the exits that were not requested.
func (g *gateway) unexpectedExits() []ExitError {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]ExitError(nil), g.exits...)
}

// logTail returns the last log lines of the current process.
func (g *gateway) logTail() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil {
		return ""
	}
	return g.logTailFrom(g.current.logStart)
}

// logTailFrom returns the last lines of the log file after an offset.
func (g *gateway) logTailFrom(from int64) string {
	text, err := os.ReadFile(g.log)
	if err != nil {
		return "log not read: " + err.Error()
	}
	return tail.Of(text[min(from, int64(len(text))):])
}

// portInUse reports whether a log ends with the error of a listener whose port is in use. The node
// command prints the reason for its exit as the last line.
func portInUse(log string) bool {
	last := log[strings.LastIndexByte(log, '\n')+1:]
	return strings.Contains(last, "listen ") && strings.Contains(last, syscall.EADDRINUSE.Error())
}
