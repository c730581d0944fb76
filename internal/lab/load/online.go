// Package load generates online and batch load and verifies the answers.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/lab/emulator"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
)

// Error is the class of all errors of this package.
var Error = errs.Class("load")

// Arrival is one online request of a schedule.
type Arrival struct {
	// At is the time of the request, relative to the start of the load.
	At        time.Duration
	ID        string
	Prompt    string
	MaxTokens int
	Seed      int64
	// NotRepeatable marks a request that may run at most once.
	NotRepeatable bool
	// IdempotencyKey is the value of the Idempotency-Key header, if not empty.
	IdempotencyKey string
}

// Schedule generates the arrivals of a profile for a duration, with the request rate multiplied by
// scale. The result depends only on its arguments, so that runs with and without batch load send the
// same requests.
func Schedule(p profile.Online, seed uint64, duration time.Duration, scale float64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	var arrivals []Arrival
	exponential := func(mean time.Duration) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(mean))
	}
	at := exponential(p.MeanIdle)
	for at < duration {
		burstEnd := at + exponential(p.MeanBurst)
		for at < burstEnd && at < duration {
			arrivals = append(arrivals, newArrival(p, random, at, len(arrivals), seed))
			at += time.Duration(random.ExpFloat64() / (p.Rate * scale) * float64(time.Second))
		}
		at = max(at, burstEnd) + exponential(p.MeanIdle)
	}
	return arrivals
}

// conversationCount is the number of distinct conversations.
const conversationCount = 40

func newArrival(p profile.Online, random *rand.Rand, at time.Duration, number int, seed uint64) Arrival {
	prompt := randomWords(random, p.PromptWords/2+random.IntN(p.PromptWords))
	if random.Float64() < p.ConversationShare {
		// The shared prefix depends only on the seed and the conversation.
		conversation := random.IntN(conversationCount)
		prefixRandom := rand.New(rand.NewPCG(seed, 1000+uint64(conversation)))
		prompt = randomWords(prefixRandom, p.SharedWords) + " " + prompt
	}
	return Arrival{
		At: at, ID: fmt.Sprintf("online-%d-%d", seed, number), Prompt: prompt,
		MaxTokens: p.MaxTokens/2 + random.IntN(p.MaxTokens), Seed: int64(number),
	}
}

func randomWords(random *rand.Rand, count int) string {
	var builder strings.Builder
	for i := range count {
		if i > 0 {
			builder.WriteByte(' ')
		}
		fmt.Fprintf(&builder, "w%x", random.Uint32N(1<<20))
	}
	return builder.String()
}

// Caller sends online requests to the nodes of a site.
type Caller struct {
	Model string
	Key   string
	// Version is the model version assumed for an answer that does not state one.
	Version  string
	Recorder *history.Recorder
	Stats    *Stats
	// URLs returns the base URLs of the nodes to call. Requests use them in turn.
	URLs func() []string
	// Delay is the emulated network delay from the caller to a node, added before each request.
	Delay time.Duration
	// Retries limits the retries of a request whose refusal says that it was not executed.
	Retries int

	client   *http.Client
	nextNode atomic.Uint64
}

// Open creates the HTTP client and returns c. It must be called before any other method.
func (c *Caller) Open() *Caller {
	const idle = 512
	c.client = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: idle, MaxIdleConns: 0, IdleConnTimeout: 30 * time.Second,
	}}
	return c
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Replay sends each request of a schedule at its time and waits for all answers. When the context
// ends, it sends no more requests.
func (c *Caller) Replay(ctx context.Context, arrivals []Arrival) {
	start := time.Now()
	var group sync.WaitGroup
	for _, arrival := range arrivals {
		timer := time.NewTimer(time.Until(start.Add(arrival.At)))
		select {
		case <-ctx.Done():
			timer.Stop()
			group.Wait()
			return
		case <-timer.C:
		}
		group.Add(1)
		go func() {
			defer group.Done()
			c.Send(ctx, arrival)
		}()
	}
	group.Wait()
}

// Send sends one request and records the outcome. It retries after a refusal that says that the
// request was not executed.
func (c *Caller) Send(ctx context.Context, arrival Arrival) {
	sent := time.Now()
	for attempt := 0; ; attempt++ {
		c.Recorder.Record(history.Event{
			Source: "client", Type: history.ClientSend, Class: history.Online, Request: arrival.ID, Repeatable: !arrival.NotRepeatable,
		})
		result := c.sendOnce(ctx, arrival, sent)
		c.Recorder.Record(result)
		retry := result.Type == history.ClientRefused && result.Executed == "no" && attempt < c.Retries
		if !retry || ctx.Err() != nil {
			c.Stats.Add(result)
			return
		}
		const retryDelay = 100 * time.Millisecond
		time.Sleep(retryDelay)
	}
}

