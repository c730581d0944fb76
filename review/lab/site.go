package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	host = "calls.example"
	// readyTime bounds the start of all nodes.
	readyTime = 30 * time.Second
	pollTime  = 50 * time.Millisecond
	nodeGrace = 8 * time.Second
	headTime  = 15 * time.Second
	firstPort = 7720
)

// zones are the zones of a small deployment in one region.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// site is a small deployment: a store, nodes and replicas.
type site struct {
	directory string
	// ip is the loopback address at which stand-ins listen, nodeIP that of the nodes, whose next port is
	// nextPort. Outgoing connections come from another one.
	ip, nodeIP string
	nextPort   int
	began      time.Time
	store      *standin.Store
	nodes      []*node
	replicas   []*server
	closers    []func()
	objectsMu  sync.Mutex

	mu  sync.Mutex
	out io.Writer
	// runs are the reports of all replicas, in the order of their arrival.
	runs []seenRun
	// lastRun is when the last of them arrived.
	lastRun time.Time
}

// seenRun is what a replica reported of a request.
type seenRun struct {
	report
	replica string
}

// node is a node of the product, a process of its own, with its own way to the store.
type node struct {
	id                string
	address, ready    string
	peers, metrics    string
	storePath         *cutter
	command           *exec.Cmd
	settings, logFile string
}

// server is a replica, a process of its own.
type server struct {
	id, address, zone, version string
	slots                      int
	born                       time.Time
	command                    *exec.Cmd
	exited                     chan struct{}
}

func newSite(out io.Writer, directory string) *site {
	s := &site{directory: directory, ip: "127.0.0.1", nodeIP: "127.0.0.1", nextPort: firstPort, began: time.Now(), out: out, store: standin.NewStore()}
	// Cases that run at the same time have addresses of their own where the machine has more than one.
	network := fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%200, 1+os.Getpid()/200%200)
	if isUsable(network+"2") && isUsable(network+"3") {
		s.ip, s.nodeIP = network+"2", network+"3"
	}
	return s
}

// isUsable reports whether a loopback address can be listened on and reached.
func isUsable(ip string) bool {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// record writes a line with the time since the start.
func (s *site) record(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes of the site.
func (s *site) close() {
	for _, n := range s.nodes {
		if n.command != nil {
			_ = n.command.Process.Kill()
			_ = n.command.Wait()
		}
	}
	for _, r := range s.replicas {
		_ = r.command.Process.Kill()
		<-r.exited
	}
	for _, closer := range s.closers {
		closer()
	}
}

// configure writes the operator's configuration.
func (s *site) configure(routes ...map[string]any) {
	for _, route := range routes {
		route["host"], route["service"] = host, "llm"
	}
	s.store.Put("op", "config", map[string]any{
		"version": 1, "routes": routes,
		"services": []map[string]any{{"name": "llm", "healthPath": "/health"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000, "idleTimeoutMs": 60000},
	})
}

// batchRoute is the route of the batch jobs, with the figures of the small sites.
func batchRoute() map[string]any {
	return map[string]any{
		"name": "batch", "pathPrefix": "/batch/", "routeType": "batch", "sloMs": 500, "timeoutMs": 30000, "maxAttempts": 3,
		"priority": 2, "completionTargetMs": 20000, "retentionS": 60, "maxQueuedTokens": 1600000,
	}
}

// startReplica starts a replica and lists it.
func (s *site) startReplica(r *server, options ...string) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	arguments := append([]string{"replica", "--id", r.id, "--version", r.version, "--slots", fmt.Sprint(r.slots), "--ip", s.ip}, options...)
	r.command = exec.Command(executable, arguments...)
	r.command.Stderr = os.Stderr
	output, err := r.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := r.command.Start(); err != nil {
		return err
	}
	r.born, r.exited = time.Now(), make(chan struct{})
	s.replicas = append(s.replicas, r)
	lines := bufio.NewScanner(output)
	var first report
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &first) != nil {
		return errors.New("a replica did not start")
	}
	r.address = first.Address
	go func() {
		for lines.Scan() {
			var line report
			if json.Unmarshal(lines.Bytes(), &line) == nil {
				s.see(r, line)
			}
		}
		_ = r.command.Wait()
		close(r.exited)
	}()
	s.list(r, "ready")
	return nil
}

// list writes the entry of a replica.
func (s *site) list(r *server, state string) {
	s.store.Put("servers", r.id, map[string]any{
		"service": "llm", "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"coldLeftMs": 0, "callSeq": 0, "born": r.born.UnixMilli(),
	})
}

// see records what a replica reported.
func (s *site) see(r *server, line report) {
	s.record("replica %s: %s %s %d %s", r.id, line.Kind, line.Request, line.After, line.Detail)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, seenRun{line, r.id})
	s.lastRun = time.Now()
}

