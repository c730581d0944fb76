package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// batchDelay is how long news waits for more of the same moment: the requests that a node
	// had at a replica see its end within a few ms.
	batchDelay = 20 * time.Millisecond
	// writeTimeout bounds one write, writeRetryFirst and writeRetryMax the pauses between
	// tries of it.
	writeTimeout    = 2 * time.Second
	writeRetryFirst = 100 * time.Millisecond
	writeRetryMax   = time.Second
	// maxUnwritten bounds the reports and the clearings that wait while the table is away.
	maxUnwritten = 1000
	// rowsPerCommit bounds the rows of one transaction.
	rowsPerCommit = 50
	// sweepInterval is the time between two looks for rows that count no more.
	sweepInterval = time.Minute
	// successInterval is the time between two looks for works that end well often, keepAtOnce bounds
	// those that are written each time, and maxKept the rows of works that ended well: a node
	// that starts reads some 50 KB of them at most.
	successInterval = time.Second
	successBatch    = 5
	maxClearingRows = 500
)

// Clearing tells that nothing before a time counts against a work.
type Clearing struct {
	Work Work
	At   time.Time
}

// Update is what a node has seen.
type Update struct {
	Reports   []CrashReport
	Clearings []Clearing
}

func (u *Update) empty() bool { return len(u.Reports)+len(u.Clearings) == 0 }

// Publisher lets all nodes know what this one has seen: at once by messages, which may be
// lost, and for good by rows of the table, which every node follows and which outlive the
// restart of all. It is safe for concurrent use.
type Publisher struct {
	Table table.Service
	Rows  *Rows
	// Session names this life of the node.
	Session func() string
	// Broadcast, if set, sends news to all other nodes.
	Broadcast func(Update)
	// OnWritten, if set, is told that rows have been written.
	OnWritten func()
	// OnError, if set, is told of writes that failed and are tried again, and of news that
	// was dropped.
	OnError func(error)
	// OwnsSweep reports whether this node is the one to remove rows that count no more.
	OwnsSweep func() bool

	mu sync.Mutex
	// unsent is what is to be unwritten and then written, unwritten what is only to be written.
	unsent, unwritten Update
	// wake and wakeWriter say that there is any of these.
	wake, wakeWriter chan struct{}
	// reportsWritten counts the rows of reports, for their keys.
	reportsWritten int
}

// NewPublisher returns a publisher that has nothing to tell.
func NewPublisher(service table.Service, rows *Rows, session func() string) *Publisher {
	return &Publisher{
		Table: service, Rows: rows, Session: session, OwnsSweep: func() bool { return false },
		wake: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1),
	}
}

// PublishCrash has all nodes learn of an end.
func (p *Publisher) PublishCrash(report CrashReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.unsent.Reports {
		if queued := &p.unsent.Reports[i]; queued.Replica == report.Replica && queued.StartTime == report.StartTime {
			queued.Runs = append(queued.Runs, report.Runs...)
			return
		}
	}
	p.unsent.Reports = append(p.unsent.Reports, report)
	notify(p.wake)
}

// PublishClearing has all nodes learn of a clearing.
func (p *Publisher) PublishClearing(clearing Clearing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsent.Clearings = append(p.unsent.Clearings, clearing)
	notify(p.wake)
}

// notify wakes whoever waits at a channel, now or later.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run tells and writes what there is until the context ends. Others are told at once, however
// long the table takes to answer: what they do not know yet has them count ends against work
// that ended well here.
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

// flush tells others what is new and has it written.
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

// runWriter writes what has been told until the context ends, and sweeps.
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

// takeUnwritten adds what has been told to what is to be written.
func (p *Publisher) takeUnwritten(batch *Update) {
	p.mu.Lock()
	taken := p.unwritten
	p.unwritten = Update{}
	p.mu.Unlock()
	batch.Reports = dropOldest(p, "ends", append(batch.Reports, taken.Reports...))
	batch.Clearings = dropOldest(p, "clearings", append(batch.Clearings, taken.Clearings...))
}

// dropOldest returns the dropOldest maxPending of what waits to be written, and tells how many are
// dropped.
func dropOldest[T any](p *Publisher, kind string, queue []T) []T {
	dropped := len(queue) - maxUnwritten
	if dropped <= 0 {
		return queue
	}
	p.reportError(Error.New("the table has been away for too long, %d %s are not written", dropped, kind))
	return queue[dropped:]
}

func (p *Publisher) reportError(err error) {
	if p.OnError != nil {
		p.OnError(err)
	}
}

// write writes all that is to be written and takes off what is.
func (p *Publisher) write(ctx context.Context, batch *Update) error {
	for !batch.empty() {
		reports := batch.Reports[:min(len(batch.Reports), rowsPerCommit)]
		clearings := batch.Clearings[:min(len(batch.Clearings), rowsPerCommit-len(reports))]
		writes, err := p.encode(reports, clearings)
		if err != nil {
			return err
		}
		if err := p.commit(ctx, writes); err != nil {
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
			// Another node has written as much meanwhile.
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

// latestByWork returns the newest clearing of each work.
func latestByWork(clearings []Clearing) map[Work]Clearing {
	latest := map[Work]Clearing{}
	for _, clearing := range clearings {
		if !clearing.At.Before(latest[clearing.Work].At) {
			latest[clearing.Work] = clearing
		}
	}
	return latest
}

// persistSuccesses has rows tell of works that end well often. Nobody waits for them, so nobody is told.
func (p *Publisher) persistSuccesses(ctx context.Context) {
	writes, err := p.encode(nil, p.Rows.successesToPersist(successBatch))
	if err == nil {
		err = p.commit(ctx, writes)
	}
	if err != nil {
		// The next look tries again what no row tells then.
		p.reportError(err)
	}
}

// commit makes one try of a write. A conflict tells that an earlier try, whose answer was
// lost, was done, or that another node has cleared a work, so the versions are learned.
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

// sweep removes rows that count no more.
func (p *Publisher) sweep(ctx context.Context) {
	if !p.OwnsSweep() {
		return
	}
	writes := p.Rows.expired(rowsPerCommit)
	if len(writes) == 0 {
		return
	}
	if err := p.commit(ctx, writes); err != nil && outcome.Of(err) != outcome.NotDone {
		// The next sweep looks again.
		p.reportError(err)
	}
}
