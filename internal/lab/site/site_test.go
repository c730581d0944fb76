package site_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	wire "github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/lab/emulator"
	"github.com/wheelhoist/wheelhoist/internal/lab/load"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
	"github.com/wheelhoist/wheelhoist/internal/lab/site"
)

// beforeDeadline returns a context that ends shortly before the deadline of the test, so that a
// failure is reported instead of a panic of the test binary.
func beforeDeadline(t *testing.T) context.Context {
	t.Helper()
	const margin = 30 * time.Second
	deadline, ok := t.Deadline()
	if !ok {
		return t.Context()
	}
	ctx, cancel := context.WithDeadline(t.Context(), deadline.Add(-margin))
	t.Cleanup(cancel)
	return ctx
}

func start(t *testing.T, nodes int) *site.Site {
	t.Helper()
	testSite, err := site.Start(beforeDeadline(t), site.Config{Profile: profile.Urnik, Nodes: nodes, Listen: "127.0.0.1:0", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(testSite.Close)
	return testSite
}

func sdk(testSite *site.Site, node int) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(testSite.Nodes()[node].URL()+"/v1"), option.WithAPIKey(site.TenantKey), option.WithMaxRetries(0),
	)
}

// The official OpenAI client can stream a completion, upload a file, and create, poll, read and cancel
// a batch, with calls that go to different nodes.
func TestSite_OpenAIClient(t *testing.T) {
	testSite := start(t, 3)
	ctx := t.Context()
	checkStreaming(ctx, t, testSite)

	items := load.Items(profile.Urnik.Batch, 5, "sdk", 60, false)
	batch := submitBatch(ctx, t, sdk(testSite, 1), items)
	client := sdk(testSite, 2)
	var err error
	for batch.Status != openai.BatchStatusCompleted {
		time.Sleep(100 * time.Millisecond)
		if batch, err = client.Batches.Get(ctx, batch.ID); err != nil {
			t.Fatal(err)
		}
	}
	content, err := client.Files.Content(ctx, batch.OutputFileID)
	if err != nil {
		t.Fatal(err)
	}
	checkResults(t, content.Body, items)
	checkCancellation(ctx, t, testSite)
}

// submitBatch uploads items and creates a batch of them.
func submitBatch(ctx context.Context, t *testing.T, client openai.Client, items []load.Item) *openai.Batch {
	t.Helper()
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(bytes.NewReader(load.JSONL(profile.Urnik.Model, items)), "items.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		t.Fatal(err)
	}
	batch, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if err != nil {
		t.Fatal(err)
	}
	return batch
}

// checkStreaming checks that a streamed completion and one that is not streamed have the expected text.
func checkStreaming(ctx context.Context, t *testing.T, testSite *site.Site) {
	t.Helper()
	client := sdk(testSite, 0)
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: profile.Urnik.Model, MaxTokens: openai.Int(40), Seed: openai.Int(3),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hours of crew 7")},
	})
	var text strings.Builder
	for stream.Next() {
		if chunk := stream.Current(); len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	expected := emulator.NewAnswer(profile.Urnik.Model, "v1", "user: hours of crew 7\n", 3, 40).Text()
	if text.String() != expected {
		t.Fatalf("streamed %q, want %q", text.String(), expected)
	}
	completion, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model: profile.Urnik.Model, MaxTokens: openai.Int(40), Seed: openai.Int(3),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hours of crew 7")},
	})
	if err != nil {
		t.Fatal(err)
	}
	if completion.Choices[0].Message.Content != expected {
		t.Fatalf("completion without streaming is %q, want %q", completion.Choices[0].Message.Content, expected)
	}
}

// checkResults checks that each item has exactly one result, with the expected text.
func checkResults(t *testing.T, body io.Reader, items []load.Item) {
	t.Helper()
	results := map[string]string{}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line wire.BatchResult
		var completion wire.Completion
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(line.Response.Body, &completion); err != nil {
			t.Fatal(err)
		}
		if _, duplicate := results[line.CustomID]; duplicate {
			t.Errorf("item %s has two results", line.CustomID)
		}
		results[line.CustomID] = completion.Text()
	}
	if len(results) != len(items) {
		t.Fatalf("%d results for %d items", len(results), len(items))
	}
	for _, item := range items {
		prompt := "user: " + item.Prompt + "\n"
		expected := emulator.NewAnswer(profile.Urnik.Model, "v1", prompt, item.Seed, item.MaxTokens).Text()
		if results[item.ID] != expected {
			t.Fatalf("item %s does not have the expected answer", item.ID)
		}
	}
}

