package emulator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// kvTokensPerSecond is the rate at which a KV cache is transferred.
const kvTokensPerSecond = 200_000

// kvExport is the emulated content of a KV cache: enough to go on with the
// same answer elsewhere.
type kvExport struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	Seed      int64  `json:"seed"`
	MaxTokens int    `json:"max_tokens"`
	Generated int    `json:"generated"`
	Priority  int    `json:"priority"`
}

// exportKV stops a running attempt and hands its KV cache out. The attempt
// ends here as aborted; whoever imports it goes on from its last token.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.scheduler.mu.Lock()
	seq, ok := e.scheduler.byID[r.PathValue("id")]
	if !ok || seq.state != engine.RequestRunning {
		e.scheduler.mu.Unlock()
		refuse(w, http.StatusNotFound, openai.TypeNotFound, "request id not running")
		return
	}
	export := kvExport{
		ID: seq.id, Model: e.config.Model, Version: seq.version, Prompt: seq.prompt, Seed: seq.seed,
		MaxTokens: seq.maxTokens, Generated: seq.generated, Priority: int(seq.priority),
	}
	transfer := kvTransferTime(seq.promptWords + seq.generated)
	e.scheduler.giveUp(seq, time.Now())
	e.scheduler.mu.Unlock()
	time.Sleep(transfer)
	writeJSON(w, export)
}

func kvTransferTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / kvTokensPerSecond * float64(time.Second))
}

// importKV goes on with an exported attempt under the id in X-Request-Id. Its
// output is read with the resume call.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var export kvExport
	if err := json.NewDecoder(r.Body).Decode(&export); err != nil {
		refuse(w, http.StatusBadRequest, openai.TypeInvalidRequest, err.Error())
		return
	}
	e.mu.Lock()
	accepts := e.state == engine.StateReady && export.Version == e.serving.Version
	e.mu.Unlock()
	if !accepts {
		refuse(w, http.StatusServiceUnavailable, openai.TypeOverloaded, "version not served here")
		return
	}
	seq := &sequence{
		id:       attemptID(r.Header.Get(engine.HeaderRequestID), export.ID),
		priority: engine.Priority(export.Priority), prompt: export.Prompt, seed: export.Seed,
		maxTokens: export.MaxTokens, version: export.Version,
		blocks:      engine.PrefixBlocks(export.Prompt),
		promptWords: max(1, len(strings.Fields(export.Prompt))),
		answer:      NewAnswer(export.Model, export.Version, export.Prompt, export.Seed, export.MaxTokens),
		generated:   export.Generated,
		detached:    time.Now(),
	}
	// The imported cache counts as computed: only the last token is recomputed.
	seq.imported = true
	if !e.scheduler.add(seq) {
		refuse(w, http.StatusTooManyRequests, openai.TypeOverloaded, "queue full or request id in use")
		return
	}
	writeJSON(w, engine.RequestStatus{ID: seq.id, State: engine.RequestQueued, Tokens: seq.generated})
}
