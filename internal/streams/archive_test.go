package streams

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

const (
	testInterval = 50 * time.Millisecond
	testLifetime = 10 * time.Second
	testKeep     = 35 * time.Second
)

// archiveNode is a node with an archive.
type archiveNode struct {
	Archive
	registry Registry

	mu     sync.Mutex
	needed bool
	errors []error
	// acknowledged are the streams that were written for other nodes.
	acknowledged []ID
}

func newArchiveNode(service table.Service, name string) *archiveNode {
	n := &archiveNode{needed: true}
	n.Archive = Archive{
		Partition: "origins", Table: service, Registry: &n.registry,
		Session: func() string { return name },
		Needed: func(string) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.needed
		},
		Interval:  func() time.Duration { return testInterval },
		Wanted:    func(ID) bool { return true },
		OwnsSweep: func() bool { return true },
		OnWritten: func(sender string, ids []ID) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.acknowledged = append(n.acknowledged, ids...)
		},
		OnError: func(err error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.errors = append(n.errors, err)
		},
	}
	return n
}

func (n *archiveNode) setNeeded(needed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.needed = needed
}

// run runs the archive until the returned function is called.
func (n *archiveNode) run(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

// add adds an origin under a name.
func (n *archiveNode) add(name, version string) {
	n.Add(NewID("", name), Origin{Pool: "p", SoftwareVersion: version}, testKeep)
}

// find returns the software version of a stream as a node that has just started finds it; empty if it doesn't.
func find(t *testing.T, service table.Service, name string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 750*time.Millisecond)
	defer cancel()
	origin, known := newArchiveNode(service, "started").Find(ctx, NewID("", name), testLifetime)
	switch {
	case !known:
		return ""
	case origin.Ambiguous:
		return "ambiguous"
	default:
		return origin.SoftwareVersion
	}
}

// Guards against origins that are lost with the nodes which hold them, and against an origin under the name of
// another stream.
func TestArchive_OriginsSurviveTheirNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		var stops []func()
		for i := range 3 {
			node := newArchiveNode(service, fmt.Sprint("n", i))
			stops = append(stops, node.run(t))
			for stream := range 40 {
				node.add(fmt.Sprint(i, "/", stream), fmt.Sprint("v", stream%2))
			}
		}
		time.Sleep(2 * testInterval)
		for _, stop := range stops {
			stop()
		}
		for i := range 3 {
			for stream := range 40 {
				if got, want := find(t, service, fmt.Sprint(i, "/", stream)), fmt.Sprint("v", stream%2); got != want {
					t.Errorf("node %d, stream %d: %q, want %q", i, stream, got, want)
				}
			}
		}
		if got := find(t, service, "never begun"); got != "" {
			t.Errorf("a stream that never began: %q", got)
		}
	})
}

// Guards against origins of streams that began just before a second version appeared, and are not written.
func TestArchive_WritesWhatBeganBeforeItWasNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		node := newArchiveNode(service, "n")
		node.setNeeded(false)
		defer node.run(t)()
		node.add("early", "v1")
		time.Sleep(5 * time.Second)
		if got := find(t, service, "early"); got != "" {
			t.Fatalf("written although not needed: %q", got)
		}
		node.setNeeded(true)
		time.Sleep(archiveIdleInterval + testInterval)
		if got := find(t, service, "early"); got != "v1" {
			t.Errorf("%q", got)
		}
	})
}

// Guards against origins that nobody writes because the node that was asked to is gone, and against two writes of
// each.
func TestArchive_WritesWhatAnotherNodeDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		node, writer := newArchiveNode(service, "n"), newArchiveNode(service, "writer")
		defer node.run(t)()
		defer writer.run(t)()
		origin := Origin{Pool: "p", SoftwareVersion: "v1"}
		for i := range 20 {
			id := NewID("", fmt.Sprint(i))
			node.AddUnacknowledged(id, origin, testKeep)
			if i%2 == 0 {
				writer.AddFor("n", id, origin, testKeep)
			}
		}
		time.Sleep(testInterval + 10*time.Millisecond)
		writer.mu.Lock()
		acknowledged := writer.acknowledged
		writer.mu.Unlock()
		node.Acknowledge(acknowledged)
		time.Sleep(acknowledgementTimeout + testInterval)
		written := map[ID]int{}
		rows, err := table.ListAll(t.Context(), service, "origins")
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range rows {
			origins, err := decodeArchiveRow(row.Body)
			if err != nil {
				t.Fatal(err)
			}
			for _, archived := range origins {
				written[archived.id]++
			}
		}
		for i := range 20 {
			if times := written[NewID("", fmt.Sprint(i))]; times != 1 {
				t.Errorf("stream %d is written %d times", i, times)
			}
		}
	})
}

// Guards against a stream that is continued although it was recorded as ambiguous, or with two versions.
func TestArchive_AmbiguousOriginsStayAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		first, second := newArchiveNode(service, "a"), newArchiveNode(service, "b")
		defer first.run(t)()
		defer second.run(t)()
		first.add("twice", "v1")
		second.add("twice", "v2")
		first.add("uncertain", "v1")
		time.Sleep(time.Second)
		first.Add(NewID("", "uncertain"), Origin{Pool: "p", SoftwareVersion: "v1", Ambiguous: true}, testKeep)
		time.Sleep(time.Second)
		for _, name := range []string{"twice", "uncertain"} {
			if got := find(t, service, name); got != "ambiguous" {
				t.Errorf("%s: %q", name, got)
			}
		}
	})
}

