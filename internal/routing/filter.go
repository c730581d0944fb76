package routing

import (
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// Filter reports whether a replica may take a request.
type Filter func(*Replica, *Request) bool

// servesModel keeps replicas of the model that may take online work.
func servesModel(replica *Replica, request *Request) bool {
	return replica.Model == request.Model
}

func rightVersion(replica *Replica, request *Request) bool {
	return request.Version == "" || replica.Version == request.Version
}

func hasAdapter(replica *Replica, request *Request) bool {
	return request.Adapter == "" || slices.Contains(replica.Adapters, request.Adapter)
}

func takesOnline(replica *Replica, _ *Request) bool {
	return replica.Role != engine.RoleBatch
}

func ready(replica *Replica, _ *Request) bool { return replica.State == engine.StateReady }

func notEjected(replica *Replica, _ *Request) bool { return !replica.Ejected }

func notExcluded(replica *Replica, request *Request) bool { return !request.Exclude[replica.ID] }

// filters apply in this order.
var filters = []Filter{rightVersion, hasAdapter, takesOnline, ready, notEjected, notExcluded}

// candidates returns the replicas that pass all filters. The error tells apart
// a model nobody serves from one that nobody can serve now.
func candidates(snapshot *Snapshot, request *Request) ([]*Replica, error) {
	var passed []*Replica
	known := false
	for _, replica := range snapshot.Replicas {
		if !servesModel(replica, request) {
			continue
		}
		known = true
		if passesAll(replica, request) {
			passed = append(passed, replica)
		}
	}
	switch {
	case !known:
		return nil, ErrNoModel
	case len(passed) == 0:
		return nil, ErrNoReplica
	default:
		return passed, nil
	}
}

func passesAll(replica *Replica, request *Request) bool {
	for _, filter := range filters {
		if !filter(replica, request) {
			return false
		}
	}
	return true
}
