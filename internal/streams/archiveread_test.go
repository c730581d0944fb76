package streams

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// Guards against a lookup that ends while the table fails for a moment, and against one that never ends.
func TestArchive_FindRetriesUntilItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		node := newArchiveNode(service, "n")
		defer node.run(t)()
		node.add("x", "v1")
		time.Sleep(time.Second)
		began, errDown := time.Now(), errors.New("down")
		failFor := 300 * time.Millisecond
		service.ReadFault = func() error {
			if time.Since(began) < failFor {
				return errDown
			}
			return nil
		}
		if got := find(t, service, "x"); got != "v1" {
			t.Errorf("after 300 ms without the table: %q", got)
		}
		began, failFor = time.Now(), time.Hour
		if got := find(t, service, "x"); got != "" || time.Since(began) != 750*time.Millisecond {
			t.Errorf("without the table: %q after %v", got, time.Since(began))
		}
		// A read that nobody waits for any more ends by itself.
		time.Sleep(readInterval + readTimeout)
	})
}

// Guards against a node of a large fleet that keeps the origins of all streams, and against one that does not
// find what it looks for because another node keeps it.
func TestArchive_KeepsWhatItWants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		node := newArchiveNode(service, "n")
		stop := node.run(t)
		for i := range 100 {
			node.add(fmt.Sprint(i), "v1")
		}
		time.Sleep(2 * testInterval)
		stop()
		started := newArchiveNode(service, "started")
		started.Wanted = func(ID) bool { return false }
		if _, known := started.Find(t.Context(), NewID("", "7"), testLifetime); !known || started.registry.Len() != 1 {
			t.Errorf("known %v, %d origins kept", known, started.registry.Len())
		}
	})
}

// Guards against a row of another writer that ends the reading of the others.
func TestArchive_SkipsRowsThatCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		node := newArchiveNode(service, "n")
		stop := node.run(t)
		node.add("x", "v1")
		time.Sleep(2 * testInterval)
		stop()
		for i, sort := range []string{"odd", archiveKey(time.Now()) + "/odd", archiveKey(time.Now().Add(-time.Second)) + "/odd"} {
			write := table.Write{Key: table.Key{Partition: "origins", Sort: sort}, Kind: table.Put, Body: []byte{0xff}}
			if _, err := service.Commit(t.Context(), fmt.Sprint("op", i), write); err != nil {
				t.Fatal(err)
			}
		}
		if got := find(t, service, "x"); got != "v1" {
			t.Errorf("%q", got)
		}
	})
}
