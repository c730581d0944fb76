package jobs

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// longText returns a text that is too long for a row and that begins with its author.
func longText(author string) []byte {
	return append([]byte(author), bytes.Repeat([]byte("x"), maxRowText)...)
}

// longTask returns a finished item whose text needs an object.
func longTask(index int, author string) *task {
	return &task{index: index, state: taskFinished, text: longText(author)}
}

// silentPuts is an object store as one node calls it. While it is silent, writes get no answer and are
// applied after a delay.
type silentPuts struct {
	object.Store
	silent atomic.Bool
	delay  time.Duration
}

func (s *silentPuts) Put(ctx context.Context, key string, body []byte) error {
	if !s.silent.Load() {
		return s.Store.Put(ctx, key, body)
	}
	time.AfterFunc(s.delay, func() { _ = s.Store.Put(context.Background(), key, body) })
	<-ctx.Done()
	return outcome.AsUnknown(ctx.Err())
}

// startCutOffNode returns a node that knows a job as it is now, and hears of no changes.
func startCutOffNode(t *testing.T, shared *tabletest.Table, objects object.Store, session, job string) *testNode {
	t.Helper()
	service := &Service{
		Table: shared, Objects: objects, View: NewView(), Events: noEvents{},
		Session: func(context.Context) (string, error) { return session, nil },
	}
	if _, err := service.find(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	return &testNode{Service: service, session: session}
}

// checkAuthor reads a job at a node that has cached nothing, and checks who wrote its only result.
func checkAuthor(t *testing.T, shared *tabletest.Table, objects object.Store, job, author string) {
	t.Helper()
	reader := startCutOffNode(t, shared, objects, "reader#1", job)
	reading, err := reader.Read(t.Context(), job, 0, 0)
	if err != nil || len(reading.Results) != 1 {
		t.Fatalf("read %+v, %v", reading, err)
	}
	if text := reading.Results[0].Text; text != string(longText(author)) {
		t.Fatalf("read %d bytes that begin with %.12q, want those by %q", len(text), text, author)
	}
}

// TestListResults_ReadLongTextStaysWhenAnotherOwnerIsLate guards against a result that callers have read
// and that changes: an owner that was cut off finishes an item with another text after the item was
// listed and read.
func TestListResults_ReadLongTextStaysWhenAnotherOwnerIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, objects := tabletest.New(), &objecttest.Store{}
		owner := startNode(t, shared, objects, "a#1")
		if err := owner.Submit(t.Context(), submission("j", 1)); err != nil {
			t.Fatal(err)
		}
		late := startCutOffNode(t, shared, objects, "b#1", "j")
		job := owner.View.Get("j").Job
		if err := owner.listResults(t.Context(), job, []*task{longTask(0, "owner")}); err != nil {
			t.Fatal(err)
		}
		checkAuthor(t, shared, objects, "j", "owner")
		if err := late.listResults(t.Context(), job, []*task{longTask(0, "late")}); err != nil {
			t.Fatal(err)
		}
		checkAuthor(t, shared, objects, "j", "owner")
		time.Sleep(time.Minute)
		checkAuthor(t, shared, objects, "j", "owner")
	})
}

// TestListResults_ReadLongTextStaysWhenASilentPutIsApplied guards against a result that callers have read
// and that changes: a node writes the text of an item, gets no answer and ends, another one lists the item,
// and the store applies the first write after that.
func TestListResults_ReadLongTextStaysWhenASilentPutIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, objects := tabletest.New(), &objecttest.Store{}
		owner := startNode(t, shared, objects, "a#1")
		if err := owner.Submit(t.Context(), submission("j", 1)); err != nil {
			t.Fatal(err)
		}
		puts := &silentPuts{Store: objects, delay: 4 * time.Second}
		puts.silent.Store(true)
		ending := startCutOffNode(t, shared, puts, "b#1", "j")
		job := owner.View.Get("j").Job
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := ending.listResults(ctx, job, []*task{longTask(0, "ending")}); err == nil {
			t.Fatal("a text whose write got no answer is listed")
		}
		if err := owner.listResults(t.Context(), job, []*task{longTask(0, "owner")}); err != nil {
			t.Fatal(err)
		}
		checkAuthor(t, shared, objects, "j", "owner")
		time.Sleep(2 * puts.delay)
		checkAuthor(t, shared, objects, "j", "owner")
	})
}