// lastSeen returns when a replica last reported anything of a request.
func (s *site) lastSeen() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRun
}

// seen returns the reports of one kind.
func (s *site) seen(kind string) []seenRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []seenRun
	for _, run := range s.runs {
		if run.Kind == kind {
			found = append(found, run)
		}
	}
	return found
}

// startNodes starts nodes and waits until all of them are ready.
func (s *site) startNodes(count int) error {
	ip := s.ip
	for i := range count {
		n := &node{id: fmt.Sprintf("front-%d", i+1)}
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return err
		}
		httpServer := &http.Server{Handler: limitedStore{s.store.ForCaller(n.id), &s.objectsMu, s.record}, ReadHeaderTimeout: headTime}
		go func() { _ = httpServer.Serve(listener) }()
		s.closers = append(s.closers, func() { _ = httpServer.Close() })
		if n.storePath, err = newCutter(s.ip, listener.Addr().String()); err != nil {
			return err
		}
		s.closers = append(s.closers, n.storePath.close)
		for _, address := range []*string{&n.address, &n.ready, &n.peers, &n.metrics} {
			if *address, err = s.freeAddress(); err != nil {
				return err
			}
		}
		s.nodes = append(s.nodes, n)
	}
	for i, n := range s.nodes {
		if err := s.startNode(n, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
		s.record("node %s is ready", n.id)
	}
	// Nodes learn of each other with their first renewals.
	time.Sleep(3 * time.Second)
	return nil
}

