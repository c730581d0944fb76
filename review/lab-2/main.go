//go:build linux

// Command lab-2 plays the cases of the second review against nodes that run as processes. All of it is on
// loopback addresses and the real clock.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const host = "site.example"

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	startLimit  = 20 * time.Second
	callTimeout = 6 * time.Second
)

// cases are the scripts by name. Each returns whether the rule held.
var cases = map[string]func(*lab) bool{
	"restart": restartCase, "reborn": rebornCase, "manyitems": manyItemsCase, "memory": memoryCase, "expiry": expiryCase,
	"versions": versionsCase, "target": targetCase,
}

// lab is the surroundings of one case.
type lab struct {
	binary, temp string
	trouble      bool
	store        *standin.Store
	storeAddress string
	// front, if set, stands before the store.
	front http.Handler
	// fronts holds the handlers of nodes for which another one stands before the store.
	fronts map[string]http.Handler
	nodes  []*node
	// servers are the model servers that run as processes.
	servers []*serverProcess
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func main() {
	if len(os.Args) == 8 && os.Args[1] == "server" {
		os.Exit(serverMain(os.Args[2], os.Args[3], os.Args[4], number(os.Args[5]), number(os.Args[6]), number(os.Args[7])))
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab-2 CASE NODE-PROGRAM RECORD")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	check(err)
	return n
}

// smallConfig is the configuration of a small deployment. maxAttempts, timeouts and limits are those of the sites.
func smallConfig(version int) map[string]any {
	return map[string]any{
		"version": version, "services": []map[string]any{{"name": "llm", "healthPath": "/health"}},
		"routes": []map[string]any{
			{"name": "stream", "host": host, "pathPrefix": "/stream/", "routeType": "stream", "service": "llm", "timeoutMs": 4000, "sloMs": 250, "maxAttempts": 2, "resumable": true, "gapTargetMs": 300, "priority": 0},
			{"name": "batch", "host": host, "pathPrefix": "/batch/", "routeType": "batch", "service": "llm", "timeoutMs": 30000, "sloMs": 500, "maxAttempts": 3, "completionTargetMs": 20000, "retentionS": 60, "maxQueuedTokens": 1600000, "priority": 2},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func play(name, binary, recordPath string) (code int) {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitCannot
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return exitCannot
	}
	l := &lab{binary: binary, temp: temp, trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore(), began: time.Now(), record: record}
	defer func() {
		if reason := recover(); reason != nil {
			l.say("cannot run: %v", reason)
			code = exitCannot
		}
		for _, n := range l.nodes {
			n.stop()
			if keep := os.Getenv("KEEP_LOGS"); keep != "" {
				if log, err := os.ReadFile(n.log); err == nil {
					_ = os.WriteFile(filepath.Join(keep, n.id+".log"), log, 0o600)
				}
			}
		}
		for _, s := range l.servers {
			s.kill()
		}
		_ = os.RemoveAll(temp)
	}()
	played := cases[name]
	if played == nil {
		return exitCannot
	}
	l.say("case %s, disruption %v", name, l.trouble)
	held := played(l)
	l.say("the rule held: %v", held)
	if held {
		return exitHeld
	}
	return exitBroken
}

// say writes a line to the record.
func (l *lab) say(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = io.WriteString(l.record, line)
	_, _ = io.WriteString(os.Stdout, line)
}

// serve serves a handler on a free loopback port.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 15 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// addServer starts a model server and lists it.
func (l *lab) addServer(server *standin.Server, zone string) {
	address := serve(server)
	l.store.Put("servers", server.ID, standin.ServerRow(address, zone, server.Slots, false))
}

// startNodes starts nodes, one zone after the other, and waits until they are ready.
func (l *lab) startNodes(count int, m machine) {
	if l.front == nil {
		l.front = l.store
	}
	l.storeAddress = serve(l.front)
	for i := range count {
		id, store := "node-"+strconv.Itoa(i), l.storeAddress
		if own := l.fronts[id]; own != nil {
			store = serve(own)
		}
		l.nodes = append(l.nodes, newNode(l, id, string(rune('a'+i%3)), store, m))
	}
	for _, n := range l.nodes {
		n.start()
	}
	for _, n := range l.nodes {
		if !n.awaitReady(startLimit) {
			panic("a node is not ready")
		}
	}
}

// call makes one call on a new connection. The status is 0 without a whole answer.
func call(ctx context.Context, method, address, path, id string, header map[string]string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	check(err)
	request.Host, request.Close = host, true
	request.Header.Set("Request-Id", id)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

type item struct {
	ID         string            `json:"id"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       []byte            `json:"body"`
	TokenCount int               `json:"tokenCount"`
}

// jobBody encodes a job.
func jobBody(items []item) []byte {
	body, err := json.Marshal(map[string]any{"requests": items})
	check(err)
	return body
}
