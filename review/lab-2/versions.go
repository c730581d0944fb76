//go:build linux

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// versionsCase starts a server again under its id with another software version, which crashes under its first
// requests, and looks whether streams hold events of two versions.
func versionsCase(l *lab) bool {
	const (
		events, eventMs, slots = 40, 40, 12
		servers, streams       = 6, 48
		// An entry is written about once each heartbeat, 1.2 s, and lapses after three without.
		crashAfter, lapse = 700 * time.Millisecond, 3600 * time.Millisecond
		// More streams than so many break the rule.
		allowed = 2
	)
	l.store.Put("op", "config", smallConfig(1))
	for i := range servers {
		s := &serverProcess{lab: l, id: fmt.Sprintf("i-%d", i), version: "v1", address: freePort(), zone: string(rune('a' + i%3)), events: events, eventMs: eventMs, slots: slots}
		s.link = newLink(s.address)
		l.servers = append(l.servers, s)
		s.start()
		s.enlist()
	}
	l.startNodes(3, machine{304, 8200})
	// Requests of before, so that the nodes know the servers.
	l.wave("before", 24, events)
	time.Sleep(500 * time.Millisecond)
	updated := l.servers[0]
	if l.trouble {
		updated.kill()
		updated.version = "v2"
		updated.start()
		l.say("%s has started again under its id with %s", updated.id, updated.version)
		// It crashes before it has written its entry, and the entry of before lapses.
		time.AfterFunc(crashAfter, func() {
			updated.kill()
			l.say("%s crashes", updated.id)
		})
		time.AfterFunc(lapse, func() { l.store.Remove("servers", updated.id) })
	}
	time.Sleep(100 * time.Millisecond)
	mixed := l.wave("stream", streams, events)
	l.say("%d of %d streams hold events of two software versions", mixed, streams)
	return mixed <= allowed
}

// wave sends requests for streams at the same time, and returns how many got events of two versions.
func (l *lab) wave(name string, count, events int) (mixed int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range count {
		all.Go(func() {
			id := fmt.Sprintf("%s-%d", name, i)
			header := map[string]string{"Model": "m", "Token-Usage": "40,40", "Deadline-Ms": "4000"}
			status, body := call(context.Background(), "POST", l.nodes[i%len(l.nodes)].address, "/stream/x", id, header, []byte("prompt "+id))
			text := string(body)
			first, second := strings.Count(text, "v1"), strings.Count(text, "v2")
			mu.Lock()
			defer mu.Unlock()
			if first > 0 && second > 0 {
				mixed++
			}
			l.say("%s: status %d with %d of %d events, %d of v1, %d of v2", id, status, strings.Count(text, "id: "), events, first, second)
		})
	}
	all.Wait()
	return mixed
}
