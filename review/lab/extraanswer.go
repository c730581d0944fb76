package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// extraShare is the share of answers that may come twice, and extraTime how long that lasts: x and
	// for_s of garble, with extra and late, in the site file. Its share is 0.6 of the replicas.
	extraShare = 0.03
	extraTime  = 5 * time.Second
	// replicas and disrupted are the numbers of replicas, and of those whose answers may come twice.
	replicas, disrupted = 10, 6
	onceTimeout         = 4 * time.Second
)

// lateExtraAnswer sends requests that can't be repeated in waves that fill the replicas, which then refuse
// some. Some refusals come again, late, in place of the next answer on their connection, with the id of
// the request that was refused. No request may run twice, and none that was answered 429 or 503 may run.
func lateExtraAnswer(s *site, trouble bool) ([]string, error) {
	s.configure(batchRoute(), map[string]any{
		"name": "once", "pathPrefix": "/once/", "routeType": "unsafe", "sloMs": 500, "timeoutMs": 4000, "maxAttempts": 2, "priority": 0,
	})
	for i := range replicas {
		r := &server{id: fmt.Sprintf("r-%d", i+1), zone: zones[i%len(zones)], version: "v1", slots: 4}
		options := []string{"--queue", "2", "--run-time", "60ms"}
		if i < disrupted {
			options = append(options, "--extra-share", fmt.Sprint(extraShare), "--extra-for", extraTime.String())
		}
		if err := s.startReplica(r, options...); err != nil {
			return nil, err
		}
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	statuses := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	const waves, firstDisrupted, waveSize = 60, 10, 60
	for wave := range waves {
		if trouble && wave == firstDisrupted {
			for _, r := range s.replicas[:disrupted] {
				if err := r.command.Process.Signal(syscall.SIGUSR1); err != nil {
					return nil, err
				}
			}
		}
		for i := range waveSize {
			id := fmt.Sprintf("once-%02d-%02d", wave, i)
			n := s.nodes[i%len(s.nodes)]
			wg.Go(func() {
				status := s.sendOnce(n, id)
				mu.Lock()
				defer mu.Unlock()
				statuses[id] = status
			})
		}
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	runs := map[string][]string{}
	for _, run := range s.seen("run") {
		runs[run.Request] = append(runs[run.Request], run.replica)
	}
	var broken []string
	for id, status := range statuses {
		switch {
		case len(runs[id]) > 1:
			broken = append(broken, fmt.Sprintf("TWICE: request %s ran on %v, answered %d", id, runs[id], status))
		case len(runs[id]) > 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
			broken = append(broken, fmt.Sprintf("REFUSED: request %s ran on %v, answered %d", id, runs[id], status))
		}
	}
	s.record("%d requests, %d refusals by replicas, %d extra answers", len(statuses), len(s.seen("refused")), len(s.seen("extra")))
	return broken, nil
}

// sendOnce sends a request that can't be repeated, and returns the status of its answer; 0 for none.
func (s *site) sendOnce(n *node, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), onceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address+"/once/x", bytes.NewReader([]byte("order "+id)))
	if err != nil {
		return 0
	}
	request.Host, request.Close = host, true
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(onceTimeout.Milliseconds()))
	s.record("request %s sent to %s", id, n.id)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.record("request %s: %v", id, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	s.record("request %s answered %d, %q, %v", id, response.StatusCode, body, err)
	return response.StatusCode
}
