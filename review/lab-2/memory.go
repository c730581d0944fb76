//go:build linux

package main

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Batch jobs as large as the configuration allows: 200 items, and a body below maxBodyBytes.
const (
	itemsPerJob   = 200
	itemBodyBytes = 15000
)

// largeJob returns the body of a job with an ID.
func largeJob(id string, tokens int) []byte {
	var items []item
	for i := range itemsPerJob {
		items = append(items, item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: "/batch/x", Headers: map[string]string{"Model": "m", "Token-Usage": "40,40"},
			Body: bytes.Repeat([]byte{byte(i)}, itemBodyBytes), TokenCount: tokens,
		})
	}
	return jobBody(items)
}

// submit hands a job in, and again at other nodes after a refusal. It reports whether it was accepted.
func (l *lab) submit(first int, id string, body []byte, tries int) bool {
	for try := range tries {
		n := l.nodes[(first+try)%len(l.nodes)]
		status, _ := call(context.Background(), "POST", n.address, "/batch/"+id, id, nil, body)
		l.say("%s, %d bytes, at %s: status %d", id, len(body), n.id, status)
		if status == 202 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// memoryCase plays a burst of batch jobs at machines with little memory. A process that holds more than its
// machine has is killed, and started again, as the platform does.
func memoryCase(l *lab) bool {
	const (
		// The ordinary rate, and the burst of the site: six times as much for 3 s.
		jobsPerS, burst, burstFor = 3.81, 6, 3 * time.Second
		tokens                    = 90
		watchFor                  = 40 * time.Second
		nodes, memoryMB           = 3, 184
		// A day is at fault if processes of two machines end three times.
		faultEnds, faultMachines = 3, 2
	)
	config := smallConfig(1)
	for _, declared := range config["routes"].([]map[string]any) {
		if declared["routeType"] == "batch" {
			declared["maxQueuedTokens"] = 1300000
		}
	}
	l.store.Put("op", "config", config)
	for i := range 6 {
		l.addServer(&standin.Server{ID: fmt.Sprintf("i-%d", i), Events: 40, EventTime: 25 * time.Millisecond, Slots: 12}, string(rune('a'+i%3)))
	}
	l.startNodes(nodes, machine{memoryMB, 4100})
	done := make(chan struct{})
	for _, n := range l.nodes {
		go n.watchMemory(done, l.say)
	}
	rate := jobsPerS
	if l.trouble {
		rate *= burst
	}
	count := int(rate * burstFor.Seconds())
	var accepted atomic.Int64
	var all sync.WaitGroup
	for j := range count {
		id := fmt.Sprintf("job%d", j)
		body := largeJob(id, tokens)
		all.Go(func() {
			if l.submit(j, id, body, 2) {
				accepted.Add(1)
			}
		})
		time.Sleep(interval(rate))
	}
	l.say("the burst is over: %d jobs in %v", count, burstFor)
	time.Sleep(watchFor)
	close(done)
	all.Wait()
	machines := 0
	for _, n := range l.nodes {
		l.say("%s: %d ends for memory, peak %d MB of %d", n.id, n.memoryEnds(), n.peakMB(), memoryMB)
		if n.memoryEnds() >= faultEnds {
			machines++
		}
	}
	l.say("%d of %d jobs accepted; %d machines whose process ended %d times or more", accepted.Load(), count, machines, faultEnds)
	return machines < faultMachines
}

// interval returns the time between two events at a rate per second.
func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }
