package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// All nodes see the same locations. A node whose member row was written by an earlier version has
// no location.
func TestRoster_PlacesComeFromMemberRows(t *testing.T) {
	f := newPlacedFleet(t, []place.Place{{Zone: "n-a", Region: "north"}, {Zone: "s-a", Region: "south"}, {}})
	want := []place.Node{
		{ID: "n000", Place: place.Place{Zone: "n-a", Region: "north"}},
		{ID: "n001", Place: place.Place{Zone: "s-a", Region: "south"}},
		{ID: "n002"},
	}
	for i, roster := range f.rosters {
		if got := roster.Places(); !slices.Equal(got, want) {
			t.Errorf("places of node %d: %v, want %v", i, got, want)
		}
	}
}

// newPlacedFleet returns a fleet of nodes at the given locations.
func newPlacedFleet(t *testing.T, places []place.Place) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	f.shared, f.revisions = tabletest.New(), make([]uint64, len(places))
	for i, location := range places {
		session := NewSession(f.shared, fmt.Sprintf("n%03d", i), rosterTiming)
		session.Member = Member{Zone: location.Zone, Region: location.Region}
		f.rosters = append(f.rosters, NewRoster(f.shared, session, memberGroup, time.Now, rosterTiming))
		if err := session.Ensure(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	f.deliverChanges()
	return f
}
