package emulator

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

const cacheFeedBuffer = 256

// cacheFeed publishes cache events late and with gaps. A sequence number is
// used up by a lost event, so that readers see the gap.
type cacheFeed struct {
	lag  time.Duration
	loss float64

	mu       sync.Mutex
	random   *rand.Rand
	sequence uint64
	readers  map[chan engine.CacheEvent]bool
}

func newCacheFeed(lag time.Duration, loss float64, seed uint64) *cacheFeed {
	return &cacheFeed{
		lag: lag, loss: loss,
		random:  rand.New(rand.NewPCG(seed, 2)),
		readers: map[chan engine.CacheEvent]bool{},
	}
}

func (f *cacheFeed) publish(stored, removed []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	if f.random.Float64() < f.loss {
		return
	}
	event := engine.CacheEvent{Sequence: f.sequence, Stored: stored, Removed: removed}
	for reader := range f.readers {
		select {
		case reader <- event:
		default:
		}
	}
}

func (f *cacheFeed) serve(w http.ResponseWriter, r *http.Request) {
	events := make(chan engine.CacheEvent, cacheFeedBuffer)
	f.mu.Lock()
	f.readers[events] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.readers, events)
		f.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case event := <-events:
			time.Sleep(f.lag)
			if f.send(w, event) != nil || flusher.Flush() != nil {
				return
			}
		}
	}
}

func (f *cacheFeed) send(w http.ResponseWriter, event engine.CacheEvent) error {
	body, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = w.Write(append(append([]byte("data: "), body...), '\n', '\n'))
	return err
}
