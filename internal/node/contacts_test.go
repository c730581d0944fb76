package node

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a start of a whole fleet filling the memory of the nodes that it sends a hello to, and against reports sent
// for ever to nodes that are gone.
func TestContacts_AreBounded(t *testing.T) {
	now := time.Now()
	known := &contacts{}
	for number := range 985 {
		known.record(contact{session: fmt.Sprintf("n%d#1", number), address: fmt.Sprintf("10.0.0.1:%d", number), heardAt: now})
	}
	recent := known.recent(now)
	if len(recent) != maxContacts || recent[len(recent)-1].session != "n984#1" {
		t.Errorf("%d contacts, the newest is %s", len(recent), recent[len(recent)-1].session)
	}
	if left := known.recent(now.Add(contactRetention + time.Millisecond)); len(left) != 0 {
		t.Errorf("%d contacts stay", len(left))
	}
}

// Guards against two entries of one node, of which the older has the address of its previous process, and against
// reports sent twice to nodes that the table names.
func TestContacts_OneOfEachNode(t *testing.T) {
	now := time.Now()
	known := &contacts{}
	if !known.record(contact{session: "a#1", address: "10.0.0.1:1", heardAt: now}) {
		t.Error("the first hello is not new")
	}
	if known.record(contact{session: "a#2", address: "10.0.0.1:2", heardAt: now}) {
		t.Error("the second hello is new")
	}
	known.record(contact{session: "b#1", address: "10.0.0.2:1", heardAt: now})
	if got := known.address("a", now); got != "10.0.0.1:2" {
		t.Errorf("address %s", got)
	}
	if unlisted := known.unlisted([]string{"a", "c"}, now); len(unlisted) != 1 || unlisted[0].session != "b#1" {
		t.Errorf("unlisted are %v", unlisted)
	}
}
