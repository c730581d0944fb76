package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// CacheEvents reads an engine's cache events until the context ends or the
// stream breaks. A gap in the sequence numbers shows that events were lost.
func (c *Client) CacheEvents(ctx context.Context, base string, handle func(CacheEvent)) error {
	stream, err := c.subscribe(ctx, base+"/cache/events")
	if err != nil {
		return err
	}
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

// WatchLoad reads an engine's load reports as a stream (out-of-band reports in
// the terms of ORCA) until the context ends or the stream breaks. The engine
// sends a report when it has changed, at most once an interval, and at least
// once in MaxReportGap.
func (c *Client) WatchLoad(ctx context.Context, base string, interval time.Duration, handle func(Load)) error {
	address := base + "/load?watch=" + interval.String()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// An engine that hangs keeps the connection open and says nothing.
	silence := time.AfterFunc(2*MaxReportGap, cancel)
	defer silence.Stop()
	stream, err := c.subscribe(ctx, address)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		silence.Reset(2 * MaxReportGap)
		var load Load
		if err := json.Unmarshal(event.Data, &load); err != nil {
			return Error.Wrap(err)
		}
		handle(load)
	}
}

// MaxReportGap is the longest time between two reports of a load stream.
const MaxReportGap = time.Second

// subscribe opens a stream of events that belongs to control traffic.
func (c *Client) subscribe(ctx context.Context, address string) (*Stream, error) {
	response, err := sendWith(ctx, c.watch, http.MethodGet, address, nil, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusal(response)
	}
	return newStream(response), nil
}
