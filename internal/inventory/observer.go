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
	// observeParallel bounds the engines asked at the same time.
	observeParallel = 64
	// rowsAtOnce bounds the rows of one write.
	rowsAtOnce  = 40
	callTimeout = 3 * time.Second
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
	// Ours returns those of some replicas that are this node's to observe. All are
	// asked about at once, for an answer costs a look at all nodes.
	Ours func(ids []string) map[string]bool
	Log  zerolog.Logger
}

// Run observes until the context ends.
func (o *Observer) Run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		o.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// look writes what has changed since the last look.
func (o *Observer) look(ctx context.Context) {
	listed := o.Machines()
	if listed == nil {
		return
	}
	ours := o.ours(listed)
	writes := o.gone(listed, ours)
	writes = append(writes, o.changed(ctx, listed, ours)...)
	for len(writes) > 0 {
		some := writes[:min(rowsAtOnce, len(writes))]
		writes = writes[len(some):]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := o.Table.Commit(callCtx, table.NewOperation(), some...)
		cancel()
		if err != nil {
			// The view brings what stands by the next look.
			o.Log.Debug().Err(err).Int("rows", len(some)).Msg("replica entries not written")
			return
		}
	}
}

// ours returns the replicas that this node observes, of those on the machine
// list and of those that have entries.
func (o *Observer) ours(listed []machines.Machine) map[string]bool {
	var ids []string
	for _, machine := range listed {
		if machine.Role == machines.RoleEngine {
			ids = append(ids, machine.ID)
		}
	}
	for _, entry := range o.View.List() {
		ids = append(ids, entry.ID)
	}
	return o.Ours(ids)
}

// gone returns the removals of entries whose machines are off the list.
func (o *Observer) gone(listed []machines.Machine, ours map[string]bool) []table.Write {
	present := map[string]bool{}
	for _, machine := range listed {
		present[machine.ID] = true
	}
	var writes []table.Write
	for _, entry := range o.View.List() {
		if !present[entry.ID] && ours[entry.ID] {
			writes = append(writes, table.Write{Key: key(entry.ID), Kind: table.Delete, Expect: entry.Version})
		}
	}
	return writes
}

// changed asks the engines and returns the writes of entries that differ.
func (o *Observer) changed(ctx context.Context, listed []machines.Machine, ours map[string]bool) []table.Write {
	var mu sync.Mutex
	var writes []table.Write
	var group errgroup.Group
	group.SetLimit(observeParallel)
	for _, machine := range listed {
		if machine.Role != machines.RoleEngine || !ours[machine.ID] {
			continue
		}
		group.Go(func() error {
			if write, differs := o.compare(ctx, machine); differs {
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
		next.report(&load)
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
