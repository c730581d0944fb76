package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/internal/machines"
)

// MachineList emulates the platform's machine list. Changes become visible only after a lag.
type MachineList struct {
	// Faults applies to all calls.
	Faults *Faults

	mu      sync.Mutex
	lag     time.Duration
	current map[string]machines.Machine
	pending []pendingChange
}

type pendingChange struct {
	visibleAt time.Time
	machine   machines.Machine
	removed   bool
}

// NewMachineList returns an empty list whose changes become visible after lag.
func NewMachineList(seed uint64, lag time.Duration) *MachineList {
	return &MachineList{
		Faults: NewFaults(seed, func(w http.ResponseWriter) {
			http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		}),
		lag:     lag,
		current: map[string]machines.Machine{},
	}
}

// Add adds or replaces a machine without the lag.
func (l *MachineList) Add(machine machines.Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[machine.ID] = machine
}

// Set adds or replaces a machine; the change becomes visible after the lag.
func (l *MachineList) Set(machine machines.Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{visibleAt: time.Now().Add(l.lag), machine: machine})
}

// Remove removes a machine; the change becomes visible after the lag.
func (l *MachineList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change := pendingChange{visibleAt: time.Now().Add(l.lag), removed: true}
	change.machine.ID = id
	l.pending = append(l.pending, change)
}

// Handler returns the HTTP handler that serves the list as a JSON array with an ETag.
func (l *MachineList) Handler() http.Handler {
	return l.Faults.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := json.Marshal(l.visibleMachines(time.Now()))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}))
}

func (l *MachineList) visibleMachines(now time.Time) []machines.Machine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var pending []pendingChange
	for _, change := range l.pending {
		switch {
		case change.visibleAt.After(now):
			pending = append(pending, change)
		case change.removed:
			delete(l.current, change.machine.ID)
		default:
			l.current[change.machine.ID] = change.machine
		}
	}
	l.pending = pending
	list := make([]machines.Machine, 0, len(l.current))
	for _, machine := range l.current {
		list = append(list, machine)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
