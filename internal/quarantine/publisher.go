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
	// gather is how long news waits for more of the same moment: the requests that a node
	// had at a replica see its end within a few ms.
	gather = 20 * time.Millisecond
	// writeTimeout bounds one write, writeRetryFirst and writeRetryMax the pauses between
	// tries of it.
	writeTimeout    = 2 * time.Second
	writeRetryFirst = 100 * time.Millisecond
	writeRetryMax   = time.Second
	// maxPending bounds the reports and the clearings that wait while the table is away.
	maxPending = 1000
	// rowsAtOnce bounds the rows of one transaction.
	rowsAtOnce = 50
	// sweepEvery is the time between two looks for rows that count no more.
	sweepEvery = time.Minute
	// keepEvery is the time between two looks for works that end well often, keepAtOnce bounds
	// those that are written each time, and maxKept the rows of works that ended well: a node
	// that starts reads some 50 KB of them at most.
	keepEvery  = time.Second
	keepAtOnce = 5
	maxKept    = 500
)

// Clearing tells that nothing before a time counts against a work.
type Clearing struct {
	Work Work
	At   time.Time
}

// News is what a node has seen.
type News struct {
	Reports   []Report
	Clearings []Clearing
}

func (n *News) empty() bool { return len(n.Reports)+len(n.Clearings) == 0 }

// Publisher lets all nodes know what this one has seen: at once by messages, which may be
// lost, and for good by rows of the table, which every node follows and which outlive the
// restart of all. It is safe for concurrent use.
type Publisher struct {
	Table table.Service
	Rows  *Rows
	// Session names this life of the node.
	Session func() string
	// Tell, if set, sends news to all other nodes.
	Tell func(News)
	// Written, if set, is told that rows have been written.
	Written func()
	// Failed, if set, is told of writes that failed and are tried again, and of news that
	// was dropped.
	Failed func(error)
	// Sweeps reports whether this node is the one to remove rows that count no more.
	Sweeps func() bool

	mu sync.Mutex
	// pending is what is to be told and then written, told what is only to be written.
	pending, told News
	// wake and wakeWriter say that there is any of these.
	wake, wakeWriter chan struct{}
	// written counts the rows of reports, for their keys.
	written int
}

// NewPublisher returns a publisher that has nothing to tell.
func NewPublisher(service table.Service, rows *Rows, session func() string) *Publisher {
	return &Publisher{
		Table: service, Rows: rows, Session: session, Sweeps: func() bool { return false },
		wake: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1),
	}
}

// Report has all nodes learn of an end.
func (p *Publisher) Report(report Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.pending.Reports {
		if known := &p.pending.Reports[i]; known.Replica == report.Replica && known.Born == report.Born {
			known.Runs = append(known.Runs, report.Runs...)
			return
		}
	}
	p.pending.Reports = append(p.pending.Reports, report)
	notify(p.wake)
}

// Clear has all nodes learn of a clearing.
func (p *Publisher) Clear(clearing Clearing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.Clearings = append(p.pending.Clearings, clearing)
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
	var writing sync.WaitGroup
	defer writing.Wait()
	writing.Go(func() { p.writeAll(ctx) })
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		if !retry.Sleep(ctx, gather) {
			return
		}
		p.tell()
	}
}

// tell tells others what is new and has it written.
func (p *Publisher) tell() {
	p.mu.Lock()
	fresh := p.pending
	p.pending = News{}
	p.mu.Unlock()
	if fresh.empty() {
		return
	}
	if p.Tell != nil {
		p.Tell(fresh)
	}
	p.mu.Lock()
	p.told.Reports = append(p.told.Reports, fresh.Reports...)
	p.told.Clearings = append(p.told.Clearings, fresh.Clearings...)
	p.mu.Unlock()
	notify(p.wakeWriter)
}

