package poolsoftware

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

const lifetime = 10 * time.Second

// node is a node with records of a pool "p".
type node struct {
	Records
	listed []string
	errors int
}

// newNode returns a node whose turn comes after a delay.
func newNode(service table.Service, turn time.Duration) *node {
	n := &node{}
	n.Partition, n.Table = "software", service
	n.Listed = func() map[string][]string {
		if n.listed == nil {
			return nil
		}
		return map[string][]string{"p": n.listed}
	}
	n.Turn = func(string) time.Duration { return turn }
	n.OnError = func(string, error) { n.errors++ }
	return n
}

// follow lets the node read the table and compare it with its list, for a time.
func (n *node) follow(t *testing.T, service *tabletest.Table, duration time.Duration) {
	t.Helper()
	for end := time.Now().Add(duration); !time.Now().After(end); time.Sleep(checkInterval) {
		n.read(t, service)
		n.update(t.Context())
	}
}

// read lets the node read the table.
func (n *node) read(t *testing.T, service *tabletest.Table) {
	t.Helper()
	rows, err := service.List(t.Context(), "software", "", 100)
	if err != nil {
		return
	}
	changes := table.Changes{Now: time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC))}
	for _, row := range rows {
		changes.Changes = append(changes.Changes, table.Change{Row: row})
	}
	n.Apply(changes, true)
}

// history returns what a node that has just started and lists some versions knows.
func history(t *testing.T, service *tabletest.Table, listed ...string) replica.SoftwareHistory {
	t.Helper()
	started := newNode(service, 0)
	started.read(t, service)
	return started.History("p", listed, lifetime)
}

var (
	unknown = replica.SoftwareHistory{}
	several = replica.SoftwareHistory{Several: true}
	single  = replica.SoftwareHistory{Single: true, Version: "v1"}
)

// Guards against a node that starts and takes the version that is listed for the only one that the pool has run.
func TestRecords_StartedNodeKnowsThePast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		expect := func(when string, want replica.SoftwareHistory, listed ...string) {
			t.Helper()
			if got := history(t, service, listed...); got != want {
				t.Errorf("%s: %+v, want %+v", when, got, want)
			}
		}
		expect("nothing recorded", unknown, "v1")
		running := newNode(service, 0)
		running.listed = []string{"v1"}
		running.follow(t, service, time.Second)
		expect("recorded a moment ago", unknown, "v1")
		expect("recorded a moment ago, another one is listed", several, "v2")
		running.follow(t, service, lifetime)
		expect("recorded for a lifetime", single, "v1")
		expect("a second version is listed", several, "v1", "v2")
		running.listed = []string{"v1", "v2"}
		running.follow(t, service, time.Second)
		running.listed = []string{"v1"}
		running.follow(t, service, time.Second)
		expect("a second version left", several, "v1")
		running.follow(t, service, lifetime)
		expect("a second version left a lifetime ago", single, "v1")
		expect("no list", unknown)
	})
}

// Guards against rows that are never written while the table fails, or whose answer is lost, and against nodes
// that overwrite each other's versions.
func TestRecords_AreWrittenThroughFaults(t *testing.T) {
	for _, fault := range []tabletest.Fault{tabletest.Down, tabletest.Throttled, tabletest.Lost, tabletest.Rejected} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := tabletest.New()
				attempts := 0
				service.CommitFault = func([]table.Write) tabletest.Fault {
					if attempts++; attempts%3 != 0 {
						return fault
					}
					return tabletest.None
				}
				first, second := newNode(service, 0), newNode(service, 0)
				first.listed, second.listed = []string{"v1"}, []string{"v1", "v2"}
				for range 5 {
					first.follow(t, service, time.Second)
					second.follow(t, service, time.Second)
				}
				rows, err := service.List(t.Context(), "software", "", 10)
				if err != nil || len(rows) != 1 {
					t.Fatal(err, rows)
				}
				decoded, err := decodeRow(rows[0].Body)
				if names := decoded.names(); err != nil || !slices.Contains(names, "v1") {
					t.Errorf("the row lists %v, %v", names, err)
				}
				if got := history(t, service, "v1"); got != several {
					t.Errorf("a started node knows %+v", got)
				}
			})
		})
	}
}

// Guards against a write for every node at each change of versions.
func TestRecords_OneNodeWritesAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		commits := 0
		service.CommitFault = func([]table.Write) tabletest.Fault {
			commits++
			return tabletest.None
		}
		nodes := make([]*node, 9)
		for i := range nodes {
			nodes[i] = newNode(service, time.Duration(i)*150*time.Millisecond)
			nodes[i].listed = []string{"v1"}
		}
		for range 100 {
			for _, n := range nodes {
				n.read(t, service)
				n.update(t.Context())
			}
			time.Sleep(checkInterval)
		}
		if commits != 1 {
			t.Errorf("%d commits for one change", commits)
		}
	})
}

// Guards against a row of another writer that ends the record of its pool, or the node.
func TestRecords_ReplaceARowThatCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		key := table.Key{Partition: "software", Sort: prefixPool + "p"}
		if _, err := service.Commit(context.Background(), "op", table.Write{Key: key, Kind: table.Put, Body: []byte{0xff, 1}}); err != nil {
			t.Fatal(err)
		}
		running := newNode(service, 0)
		running.listed = []string{"v1"}
		running.follow(t, service, 2*lifetime)
		if got := history(t, service, "v1"); got != single || running.errors == 0 {
			t.Errorf("a started node knows %+v; %d errors reported", got, running.errors)
		}
	})
}

// Guards against knowledge that is claimed from rows that have not been read for a while.
func TestRecords_OldRowsTellNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		running := newNode(service, 0)
		running.listed = []string{"v1"}
		running.follow(t, service, 2*lifetime)
		service.ReadFault = func() error { return errors.New("down") }
		running.follow(t, service, maxAge+time.Second)
		if got := running.History("p", []string{"v1"}, lifetime); got != unknown {
			t.Errorf("with old rows: %+v", got)
		}
	})
}

// Guards against a row that grows without bound.
func TestRow_IsBounded(t *testing.T) {
	var recorded row
	for i := range 3 * maxVersions {
		recorded, _ = recorded.updated([]string{fmt.Sprint(i)}, int64(i+1))
	}
	if len(recorded.Versions) != maxVersions+1 || recorded.Versions[maxVersions].Left != 0 || recorded.Versions[0].Name != fmt.Sprint(2*maxVersions-1) {
		t.Errorf("%d versions: %+v", len(recorded.Versions), recorded.Versions)
	}
	recorded, _ = recorded.updated([]string{"last"}, 2*retention.Milliseconds())
	if len(recorded.Versions) != 2 {
		t.Errorf("after the retention: %+v", recorded.Versions)
	}
}

// Guards against a write at each look at a pool whose replicas run very many versions.
func TestRow_OfManyListedVersionsIsWrittenOnce(t *testing.T) {
	listed := make([]string, 20*maxVersions)
	for i := range listed {
		listed[i] = fmt.Sprintf("v%04d", i)
	}
	recorded, differs := row{}.updated(listed, 1)
	if !differs || len(recorded.Versions) != maxVersions {
		t.Fatalf("differs %v, %d versions", differs, len(recorded.Versions))
	}
	if _, differs := recorded.updated(listed, 2); differs {
		t.Error("the row differs again")
	}
}
