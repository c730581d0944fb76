package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/object"
)

// weightRetryDelay is the delay between attempts to fetch weights.
const weightRetryDelay = 200 * time.Millisecond

func (e *Engine) getOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.serving)
}

// putOrder applies a fenced order. If its fence is lower than that of the current order, it responds
// with 409 Conflict and the current order.
func (e *Engine) putOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, openai.TypeInvalidRequest, err.Error())
		return
	}
	e.mu.Lock()
	if order.Fence < e.serving.Fence {
		current := e.serving
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(current)
		return
	}
	previous := e.serving
	e.serving = order
	newVersion := order.Version != previous.Version
	missing := missingWeights(e.config.Model, previous, order)
	if newVersion && e.state == engine.StateReady {
		e.state = engine.StateLoading
	}
	e.lastLoadID++
	loadID := e.lastLoadID
	e.mu.Unlock()
	e.config.Recorder.Record(history.Event{
		Source: "engine/" + e.config.Replica, Type: history.EngineOrder, Replica: e.config.Replica,
		Revision: order.Fence, Value: order.Version, Detail: string(order.Role),
	})
	if newVersion {
		e.scheduler.mu.Lock()
		e.scheduler.cache.clear()
		e.scheduler.mu.Unlock()
	}
	go e.loadWeights(missing, loadID, newVersion)
	w.WriteHeader(http.StatusAccepted)
}

// missingWeights returns the keys of the weight objects that next needs and previous did not.
func missingWeights(model string, previous, next engine.Order) []string {
	var keys []string
	if next.Version != previous.Version {
		keys = append(keys, WeightKey(model, next.Version))
	}
	loaded := map[string]bool{}
	for _, adapter := range previous.Adapters {
		loaded[adapter] = true
	}
	for _, adapter := range next.Adapters {
		if !loaded[adapter] {
			keys = append(keys, WeightKey(model, "adapter-"+adapter))
		}
	}
	return keys
}

// WeightKey returns the weight store key of a version or an adapter.
func WeightKey(model, version string) string { return "weights/" + model + "/" + version }

// loadWeights fetches weights and marks the engine ready, unless a newer order arrived meanwhile.
func (e *Engine) loadWeights(keys []string, loadID int, restart bool) {
	if restart {
		e.awaitIdle()
	}
	for _, key := range keys {
		e.fetchWeights(key)
	}
	if restart {
		time.Sleep(e.config.Generation.LoadBase)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastLoadID == loadID && e.state == engine.StateLoading {
		e.state = engine.StateReady
	}
}

// awaitIdle waits until all attempts have finished, so that the old version can be unloaded.
func (e *Engine) awaitIdle() {
	const checkInterval = 20 * time.Millisecond
	for e.OpenAttempts() > 0 {
		time.Sleep(checkInterval)
	}
}

func (e *Engine) fetchWeights(key string) {
	if e.config.Weights == nil {
		return
	}
	const attempts = 200
	for range attempts {
		_, err := object.ReadAll(context.Background(), e.config.Weights, key)
		if err == nil {
			return
		}
		time.Sleep(weightRetryDelay)
	}
}
