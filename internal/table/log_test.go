package table_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// plainTable is a Service without change notifications whose rows have independent versions, like one
// with the DynamoDB protocol.
type plainTable struct {
	mu   sync.Mutex
	rows map[table.Key]table.Row
}

func newPlain() *plainTable { return &plainTable{rows: map[table.Key]table.Row{}} }

func (p *plainTable) Get(_ context.Context, key table.Key) (table.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[key]
	if !ok {
		return table.Row{}, outcome.AsNotDone(table.ErrNotFound)
	}
	return row, nil
}

func (p *plainTable) List(_ context.Context, partition, after string, limit int) ([]table.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []table.Row
	for key, row := range p.rows {
		if key.Partition == partition && key.Sort > after {
			rows = append(rows, row)
		}
	}
	for i := range rows {
		for j := i; j > 0 && rows[j].Sort < rows[j-1].Sort; j-- {
			rows[j], rows[j-1] = rows[j-1], rows[j]
		}
	}
	return rows[:min(limit, len(rows))], nil
}

func (p *plainTable) Commit(_ context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, write := range writes {
		if p.rows[write.Key].Version != write.Expect {
			return nil, outcome.AsNotDone(table.ErrConflict)
		}
	}
	versions := make([]uint64, len(writes))
	for i, write := range writes {
		versions[i] = write.NextVersion()
		switch write.Kind {
		case table.Put:
			p.rows[write.Key] = table.Row{Key: write.Key, Version: versions[i], Operation: operation, Body: write.Body}
		case table.Delete:
			delete(p.rows, write.Key)
		}
	}
	return versions, nil
}

const testGroup = "group"

func put(sort string, expect uint64, body string) table.Write {
	return table.Write{Key: table.Key{Partition: testGroup + "/0", Sort: sort}, Expect: expect, Body: []byte(body)}
}

// followRows runs a watcher of the group and returns a function that returns its rows.
func followRows(t *testing.T, plain table.Service) func() map[string]string {
	t.Helper()
	var mu sync.Mutex
	rows := map[string]string{}
	heads := table.NewHeads(plain)
	heads.Interval = func() time.Duration { return time.Millisecond }
	feed := table.PolledFeed{Heads: heads, Group: testGroup, Parts: []string{testGroup + "/0"}}
	watcher := table.NewWatcher(feed, func(changes table.Changes, _ bool) {
		mu.Lock()
		defer mu.Unlock()
		for _, change := range changes.Changes {
			if change.Removed {
				delete(rows, change.Sort)
				continue
			}
			rows[change.Sort] = string(change.Body)
		}
	})
	go heads.Run(t.Context())
	tabletest.Follow(t, watcher)
	return func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		copied := map[string]string{}
		for key, value := range rows {
			copied[key] = value
		}
		return copied
	}
}

func TestLogged_FollowersReceiveEveryChange(t *testing.T) {
	plain := newPlain()
	rows := followRows(t, plain)
	logged := &table.Logged{Service: plain, Groups: []string{testGroup}}
	versions, err := logged.Commit(t.Context(), "a", put("x", table.Absent, "1"), put("y", table.Absent, "1"))
	if err != nil || versions[0] != versions[1] {
		t.Fatalf("versions %v, error %v", versions, err)
	}
	eventually(t, "both rows to be received", func() bool { return len(rows()) == 2 })
	if _, err := logged.Commit(t.Context(), "b", put("x", versions[0], "2"),
		table.Write{Key: put("y", 0, "").Key, Kind: table.Delete, Expect: versions[0]}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the change and the removal to be received", func() bool { return len(rows()) == 1 && rows()["x"] == "2" })
	// A row that is created again after its removal is received again.
	if _, err := logged.Commit(t.Context(), "c", put("y", table.Absent, "3")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new row to be received", func() bool { return rows()["y"] == "3" })
}

func TestLogged_ConflictContainsRows(t *testing.T) {
	plain := newPlain()
	logged := &table.Logged{Service: plain, Groups: []string{testGroup}}
	if _, err := logged.Commit(t.Context(), "a", put("x", table.Absent, "1")); err != nil {
		t.Fatal(err)
	}
	_, err := logged.Commit(t.Context(), "b", put("x", table.Absent, "2"))
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) || outcome.Of(err) != outcome.NotDone {
		t.Fatalf("error %v", err)
	}
	if row, ok := conflict.Row(put("x", 0, "").Key); !ok || string(row.Body) != "1" {
		t.Fatalf("rows in the conflict: %+v", conflict.Rows)
	}
}

func TestLogged_ConcurrentWritersAllCommit(t *testing.T) {
	plain := newPlain()
	rows := followRows(t, plain)
	const writers, each = 6, 10
	var group sync.WaitGroup
	for writer := range writers {
		group.Add(1)
		go func() {
			defer group.Done()
			logged := &table.Logged{Service: plain, Groups: []string{testGroup}}
			for i := range each {
				if _, err := logged.Commit(t.Context(), "op", put(fmt.Sprintf("%d-%d", writer, i), table.Absent, "v")); err != nil {
					t.Errorf("writer %d: %v", writer, err)
				}
			}
		}()
	}
	group.Wait()
	eventually(t, "all rows to be received", func() bool { return len(rows()) == writers*each })
}

func TestPolledFeed_CompactedLogRequiresWholeRead(t *testing.T) {
	plain := newPlain()
	logged := &table.Logged{Service: plain, Groups: []string{testGroup}}
	version := uint64(table.Absent)
	for i := range 1100 {
		versions, err := logged.Commit(t.Context(), "op", put("x", version, fmt.Sprint(i)))
		if err != nil {
			t.Fatal(err)
		}
		version = versions[0]
	}
	heads := table.NewHeads(plain)
	go heads.Run(t.Context())
	feed := table.PolledFeed{Heads: heads, Group: testGroup, Parts: []string{testGroup + "/0"}}
	if _, err := feed.After(t.Context(), 3, 5*time.Second); !errors.Is(err, table.ErrCompacted) {
		t.Fatalf("error is %v", err)
	}
	rows := followRows(t, plain)
	eventually(t, "the newest value", func() bool { return rows()["x"] == "1099" })
}
