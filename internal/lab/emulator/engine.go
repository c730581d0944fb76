package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/object"
)

const (
	loadSampleInterval = 50 * time.Millisecond
	maxRequestBytes    = 4 << 20
)

// EngineConfig configures an emulated engine.
type EngineConfig struct {
	Replica    string
	Model      string
	Version    string
	Adapters   []string
	Generation Generation
	// LoadLag is the minimum age of the load reports that the engine serves.
	LoadLag time.Duration
	// Weights is the weight store. If nil, no weights are fetched.
	Weights  object.Store
	Recorder *history.Recorder
	Seed     uint64
}

// Engine is an emulated inference engine, one per replica.
type Engine struct {
	config    EngineConfig
	scheduler *scheduler
	mux       *http.ServeMux
	started   time.Time

	mu      sync.Mutex
	state   engine.State
	serving engine.Order
	reports []engine.Load
	// lastLoadID identifies the most recent weight load; earlier loads must not change state.
	lastLoadID int
}

// NewEngine returns an engine that serves its configured version. Call Run to execute steps.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{
		config:  config,
		started: time.Now(),
		state:   engine.StateReady,
		serving: engine.Order{Version: config.Version, Adapters: config.Adapters, Role: engine.RoleMixed},
	}
	e.scheduler = newScheduler(config.Replica, config.Generation, config.Recorder)
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+openai.PathChatCompletions, e.complete)
	e.mux.HandleFunc("POST "+openai.PathCompletions, e.complete)
	e.mux.HandleFunc("GET /v1/requests/{id}", e.getRequestStatus)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.resume)
	e.mux.HandleFunc("POST /v1/requests/{id}/abort", e.abort)
	e.mux.HandleFunc("GET /load", e.getLoad)
	e.mux.HandleFunc("GET /orders", e.getOrder)
	e.mux.HandleFunc("PUT /orders", e.putOrder)
	return e
}

// Handler returns the HTTP handler of the engine protocol.
func (e *Engine) Handler() http.Handler { return e.mux }

// Run executes steps and samples the load until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	go e.sampleLoad(ctx)
	e.scheduler.run(ctx)
}

// MarkLeaving makes the engine report that it is leaving.
func (e *Engine) MarkLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = engine.StateLeaving
}

// SetSlowdown multiplies the duration of all following steps by factor; 1 is normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	e.scheduler.slowdown = factor
}

// Totals returns the engine's work counters.
func (e *Engine) Totals() EngineTotals {
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	return e.scheduler.totals
}

// Slots returns the maximum number of sequences that run concurrently.
func (e *Engine) Slots() int { return e.config.Generation.MaxSequences }

// OpenAttempts returns the number of queued and running attempts.
func (e *Engine) OpenAttempts() int {
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	return len(e.scheduler.waiting) + len(e.scheduler.running)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	request, err := openai.ParseCompletion(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, openai.TypeInvalidRequest, err.Error())
		return
	}
	seq, reason := e.newSequence(r.Header.Get(engine.HeaderRequestID), &request)
	if reason != "" {
		writeError(w, http.StatusServiceUnavailable, openai.TypeOverloaded, reason)
		return
	}
	seq.readers = 1
	if !e.scheduler.add(seq) {
		writeError(w, http.StatusTooManyRequests, openai.TypeOverloaded, "queue full or request id in use")
		return
	}
	e.serveSequence(w, r, seq, request.Stream, r.URL.Path == openai.PathChatCompletions, 0)
}

// newSequence returns the sequence for a request, or the reason why the request is refused.
func (e *Engine) newSequence(id string, request *openai.CompletionRequest) (*sequence, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" {
		return nil, "request id missing"
	}
	if e.state == engine.StateLoading {
		return nil, "loading weights"
	}
	model, adapter, _ := strings.Cut(request.Model, ":")
	if model != e.config.Model || !e.hasAdapter(adapter) {
		return nil, "model not served here"
	}
	version := e.serving.Version
	prompt := request.PromptText()
	return &sequence{
		id: id, priority: engine.Priority(request.Priority), prompt: prompt, seed: request.Seed,
		maxTokens: request.Limit(), version: version,
		blocks: engine.PrefixBlocks(prompt), promptWords: max(1, len(strings.Fields(prompt))),
		answer: NewAnswer(request.Model, version, prompt, request.Seed, request.Limit()),
	}, ""
}

func (e *Engine) hasAdapter(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, loaded := range e.serving.Adapters {
		if loaded == adapter {
			return true
		}
	}
	return false
}

func writeError(w http.ResponseWriter, status int, kind openai.ErrorType, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(openai.ErrorAnswer{Error: openai.ErrorDetail{Message: message, Type: kind}})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (e *Engine) getRequestStatus(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.scheduler.mu.Lock()
	seq, ok := e.scheduler.byID[id]
	status := engine.RequestStatus{ID: id, State: engine.RequestUnknown}
	if ok {
		status = seq.status()
	}
	e.scheduler.mu.Unlock()
	writeJSON(w, status)
}

func (e *Engine) abort(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, e.scheduler.abort(r.PathValue("id")))
}

// sampleLoad records load reports periodically and keeps those that laggedLoad still needs.
func (e *Engine) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			report := e.measureLoad(now)
			e.mu.Lock()
			e.reports = append(e.reports, report)
			for len(e.reports) > 1 && e.reports[1].ReportedUnixMs <= now.Add(-e.config.LoadLag).UnixMilli() {
				e.reports = e.reports[1:]
			}
			e.mu.Unlock()
		}
	}
}

func (e *Engine) measureLoad(now time.Time) engine.Load {
	e.mu.Lock()
	load := engine.Load{
		State: e.state, Role: e.serving.Role, Model: e.config.Model,
		Version: e.serving.Version, Adapters: e.serving.Adapters, Fence: e.serving.Fence,
		Generation: e.config.Generation.Name, MaxSequences: e.config.Generation.MaxSequences,
		KVTotalTokens: e.config.Generation.KVTokens,
		PrefillRate:   e.config.Generation.PrefillTokensPerSecond, ReportedUnixMs: now.UnixMilli(),
		StartedUnixMs: e.started.UnixMilli(),
	}
	e.mu.Unlock()
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	for _, seq := range e.scheduler.running {
		if seq.priority == engine.PriorityOnline {
			load.RunningOnline++
		} else {
			load.RunningBatch++
		}
	}
	for _, seq := range e.scheduler.waiting {
		if seq.priority == engine.PriorityOnline {
			load.WaitingOnline++
		} else {
			load.WaitingBatch++
		}
	}
	load.KVUsedTokens = e.scheduler.kvUsed()
	load.StepMillis = float64(e.scheduler.stepTime) / float64(time.Millisecond)
	return load
}

// laggedLoad returns the newest report that is at least LoadLag old, the oldest one if none is, or
// the current load before the first sample.
func (e *Engine) laggedLoad() engine.Load {
	e.mu.Lock()
	if len(e.reports) > 0 {
		report := e.reports[0]
		e.mu.Unlock()
		return report
	}
	e.mu.Unlock()
	return e.measureLoad(time.Now())
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.laggedLoad())
}

func (e *Engine) loadHeader() string {
	report, err := json.Marshal(e.laggedLoad())
	if err != nil {
		return ""
	}
	return "JSON " + string(report)
}
