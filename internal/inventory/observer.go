package inventory

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// observeInterval is the time between two looks at the engines; it
	// bounds how late a leaving replica is noticed.
	observeInterval = 400 * time.Millisecond
	// observeTimeout bounds one engine's answer.
	observeTimeout = 800 * time.Millisecond
	// observeConcurrency bounds the engines asked at the same time.
	observeConcurrency = 64
	// maxRowsPerWrite bounds the rows of one write.
	maxRowsPerWrite = 40
	callTimeout     = 3 * time.Second
)

// Engines asks an engine for its report.
type Engines interface {
	Load(ctx context.Context, base string) (engine.Load, error)
}

// Observer keeps the entries of the replicas that are this node's to observe. Two
// observers of a replica for a moment only write the same thing twice: every write
// expects the version that it is worked out from.
type Observer struct {
	Table    table.Service
	View     *View
	Engines  Engines
	Machines func() []machines.Machine
	// Assigned returns those of some replicas that are this node's to observe. All are
	// asked about at once, for an answer costs a look at all nodes.
	Assigned func(ids []string) map[string]bool
	Log      zerolog.Logger
}

// Run observes until the context ends.
func (o *Observer) Run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		o.observe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// observe writes what has changed since the last observe.
func (o *Observer) observe(ctx context.Context) {
	listed := o.Machines()
	if listed == nil {
		return
	}
	assigned := o.assigned(listed)
	writes := o.removals(listed, assigned)
	writes = append(writes, o.updates(ctx, listed, assigned)...)
	for len(writes) > 0 {
		batch := writes[:min(maxRowsPerWrite, len(writes))]
		writes = writes[len(batch):]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := o.Table.Commit(callCtx, table.NewOperation(), batch...)
		cancel()
		if err != nil {
			// The view brings what stands by the next look.
			o.Log.Debug().Err(err).Int("rows", len(batch)).Msg("replica entries not written")
			return
		}
	}
}

// assigned returns the replicas that this node observes, of those on the machine
// list and of those that have entries.
func (o *Observer) assigned(listed []machines.Machine) map[string]bool {
	var ids []string
	for _, machine := range listed {
		if machine.Role == machines.RoleEngine {
			ids = append(ids, machine.ID)
		}
	}
	for _, entry := range o.View.List() {
		ids = append(ids, entry.ID)
	}
	return o.Assigned(ids)
}

// removals returns the removals of entries whose machines are off the list.
func (o *Observer) removals(listed []machines.Machine, assigned map[string]bool) []table.Write {
	listedIDs := map[string]bool{}
	for _, machine := range listed {
		listedIDs[machine.ID] = true
	}
	var writes []table.Write
	for _, entry := range o.View.List() {
		if !listedIDs[entry.ID] && assigned[entry.ID] {
			writes = append(writes, table.Write{Key: key(entry.ID), Kind: table.Delete, Expect: entry.Version})
		}
	}
	return writes
}

// updates asks the engines and returns the writes of entries that differ.
func (o *Observer) updates(ctx context.Context, listed []machines.Machine, assigned map[string]bool) []table.Write {
	var mu sync.Mutex
	var writes []table.Write
	var group errgroup.Group
	group.SetLimit(observeConcurrency)
	for _, machine := range listed {
		if machine.Role != machines.RoleEngine || !assigned[machine.ID] {
			continue
		}
		group.Go(func() error {
			if write, changed := o.compare(ctx, machine); changed {
				mu.Lock()
				defer mu.Unlock()
				writes = append(writes, write)
			}
			return nil
		})
	}
	_ = group.Wait()
	return writes
}

func (o *Observer) compare(ctx context.Context, machine machines.Machine) (table.Write, bool) {
	known, ok := o.View.get(machine.ID)
	next := known.Entry
	next.Address, next.Zone, next.Pool = machine.Address, machine.Zone, machine.Pool
	next.Generation, next.Machine = machine.Generation, machine.State
	callCtx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	// An engine that does not answer keeps its last report: that it fails is
	// for those to say who send it requests.
	if load, err := o.Engines.Load(callCtx, machine.Address); err == nil {
		next.setReport(&load)
	}
	if ok && next.equal(&known.Entry) {
		return table.Write{}, false
	}
	body, err := cbor.Marshal(next)
	if err != nil {
		return table.Write{}, false
	}
	return table.Write{Key: key(machine.ID), Expect: known.Version, Body: body}, true
}
