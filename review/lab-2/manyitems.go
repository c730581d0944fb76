//go:build linux

package main

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// manyItemsCase sends batch jobs with far more items than are allowed, in bodies within the limit.
func manyItemsCase(l *lab) bool {
	const nodes, memoryMB, rounds, maxBody = 3, 304, 4, 4194304
	l.store.Put("op", "config", smallConfig(1))
	for i := range 2 {
		l.addServer(&standin.Server{ID: fmt.Sprintf("i-%d", i), Events: 5, EventTime: 5 * time.Millisecond, Slots: 12}, string(rune('a'+i%3)))
	}
	l.startNodes(nodes, machine{memoryMB, 8200})
	done := make(chan struct{})
	for _, n := range l.nodes {
		go n.watchMemory(done, l.say)
	}
	element, count := []byte("{},"), 100
	if l.trouble {
		count = (maxBody - 100) / len(element)
	}
	body := append([]byte(`{"requests":[`), bytes.Repeat(element, count)...)
	body = append(body[:len(body)-1], "]}"...)
	for round := range rounds {
		for i, n := range l.nodes {
			n.awaitReady(startLimit)
			id := fmt.Sprintf("job%d-%d", round, i)
			status, _ := call(context.Background(), "POST", n.address, "/batch/"+id, id, nil, body)
			l.say("%s, %d items in %d bytes, at %s: status %d, most memory %d MB", id, count, len(body), n.id, status, n.peakMB())
			time.Sleep(500 * time.Millisecond)
		}
	}
	close(done)
	machines := 0
	for _, n := range l.nodes {
		l.say("%s: %d ends for memory, peak %d MB of %d", n.id, n.memoryEnds(), n.peakMB(), memoryMB)
		if n.memoryEnds() >= 3 {
			machines++
		}
	}
	return machines < 2
}
