package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/api/client"
	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/lab/emulator"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
)

// Item is an item of a batch job, with the parameters from which its expected result is computed.
type Item struct {
	ID            string
	Prompt        string
	MaxTokens     int
	Seed          int64
	NotRepeatable bool
}

// Items generates count items for a job. Prompts and token limits depend only on the profile and the
// seed.
func Items(p profile.Batch, seed uint64, job string, count int, notRepeatable bool) []Item {
	random := rand.New(rand.NewPCG(seed, 11))
	items := make([]Item, count)
	for i := range items {
		items[i] = Item{
			ID:        fmt.Sprintf("%s-%d", job, i),
			Prompt:    randomWords(random, max(1, p.PromptWords/2)+random.IntN(max(1, p.PromptWords))),
			MaxTokens: max(1, p.MaxTokens/2) + random.IntN(max(1, p.MaxTokens)),
			Seed:      int64(i), NotRepeatable: notRepeatable,
		}
	}
	return items
}

// JSONL encodes items as the input file of a batch.
func JSONL(model string, items []Item) []byte {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	for _, item := range items {
		body, err := json.Marshal(itemRequest(model, item))
		if err == nil {
			err = encoder.Encode(openai.BatchItem{
				CustomID: item.ID, Method: http.MethodPost, URL: openai.PathChatCompletions,
				Body: body, NotRepeatable: item.NotRepeatable,
			})
		}
		if err != nil {
			// Encoding structs of strings and numbers cannot fail.
			panic(err)
		}
	}
	return buffer.Bytes()
}

func itemRequest(model string, item Item) openai.CompletionRequest {
	return openai.CompletionRequest{
		Model: model, MaxTokens: item.MaxTokens, Seed: item.Seed,
		Messages: []openai.Message{{Role: "user", Content: openai.Content(item.Prompt)}},
	}
}

// Job is a submitted batch job.
type Job struct {
	ID    string
	Items []Item
}

// Submitter submits batch jobs and verifies their results. It is not safe for concurrent use.
type Submitter struct {
	Model    string
	Key      string
	Recorder *history.Recorder
	// URLs returns the base URLs of the nodes to call. Calls use them in turn, retries too.
	URLs     func() []string
	nextNode int
}

// retryPause is the delay before a failed call is retried and between two polls of a job.
const retryPause = 200 * time.Millisecond

// call calls one node after another until action succeeds, returns a status below 500, which a retry
// would not change, or the context ends.
func (s *Submitter) call(ctx context.Context, action func(context.Context, *client.Client) error) error {
	for {
		urls := s.URLs()
		err := Error.New("no node to call")
		if len(urls) > 0 {
			s.nextNode++
			callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
			err = action(callCtx, client.New(urls[s.nextNode%len(urls)], s.Key))
			cancel()
		}
		var status *client.StatusError
		if err == nil || (errors.As(err, &status) && status.Status < http.StatusInternalServerError) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(retryPause):
		}
	}
}

// Submit uploads items and creates a batch of them, with retries until it is accepted.
func (s *Submitter) Submit(ctx context.Context, items []Item, window time.Duration, key string) (*Job, error) {
	source := JSONL(s.Model, items)
	var file *openai.File
	err := s.call(ctx, func(ctx context.Context, c *client.Client) (err error) {
		file, err = c.Upload(ctx, "items.jsonl", bytes.NewReader(source))
		return err
	})
	if err != nil {
		return nil, err
	}
	var batch *openai.Batch
	err = s.call(ctx, func(ctx context.Context, c *client.Client) (err error) {
		batch, err = c.CreateBatch(ctx, openai.BatchRequest{
			InputFileID: file.ID, Endpoint: openai.PathChatCompletions, CompletionWindow: window.String(),
		}, key)
		return err
	})
	if err != nil {
		return nil, err
	}
	s.Recorder.Record(history.Event{
		Source: "client", Type: history.BatchAccepted, Class: history.Batch, Job: batch.ID, Count: len(items),
	})
	return &Job{ID: batch.ID, Items: items}, nil
}

// Cancel cancels a job and records the cancellation.
func (s *Submitter) Cancel(ctx context.Context, job *Job) error {
	return s.call(ctx, func(ctx context.Context, c *client.Client) error {
		batch, err := c.CancelBatch(ctx, job.ID)
		if err == nil && batch.Status == openai.BatchCancelled {
			s.Recorder.Record(history.Event{Source: "client", Type: history.BatchCancelled, Job: job.ID})
		}
		return err
	})
}

// Await polls a job until it is in a final state.
func (s *Submitter) Await(ctx context.Context, job *Job) (*openai.Batch, error) {
	for {
		var batch *openai.Batch
		err := s.call(ctx, func(ctx context.Context, c *client.Client) (err error) {
			batch, err = c.Batch(ctx, job.ID)
			return err
		})
		if err != nil {
			return nil, err
		}
		if batch.Status.Final() {
			s.Recorder.Record(history.Event{
				Source: "client", Type: history.BatchFinal, Job: job.ID, Outcome: string(batch.Status),
				Count: batch.RequestCounts.Completed + batch.RequestCounts.Failed,
			})
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return batch, Error.Wrap(ctx.Err())
		case <-time.After(retryPause):
		}
	}
}

// Verify reads all results of a job and records for each whether it is as expected. It returns the
// number of result lines.
func (s *Submitter) Verify(ctx context.Context, job *Job) (int, error) {
	expected := make(map[string]Item, len(job.Items))
	for _, item := range job.Items {
		expected[item.ID] = item
	}
	lines := 0
	for _, file := range []string{"file-out-" + job.ID, "file-err-" + job.ID} {
		var content bytes.Buffer
		err := s.call(ctx, func(ctx context.Context, c *client.Client) error {
			content.Reset()
			return c.Content(ctx, file, &content)
		})
		if err != nil {
			return lines, err
		}
		scanner := bufio.NewScanner(&content)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			lines++
			if err := s.verifyLine(job, expected, scanner.Bytes()); err != nil {
				return lines, err
			}
		}
	}
	return lines, nil
}

func (s *Submitter) verifyLine(job *Job, expected map[string]Item, line []byte) error {
	var result openai.BatchResult
	if err := json.Unmarshal(line, &result); err != nil {
		return Error.Wrap(err)
	}
	event := history.Event{
		Source: "client", Type: history.BatchResult, Class: history.Batch, Job: job.ID, Item: result.CustomID,
	}
	item, known := expected[result.CustomID]
	switch {
	case !known:
		event.Outcome = "not an item of the job"
	case result.Error != nil:
		event.Outcome, event.Match, event.Detail = result.Error.Code, true, result.Error.Message
	default:
		var completion openai.Completion
		if err := json.Unmarshal(result.Response.Body, &completion); err != nil {
			return Error.Wrap(err)
		}
		request := itemRequest(s.Model, item)
		answer := emulator.NewAnswer(s.Model, completion.SystemFingerprint, request.PromptText(), item.Seed, item.MaxTokens)
		event.Outcome, event.Match = "completed", completion.Text() == answer.Text()
	}
	event.Repeatable = !item.NotRepeatable
	s.Recorder.Record(event)
	return nil
}
