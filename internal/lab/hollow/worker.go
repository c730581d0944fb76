package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/node"
	"github.com/wheelhoist/wheelhoist/internal/settings"
)

// workerPlan tells a worker process which hollow nodes to run.
type workerPlan struct {
	Nodes []settings.Settings `json:"nodes"`
}

// appliedLine is what a worker prints when a revision comes into force.
type appliedLine struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`
	UnixNano int64  `json:"unix_ns"`
}

// Commands that a worker reads, one a line.
const (
	commandStart = "start"
	commandKill  = "kill"
	commandStop  = "stop"
	commandCut   = "cut"
	commandHeal  = "heal"
)

// worker runs hollow nodes in this process.
type worker struct {
	plan workerPlan
	out  io.Writer

	mu      sync.Mutex
	running map[string]*node.Node
	ending  map[string]chan struct{}
	cut     map[string]bool
}

// RunWorker runs the hollow nodes of a plan file until the input ends.
func RunWorker(ctx context.Context, planPath string, in io.Reader, out io.Writer) error {
	source, err := os.ReadFile(planPath)
	if err != nil {
		return Error.Wrap(err)
	}
	w := &worker{out: out, running: map[string]*node.Node{}, ending: map[string]chan struct{}{}, cut: map[string]bool{}}
	if err := json.Unmarshal(source, &w.plan); err != nil {
		return Error.Wrap(err)
	}
	for i := range w.plan.Nodes {
		if err := w.start(ctx, w.plan.Nodes[i].Node.ID); err != nil {
			return err
		}
	}
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		command, argument, _ := strings.Cut(scanner.Text(), " ")
		if err := w.obey(ctx, command, argument); err != nil {
			return err
		}
	}
	return nil
}

func (w *worker) obey(ctx context.Context, command, argument string) error {
	switch command {
	case commandStart:
		return w.start(ctx, argument)
	case commandKill:
		w.end(argument, func(victim *node.Node) { _ = victim.Close() })
	case commandStop:
		w.end(argument, func(stopping *node.Node) { _ = stopping.Drain(ctx) })
	case commandCut, commandHeal:
		w.mu.Lock()
		w.cut[argument] = command == commandCut
		w.mu.Unlock()
	}
	return nil
}

// end ends a node in the background; a start of the same node waits for it.
func (w *worker) end(id string, action func(*node.Node)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ending := w.running[id]
	if ending == nil {
		return
	}
	delete(w.running, id)
	done := make(chan struct{})
	w.ending[id] = done
	go func() {
		defer close(done)
		action(ending)
	}()
}

// awaitEnd waits for the end of a node's earlier run; it reports false when the
// node runs.
func (w *worker) awaitEnd(id string) bool {
	w.mu.Lock()
	running, done := w.running[id], w.ending[id]
	w.mu.Unlock()
	if running != nil {
		return false
	}
	if done != nil {
		<-done
	}
	return true
}

func (w *worker) start(ctx context.Context, id string) error {
	for i := range w.plan.Nodes {
		config := &w.plan.Nodes[i]
		if config.Node.ID != id || !w.awaitEnd(id) {
			continue
		}
		started, err := node.Start(ctx, config, node.Options{
			Log:     zerolog.Nop(),
			Cut:     func() bool { return w.cutOff(config.Node.Zone) },
			Applied: func(revision uint64) { w.applied(id, revision) },
		})
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.running[id] = started
		w.mu.Unlock()
	}
	return nil
}

func (w *worker) applied(id string, revision uint64) {
	line, err := json.Marshal(appliedLine{Node: id, Revision: revision, UnixNano: time.Now().UnixNano()})
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.out, "%s\n", line)
}

// cutOff reports whether a zone is cut off from the table. A cut is named by the
// beginning of zone names, so that it can stand for a region.
func (w *worker) cutOff(zone string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for cut, active := range w.cut {
		if active && strings.HasPrefix(zone, cut) {
			return true
		}
	}
	return false
}
