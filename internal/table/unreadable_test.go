package table

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func TestUnreadable_ReportsEachVersionOnce(t *testing.T) {
	reports := 0
	unreadable := &Unreadable{OnUnreadable: func(*UnreadableError) { reports++ }}
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
	if reports != 3 {
		t.Errorf("%d reports, want 3", reports)
	}
	unreadable.Report(nil)
	unreadable.Report(errors.New("another error"))
	(*Unreadable)(nil).Report((&Row{}).Decode(&reports))
	(&Unreadable{}).Report((&Row{}).Decode(&reports))
	if reports != 3 {
		t.Errorf("%d reports, want 3", reports)
	}
}

// The number of remembered rows stays bounded with concurrent readers of many unreadable rows.
func TestUnreadable_MemoryIsBounded(t *testing.T) {
	unreadable := &Unreadable{OnUnreadable: func(*UnreadableError) {}}
	var group sync.WaitGroup
	for reader := range 4 {
		group.Go(func() {
			for number := range maxReported {
				row := Row{Key: Key{Sort: fmt.Sprint(reader, number)}, Version: 1}
				unreadable.Report(row.AsUnreadable(Content, ErrNotFound))
			}
		})
	}
	group.Wait()
	if len(unreadable.reported) != maxReported || len(unreadable.order) != maxReported {
		t.Errorf("%d and %d rows are remembered", len(unreadable.reported), len(unreadable.order))
	}
}

func TestRow_DecodeReportsReason(t *testing.T) {
	whole, err := cbor.Marshal(7)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		row    Row
		reason Reason
	}{
		{Row{Body: whole}, ""},
		{Row{Body: nil}, Encoding},
		{Row{Body: append(whole, whole...)}, Encoding},
		{Row{Unreadable: ErrNotFound}, Envelope},
		{Row{Body: whole, Unreadable: ErrNotFound}, Envelope},
	} {
		test.row.Version = 5
		var record int
		err := test.row.Decode(&record)
		var found *UnreadableError
		if (err == nil) != (test.reason == "") || (errors.As(err, &found) && (found.Reason != test.reason || found.Version != 5)) {
			t.Errorf("%+v: %v", test.row, err)
		}
	}
}

// A corrupt log row requires a whole read, because the rows of the group contain its changes.
func TestPolledFeed_CorruptLogRowRequiresWholeRead(t *testing.T) {
	service := &fixedService{rows: []Row{{Key: logKey("g", 8), Version: 8, Body: []byte{0xff}}}}
	reports := 0
	heads := NewHeads(service)
	heads.Unreadable = &Unreadable{OnUnreadable: func(*UnreadableError) { reports++ }}
	feed := PolledFeed{Heads: heads, Group: "g", Parts: []string{"g"}}
	for range 2 {
		if _, err := feed.since(t.Context(), 7); !errors.Is(err, ErrCompacted) {
			t.Fatalf("error %v, want ErrCompacted", err)
		}
	}
	if reports != 1 {
		t.Errorf("%d reports, want 1", reports)
	}
}

// fixedService returns the same rows from every List.
type fixedService struct {
	Service
	rows []Row
}

// List implements Service.
func (s *fixedService) List(context.Context, string, string, int) ([]Row, error) { return s.rows, nil }
