package table

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func TestUnreadable_TellsEachVersionOnce(t *testing.T) {
	told := 0
	unreadable := &Unreadable{Tell: func(*UnreadableError) { told++ }}
	report := func(sort string, version uint64) {
		row := Row{Key: Key{Partition: "p", Sort: sort}, Version: version, Body: []byte{0xff}}
		var record int
		unreadable.Report(fmt.Errorf("read: %w", row.Decode(&record)))
	}
	for _, version := range []uint64{3, 3, 2, 3} {
		report("a", version)
	}
	report("b", 3)
	report("a", 4)
	if told != 3 {
		t.Errorf("told %d times, want 3", told)
	}
	unreadable.Report(nil)
	unreadable.Report(errors.New("another matter"))
	(*Unreadable)(nil).Report((&Row{}).Decode(&told))
	(&Unreadable{}).Report((&Row{}).Decode(&told))
	if told != 3 {
		t.Errorf("told %d times, want 3", told)
	}
}

// TestUnreadable_RemembersABoundedNumber has many readers come by many rows.
func TestUnreadable_RemembersABoundedNumber(t *testing.T) {
	unreadable := &Unreadable{Tell: func(*UnreadableError) {}}
	var group sync.WaitGroup
	for reader := range 4 {
		group.Go(func() {
			for number := range toldMost {
				row := Row{Key: Key{Sort: fmt.Sprint(reader, number)}, Version: 1}
				unreadable.Report(row.Refuse(Content, ErrNotFound))
			}
		})
	}
	group.Wait()
	if len(unreadable.told) != toldMost || len(unreadable.order) != toldMost {
		t.Errorf("%d and %d are remembered", len(unreadable.told), len(unreadable.order))
	}
}

func TestRow_DecodeSaysWhatCannotBeRead(t *testing.T) {
	whole, err := cbor.Marshal(7)
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range []struct {
		row    Row
		reason Reason
	}{
		{Row{Body: whole}, ""},
		{Row{Body: nil}, Encoding},
		{Row{Body: append(whole, whole...)}, Encoding},
		{Row{Unreadable: ErrNotFound}, Envelope},
		{Row{Body: whole, Unreadable: ErrNotFound}, Envelope},
	} {
		one.row.Version = 5
		var record int
		err := one.row.Decode(&record)
		var found *UnreadableError
		if (err == nil) != (one.reason == "") || (errors.As(err, &found) && (found.Reason != one.reason || found.Version != 5)) {
			t.Errorf("%+v: %v", one.row, err)
		}
	}
}

// TestPolledFeed_ADamagedLogRowLeadsToAWholeRead has the log of a group lie in a row that
// cannot be read: what it said is in the group's rows.
func TestPolledFeed_ADamagedLogRowLeadsToAWholeRead(t *testing.T) {
	service := &fixedService{rows: []Row{{Key: logKey("g", 8), Version: 8, Body: []byte{0xff}}}}
	told := 0
	heads := NewHeads(service)
	heads.Unreadable = &Unreadable{Tell: func(*UnreadableError) { told++ }}
	feed := PolledFeed{Heads: heads, Group: "g", Parts: []string{"g"}}
	for range 2 {
		if _, err := feed.since(t.Context(), 7); !errors.Is(err, ErrCompacted) {
			t.Fatalf("the feed answers %v", err)
		}
	}
	if told != 1 {
		t.Errorf("told %d times", told)
	}
}

// fixedService lists the same rows to everybody.
type fixedService struct {
	Service
	rows []Row
}

// List implements Service.
func (s *fixedService) List(context.Context, string, string, int) ([]Row, error) { return s.rows, nil }
