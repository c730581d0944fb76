// Package place describes where nodes and replicas are and in which regions a request may be served.
package place

import (
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/findings"
)

// Place is the zone and region of a machine. An empty field is unknown.
type Place struct {
	Zone   string
	Region string
}

// Map maps each zone to its region. The zero value is empty.
type Map map[string]string

// Region returns the region of a zone; empty if unknown.
func (m Map) Region(zone string) string { return m[zone] }

// HasRegion reports whether any zone is in a region.
func (m Map) HasRegion(region string) bool {
	for _, r := range m {
		if r == region {
			return true
		}
	}
	return false
}

// Validate adds a finding for each invalid entry, under the settings path of the map.
func (m Map) Validate(list *findings.List, path string) {
	for zone, region := range m {
		if zone == "" || region == "" {
			list.Add(path, "zone %q lies in region %q: both need a name", zone, region)
		}
	}
}

// Regions is a set of regions. A nil set contains every region, an empty one contains none.
type Regions []string

// Allows reports whether a region is in the set. An unknown (empty) region is only in the nil set.
func (r Regions) Allows(region string) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

// Intersect returns the regions that are in both sets.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case r == nil:
		return other
	case other == nil:
		return r
	}
	common := Regions{}
	for _, region := range r {
		if slices.Contains(other, region) {
			common = append(common, region)
		}
	}
	return common
}

// Node is a node of the fleet and its place.
type Node struct {
	ID string
	Place
}

// Distance classifies how far apart two places are.
type Distance uint8

const (
	// SameZone is the distance within a zone.
	SameZone Distance = iota
	// SameRegion is the distance between zones of a region, or between zones if either region is
	// unknown.
	SameRegion
	// OtherRegion is the distance between regions.
	OtherRegion
)

// String returns the name used in metrics.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "zone"
	case SameRegion:
		return "region"
	default:
		return "elsewhere"
	}
}

// DistanceTo returns the distance between two places.
func (p Place) DistanceTo(other Place) Distance {
	switch {
	case p.Region != "" && other.Region != "" && p.Region != other.Region:
		return OtherRegion
	case p.Zone != other.Zone:
		return SameRegion
	default:
		return SameZone
	}
}
