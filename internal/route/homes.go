package route

import (
	"github.com/wheelhoist/wheelhoist/internal/findings"
	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Homes are the regions where requests may be served and kept, as a configuration
// declares them: those of a route and those of a tenant bind together.

// PlaceFindings reports what is wrong with the homes of the configuration, which comes
// into force all the same: regions without a zone, and routes and tenants whose requests
// may be served nowhere.
func (c *Config) PlaceFindings(zones place.Map) []findings.Finding {
	var found findings.List
	for _, target := range c.Routes {
		homeFindings(&found, "routes["+target.Name+"].regions", target.Regions, zones)
	}
	for _, caller := range c.Tenants {
		path := "tenants[" + caller.Name + "].regions"
		homeFindings(&found, path, caller.Regions, zones)
		c.disjointFindings(&found, path, caller.Regions)
	}
	return found.All()
}

// homeFindings reports regions that have no zone, and homes without any region.
func homeFindings(found *findings.List, path string, homes place.Regions, zones place.Map) {
	if homes != nil && len(homes) == 0 {
		found.Add(path, "holds no region: requests are served nowhere")
	}
	for _, region := range homes {
		if !zones.HasRegion(region) {
			found.Add(path, "no zone of node.zones lies in region %q", region)
		}
	}
}

// disjointFindings reports the routes that have no region in common with a tenant.
func (c *Config) disjointFindings(found *findings.List, path string, homes place.Regions) {
	if len(homes) == 0 {
		return
	}
	for _, target := range c.Routes {
		if len(target.Regions) > 0 && len(homes.Intersect(target.Regions)) == 0 {
			found.Add(path, "has no region in common with routes[%s].regions: requests are served nowhere", target.Name)
		}
	}
}
