package site

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/wheelhoist/wheelhoist/api/client"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/server"
)

// Operator returns a client for the node of a slot that uses the operator key.
func (s *Site) Operator(slot int) *client.Client {
	return client.New(s.Nodes()[slot].URL(), OperatorKey)
}

// Tenant returns a client for the node of a slot that uses the tenant key.
func (s *Site) Tenant(slot int) *client.Client {
	return client.New(s.Nodes()[slot].URL(), TenantKey)
}

// Pool returns the resource of the model pool of the profile with the given model version.
func (s *Site) Pool(version string) *v1.Resource {
	policy := s.config.Profile.Policy
	if s.config.Policy != nil {
		policy = *s.config.Policy
	}
	return newResource(v1.KindModelPool, s.config.Profile.Pool, v1.ModelPoolSpec{
		Model: s.config.Profile.Model, Version: version,
		Replicas:       v1.ReplicaRange{Min: s.config.Profile.ReplicaCount() / 2, Max: 4 * s.config.Profile.ReplicaCount()},
		MaxUnavailable: 2, Batch: policy,
	})
}

func newResource(kind v1.Kind, name string, spec any) *v1.Resource {
	encoded, err := json.Marshal(spec)
	if err != nil {
		// Specs are plain structs, whose encoding cannot fail.
		panic(err)
	}
	return &v1.Resource{APIVersion: v1.APIVersion, Kind: kind, Metadata: v1.Metadata{Name: name}, Spec: encoded}
}

// applyResources applies the initial resources of the site through the first node.
func (s *Site) applyResources(ctx context.Context) error {
	if err := s.await(ctx, s.Nodes()[0], s.ready); err != nil {
		return err
	}
	operator := s.Operator(0)
	resources := []*v1.Resource{
		newResource(v1.KindTenant, TenantName, v1.TenantSpec{Key: TenantKey, Weight: 1}),
		s.Pool(s.config.Profile.Version),
	}
	for _, resource := range resources {
		if _, err := operator.Put(ctx, resource, nil); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// ready reports whether a node accepts requests.
func (s *Site) ready(ctx context.Context, node *Node) bool {
	return probeReady(ctx, http.DefaultClient, node.URL())
}

// converged reports whether a node sees all running nodes, all replicas and the initial resources.
func (s *Site) converged(ctx context.Context, node *Node) bool {
	body, err := client.New(node.URL(), OperatorKey).Status(ctx)
	var status server.NodeStatus
	if err != nil || json.Unmarshal(body, &status) != nil {
		return false
	}
	alive, ready := 0, 0
	for _, other := range status.Members {
		if other.Status == server.MemberAlive {
			alive++
		}
	}
	for _, replica := range status.Replicas {
		if replica.State == engine.StateReady {
			ready++
		}
	}
	return alive >= len(s.URLs()) && ready >= s.config.Profile.ReplicaCount() && status.Revision >= initialResources
}

// DeclareRole applies a resource that assigns a role to replicas.
func (s *Site) DeclareRole(ctx context.Context, role string, replicas []string) error {
	_, err := s.Operator(0).Put(ctx, newResource(v1.KindMachineRole, "role-"+role, v1.MachineRoleSpec{
		Pool: s.config.Profile.Pool, Role: role, Machines: replicas,
	}), nil)
	return Error.Wrap(err)
}

// initialResources is the number of resources that applyResources applies, and so the lowest revision
// at which a node has all of them.
const initialResources = 2
