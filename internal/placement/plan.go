// Package placement rolls out the declared versions, adapters and roles to the replicas. Planning is a
// pure function of what is declared and what the replicas report. The controller that holds the lease
// of a pool executes the plan by fenced orders.
package placement

import (
	"slices"
	"sort"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// Replica is the planner's view of a replica.
type Replica struct {
	ID         string
	Address    string
	Zone       string
	Pool       string
	Generation string
	State      engine.State
	Reported   bool
	Version    string
	Adapters   []string
	Role       engine.Role
	Fence      uint64
	// Ordered is the content of an order that was sent and does not appear in a report yet.
	Ordered *Content
}

// Content is what a replica serves.
type Content struct {
	Version  string
	Adapters []string
	Role     engine.Role
}

func (c Content) equal(other Content) bool {
	return c.Version == other.Version && c.Role == other.Role && slices.Equal(c.Adapters, other.Adapters)
}

// Action is an order to send.
type Action struct {
	Replica string
	Address string
	Content Content
	// Reload is set if the replica cannot serve while it executes the order.
	Reload bool
}

// Pool is a declared pool with its name.
type Pool struct {
	Name string
	Spec *v1.ModelPoolSpec
}

// Plan returns the orders to send now for a pool.
//
// At most MaxUnavailable replicas load concurrently, and no order reduces the number of serving
// replicas below Replicas.Min. Replicas that are not ready come first, then those that need no reload,
// then the older generations, so that the newer ones serve as long as possible.
func Plan(pool Pool, roles []*v1.MachineRoleSpec, replicas []Replica) []Action {
	loading, serving := 0, 0
	var pending []Action
	byID := map[string]Replica{}
	for _, replica := range replicas {
		if replica.Pool != pool.Name || replica.State == engine.StateLeaving || !replica.Reported {
			continue
		}
		byID[replica.ID] = replica
		desired := desiredContent(pool, roles, replica)
		switch {
		case replica.State == engine.StateLoading || reloadPending(replica):
			loading++
		case replica.State == engine.StateReady:
			serving++
		}
		if replica.Ordered != nil && replica.Ordered.equal(desired) {
			continue
		}
		if !currentContent(replica).equal(desired) {
			reload := replica.Version != desired.Version
			pending = append(pending, Action{Replica: replica.ID, Address: replica.Address, Content: desired, Reload: reload})
		}
	}
	sort.Slice(pending, func(i, j int) bool { return less(pending[i], pending[j], byID) })
	return admit(pool, pending, byID, loading, serving)
}

func currentContent(replica Replica) Content {
	return Content{Version: replica.Version, Adapters: replica.Adapters, Role: replica.Role}
}

// reloadPending reports whether a pending order makes the replica reload, so that it cannot serve.
func reloadPending(replica Replica) bool {
	return replica.Ordered != nil && replica.Ordered.Version != replica.Version
}

// admit returns the pending actions that the rollout limits allow.
func admit(pool Pool, pending []Action, byID map[string]Replica, loading, serving int) []Action {
	limit := max(1, pool.Spec.MaxUnavailable)
	var actions []Action
	for _, action := range pending {
		if !action.Reload {
			actions = append(actions, action)
			continue
		}
		ready := byID[action.Replica].State == engine.StateReady
		if loading >= limit || (ready && serving-1 < pool.Spec.Replicas.Min) {
			continue
		}
		loading++
		if ready {
			serving--
		}
		actions = append(actions, action)
	}
	return actions
}

func less(a, b Action, byID map[string]Replica) bool {
	replicaA, replicaB := byID[a.Replica], byID[b.Replica]
	readyA, readyB := replicaA.State == engine.StateReady, replicaB.State == engine.StateReady
	if readyA != readyB {
		return !readyA
	}
	if a.Reload != b.Reload {
		return !a.Reload
	}
	if replicaA.Generation != replicaB.Generation {
		// Names of generations sort in reverse order of age: "older" after "newer".
		return replicaA.Generation > replicaB.Generation
	}
	return a.Replica < b.Replica
}

func desiredContent(pool Pool, roles []*v1.MachineRoleSpec, replica Replica) Content {
	desired := Content{Version: pool.Spec.Version, Adapters: pool.Spec.Adapters, Role: engine.RoleMixed}
	for _, role := range roles {
		if selects(role, pool.Name, replica) {
			desired.Role = engine.Role(role.Role)
		}
	}
	allowed := pool.Spec.Generations
	if len(allowed) > 0 && !slices.Contains(allowed, replica.Generation) {
		desired.Role = engine.RoleBatch
	}
	return desired
}

func selects(role *v1.MachineRoleSpec, pool string, replica Replica) bool {
	if role.Pool != pool {
		return false
	}
	if len(role.Machines) > 0 && !slices.Contains(role.Machines, replica.ID) {
		return false
	}
	if role.Generation != "" && role.Generation != replica.Generation {
		return false
	}
	return role.Zone == "" || role.Zone == replica.Zone
}
