package route

import (
	"github.com/wheelhoist/wheelhoist/internal/findings"
	"github.com/wheelhoist/wheelhoist/internal/place"
)

// The regions of a route and of a tenant restrict where requests are served and stored. A request
// is served only in regions that both allow.

// RegionFindings reports faults in the regions of the configuration that do not keep it from taking
// effect: regions without a zone, and routes and tenants whose requests cannot be served anywhere.
func (c *Config) RegionFindings(zones place.Map) []findings.Finding {
	var found findings.List
	for _, route := range c.Routes {
		regionFindings(&found, "routes["+route.Name+"].regions", route.Regions, zones)
	}
	for _, tenant := range c.Tenants {
		path := "tenants[" + tenant.Name + "].regions"
		regionFindings(&found, path, tenant.Regions, zones)
		c.disjointFindings(&found, path, tenant.Regions)
	}
	return found.All()
}

// regionFindings reports regions that have no zone, and empty lists of regions.
func regionFindings(found *findings.List, path string, allowed place.Regions, zones place.Map) {
	if allowed != nil && len(allowed) == 0 {
		found.Add(path, "holds no region: requests are served nowhere")
	}
	for _, region := range allowed {
		if !zones.HasRegion(region) {
			found.Add(path, "no zone of node.zones lies in region %q", region)
		}
	}
}

// disjointFindings reports the routes that share no region with a tenant.
func (c *Config) disjointFindings(found *findings.List, path string, allowed place.Regions) {
	if len(allowed) == 0 {
		return
	}
	for _, route := range c.Routes {
		if len(route.Regions) > 0 && len(allowed.Intersect(route.Regions)) == 0 {
			found.Add(path, "has no region in common with routes[%s].regions: requests are served nowhere", route.Name)
		}
	}
}
