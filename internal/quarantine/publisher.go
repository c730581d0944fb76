package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// batchDelay is how long an update waits for others to be sent with it: a crash interrupts all
	// requests that a node has on the replica within a few ms.
	batchDelay = 20 * time.Millisecond
	// writeTimeout bounds one write, writeRetryFirst and writeRetryMax the delays between attempts.
	writeTimeout    = 2 * time.Second
	writeRetryFirst = 100 * time.Millisecond
	writeRetryMax   = time.Second
	// maxUnwritten bounds the crash reports, and the clearings, that are kept while the table is
	// unavailable.
	maxUnwritten = 1000
	// rowsPerCommit bounds the rows of one transaction.
	rowsPerCommit = table.MaxWrites
	// sweepInterval is the time between two removals of expired rows.
	sweepInterval = time.Minute
	// successInterval is the time between two writes of successes of frequent work, successBatch
	// bounds the rows of each, and maxClearingRows the clearing rows in the table: at most about 50
	// KB that a starting node reads.
	successInterval = time.Second
	successBatch    = 5
	maxClearingRows = 500
)

// Clearing states that no crash before At counts against Work, which identifies a part of prompts if Part
// is set.
type Clearing struct {
	Work Work
	At   time.Time
	Part bool
}

// Update holds what a node publishes to the others.
type Update struct {
	Reports   []CrashReport
	Clearings []Clearing
}

func (u *Update) empty() bool { return len(u.Reports)+len(u.Clearings) == 0 }

// Publisher publishes this node's crash reports and clearings to all nodes: immediately in
// messages, which may be lost, and durably in rows of the table, which every node follows and which
// survive a restart of all nodes. A Publisher is safe for concurrent use.
type Publisher struct {
	Table table.Service
	Rows  *Rows
	// Session returns the id of the node's session, which makes the keys of its rows unique.
	Session func() string
	// Broadcast, if set, sends an update to all other nodes.
	Broadcast func(Update)
	// OnWritten, if set, is called after rows have been written.
	OnWritten func()
	// OnError, if set, is called for failed writes, which are retried, and for dropped updates.
	OnError func(error)
	// OwnsSweep reports whether this is the node that removes expired rows.
	OwnsSweep func() bool

	mu sync.Mutex
	// unsent has yet to be broadcast and then written, unwritten only to be written.
	unsent, unwritten Update
	// wake and wakeWriter signal that unsent and unwritten are not empty.
	wake, wakeWriter chan struct{}
	// reportsWritten counts the written crash rows, for their keys.
	reportsWritten int
	// writeLimit bounds the rows of a transaction.
	writeLimit table.BatchLimit
}

// NewPublisher returns a Publisher without optional functions that sweeps no rows.
func NewPublisher(service table.Service, rows *Rows, session func() string) *Publisher {
	return &Publisher{
		Table: service, Rows: rows, Session: session, OwnsSweep: func() bool { return false },
		wake: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1),
	}
}

// PublishCrash queues a crash report, merged with an unsent one about the same crash.
func (p *Publisher) PublishCrash(report CrashReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.unsent.Reports {
		if queued := &p.unsent.Reports[i]; queued.Replica == report.Replica && queued.StartedUnixMs == report.StartedUnixMs {
			queued.Runs = append(queued.Runs, report.Runs...)
			queued.Parts = mergeParts(queued.Parts, report.Parts)
			return
		}
	}
	p.unsent.Reports = append(p.unsent.Reports, report)
	notify(p.wake)
}

// PublishClearing queues a clearing.
func (p *Publisher) PublishClearing(clearing Clearing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsent.Clearings = append(p.unsent.Clearings, clearing)
	notify(p.wake)
}

// notify wakes the receiver of a channel with a buffer of one. It does not block.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run broadcasts and writes updates until ctx is done. Broadcasts do not wait for the table,
// because nodes that do not know of a success here count crashes against that work.
func (p *Publisher) Run(ctx context.Context) {
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() { p.runWriter(ctx) })
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		if !retry.Sleep(ctx, batchDelay) {
			return
		}
		p.flush()
	}
}

// flush broadcasts the unsent update and hands it to the writer.
func (p *Publisher) flush() {
	p.mu.Lock()
	update := p.unsent
	p.unsent = Update{}
	p.mu.Unlock()
	if update.empty() {
		return
	}
	if p.Broadcast != nil {
		p.Broadcast(update)
	}
	p.mu.Lock()
	p.unwritten.Reports = append(p.unwritten.Reports, update.Reports...)
	p.unwritten.Clearings = append(p.unwritten.Clearings, update.Clearings...)
	p.mu.Unlock()
	notify(p.wakeWriter)
}

