package site_test

import (
	"context"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"

	"github.com/wheelhoist/wheelhoist/internal/lab/load"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
)

// Seen by reading: a node that stops as planned gave its jobs up at once and its session only
// once the last answer had ended, up to five minutes later. Until then nobody took over the
// items that were its by the job row, nor those of lost nodes that it was preferred for.
//
// A stream is open at a node that drains; a batch that was begun before comes to its end.
func TestSite_NodeThatDrainsHoldsUpNoItems(t *testing.T) {
	testSite := start(t, 3)
	ctx := t.Context()
	draining := sdk(testSite, 0)
	stream := draining.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: profile.Urnik.Model, MaxTokens: openai.Int(8000), Seed: openai.Int(3),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hours of crew 7")},
	})
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	defer func() { _ = stream.Close() }()
	streamEnded := make(chan struct{})
	go func() {
		defer close(streamEnded)
		for stream.Next() {
		}
	}()
	batch := submitWith(ctx, t, sdk(testSite, 1), load.Items(profile.Urnik.Batch, 5, "drain", 400, false))
	time.Sleep(300 * time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- testSite.Nodes()[0].Drain(context.WithoutCancel(ctx)) }()
	client := sdk(testSite, 2)
	for batch.Status != openai.BatchStatusCompleted {
		time.Sleep(50 * time.Millisecond)
		var err error
		if batch, err = client.Batches.Get(ctx, batch.ID); err != nil {
			t.Fatal(err)
		}
		select {
		case <-streamEnded:
			t.Fatalf("batch is %s, %+v, when the stream at the draining node has ended", batch.Status, batch.RequestCounts)
		default:
		}
	}
	_ = stream.Close()
	<-drained
}