// writeAll writes what has been told until the context ends, and sweeps.
func (p *Publisher) writeAll(ctx context.Context) {
	sweeps, keeps := time.NewTicker(sweepEvery), time.NewTicker(keepEvery)
	defer sweeps.Stop()
	defer keeps.Stop()
	var unwritten News
	delay := writeRetryFirst
	for ctx.Err() == nil {
		if unwritten.empty() {
			select {
			case <-ctx.Done():
				return
			case <-sweeps.C:
				p.sweep(ctx)
				continue
			case <-keeps.C:
				p.keep(ctx)
				continue
			case <-p.wakeWriter:
			}
		}
		p.takeTold(&unwritten)
		if err := p.write(ctx, &unwritten); err != nil {
			p.failed(err)
			retry.Sleep(ctx, delay)
			delay = min(2*delay, writeRetryMax)
			continue
		}
		delay = writeRetryFirst
	}
}

// takeTold adds what has been told to what is to be written.
func (p *Publisher) takeTold(unwritten *News) {
	p.mu.Lock()
	told := p.told
	p.told = News{}
	p.mu.Unlock()
	unwritten.Reports = newest(p, "ends", append(unwritten.Reports, told.Reports...))
	unwritten.Clearings = newest(p, "clearings", append(unwritten.Clearings, told.Clearings...))
}

// newest returns the newest maxPending of what waits to be written, and tells how many are
// dropped.
func newest[T any](p *Publisher, what string, waiting []T) []T {
	dropped := len(waiting) - maxPending
	if dropped <= 0 {
		return waiting
	}
	p.failed(Error.New("the table has been away for too long, %d %s are not written", dropped, what))
	return waiting[dropped:]
}

func (p *Publisher) failed(err error) {
	if p.Failed != nil {
		p.Failed(err)
	}
}

// write writes all that is to be written and takes off what is.
func (p *Publisher) write(ctx context.Context, unwritten *News) error {
	for !unwritten.empty() {
		reports := unwritten.Reports[:min(len(unwritten.Reports), rowsAtOnce)]
		clearings := unwritten.Clearings[:min(len(unwritten.Clearings), rowsAtOnce-len(reports))]
		writes, err := p.encode(reports, clearings)
		if err != nil {
			return err
		}
		if err := p.commit(ctx, writes); err != nil {
			return err
		}
		p.written += len(reports)
		unwritten.Reports = unwritten.Reports[len(reports):]
		unwritten.Clearings = unwritten.Clearings[len(clearings):]
		if p.Written != nil {
			p.Written()
		}
	}
	return nil
}

func (p *Publisher) encode(reports []Report, clearings []Clearing) ([]table.Write, error) {
	writes := make([]table.Write, 0, len(reports)+len(clearings))
	for i, report := range reports {
		key := fmt.Sprintf("%s/%s/%d", report.Replica, p.Session(), p.written+i)
		write, err := p.Rows.putEnd(key, report)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	for _, clearing := range newestOf(clearings) {
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

// newestOf returns the newest clearing of each work.
func newestOf(clearings []Clearing) map[Work]Clearing {
	newest := map[Work]Clearing{}
	for _, one := range clearings {
		if !one.At.Before(newest[one.Work].At) {
			newest[one.Work] = one
		}
	}
	return newest
}

// keep has rows tell of works that end well often. Nobody waits for them, so nobody is told.
func (p *Publisher) keep(ctx context.Context) {
	writes, err := p.encode(nil, p.Rows.toKeep(keepAtOnce))
	if err == nil {
		err = p.commit(ctx, writes)
	}
	if err != nil {
		// The next look tries again what no row tells then.
		p.failed(err)
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
		p.Rows.learn(conflict.Rows)
	}
	return err
}

// sweep removes rows that count no more.
func (p *Publisher) sweep(ctx context.Context) {
	if !p.Sweeps() {
		return
	}
	writes := p.Rows.outdated(rowsAtOnce)
	if len(writes) == 0 {
		return
	}
	if err := p.commit(ctx, writes); err != nil && outcome.Of(err) != outcome.NotDone {
		// The next sweep looks again.
		p.failed(err)
	}
}
