package hollow

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wheelhoist/wheelhoist/api/openai"
)

// StreamCost is what a number of concurrent streams costs a node.
type StreamCost struct {
	Streams int `json:"streams"`
	// Token times are the way of a token from the engine to the caller, through
	// the node and directly, in milliseconds.
	NodeP50   float64 `json:"token_ms_p50"`
	NodeP99   float64 `json:"token_ms_p99"`
	DirectP50 float64 `json:"direct_token_ms_p50"`
	DirectP99 float64 `json:"direct_token_ms_p99"`
	// FirstP99 and DirectFirstP99 are the time from the request to the first token.
	FirstP99       float64 `json:"first_ms_p99"`
	DirectFirstP99 float64 `json:"direct_first_ms_p99"`
	// CPUPerThousand is the node's processor time for 1,000 tokens, in milliseconds.
	CPUPerThousand float64 `json:"cpu_ms_per_1000_tokens"`
	CPUShare       float64 `json:"cpu_core_share"`
	MemoryMB       float64 `json:"rss_mb"`
	// MemoryPerStream is the growth of resident memory over the idle node, in KB.
	MemoryPerStream float64 `json:"kb_per_stream"`
	Tokens          int64   `json:"tokens"`
	Failed          int     `json:"failed"`
}

const streamReplicas = 8

// RunStreams measures a real node process under concurrent streams of paced
// answers, beside the same streams straight from the engines.
func RunStreams(ctx context.Context, sizes []int, length time.Duration, progress func(string, ...any)) ([]StreamCost, error) {
	f, err := startFleet(ctx, Options{Nodes: 1, Replicas: streamReplicas, Tenants: 1, Progress: progress})
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	if err := f.declare(ctx); err != nil {
		return nil, err
	}
	sleep(ctx, settleTime)
	pid := f.real[0].command.Process.Pid
	idle, err := residentBytes(pid)
	if err != nil {
		return nil, err
	}
	var costs []StreamCost
	for _, size := range sizes {
		progress("%d streams", size)
		direct := runStreams(ctx, size, length, func(i int) string { return f.engines.address(fmt.Sprintf("replica-%03d", i%streamReplicas)) })
		cpuBefore, err := cpuTime(pid)
		if err != nil {
			return nil, err
		}
		began := time.Now()
		peak := watchMemory(ctx, pid, length)
		through := runStreams(ctx, size, length, func(int) string { return f.real[0].url })
		elapsed := time.Since(began).Seconds()
		cpuAfter, err := cpuTime(pid)
		if err != nil {
			return nil, err
		}
		used := (cpuAfter - cpuBefore).Seconds()
		resident := float64(<-peak)
		costs = append(costs, StreamCost{
			Streams: size,
			NodeP50: through.token(50), NodeP99: through.token(99),
			DirectP50: direct.token(50), DirectP99: direct.token(99),
			FirstP99: through.first(99), DirectFirstP99: direct.first(99),
			CPUPerThousand: used * 1000 / (float64(through.tokens) / 1000), CPUShare: used / elapsed,
			MemoryMB: resident / (1 << 20), MemoryPerStream: (resident - float64(idle)) / 1024 / float64(size),
			Tokens: through.tokens, Failed: through.failed,
		})
	}
	return costs, nil
}

// watchMemory returns the greatest resident memory seen over a time.
func watchMemory(ctx context.Context, pid int, length time.Duration) <-chan int64 {
	result := make(chan int64, 1)
	go func() {
		var peak int64
		for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 200*time.Millisecond) {
			if resident, err := residentBytes(pid); err == nil {
				peak = max(peak, resident)
			}
		}
		result <- peak
	}()
	return result
}

// streamTimes collects the times of many streams.
type streamTimes struct {
	mu         sync.Mutex
	tokenTimes *hdrhistogram.Histogram
	firstTimes *hdrhistogram.Histogram
	tokens     int64
	failed     int
}

func (s *streamTimes) token(q float64) float64 {
	return float64(s.tokenTimes.ValueAtQuantile(q)) / 1000
}
func (s *streamTimes) first(q float64) float64 {
	return float64(s.firstTimes.ValueAtQuantile(q)) / 1000
}

// runStreams keeps size streams open for a time.
func runStreams(ctx context.Context, size int, length time.Duration, url func(int) string) *streamTimes {
	const maxMicroseconds, digits = 60_000_000, 3
	times := &streamTimes{
		tokenTimes: hdrhistogram.New(1, maxMicroseconds, digits), firstTimes: hdrhistogram.New(1, maxMicroseconds, digits),
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: size}}
	defer client.CloseIdleConnections()
	tokens := int(length / pacedInterval)
	var group sync.WaitGroup
	for i := range size {
		group.Add(1)
		go func() {
			defer group.Done()
			// Spread over one interval, as independent callers are.
			sleep(ctx, pacedInterval*time.Duration(i)/time.Duration(size))
			times.readStream(ctx, client, url(i), tokens)
		}()
	}
	group.Wait()
	return times
}

func (s *streamTimes) readStream(ctx context.Context, client *http.Client, url string, tokens int) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hours of crew 7"}]}`, modelName, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+openai.PathChatCompletions, bytes.NewReader([]byte(body)))
	if err != nil {
		s.fail()
		return
	}
	request.Header.Set("Authorization", "Bearer "+tenantKey(0))
	began := time.Now()
	response, err := client.Do(request)
	if err != nil || response.StatusCode != http.StatusOK {
		s.fail()
		return
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	for first := true; ; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			s.fail()
			return
		}
		if bytes.Contains(line, []byte(openai.DoneMarker)) {
			return
		}
		if sent, ok := stampOf(line); ok {
			s.record(time.Since(time.Unix(0, sent)), time.Since(began), first)
			first = false
		}
	}
}

func stampOf(line []byte) (int64, bool) {
	at := bytes.Index(line, []byte(stampMark))
	if at < 0 {
		return 0, false
	}
	text := line[at+len(stampMark):]
	end := bytes.IndexByte(text, '"')
	if end < 0 {
		return 0, false
	}
	sent, err := strconv.ParseInt(string(text[:end]), 10, 64)
	return sent, err == nil
}

func (s *streamTimes) record(way, sinceStart time.Duration, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens++
	_ = s.tokenTimes.RecordValue(max(1, way.Microseconds()))
	if first {
		_ = s.firstTimes.RecordValue(max(1, sinceStart.Microseconds()))
	}
}

func (s *streamTimes) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed++
}