// lossyObjects is the object store as the nodes of a faultySite call it. A write without an answer may
// be applied at once, later or never.
type lossyObjects struct {
	object.Store
	calls lossyTable
}

func (o lossyObjects) Put(ctx context.Context, key string, body []byte) error {
	if err := o.calls.transit(ctx); err != nil {
		go func() {
			if o.calls.site.chance(0.5) && o.calls.site.sleep(lateWrite) {
				_ = o.Store.Put(o.calls.site.ctx, key, body)
			}
		}()
		return err
	}
	if err := o.Store.Put(ctx, key, body); err != nil {
		return err
	}
	return o.calls.transit(ctx)
}

// authors remembers who wrote the text that was read at each position.
type authors struct {
	mu   sync.Mutex
	seen map[int]string
}

// check compares results with those read before.
func (a *authors) check(t *testing.T, position int, results []Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen == nil {
		a.seen = map[int]string{}
	}
	for i, result := range results {
		if first, ok := a.seen[position+i]; ok && first != result.Text {
			t.Errorf("position %d was read as written by %.12q, then by %.12q", position+i, first, result.Text)
		}
		a.seen[position+i] = result.Text
	}
}

// TestRead_LongTextsStayUnderFaults guards against results that callers have read and that change or
// can't be read any more, when several nodes list the same items with different long texts while
// the table and the object store lose answers and apply writes late.
func TestRead_LongTextsStayUnderFaults(t *testing.T) {
	for seed := range faultyDays() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), faultyDayEnd)
				defer cancel()
				random := rand.New(rand.NewPCG(seed, 1))
				site := &faultySite{t: t, ctx: ctx, random: random, start: time.Now(), shared: tabletest.New(), loss: 0.2 + 0.5*random.Float64()}
				objects := &objecttest.Store{}
				for i := range 3 {
					node := site.newNode(fmt.Sprintf("node-%d#1", i))
					node.Objects = lossyObjects{Store: objects, calls: lossyTable{site}}
					site.nodes = append(site.nodes, node)
				}
				playLongTexts(site)
				checkLongTexts(t, site, objects)
			})
		})
	}
}

const longTextItems = 6

// playLongTexts lists and reads a job at random nodes until the day ends.
func playLongTexts(site *faultySite) {
	if !site.submit("j", longTextItems) {
		return
	}
	var seen authors
	for range 3 {
		go readLongTexts(site, &seen)
	}
	for number := 0; site.sleep(700 * time.Millisecond); number++ {
		node := site.node()
		entry, err := node.find(site.ctx, "j")
		if err != nil {
			continue
		}
		owned := &ownedJob{job: entry.Job, ctx: site.ctx}
		finished := longTask(site.below(longTextItems), fmt.Sprintf("try %d", number))
		finished.owned = owned
		// What fails is listed by a later try.
		go func() { _ = node.listResults(site.ctx, entry.Job, []*task{finished}) }()
	}
	// Calls that outlast their callers end within this time.
	time.Sleep(lateWrite + slowCallTimeout + objectTimeout)
}

// readLongTexts reads the job at random nodes and positions.
func readLongTexts(site *faultySite, seen *authors) {
	for site.sleep(400 * time.Millisecond) {
		node, position := site.node(), site.below(longTextItems)
		// Texts that were read before are read from the store again.
		reader := &Service{Table: node.Table, Objects: node.Objects, View: node.View, Events: noEvents{}, Session: node.Session}
		ctx, cancel := context.WithTimeout(site.ctx, 1350*time.Millisecond)
		reading, err := reader.Read(ctx, "j", position, 0)
		cancel()
		if err == nil {
			seen.check(site.t, position, reading.Results)
		}
	}
}

// checkLongTexts checks that all that is listed can be read in the end, from objects that are
// complete.
func checkLongTexts(t *testing.T, site *faultySite, objects object.Store) {
	reader := startCutOffNode(t, site.shared, objects, "reader#1", "j")
	listed := len(reader.View.Get("j").Progress.Listed)
	if listed == 0 {
		t.Fatal("nothing was listed")
	}
	for position := range listed {
		reading, err := reader.Read(t.Context(), "j", position, 0)
		if err != nil || len(reading.Results) == 0 {
			t.Errorf("position %d of %d cannot be read: %v", position, listed, err)
		}
	}
}
