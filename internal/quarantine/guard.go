package quarantine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// answerWithin bounds how long an attempt that broke off waits for word of its replica
	// before the next one is decided about: a refused connection takes one way there and
	// back, 2 to 6 ms within a region.
	answerWithin = 100 * time.Millisecond
	// leaveWithin is how long after a broken answer the replica's leaving the list still
	// shows that it ended: entries lapse after three heartbeats of silence, within a second
	// on the users' platform.
	leaveWithin = 5 * time.Second
	// leaveLook is the time between two looks at the list for that.
	leaveLook = 100 * time.Millisecond
	// hearWithin is how long other nodes have to answer what speaks for a work: as long as a
	// replica has to answer a probe.
	hearWithin = answerWithin
	// askAgain is the time after which they are asked once more as long as the work comes: a
	// node that has just started knows no others yet, and those may learn of a good end later.
	askAgain = 5 * time.Second
	// maxWatched bounds the replicas that are looked after at the same time.
	maxWatched = 1000
	// maxWanted bounds the works of which other nodes want to know whether they end well.
	maxWanted = 1000
)

// Probe tells what is at an address.
type Probe int

// Answers of a probe.
const (
	// Unclear is no answer in time.
	Unclear Probe = iota
	// Refused means that no process listens there.
	Refused
	// Accepted means that a process listens: the same one, or the next one there.
	Accepted
)

// Standing is what the list says of a replica.
type Standing int

// Standings of a replica.
const (
	// Gone replicas are not listed.
	Gone Standing = iota
	// Leaving replicas have said that they will end.
	Leaving
	Serving
	// Restarted replicas have started again under their id, without having said that they
	// would end.
	Restarted
)

// Replica is what the guard needs to know of a replica.
type Replica struct {
	ID string
	// Born tells its starts under the same id apart; 0 if it does not say.
	Born    int64
	Address string
}

// ended returns the report that the replica ended under some runs.
func (r *Replica) ended(runs []Run, at time.Time) Report {
	return Report{Replica: r.ID, Born: r.Born, Runs: runs, At: at}
}

// Replicas tells about replicas. It is safe for concurrent use.
type Replicas interface {
	// Standing returns what the list says of a replica, of one start of it.
	Standing(replica Replica) Standing
	// Probe tries a connection to an address.
	Probe(ctx context.Context, address string) Probe
}

// Events is told of decisions, for logs and other nodes. It is safe for concurrent use.
type Events interface {
	// Ended tells of a replica that ended while this node's work ran there.
	Ended(report Report)
	// Cleared tells of a run that ended well of work that was suspected, here or by a node that
	// asked about it.
	Cleared(before Verdict, at time.Time)
	// Quarantined tells of work that is refused from now on.
	Quarantined(verdict Verdict)
}

// Guard finds out which replicas ended under which work of this node, and refuses work that
// is quarantined. A broken answer alone is no end: connections are reset and cut, and answers
// come garbled, while the replica goes on. It is one if nothing listens at the replica's
// address any more, or if the replica leaves the list soon, or starts again, without having
// said that it would end.
// It is safe for concurrent use.
type Guard struct {
	List     *List
	Replicas Replicas
	Events   Events
	// Ask, if set, asks all other nodes what speaks for a work, or a few of them if they were
	// asked before. It reports whether any are known. Their answers come to the list.
	Ask func(work Work, again bool) bool
	// Tries, if set, reports whether this node is the one, of all, that tries quarantined
	// work now and then.
	Tries func(work Work) bool

	repeats repeats

	mu      sync.Mutex
	watched map[Replica]*watch
	// wanted are works that others asked about in vain.
	wanted map[Work]struct{}
}

// watch looks after a replica whose answers broke off.
type watch struct {
	// probed is closed when the probe has answered.
	probed chan struct{}
	// ended is when the replica was found to have ended; zero if it was not.
	ended time.Time
	// runs are those that broke off before it was known whether it ended.
	runs []Run
}

// before reports whether the watch is about an earlier life of the replica.
func (w *watch) before(now time.Time) bool { return !w.ended.IsZero() && now.Sub(w.ended) > sameEnd }

// Refuse returns a RefusedError for work that is quarantined. The work is asked for only if
// any is suspected.
func (g *Guard) Refuse(work func() Work) error {
	if g.List.Empty() {
		return nil
	}
	verdict := g.List.Check(work(), clock.Now())
	if !verdict.Quarantined {
		return nil
	}
	if verdict.Fresh {
		g.condemned(verdict)
	}
	return &RefusedError{Verdict: verdict}
}

// RefuseRequest is Refuse for a request, which may come at any node: work that is quarantined
// is tried now and then, for it may be harmless, at one node; and what has just been condemned
// here is neither sent nor refused before other nodes could speak for it.
func (g *Guard) RefuseRequest(ctx context.Context, work func() Work) error {
	err := g.Refuse(work)
	var refused *RefusedError
	if errors.As(err, &refused) && g.hear(ctx, refused.Verdict) {
		err = g.Refuse(work)
	}
	if !errors.As(err, &refused) || g.Tries == nil || !g.Tries(refused.Work) {
		return err
	}
	if g.List.BeginTrial(refused.Work, clock.Now()) {
		return nil
	}
	return err
}

