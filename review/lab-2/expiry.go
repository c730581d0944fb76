//go:build linux

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// feedWatch tells when a node begins to wait for changes of batch jobs.
type feedWatch struct {
	inner http.Handler
	began chan struct{}
}

func (f *feedWatch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "rows-feed") && r.URL.Query().Get("table") == "work" {
		select {
		case f.began <- struct{}{}:
		default:
		}
	}
	f.inner.ServeHTTP(w, r)
}

// expiryCase freezes a node while the store answers it, hands a batch job in there once it has woken, and looks
// when the items, for which there is no slot, are given up.
func expiryCase(l *lab) bool {
	const (
		retention = 60 * time.Second
		freezeFor = 2100 * time.Millisecond
		// The items that take all slots run for longer than the retention.
		events, eventTime     = 235, 290 * time.Millisecond
		servers, slots, queue = 2, 12, 2
	)
	l.store.Put("op", "config", smallConfig(1))
	for i := range servers {
		s := &standin.Server{ID: fmt.Sprintf("i-%d", i), Events: events, EventTime: eventTime, Slots: slots}
		s.SetMaxQueue(queue)
		l.addServer(s, string(rune('a'+i%3)))
	}
	watch := &feedWatch{inner: l.store.ForCaller("node-0"), began: make(chan struct{})}
	l.fronts = map[string]http.Handler{"node-0": watch}
	l.startNodes(3, machine{304, 8200})
	smallJob := func(id string, count int) []byte {
		var items []item
		for i := range count {
			items = append(items, item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/batch/x", Headers: map[string]string{"Model": "m"}, Body: []byte("prompt"), TokenCount: 500})
		}
		return jobBody(items)
	}
	if !l.submit(1, "first", smallJob("first", servers*slots), 4) {
		panic("the first job is not accepted")
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		<-watch.began
		l.nodes[0].signal(syscall.SIGSTOP)
		l.say("node-0 is frozen")
		frozen := time.Now()
		time.Sleep(50 * time.Millisecond)
		if !l.submit(1, "second", smallJob("second", 1), 1) {
			panic("the second job is not accepted")
		}
		time.Sleep(time.Until(frozen.Add(freezeFor)))
		l.nodes[0].signal(syscall.SIGCONT)
		l.say("node-0 wakes after %.1f s", time.Since(frozen).Seconds())
		time.Sleep(100 * time.Millisecond)
	}
	sent := time.Now()
	status, _ := call(context.Background(), "POST", l.nodes[0].address, "/batch/third", "third", nil, smallJob("third", 12))
	l.say("the third job, at node-0: status %d", status)
	if status != 202 {
		panic("the third job is not accepted")
	}
	for time.Since(sent) < retention+10*time.Second {
		_, _, results := readJob(l.nodes[1], "third", 0)
		after := time.Since(sent)
		for _, result := range results {
			l.say("%s is %s %.3f s after its batch job was sent", result.ID, result.State, after.Seconds())
		}
		if len(results) > 0 {
			return after >= retention
		}
	}
	panic("no item was given up")
}
