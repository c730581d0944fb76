package quarantine

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// hangingTable never responds to commits.
type hangingTable struct{ table.Service }

func (hangingTable) Commit(ctx context.Context, _ string, _ ...table.Write) ([]uint64, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestPublisher_BroadcastsWhileTableHangs checks that messages to other nodes do not wait for
// pending writes. Delayed messages make other nodes count crashes against popular work that has
// succeeded here since (soak seed 7215).
func TestPublisher_BroadcastsWhileTableHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var list List
		rows := &Rows{Partition: "g/q", Guard: &Guard{List: &list}}
		rows.Apply(table.Changes{Now: time.Hour}, true)
		publisher := NewPublisher(hangingTable{}, rows, func() string { return "session" })
		broadcasts := make(chan Update, 10)
		publisher.Broadcast = func(update Update) { broadcasts <- update }
		done := make(chan struct{})
		go func() {
			defer close(done)
			publisher.Run(ctx)
		}()
		publisher.PublishCrash(CrashReport{Replica: "r", Runs: runsOf(time.Now(), work("w")), At: time.Now()})
		time.Sleep(500 * time.Millisecond)
		if update := <-broadcasts; len(update.Reports) != 1 {
			t.Errorf("first broadcast: %+v, want one report", update)
		}
		publisher.PublishClearing(Clearing{Work: work("w"), At: time.Now()})
		time.Sleep(2 * batchDelay)
		select {
		case update := <-broadcasts:
			if len(update.Clearings) != 1 {
				t.Errorf("second broadcast: %+v, want one clearing", update)
			}
		default:
			t.Errorf("no broadcast %v after a success", 2*batchDelay)
		}
		cancel()
		<-done
	})
}

// newTestPublisher returns a publisher that has read all rows of an empty table, and its guard.
func newTestPublisher(service table.Service) (*Guard, *Publisher) {
	guard, _, _ := newGuard(ConnectionRefused)
	rows := &Rows{Partition: "g/q", Guard: guard}
	rows.Apply(table.Changes{Now: time.Hour}, true)
	return guard, NewPublisher(service, rows, func() string { return "session" })
}

// TestPublisher_PersistsFrequentSuccesses covers a restart of all nodes. No peer remembers any
// successes then, so popular work must be known as proven from the table (soak --seed 7219 --nodes
// 7 --regions 2).
func TestPublisher_PersistsFrequentSuccesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		service := tabletest.New()
		guard, publisher := newTestPublisher(service)
		done := make(chan struct{})
		go func() {
			defer close(done)
			publisher.Run(ctx)
		}()
		for range persistAfter {
			guard.RecordSuccess(work("popular"))
		}
		guard.RecordSuccess(work("rare"))
		time.Sleep(2 * successInterval)
		cancel()
		<-done
		written, err := table.ListAll(t.Context(), service, "g/q")
		if err != nil || len(written) != 1 {
			t.Fatalf("rows %v, error %v, want one row", written, err)
		}
		next, _, _ := newGuard(ConnectionRefused)
		read := table.Changes{Now: time.Hour + time.Minute}
		for _, row := range written {
			read.Changes = append(read.Changes, table.Change{Row: row})
		}
		(&Rows{Partition: "g/q", Guard: next}).Apply(read, true)
		if _, known := next.List.LastSuccess(work("popular")); !known {
			t.Error("a starting node does not know the success of popular work")
		}
	})
}

// TestPublisher_WritesLatestClearing checks that of several pending clearings of one work the
// latest is written, and that a later one from another node is not overwritten.
func TestPublisher_WritesLatestClearing(t *testing.T) {
	guard, _, _ := newGuard(ConnectionRefused)
	rows := &Rows{Partition: "g/q", Guard: guard}
	rows.Apply(table.Changes{Now: time.Hour}, true)
	publisher := NewPublisher(nil, rows, nil)
	now := time.Now()
	encode := func(ages ...time.Duration) []table.Write {
		var clearings []Clearing
		for _, age := range ages {
			clearings = append(clearings, Clearing{Work: work("w"), At: now.Add(-age)})
		}
		writes, err := publisher.encode(nil, clearings)
		if err != nil {
			t.Fatal(err)
		}
		return writes
	}
	writes := encode(time.Minute, time.Second, 2*time.Second)
	if len(writes) != 1 {
		t.Fatalf("%d writes for one work, want 1", len(writes))
	}
	rows.Apply(table.Changes{Now: time.Hour, Changes: []table.Change{{Row: rowOf(writes[0])}}}, false)
	if at, _ := guard.List.LastSuccess(work("w")); now.Sub(at) > 1500*time.Millisecond {
		t.Errorf("the written success is %v old, want the latest", now.Sub(at))
	}
	if writes := encode(time.Minute); len(writes) != 0 {
		t.Error("an older success overwrites a later one")
	}
	if writes := encode(0); len(writes) != 1 {
		t.Error("a later success is not written")
	}
}

// Guards against a crash report that the table never accepts and that keeps all later ones from being
// written: a restart of all nodes would forget them.
func TestPublisher_RejectedRowDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		service := tabletest.New()
		_, publisher := newTestPublisher(service)
		service.CommitFault = func(writes []table.Write) tabletest.Fault {
			for _, write := range writes {
				if strings.Contains(write.Sort, "poison") {
					return tabletest.Rejected
				}
			}
			return tabletest.None
		}
		for _, replica := range []string{"a", "poison", "b", "c"} {
			publisher.PublishCrash(CrashReport{Replica: replica, Runs: runsOf(time.Now(), work("w")), At: time.Now()})
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			publisher.Run(ctx)
		}()
		time.Sleep(time.Second)
		cancel()
		<-done
		written, err := service.List(t.Context(), "g/q", "", 10)
		if err != nil || len(written) != 3 {
			t.Errorf("%d of 3 rows written, %v", len(written), err)
		}
	})
}