// sendOnce sends a request without retries. It resumes an interrupted answer at other nodes.
func (c *Caller) sendOnce(ctx context.Context, arrival Arrival, sent time.Time) history.Event {
	event := history.Event{Source: "client", Class: history.Online, Request: arrival.ID, Repeatable: !arrival.NotRepeatable, Type: history.ClientFailed}
	time.Sleep(c.Delay)
	response, err := c.post(ctx, arrival, nil)
	if err != nil {
		event.Detail = err.Error()
		return event
	}
	if response.StatusCode != http.StatusOK {
		recordRefusal(response, &event)
		return event
	}
	answer := &answerReader{caller: c, version: c.Version, sent: sent, event: &event}
	resumable := answer.read(response)
	for attempt := 0; resumable && attempt < reconnectAttempts && ctx.Err() == nil; attempt++ {
		time.Sleep(reconnectDelay)
		header := http.Header{headerAttempt: {answer.attempt}, "Last-Event-Id": {strconv.Itoa(answer.lastEventID)}}
		response, err := c.post(ctx, arrival, header)
		if err != nil {
			continue
		}
		if response.StatusCode != http.StatusOK {
			_ = response.Body.Close()
			continue
		}
		resumable = answer.read(response)
		event.Outcome = "reconnected"
	}
	if event.Type == history.ClientAnswer {
		event.Elapsed = milliseconds(time.Since(sent))
		event.Match = answer.text.String() == c.expectedText(arrival, answer.version)
	}
	return event
}

const (
	headerAttempt = "X-Wheelhoist-Attempt"
	// reconnectAttempts limits the attempts to resume an interrupted answer, reconnectDelay is the
	// delay before each.
	reconnectAttempts = 6
	reconnectDelay    = 300 * time.Millisecond
)

// post sends a request to the next node with additional headers.
func (c *Caller) post(ctx context.Context, arrival Arrival, header http.Header) (*http.Response, error) {
	urls := c.URLs()
	if len(urls) == 0 {
		return nil, Error.New("no node is ready")
	}
	url := urls[c.nextNode.Add(1)%uint64(len(urls))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+openai.PathChatCompletions, bytes.NewReader(c.requestBody(arrival)))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("X-Request-Id", arrival.ID)
	if arrival.NotRepeatable {
		request.Header.Set("X-Wheelhoist-Repeatable", "no")
	}
	if arrival.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", arrival.IdempotencyKey)
	}
	response, err := c.client.Do(request)
	return response, Error.Wrap(err)
}

// recordRefusal sets the fields of event for a response with an error status.
func recordRefusal(response *http.Response, event *history.Event) {
	const maxDetail = 4096
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxDetail))
	_ = response.Body.Close()
	event.Type = history.ClientRefused
	event.Executed = response.Header.Get("X-Wheelhoist-Executed")
	event.Detail = fmt.Sprintf("%d %s", response.StatusCode, body)
}

func (c *Caller) requestBody(arrival Arrival) []byte {
	body, err := json.Marshal(openai.CompletionRequest{
		Model: c.Model, Stream: true, MaxTokens: arrival.MaxTokens, Seed: arrival.Seed,
		Messages: []openai.Message{{Role: "user", Content: openai.Content(arrival.Prompt)}},
	})
	if err != nil {
		// Encoding a struct of strings and numbers cannot fail.
		panic(err)
	}
	return body
}

// answerReader reads a streamed answer over one or more connections.
type answerReader struct {
	caller  *Caller
	sent    time.Time
	event   *history.Event
	version string
	attempt string
	text    strings.Builder
	// lastEventID is the ID of the last event that was read.
	lastEventID int
	lastTokenAt time.Time
}

// read reads the events of a response until the answer ends. It reports whether the answer was
// interrupted and can be resumed.
func (a *answerReader) read(response *http.Response) bool {
	defer func() { _ = response.Body.Close() }()
	if attempt := response.Header.Get(headerAttempt); attempt != "" {
		a.attempt = attempt
	}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			a.event.Detail = "answer broke off: " + err.Error()
			return a.attempt != "" && a.lastEventID > 0
		}
		line = bytes.TrimSpace(line)
		if text, isID := bytes.CutPrefix(line, []byte("id: ")); isID {
			a.lastEventID, _ = strconv.Atoi(string(text))
			continue
		}
		data, isData := bytes.CutPrefix(line, []byte("data: "))
		if !isData {
			continue
		}
		if string(data) == openai.DoneMarker {
			a.event.Type, a.event.Whole, a.event.Value = history.ClientAnswer, true, a.version
			return false
		}
		if !a.readChunk(data) {
			return false
		}
	}
}

// readChunk processes the data of one event. It reports false for an error event.
func (a *answerReader) readChunk(data []byte) bool {
	var chunk openai.Completion
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 {
		a.event.Detail = "error event: " + string(data)
		return false
	}
	now := time.Now()
	if a.text.Len() == 0 {
		a.event.TTFT = milliseconds(now.Sub(a.sent))
	} else {
		a.caller.Stats.AddTokenGap(now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
	if chunk.SystemFingerprint != "" {
		a.version = chunk.SystemFingerprint
	}
	a.text.WriteString(chunk.Text())
	a.event.Tokens++
	return true
}

// expectedText returns the answer that the emulator gives for a request with a model version.
func (c *Caller) expectedText(arrival Arrival, version string) string {
	prompt := (&openai.CompletionRequest{
		Messages: []openai.Message{{Role: "user", Content: openai.Content(arrival.Prompt)}},
	}).PromptText()
	return emulator.NewAnswer(c.Model, version, prompt, arrival.Seed, arrival.MaxTokens).Text()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
