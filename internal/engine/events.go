package engine

import (
	"context"
	"encoding/json"
	"net/http"
)

// CacheEvents reads an engine's cache events until the context ends or the
// stream breaks. A gap in the sequence numbers shows that events were lost.
func (c *Client) CacheEvents(ctx context.Context, base string, handle func(CacheEvent)) error {
	response, err := c.send(ctx, http.MethodGet, base+"/cache/events", nil, nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	stream := newStream(response)
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		var parsed CacheEvent
		if err := json.Unmarshal(event.Data, &parsed); err != nil {
			return Error.Wrap(err)
		}
		handle(parsed)
	}
}
