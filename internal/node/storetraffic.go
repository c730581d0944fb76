package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform"
)

// storeTrafficInterval is the time between two log lines about the traffic with the store.
const storeTrafficInterval = 20 * time.Second

// storeTraffic sums up the calls to the store by kind. It is safe for concurrent use; the zero value is
// empty.
type storeTraffic struct {
	mu    sync.Mutex
	kinds map[platform.CallKind]storeSums
}

// storeSums are the sums of one kind of calls. Sent and received are in bytes.
type storeSums struct{ calls, sent, received int }

func (t *storeTraffic) add(call platform.CallKind, result platform.CallResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kinds == nil {
		t.kinds = map[platform.CallKind]storeSums{}
	}
	sums := t.kinds[call]
	sums.calls++
	sums.sent += result.Sent
	sums.received += result.Received
	t.kinds[call] = sums
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (t *storeTraffic) MarshalZerologObject(event *zerolog.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for call, sums := range t.kinds {
		event.Dict(call.Path+" "+call.Table, zerolog.Dict().Int("calls", sums.calls).Int("sent", sums.sent).Int("received", sums.received))
	}
}

// runStoreTrafficLog logs the traffic with the store since the start until the context ends.
func (g *Gateway) runStoreTrafficLog(ctx context.Context) {
	for retry.Sleep(ctx, storeTrafficInterval) {
		g.log.Info().EmbedObject(&g.metrics.traffic).Int("nodes", g.roster.Count()).Uint64("divisions", g.replicas.Divisions()).Msg("traffic with the store since the start")
	}
}
