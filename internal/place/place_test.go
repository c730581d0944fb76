package place

import (
	"slices"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/findings"
)

func TestRegions_And(t *testing.T) {
	north, both := Regions{"north"}, Regions{"north", "south"}
	for _, one := range []struct {
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
		got := one.a.And(one.b)
		if !slices.Equal(got, one.want) || (got == nil) != (one.want == nil) {
			t.Errorf("%s: %#v, want %#v", one.name, got, one.want)
		}
	}
}

func TestRegions_Allows(t *testing.T) {
	if !Regions(nil).Allows("") || !Regions(nil).Allows("north") {
		t.Error("the set of any region leaves one out")
	}
	if (Regions{}).Allows("north") {
		t.Error("the empty set has a region")
	}
	if (Regions{""}).Allows("") || (Regions{"north"}).Allows("") {
		t.Error("a region that is not known is in a set")
	}
}

func TestMap_ValidateNamesThePlace(t *testing.T) {
	var found findings.List
	Map{"a": ""}.Validate(&found, "node.zones")
	if all := found.All(); len(all) != 1 || all[0].Path != "node.zones" {
		t.Errorf("findings %v", all)
	}
}
