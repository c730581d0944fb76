package place

import (
	"slices"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/findings"
)

func TestRegions_Intersect(t *testing.T) {
	north, both := Regions{"north"}, Regions{"north", "south"}
	for _, tt := range []struct {
		name       string
		a, b, want Regions
	}{
		{"any and any", nil, nil, nil},
		{"any and some", nil, north, north},
		{"some and any", north, nil, north},
		{"overlap", both, north, north},
		{"none in common", north, Regions{"south"}, Regions{}},
		{"none and any", Regions{}, nil, Regions{}},
	} {
		got := tt.a.Intersect(tt.b)
		if !slices.Equal(got, tt.want) || (got == nil) != (tt.want == nil) {
			t.Errorf("%s: got %#v, want %#v", tt.name, got, tt.want)
		}
	}
}

func TestRegions_Allows(t *testing.T) {
	if !Regions(nil).Allows("") || !Regions(nil).Allows("north") {
		t.Error("the nil set does not hold every region")
	}
	if (Regions{}).Allows("north") {
		t.Error("the empty set holds a region")
	}
	if (Regions{""}).Allows("") || (Regions{"north"}).Allows("") {
		t.Error("an unknown region is in a set")
	}
}

func TestMap_ValidateReportsPath(t *testing.T) {
	var list findings.List
	Map{"a": ""}.Validate(&list, "node.zones")
	if all := list.All(); len(all) != 1 || all[0].Path != "node.zones" {
		t.Errorf("findings %v, want one at node.zones", all)
	}
}
