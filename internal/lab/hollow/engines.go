// Package hollow runs the control plane at size: hollow nodes, which are whole
// nodes without callers, share a few processes beside real node processes.
package hollow

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/lab/emulator"
)

// Error is the class of all errors of this package.
var Error = errs.Class("hollow")

// engines is one HTTP server that stands for many replicas: each has a path
// prefix of its own, with load reports and orders.
type engines struct {
	server *http.Server
	base   string

	mu     sync.Mutex
	orders map[string]engine.Order
}

func startEngines() (*engines, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e := &engines{base: "http://" + listener.Addr().String(), orders: map[string]engine.Order{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{replica}/load", e.load)
	mux.HandleFunc("PUT /{replica}/orders", e.obey)
	mux.HandleFunc("POST /{replica}"+openai.PathChatCompletions, e.pacedAnswer)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

func (e *engines) address(replica string) string { return e.base + "/" + replica }

func (e *engines) load(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left cannot be told.
	_ = json.NewEncoder(w).Encode(e.report(r.PathValue("replica")))
}

// report is a load that changes, as one does under traffic.
func (e *engines) report(replica string) engine.Load {
	e.mu.Lock()
	order, ordered := e.orders[replica]
	e.mu.Unlock()
	if !ordered {
		order = engine.Order{Version: "v1", Role: engine.RoleMixed}
	}
	now := time.Now()
	generation := emulator.Newer
	return engine.Load{
		State: engine.StateReady, Role: order.Role, Model: modelName, Version: order.Version, Fence: order.Fence,
		Generation: generation.Name, MaxSequences: generation.MaxSequences, KVTotalTokens: generation.KVTokens,
		RunningOnline: int(now.UnixMilli()/100) % generation.MaxSequences,
		StepMillis:    float64(generation.StepBase) / float64(time.Millisecond),
		PrefillPerSec: generation.PrefillTokensPerSecond, ReportedUnixMs: now.UnixMilli(),
	}
}

func (e *engines) obey(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.orders[r.PathValue("replica")].Fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders[r.PathValue("replica")] = order
	w.WriteHeader(http.StatusAccepted)
}

func (e *engines) close() { _ = e.server.Close() }