// runWriter writes updates until ctx is done. While there are none, it sweeps expired rows and
// persists successes.
func (p *Publisher) runWriter(ctx context.Context) {
	sweepTicker, successTicker := time.NewTicker(sweepInterval), time.NewTicker(successInterval)
	defer sweepTicker.Stop()
	defer successTicker.Stop()
	var batch Update
	delay := writeRetryFirst
	for ctx.Err() == nil {
		if batch.empty() {
			select {
			case <-ctx.Done():
				return
			case <-sweepTicker.C:
				p.sweep(ctx)
				continue
			case <-successTicker.C:
				p.persistSuccesses(ctx)
				continue
			case <-p.wakeWriter:
			}
		}
		p.takeUnwritten(&batch)
		if err := p.write(ctx, &batch); err != nil {
			p.reportError(err)
			retry.Sleep(ctx, delay)
			delay = min(2*delay, writeRetryMax)
			continue
		}
		delay = writeRetryFirst
	}
}

// takeUnwritten moves the unwritten update to batch.
func (p *Publisher) takeUnwritten(batch *Update) {
	p.mu.Lock()
	taken := p.unwritten
	p.unwritten = Update{}
	p.mu.Unlock()
	batch.Reports = dropOldest(p, "crash reports", append(batch.Reports, taken.Reports...))
	batch.Clearings = dropOldest(p, "clearings", append(batch.Clearings, taken.Clearings...))
}

// dropOldest returns the newest maxUnwritten entries of queue, and reports how many it drops.
func dropOldest[T any](p *Publisher, kind string, queue []T) []T {
	dropped := len(queue) - maxUnwritten
	if dropped <= 0 {
		return queue
	}
	p.reportError(Error.New("table unavailable for too long: dropped %d %s", dropped, kind))
	return queue[dropped:]
}

func (p *Publisher) reportError(err error) {
	if p.OnError != nil {
		p.OnError(err)
	}
}

// write writes batch in transactions of up to rowsPerCommit rows, and removes what has been
// written, and a single row that the table rejects.
func (p *Publisher) write(ctx context.Context, batch *Update) error {
	for !batch.empty() {
		most := p.writeLimit.Apply(rowsPerCommit)
		reports := batch.Reports[:min(len(batch.Reports), most)]
		clearings := batch.Clearings[:min(len(batch.Clearings), most-len(reports))]
		writes, err := p.encode(reports, clearings)
		if err != nil {
			return err
		}
		err = p.commit(ctx, writes)
		if errors.Is(err, table.ErrRejected) {
			p.reportError(err)
			if p.writeLimit.Reduce(len(reports) + len(clearings)) {
				continue
			}
		} else if err != nil {
			return err
		}
		p.reportsWritten += len(reports)
		batch.Reports = batch.Reports[len(reports):]
		batch.Clearings = batch.Clearings[len(clearings):]
		if p.OnWritten != nil {
			p.OnWritten()
		}
	}
	return nil
}

// encode returns the writes of the rows for reports and clearings.
func (p *Publisher) encode(reports []CrashReport, clearings []Clearing) ([]table.Write, error) {
	writes := make([]table.Write, 0, len(reports)+len(clearings))
	for i, report := range reports {
		key := fmt.Sprintf("%s/%s/%d", report.Replica, p.Session(), p.reportsWritten+i)
		write, err := p.Rows.putCrash(key, report)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	for _, clearing := range latestByWork(clearings) {
		if !p.Rows.clearedAt(clearing.Work).Before(clearing.At) {
			// Another node has written the same or a later clearing.
			continue
		}
		write, err := p.Rows.putClearing(clearing)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	return writes, nil
}

// latestByWork returns the latest clearing of each work.
func latestByWork(clearings []Clearing) map[Work]Clearing {
	latest := map[Work]Clearing{}
	for _, clearing := range clearings {
		if !clearing.At.Before(latest[clearing.Work].At) {
			latest[clearing.Work] = clearing
		}
	}
	return latest
}

// persistSuccesses writes clearings for work that succeeds frequently. They are not broadcast here.
func (p *Publisher) persistSuccesses(ctx context.Context) {
	writes, err := p.encode(nil, p.Rows.successesToPersist(successBatch))
	if err == nil {
		err = p.commit(ctx, writes)
	}
	if err != nil {
		// The next interval retries work that still has no recent row.
		p.reportError(err)
	}
}

// commit attempts a write once. A conflict means that an earlier attempt, whose response was lost,
// succeeded, or that another node cleared the work; the versions found are recorded for the next
// attempt.
func (p *Publisher) commit(ctx context.Context, writes []table.Write) error {
	if len(writes) == 0 {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := p.Table.Commit(callCtx, table.NewOperation(), writes...)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		p.Rows.recordVersions(conflict.Rows)
	}
	return err
}

// sweep removes expired rows if this node owns the sweep.
func (p *Publisher) sweep(ctx context.Context) {
	if !p.OwnsSweep() {
		return
	}
	writes := p.Rows.expired(rowsPerCommit)
	if len(writes) == 0 {
		return
	}
	if err := p.commit(ctx, writes); err != nil && !errors.Is(err, table.ErrConflict) {
		// The next sweep retries.
		p.reportError(err)
	}
}