// condemned tells of work that is quarantined from now on, and asks other nodes about it.
func (g *Guard) condemned(verdict Verdict) {
	g.Events.Quarantined(verdict)
	g.ask(verdict.Work, false)
}

// ask asks other nodes what speaks for a work. It reports whether any are known.
func (g *Guard) ask(work Work, again bool) bool {
	if g.Ask == nil || !g.Ask(work, again) {
		return false
	}
	g.List.noteAsked(work, clock.Now())
	return true
}

// hear waits for what other nodes answer who were asked about a work a moment ago, and asks them
// if that is long ago or could not be done. It reports whether answers may have come.
func (g *Guard) hear(ctx context.Context, condemned Verdict) bool {
	asked := condemned.Asked
	if now := clock.Now(); now.Sub(asked) >= askAgain {
		if !g.ask(condemned.Work, !asked.IsZero()) {
			return false
		}
		asked = now
	}
	left := hearWithin - clock.Since(asked)
	return left > 0 && retry.Sleep(ctx, left)
}

// EndedWell takes in a run that ended well.
func (g *Guard) EndedWell(work Work) {
	now := clock.Now()
	g.repeats.note(work, now)
	if before := g.List.Clear(work, now); g.takeWanted(work) || len(before.Replicas) > 0 {
		g.Events.Cleared(before, now)
	}
}

// Answer returns when a work was last seen to end well, for another node that asks. If that is not
// known, all are told once a run of it ends well here: this node may not have heard of the ends
// that speak against it.
func (g *Guard) Answer(work Work) (time.Time, bool) {
	at, ok := g.List.EndedWell(work)
	if ok {
		return at, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wanted == nil || len(g.wanted) >= maxWanted {
		g.wanted = map[Work]struct{}{}
	}
	g.wanted[work] = struct{}{}
	return time.Time{}, false
}

// takeWanted reports whether others asked about a work in vain, once.
func (g *Guard) takeWanted(work Work) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, wanted := g.wanted[work]
	delete(g.wanted, work)
	return wanted
}

// Proven returns up to so many works of which other nodes should know now that they end well
// here again and again. What a node knows of that is gone when it restarts or is lost, and the
// ends that it told of stay: without anybody who has seen the work end well, few of them have it
// refused at all nodes.
func (g *Guard) Proven(limit int) []Clearing { return g.repeats.due(clock.Now(), limit) }

// BrokeOff takes in that a replica's answer to a run broke off. It returns when it is known
// whether the replica ended, or after a short time.
func (g *Guard) BrokeOff(ctx context.Context, replica Replica, run Run) {
	known := g.attach(replica, run)
	if known == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	select {
	case <-known.probed:
	case <-ctx.Done():
	}
}

// attach adds a run to the watch of a replica, and begins one if there is none. It returns
// nil if the replica's end would be no news.
func (g *Guard) attach(replica Replica, run Run) *watch {
	g.mu.Lock()
	known := g.watched[replica]
	if known == nil || known.before(clock.Now()) {
		standing := g.Replicas.Standing(replica)
		if standing == Restarted {
			g.mu.Unlock()
			g.report(replica.ended([]Run{run}, clock.Now()))
			return nil
		}
		if len(g.watched) >= maxWatched || standing != Serving {
			g.mu.Unlock()
			return nil
		}
		if g.watched == nil {
			g.watched = map[Replica]*watch{}
		}
		known = &watch{probed: make(chan struct{})}
		g.watched[replica] = known
		go g.look(replica, known)
	}
	if ended := known.ended; !ended.IsZero() {
		g.mu.Unlock()
		g.report(replica.ended([]Run{run}, ended))
		return known
	}
	known.runs = append(known.runs, run)
	g.mu.Unlock()
	return known
}

// look finds out whether a replica ended, and forgets the watch when its answers that break
// off can be due to that no more.
func (g *Guard) look(replica Replica, known *watch) {
	began := clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	if g.Replicas.Probe(ctx, replica.Address) == Refused {
		g.settle(replica, known, began)
	}
	close(known.probed)
	ticker := time.NewTicker(leaveLook)
	defer ticker.Stop()
	for standing := Serving; standing == Serving && ctx.Err() == nil; {
		<-ticker.C
		if standing = g.Replicas.Standing(replica); standing == Gone || standing == Restarted {
			g.settle(replica, known, began)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watched[replica] == known {
		delete(g.watched, replica)
	}
}

// settle takes in that a replica ended, once.
func (g *Guard) settle(replica Replica, known *watch, at time.Time) {
	g.mu.Lock()
	if !known.ended.IsZero() {
		g.mu.Unlock()
		return
	}
	known.ended = at
	runs := known.runs
	g.mu.Unlock()
	g.report(replica.ended(runs, at))
}

// report takes in an end that this node saw.
func (g *Guard) report(report Report) {
	g.Take(report)
	g.Events.Ended(report)
}

// Take takes in an end that this node or another one saw.
func (g *Guard) Take(report Report) {
	for _, verdict := range g.List.Add(report, clock.Now()) {
		g.condemned(verdict)
	}
}

// read takes in that all rows have been read once.
func (g *Guard) read() {
	for _, verdict := range g.List.read(clock.Now()) {
		g.condemned(verdict)
	}
}
