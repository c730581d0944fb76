package inventory

import (
	"context"
	"errors"
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
	// observeInterval is the time between two passes over the engines. It bounds how late the
	// observer notices that a replica is leaving.
	observeInterval = 400 * time.Millisecond
	// observeTimeout bounds the wait for one engine's report.
	observeTimeout = 800 * time.Millisecond
	// observeConcurrency bounds the number of concurrent queries to engines.
	observeConcurrency = 64
	// maxRowsPerWrite bounds the rows of one write.
	maxRowsPerWrite = table.MaxWrites
	callTimeout     = 3 * time.Second
)

// Engines queries engines for their reports.
type Engines interface {
	Load(ctx context.Context, base string) (engine.Load, error)
}

// Observer maintains the entries of the replicas assigned to this node. A replica may have two
// observers for a moment, which is harmless: each write is conditional on the row version that it is
// based on.
type Observer struct {
	Table    table.Service
	View     *View
	Engines  Engines
	Machines func() []machines.Machine
	// Assigned returns which of the given replicas this node observes. It is called once for all
	// of them, since each call scans all nodes.
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

// observe writes the changes since the last pass.
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
			// The view has the current rows by the next pass.
			o.Log.Warn().Err(err).Int("rows", len(batch)).Msg("replica entries not written")
			if errors.Is(err, table.ErrRejected) {
				continue
			}
			return
		}
	}
}

// assigned returns which replicas this node observes, of those on the machine list and those that
// have entries.
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

// removals returns writes that delete entries whose machines are no longer listed.
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

// updates queries the engines and returns writes of the entries that differ.
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
	// An engine that does not answer keeps its last report. The nodes that send requests to it
	// detect the failure.
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
