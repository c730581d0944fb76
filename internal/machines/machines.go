// Package machines reads the platform's list of machines.
//
// The list lags behind the actual state: use it as a seed for membership and as a hint that a
// machine is leaving, never as proof that a machine is alive.
package machines

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("machines")

// State is the platform's view of a machine.
type State string

const (
	// Live machines are in service.
	Live State = "live"
	// Leaving machines are about to stop.
	Leaving State = "leaving"
)

// Role is what runs on a machine.
type Role string

const (
	// RoleNode is a machine that runs a wheelhoist node.
	RoleNode Role = "node"
	// RoleEngine is a machine that runs a model engine (a replica).
	RoleEngine Role = "engine"
)

// Machine is an entry of the list.
type Machine struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	Zone       string `json:"zone"`
	Region     string `json:"region"`
	Generation string `json:"generation"`
	State      State  `json:"state"`
	// Address is the base URL of an engine, or host:port of a node's peer endpoint.
	Address string `json:"address"`
	// Pool is the model pool that the machine of an engine was rented for.
	Pool string `json:"pool,omitempty"`
}

// List reads the platform's machine list.
type List interface {
	Machines(ctx context.Context) ([]Machine, error)
}

// HTTPList reads the list as a JSON array from a URL.
//
// It sends If-None-Match (RFC 9110), so an unchanged list costs only a few bytes. It is safe for
// concurrent use.
type HTTPList struct {
	URL    string
	Client *http.Client

	mu   sync.Mutex
	etag string
	last []Machine
}

var _ List = (*HTTPList)(nil)

// Machines implements List.
func (l *HTTPList) Machines(ctx context.Context) ([]Machine, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.URL, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.etag != "" {
		request.Header.Set("If-None-Match", l.etag)
	}
	response, err := l.Client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return l.last, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, Error.New("machine list answered %s", response.Status)
	}
	var machines []Machine
	if err := json.NewDecoder(response.Body).Decode(&machines); err != nil {
		return nil, Error.Wrap(err)
	}
	l.etag, l.last = response.Header.Get("ETag"), machines
	return machines, nil
}
