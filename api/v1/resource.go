// Package v1 defines the resource API, version 1. Operators declare the desired state as resources and
// read back where it is in force.
package v1

import (
	"encoding/json"
	"regexp"

	"github.com/wheelhoist/wheelhoist/internal/findings"
)

// APIVersion is the value of the apiVersion field of every resource.
const APIVersion = "wheelhoist/v1"

// Kind names a kind of resource.
type Kind string

// Kinds of resources.
const (
	KindModelPool   Kind = "ModelPool"
	KindMachineRole Kind = "MachineRole"
	KindTenant      Kind = "Tenant"
	KindBatchJob    Kind = "BatchJob"
	KindSitePolicy  Kind = "SitePolicy"
	// KindEvacuation resources have the name of the zone to evacuate.
	KindEvacuation Kind = "Evacuation"
)

// Kinds lists all kinds.
var Kinds = []Kind{KindModelPool, KindMachineRole, KindTenant, KindBatchJob, KindSitePolicy, KindEvacuation}

// Known reports whether k is one of Kinds.
func (k Kind) Known() bool {
	for _, kind := range Kinds {
		if k == kind {
			return true
		}
	}
	return false
}

// Metadata identifies a resource.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion is the configuration revision that last changed the resource. A write that
	// specifies it fails if the resource has changed since.
	ResourceVersion uint64 `json:"resourceVersion,omitempty"`
}

// Resource is a declared object of any kind.
type Resource struct {
	APIVersion string          `json:"apiVersion"`
	Kind       Kind            `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec"`
	Status     *Status         `json:"status,omitempty"`
}

// Status reports on how many nodes a resource is in force.
type Status struct {
	// Revision is the configuration revision that the counts refer to.
	Revision uint64 `json:"revision"`
	// InForce is the number of nodes that have applied the revision, Expected the number that must.
	InForce  int `json:"inForce"`
	Expected int `json:"expected"`
	// Laggards lists the nodes that must apply the revision and have not yet.
	Laggards []string `json:"laggards,omitempty"`
	// Batch is set for resources of kind BatchJob.
	Batch *BatchJobStatus `json:"batch,omitempty"`
}

// Accepted reports whether every node that must apply the revision has done so.
func (s *Status) Accepted() bool { return s.InForce >= s.Expected }

// List is the response of a list request.
type List struct {
	APIVersion string `json:"apiVersion"`
	// ResourceVersion is the revision of the list. A watch that starts from it misses no change.
	ResourceVersion uint64     `json:"resourceVersion"`
	Items           []Resource `json:"items"`
}

// EventType is the kind of change that an Event reports.
type EventType string

// Event types of a watch.
const (
	EventPut     EventType = "PUT"
	EventDeleted EventType = "DELETED"
	EventTooOld  EventType = "TOO_OLD"
)

// Event is one line of a watch response.
type Event struct {
	Type            EventType `json:"type"`
	ResourceVersion uint64    `json:"resourceVersion"`
	Resource        *Resource `json:"resource,omitempty"`
}

// Spec is the typed specification of a resource.
type Spec interface {
	// Validate adds findings about the specification to found, with paths below "spec".
	Validate(found *findings.List)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,98}[a-z0-9])?$`)

// NewSpec returns an empty specification of a kind, or nil for an unknown kind.
func NewSpec(kind Kind) Spec {
	switch kind {
	case KindModelPool:
		return &ModelPoolSpec{}
	case KindMachineRole:
		return &MachineRoleSpec{}
	case KindTenant:
		return &TenantSpec{}
	case KindBatchJob:
		return &BatchJobSpec{}
	case KindSitePolicy:
		return &SitePolicySpec{}
	case KindEvacuation:
		return &EvacuationSpec{}
	default:
		return nil
	}
}

// Validate checks the resource and returns its decoded specification and all findings, with paths from
// the root of the resource. The specification is nil if the kind is unknown.
func (r *Resource) Validate() (Spec, []findings.Finding) {
	var found findings.List
	if r.APIVersion != APIVersion {
		found.Add("apiVersion", "must be %q", APIVersion)
	}
	if !namePattern.MatchString(r.Metadata.Name) {
		found.Add("metadata.name", "must be 1 to 100 of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit")
	}
	spec := NewSpec(r.Kind)
	if spec == nil {
		found.Add("kind", "unknown kind %q", r.Kind)
		return nil, found.All()
	}
	source := r.Spec
	if len(source) == 0 {
		source = json.RawMessage("{}")
	}
	for _, finding := range findings.DecodeJSON(source, spec) {
		if finding.Path == "" {
			finding.Path = "spec"
		} else {
			finding.Path = "spec." + finding.Path
		}
		found.Append(finding)
	}
	spec.Validate(&found)
	return spec, found.All()
}
