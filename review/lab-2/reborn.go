//go:build linux

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type jobResult struct {
	ID, State, Message string
}

// readJob reads the results of a job from a position on.
func readJob(n *node, job string, position int) (status, total int, results []jobResult) {
	status, body := call(context.Background(), "GET", n.address, fmt.Sprintf("/v1/lots/%s?sinceRev=%d", job, position), job+"-read", map[string]string{"Wait-Ms": "100"}, nil)
	var decoded struct {
		Total   int         `json:"total"`
		Results []jobResult `json:"results"`
	}
	if status == 200 {
		check(json.Unmarshal(body, &decoded))
	}
	return status, decoded.Total, decoded.Results
}

func rebornCase(l *lab) bool {
	const (
		events, eventMs, slots = 40, 50, 12
		servers, items         = 6, 36
		streams                = 24
		cutFor                 = 1400 * time.Millisecond
		lapse                  = 3600 * time.Millisecond
	)
	l.store.Put("op", "config", smallConfig(1))
	var processes []*serverProcess
	for i := range servers {
		s := &serverProcess{lab: l, id: fmt.Sprintf("i-%d-first", i), address: freePort(), zone: string(rune('a' + i%3)), events: events, eventMs: eventMs, slots: slots}
		s.link = newLink(s.address)
		l.servers = append(l.servers, s)
		s.start()
		s.enlist()
		processes = append(processes, s)
	}
	l.startNodes(3, machine{304, 8200})
	var list []item
	for i := range items {
		list = append(list, item{ID: fmt.Sprintf("item-%d", i), Path: "/batch/x", Headers: map[string]string{"Model": "m", "Token-Usage": "40,40"}, Body: []byte("prompt"), TokenCount: 80})
	}
	body := jobBody(list)
	for try := 0; ; try++ {
		status, _ := call(context.Background(), "POST", l.nodes[0].address, "/batch/job", "job", nil, body)
		l.say("the job of %d items: status %d", items, status)
		if status == 202 {
			break
		}
		if try == 5 {
			panic("the job is not accepted")
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	short := l.startStreams(streams, events)
	time.Sleep(300 * time.Millisecond)
	if l.trouble {
		struck := processes[0]
		struck.link.cut()
		l.say("the link of %s is cut", struck.id)
		time.Sleep(300 * time.Millisecond)
		struck.kill()
		old := struck.id
		l.say("%s crashes behind the cut", old)
		time.AfterFunc(lapse, func() { l.store.Remove("servers", old) })
		time.Sleep(500 * time.Millisecond)
		struck.id = "i-0-second"
		struck.start()
		struck.enlist()
		l.say("it has started again as %s", struck.id)
		time.Sleep(cutFor - 800*time.Millisecond)
		struck.link.heal()
		l.say("the link is whole")
	}
	broken, listed := 0, 0
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
		status, total, results := readJob(l.nodes[1], "job", listed)
		if status != 200 {
			time.Sleep(200 * time.Millisecond)
		}
		for _, result := range results {
			lines := strings.Count(result.Message, "\n") + 1
			l.say("position %d: %s is %s with %d of %d events", listed, result.ID, result.State, lines, events)
			listed++
			if result.State == "completed" && lines != events {
				broken++
			}
		}
		if total > 0 && listed == total {
			break
		}
	}
	l.say("%d of %d items are listed, %d as completed with a part of their text", listed, items, broken)
	if listed < items {
		panic("the job does not end")
	}
	ended := short()
	l.say("%d of %d streams ended as complete before their last event", ended, streams)
	return broken == 0 && ended == 0
}

// startStreams sends requests for streams. The returned function waits for their ends, and returns how many
// ended as complete before their last event.
func (l *lab) startStreams(count, events int) (short func() int) {
	var all sync.WaitGroup
	var ended atomic.Int64
	for i := range count {
		all.Go(func() {
			id := fmt.Sprintf("stream-%d", i)
			header := map[string]string{"Model": "m", "Token-Usage": "40,40", "Deadline-Ms": "4000"}
			status, body := call(context.Background(), "POST", l.nodes[i%len(l.nodes)].address, "/stream/x", id, header, []byte("prompt "+id))
			got := strings.Count(string(body), "id: ")
			l.say("%s: status %d with %d of %d events", id, status, got, events)
			if status == 200 && got < events {
				ended.Add(1)
			}
		})
	}
	return func() int {
		all.Wait()
		return int(ended.Load())
	}
}
