//go:build linux

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// targetCase sends requests whose path begins with two slashes, and looks what reaches the servers.
func targetCase(l *lab) bool {
	const requests = 10
	config := smallConfig(1)
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
		"name": "all", "host": host, "pathPrefix": "/", "routeType": "stream", "service": "llm", "timeoutMs": 4000,
		"sloMs": 250, "maxAttempts": 1, "resumable": false, "gapTargetMs": 300, "priority": 0,
	})
	l.store.Put("op", "config", config)
	server := &standin.Server{ID: "i-0", Events: 5, EventTime: 5 * time.Millisecond, Slots: 12}
	l.addServer(server, "a")
	l.startNodes(2, machine{304, 8200})
	sent := map[string]string{}
	for i := range requests {
		id, path := fmt.Sprintf("request-%d", i), fmt.Sprintf("/chat/%d?n=%d", i, i)
		if l.trouble {
			path = "/" + path
		}
		sent[id] = path
		status := callRaw(l.nodes[i%len(l.nodes)].address, path, id)
		l.say("%s is sent with the path %s: status %d", id, path, status)
	}
	changed := 0
	for _, run := range server.Runs() {
		l.say("the server runs %s with the path %s", run.ID, run.Target)
		if run.Target != sent[run.ID] {
			changed++
		}
	}
	l.say("%d of %d requests ran with a changed path", changed, requests)
	if len(server.Runs()) < requests/2 {
		panic("the requests were not run")
	}
	return changed == 0
}

// callRaw sends a request with a path as it stands on the wire. The status is 0 without a whole answer.
func callRaw(address, path, id string) int {
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	check(conn.SetDeadline(time.Now().Add(callTimeout)))
	const body = "prompt"
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 40,5\r\n"+
		"Deadline-Ms: 4000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", path, host, id, len(body), body)
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
