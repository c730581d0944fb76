package route

import (
	"fmt"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/tenant"
)

func TestRegionFindings(t *testing.T) {
	config := &Config{
		Routes: []*Route{
			{Name: "any"}, {Name: "north", Regions: place.Regions{"north"}},
			{Name: "lost", Regions: place.Regions{"nowhere"}}, {Name: "none", Regions: place.Regions{}},
		},
		Tenants: []*tenant.Tenant{{Name: "free"}, {Name: "south", Regions: place.Regions{"south"}}},
	}
	found := config.RegionFindings(place.Map{"a": "north", "b": "south"})
	want := []string{
		`routes[lost].regions: no zone of node.zones lies in region "nowhere"`,
		`routes[none].regions: holds no region: requests are served nowhere`,
		`tenants[south].regions: has no region in common with routes[north].regions: requests are served nowhere`,
		`tenants[south].regions: has no region in common with routes[lost].regions: requests are served nowhere`,
	}
	if fmt.Sprint(found) != fmt.Sprint(want) {
		t.Errorf("findings are\n%v, want\n%v", found, want)
	}
}
