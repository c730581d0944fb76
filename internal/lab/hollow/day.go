package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lab/history"
)

// What fails on an ordinary day, and the rarer losses, one of each.
const (
	failuresPerDay = 8
	restartsPerDay = 68
	rackNodes      = 10
	// dayPause is the pause between two events of the compressed day.
	dayPause = 150 * time.Millisecond
	// outage is the length of a rack, zone or region loss.
	outage = 8 * time.Second
	// recovery is the time for the fleet to agree again after a loss.
	recovery = 12 * time.Second
)

// replayDay goes through a day's failures in compressed time, with a change of
// configuration during each loss, and records the history that is checked.
func (f *fleet) replayDay(ctx context.Context) {
	if len(f.workers) == 0 {
		return
	}
	random := rand.New(rand.NewPCG(f.options.Seed, 17))
	hollow := f.nodes[len(f.real):]
	pick := func() string { return hollow[random.IntN(len(hollow))].Node.ID }
	f.options.Progress("replaying %d failures and %d restarts", failuresPerDay, restartsPerDay)
	for i := range failuresPerDay + restartsPerDay {
		id := pick()
		command := commandStop
		if i%((failuresPerDay+restartsPerDay)/failuresPerDay) == 0 {
			command = commandKill
		}
		f.bounce(ctx, id, command)
	}
	f.options.Progress("losing a rack, and the table for a zone and a region")
	f.loseRack(ctx, hollow[0].Node.Zone)
	f.cutOff(ctx, "west-b")
	f.cutOff(ctx, "east")
	f.agree(ctx)
}

// bounce stops or kills a hollow node and starts it again.
func (f *fleet) bounce(ctx context.Context, id, command string) {
	worker := f.workerOf(id)
	kind := history.NodeStopping
	if command == commandKill {
		kind = history.NodeKilled
	}
	f.recorder.Record(history.Event{Source: "lab", Type: kind, Detail: id})
	worker.tell(command, id)
	// A planned stop takes its notice time; the address is free after that.
	go func() {
		sleep(ctx, 4*time.Second)
		worker.tell(commandStart, id)
	}()
	sleep(ctx, dayPause)
}

func (f *fleet) loseRack(ctx context.Context, zone string) {
	lost := 0
	for _, config := range f.nodes[len(f.real):] {
		if config.Node.Zone == zone && lost < rackNodes {
			lost++
			f.recorder.Record(history.Event{Source: "lab", Type: history.NodeKilled, Detail: config.Node.ID})
			f.workerOf(config.Node.ID).tell(commandKill, config.Node.ID)
		}
	}
	f.changeDuringLoss(ctx)
	lost = 0
	for _, config := range f.nodes[len(f.real):] {
		if config.Node.Zone == zone && lost < rackNodes {
			lost++
			f.workerOf(config.Node.ID).tell(commandStart, config.Node.ID)
		}
	}
	sleep(ctx, recovery/2)
}

// cutOff cuts the hollow nodes of a zone, or of a region, off from the table.
func (f *fleet) cutOff(ctx context.Context, zone string) {
	for _, worker := range f.workers {
		worker.tell(commandCut, zone)
	}
	f.changeDuringLoss(ctx)
	for _, worker := range f.workers {
		worker.tell(commandHeal, zone)
	}
	sleep(ctx, recovery/2)
}

func (f *fleet) changeDuringLoss(ctx context.Context) {
	writeCtx, cancel := context.WithTimeout(ctx, outage)
	defer cancel()
	started := time.Now()
	if _, err := f.write(writeCtx, 0, -1); err != nil {
		f.options.Progress("change during a loss: %v", err)
	}
	sleep(ctx, outage-time.Since(started))
}

// agree waits until all nodes hold the last revision.
func (f *fleet) agree(ctx context.Context) {
	sleep(ctx, recovery)
	answer, err := f.write(ctx, 0, -2)
	if err != nil {
		f.options.Progress("last change: %v", err)
		return
	}
	deadline := time.Now().Add(2 * recovery)
	for time.Now().Before(deadline) {
		if f.holding(answer.Metadata.ResourceVersion) == len(f.nodes) {
			f.options.Progress("all %d nodes hold revision %d", len(f.nodes), answer.Metadata.ResourceVersion)
			return
		}
		sleep(ctx, time.Second)
	}
	f.recorder.Record(history.Event{
		Source: "lab", Type: history.BatchAccepted, Count: 1,
		Job: fmt.Sprintf("agreement on revision %d, held by %d of %d nodes", answer.Metadata.ResourceVersion, f.holding(answer.Metadata.ResourceVersion), len(f.nodes)),
	})
}

// holding counts the nodes that have put a revision in force.
func (f *fleet) holding(revision uint64) int {
	held := map[string]bool{}
	for _, event := range f.recorder.Events() {
		if event.Type == history.ConfigApplied && event.Revision >= revision {
			held[event.Source] = true
		}
	}
	return len(held)
}