// Guards against a stream that is continued because the acknowledgement of its first origin is taken for one of the
// origin that made it ambiguous, which the other node never got.
func TestArchive_AcknowledgementDoesNotCoverAnAmbiguousOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		node, writer := newArchiveNode(service, "n"), newArchiveNode(service, "writer")
		defer node.run(t)()
		defer writer.run(t)()
		id, origin := NewID("", "x"), Origin{Pool: "p", SoftwareVersion: "v1"}
		node.AddUnacknowledged(id, origin, testKeep)
		writer.AddFor("n", id, origin, testKeep)
		origin.Ambiguous = true
		node.AddUnacknowledged(id, origin, testKeep)
		time.Sleep(testInterval + 10*time.Millisecond)
		node.Acknowledge([]ID{id})
		time.Sleep(acknowledgementTimeout + testInterval)
		if got := find(t, service, "x"); got != "ambiguous" {
			t.Errorf("%q", got)
		}
	})
}

// Guards against origins that a failed write drops, and against a lookup that misses one that was written late.
func TestArchive_WritesThroughFaults(t *testing.T) {
	for _, fault := range []tabletest.Fault{tabletest.Down, tabletest.Throttled, tabletest.Lost} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := tabletest.New()
				var mu sync.Mutex
				failing := true
				service.CommitFault = func([]table.Write) tabletest.Fault {
					mu.Lock()
					defer mu.Unlock()
					if failing {
						return fault
					}
					return tabletest.None
				}
				reader := newArchiveNode(service, "reader")
				reads := func(name string) string {
					ctx, cancel := context.WithTimeout(t.Context(), 750*time.Millisecond)
					defer cancel()
					origin, _ := reader.Find(ctx, NewID("", name), testLifetime)
					return origin.SoftwareVersion
				}
				node := newArchiveNode(service, "n")
				defer node.run(t)()
				node.add("x", "v1")
				for range 8 {
					time.Sleep(time.Second)
					reads("x")
				}
				mu.Lock()
				failing = false
				mu.Unlock()
				time.Sleep(2 * archiveErrorPause)
				if got := reads("x"); got != "v1" {
					t.Errorf("%q", got)
				}
			})
		})
	}
}

// Guards against rows that stay in the table, of nodes that run and of nodes that are gone.
func TestArchive_RemovesItsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		gone, running := newArchiveNode(service, "gone"), newArchiveNode(service, "running")
		running.OwnsSweep = func() bool { return false }
		stopGone, stopRunning := gone.run(t), running.run(t)
		for i := range 200 {
			gone.add(fmt.Sprint("g", i), "v1")
			running.add(fmt.Sprint("r", i), "v1")
			time.Sleep(testInterval)
		}
		stopGone()
		time.Sleep(testKeep + 2*sweepInterval)
		rows := countRows(t, service)
		if rows == 0 || rows > 220 {
			t.Errorf("%d rows after those of the running node have expired; about 200 are left behind", rows)
		}
		running.OwnsSweep = func() bool { return true }
		time.Sleep(orphanAge + 2*orphanInterval)
		if rows := countRows(t, service); rows != 0 {
			t.Errorf("%d rows are left", rows)
		}
		stopRunning()
	})
}

func countRows(t *testing.T, service table.Service) int {
	t.Helper()
	rows, err := table.ListAll(t.Context(), service, "origins")
	if err != nil {
		t.Fatal(err)
	}
	return len(rows)
}

// Guards against a write for each stream, and against a read for each lookup.
func TestArchive_CallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		var commits, reads int
		var mu sync.Mutex
		service.CommitFault = func([]table.Write) tabletest.Fault {
			mu.Lock()
			defer mu.Unlock()
			commits++
			return tabletest.None
		}
		service.ReadFault = func() error {
			mu.Lock()
			defer mu.Unlock()
			reads++
			return nil
		}
		node := newArchiveNode(service, "n")
		stop := node.run(t)
		for i := range 1000 {
			node.add(fmt.Sprint(i), "v1")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(testInterval)
		stop()
		if most := int(time.Second/testInterval) + 2; commits > most {
			t.Errorf("%d commits in a second, want at most %d", commits, most)
		}
		started := newArchiveNode(service, "started")
		runStop := time.Now()
		var lookups sync.WaitGroup
		for i := range 1000 {
			lookups.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond / 2)
				started.Find(t.Context(), NewID("", fmt.Sprint(i)), testLifetime)
			})
		}
		lookups.Wait()
		if most := int(time.Since(runStop)/readInterval) + 2; reads > most {
			t.Errorf("%d reads for 1000 lookups, want at most %d", reads, most)
		}
		if started.registry.Len() != 1000 {
			t.Errorf("%d streams found", started.registry.Len())
		}
	})
}
