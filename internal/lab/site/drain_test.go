package site_test

import (
	"context"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"

	"github.com/wheelhoist/wheelhoist/internal/lab/load"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
)

// A batch completes while one of the nodes drains with an open stream. Guards against a draining node
// that releases its jobs, but keeps its session until the last stream ends: until then no other node
// takes over the items that the job row assigns to it, nor the items of lost nodes for which it is
// preferred.
func TestSite_NodeThatDrainsHoldsUpNoItems(t *testing.T) {
	testSite := start(t, 3)
	ctx := t.Context()
	draining := sdk(testSite, 0)
	stream := draining.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: profile.Urnik.Model, MaxTokens: openai.Int(8000), Seed: openai.Int(3),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hours of crew 7")},
	})
	if !stream.Next() {
		t.Fatalf("the stream does not begin: %v", stream.Err())
	}
	defer func() { _ = stream.Close() }()
	streamEnded, events := make(chan struct{}), 1
	go func() {
		defer close(streamEnded)
		for stream.Next() {
			events++
		}
	}()
	batch := submitBatch(ctx, t, sdk(testSite, 1), load.Items(profile.Urnik.Batch, 5, "drain", 400, false))
	time.Sleep(300 * time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- testSite.Nodes()[0].Drain(context.WithoutCancel(ctx)) }()
	client := sdk(testSite, 2)
	for batch.Status != openai.BatchStatusCompleted {
		time.Sleep(50 * time.Millisecond)
		var err error
		if batch, err = client.Batches.Get(ctx, batch.ID); err != nil {
			t.Fatalf("the batch cannot be read at another node: %v", err)
		}
		select {
		case <-streamEnded:
			t.Fatalf("batch is %s, %+v, although the stream at the draining node has ended after %d events: %v", batch.Status, batch.RequestCounts, events, stream.Err())
		default:
		}
	}
	_ = stream.Close()
	<-drained
}