// startNode writes the settings that the deploy file's template gives, and runs its command.
func (s *site) startNode(n *node, zone string) error {
	places := map[string]string{}
	for _, name := range zones {
		places[name] = "region-1"
	}
	var seeds []string
	for _, other := range s.nodes {
		seeds = append(seeds, other.peers)
	}
	settings, err := json.Marshal(map[string]any{
		"node": map[string]any{"id": n.id, "zone": zone, "region": "region-1", "zones": places, "listen": n.address},
		"gateway": map[string]any{
			"store": n.storePath.address, "storeWrites": 800, "readiness": n.ready, "metrics": n.metrics,
			"grace": nodeGrace.String(), "keepJobs": "120s", "memoryMegabytes": 304,
			"capacity": map[string]any{"cores": 0.8, "linkMbps": 1000}, "routing": map[string]any{"crossZone": "6ms", "crossRegion": "40ms"},
			"peers": n.peers, "seeds": seeds, "settle": "1000ms",
		},
		"log": map[string]any{"level": "info"},
	})
	if err != nil {
		return err
	}
	n.settings, n.logFile = filepath.Join(s.directory, n.id+".yaml"), filepath.Join(s.directory, n.id+".log")
	// JSON is YAML too.
	if err := os.WriteFile(n.settings, settings, 0o600); err != nil {
		return err
	}
	log, err := os.Create(n.logFile)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command(filepath.Join("target", "wheelhoist"), "node", "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	return n.command.Start()
}

// awaitReady waits until the node answers its readiness check with 200.
func (n *node) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTime); time.Now().Before(deadline); time.Sleep(pollTime) {
		response, err := client.Get("http://" + n.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	log, _ := os.ReadFile(n.logFile)
	return fmt.Errorf("node %s is not ready: %s", n.id, log)
}

// client returns a client of a node that opens a new connection for each call.
func (n *node) client() *standin.Client { return &standin.Client{Address: n.address, Host: host} }

// freeAddress returns an address that is free for TCP and UDP. Nodes have a loopback address of their own,
// so that nothing else takes the port before they do.
func (s *site) freeAddress() (string, error) {
	for range 100 {
		address := net.JoinHostPort(s.nodeIP, strconv.Itoa(s.nextPort))
		s.nextPort++
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// limitedStore adds the condition of blob-put and the limits of a transaction to the project's stand-in of the
// store.
type limitedStore struct {
	handler http.Handler
	// mu is shared by the ways of all nodes to the store.
	mu     *sync.Mutex
	record func(format string, arguments ...any)
}

// ServeHTTP implements http.Handler.
func (l limitedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/rows-tx" && !l.checkLimits(w, r) {
		return
	}
	name, isPut := strings.CutPrefix(r.URL.Path, "/v1/blob-put/")
	if !isPut {
		l.handler.ServeHTTP(w, r)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Header.Get("If-None-Match") == "*" {
		get, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "/v1/blob-get/"+name, http.NoBody)
		found := &statusOnly{header: http.Header{}, status: http.StatusOK}
		if err == nil {
			l.handler.ServeHTTP(found, get)
		}
		if found.status == http.StatusOK {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	l.handler.ServeHTTP(w, r)
}

// Limits of a transaction.
const (
	maxEntries = 100
	maxBytes   = 1_000_000
)

// checkLimits refuses a transaction that exceeds the limits of the store. It reports whether the
// transaction may go on.
func (l limitedStore) checkLimits(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	var lists struct {
		Expected []json.RawMessage `json:"expectedRev"`
		Put      []json.RawMessage `json:"put"`
		Remove   []json.RawMessage `json:"remove"`
	}
	if err != nil || json.Unmarshal(body, &lists) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if entries := len(lists.Expected) + len(lists.Put) + len(lists.Remove); entries > maxEntries || len(body) > maxBytes {
		l.record("the store refuses a transaction of %d entries and %d bytes", entries, len(body))
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// statusOnly is an http.ResponseWriter that keeps only the status.
type statusOnly struct {
	header http.Header
	status int
}

func (s *statusOnly) Header() http.Header            { return s.header }
func (s *statusOnly) Write(body []byte) (int, error) { return len(body), nil }
func (s *statusOnly) WriteHeader(status int)         { s.status = status }

// cutter is a node's path to the store, which can be cut.
type cutter struct {
	address  string
	target   string
	listener net.Listener

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

func newCutter(ip, target string) (*cutter, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	c := &cutter{address: listener.Addr().String(), target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	go c.accept()
	return c, nil
}

func (c *cutter) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.pass(conn)
	}
}

// pass copies one connection in both directions until one side ends or the path is cut.
func (c *cutter) pass(near net.Conn) {
	if !c.add(near) {
		reset(near)
		return
	}
	defer c.remove(near)
	far, err := net.Dial("tcp", c.target)
	if err != nil {
		reset(near)
		return
	}
	if !c.add(far) {
		reset(near)
		reset(far)
		return
	}
	defer c.remove(far)
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	_, _ = io.Copy(near, far)
	_ = near.Close()
}

func (c *cutter) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCut {
		return false
	}
	c.conns[conn] = struct{}{}
	return true
}

func (c *cutter) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// cut resets all connections, and new ones from now on.
func (c *cutter) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = true
	for conn := range c.conns {
		reset(conn)
	}
}

func (c *cutter) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = false
}

func (c *cutter) close() {
	_ = c.listener.Close()
	c.cut()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