// checkCancellation checks that a batch submitted through one node can be cancelled through another.
func checkCancellation(ctx context.Context, t *testing.T, testSite *site.Site) {
	t.Helper()
	client := sdk(testSite, 0)
	batch := submitBatch(ctx, t, client, load.Items(profile.Urnik.Batch, 6, "cancel", 5000, false))
	other := sdk(testSite, 1)
	cancelled, err := other.Batches.Cancel(ctx, batch.ID)
	if err != nil {
		t.Fatal(err)
	}
	if cancelled.Status != openai.BatchStatusCancelled {
		t.Fatalf("cancelled batch is %s", cancelled.Status)
	}
	current, err := client.Batches.Get(ctx, batch.ID)
	if err != nil || current.Status != openai.BatchStatusCancelled {
		t.Fatalf("batch is %s afterwards, error %v", current.Status, err)
	}
}

// Invalid requests are rejected with an API error and a header which says that nothing was executed.
func TestSite_BadInput(t *testing.T) {
	testSite := start(t, 1)
	url := testSite.Nodes()[0].URL()
	valid := `{"model":"urnik-llm","messages":[{"role":"user","content":"x"}]}`
	cases := []struct {
		name, path, key, body string
		status                int
	}{
		{"malformed", wire.PathChatCompletions, site.TenantKey, `{"model":`, http.StatusBadRequest},
		{"no messages", wire.PathChatCompletions, site.TenantKey, `{"model":"urnik-llm"}`, http.StatusBadRequest},
		{"unknown model", wire.PathChatCompletions, site.TenantKey, strings.Replace(valid, "urnik-llm", "none", 1), http.StatusNotFound},
		{"wrong key", wire.PathChatCompletions, "nobody", valid, http.StatusUnauthorized},
		{"operator key", wire.PathChatCompletions, site.OperatorKey, valid, http.StatusUnauthorized},
		{"too large", wire.PathChatCompletions, site.TenantKey, strings.Repeat(" ", 5<<20) + valid, http.StatusRequestEntityTooLarge},
		{"unknown file", wire.PathBatches, site.TenantKey, `{"input_file_id":"file-x","endpoint":"/v1/chat/completions"}`, http.StatusNotFound},
		{"invalid window", wire.PathBatches, site.TenantKey, `{"input_file_id":"file-x","completion_window":"soon"}`, http.StatusBadRequest},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+test.path, strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer "+test.key)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			var answer wire.ErrorAnswer
			if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != test.status || answer.Error.Message == "" {
				t.Errorf("answer %d %+v, want %d", response.StatusCode, answer, test.status)
			}
			if executed := response.Header.Get("X-Wheelhoist-Executed"); executed != "no" {
				t.Errorf("X-Wheelhoist-Executed is %q, want no", executed)
			}
		})
	}
}

// A batch whose input file has malformed lines fails and reports the line numbers.
func TestSite_MalformedLines(t *testing.T) {
	testSite := start(t, 1)
	tenant := testSite.Tenant(0)
	items := load.Items(profile.Urnik.Batch, 5, "broken", 3, false)
	source := string(load.JSONL(profile.Urnik.Model, items)) + "{\"custom_id\":\n"
	file, err := tenant.Upload(t.Context(), "items.jsonl", strings.NewReader(source))
	if err != nil {
		t.Fatal(err)
	}
	batch, err := tenant.CreateBatch(t.Context(), wire.BatchRequest{InputFileID: file.ID, Endpoint: wire.PathChatCompletions}, "")
	if err != nil {
		t.Fatal(err)
	}
	if batch.Status != wire.BatchFailed || batch.Errors == nil || batch.Errors.Data[0].Line != 4 {
		t.Fatalf("batch %+v, want failed with an error on line 4", batch)
	}
}
