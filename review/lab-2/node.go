//go:build linux

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is what a node of a small deployment may use, as in the site files.
type machine struct {
	megabytes, descriptors int
}

// node is a gateway that runs as a process of its own, started as the deploy file says.
type node struct {
	id, binary, settings, log          string
	address, readiness, metrics, peers string
	machine                            machine

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// killedForMemory counts the ends for memory, peakK is the most memory that was seen, in KB.
	killedForMemory, peakK int
	// stopping is set while the process is not to be started again.
	stopping bool
}

// Ports are taken from below the range from which the system gives connections theirs.
const firstPort, portCount = 20000, 10000

// taken holds the ports that this program has given out.
var taken = map[int]bool{}

// freePort returns a free loopback address. It gives no address out twice.
func freePort() string {
	for {
		port := firstPort + rand.IntN(portCount)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = packets.Close()
		if !taken[port] {
			taken[port] = true
			return address
		}
	}
}

func newNode(l *lab, id, zone, store string, m machine) *node {
	n := &node{
		id: id, binary: l.binary, settings: filepath.Join(l.temp, id+".yaml"), log: filepath.Join(l.temp, id+".log"),
		address: freePort(), readiness: freePort(), metrics: freePort(), peers: freePort(), machine: m,
	}
	text := fmt.Sprintf(`node:
  id: %q
  zone: %q
  region: "r"
  zones: {"a":"r","b":"r","c":"r"}
  listen: %q
gateway:
  store: %q
  storeWrites: 800
  readiness: %q
  metrics: %q
  grace: "8s"
  keepJobs: "120s"
  memoryMegabytes: %d
  descriptors: %d
  capacity:
    cores: 0.8
    linkMbps: 1000.0
  routing: {crossZone: 6ms, crossRegion: 40ms}
  peers: %q
  settle: "1000ms"
log:
  level: info
`, id, zone, n.address, store, n.readiness, n.metrics, m.megabytes, m.descriptors, n.peers)
	check(os.WriteFile(n.settings, []byte(text), 0o600))
	return n
}

// start starts the process. If it ends by itself, or is killed for its memory, it is started again.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startLocked()
}

func (n *node) startLocked() {
	logFile, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer func() { _ = logFile.Close() }()
	command := exec.Command(n.binary, "node", "--settings", n.settings)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WHEELHOIST_BOOT=" + n.settings}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(command.Start())
	n.command, n.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		close(exited)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.stopping {
			return
		}
		time.Sleep(300 * time.Millisecond)
		n.startLocked()
	}(n.exited)
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.command.Process.Signal(s)
}

// stop ends the process for good.
func (n *node) stop() {
	n.mu.Lock()
	n.stopping = true
	_ = n.command.Process.Kill()
	exited := n.exited
	n.mu.Unlock()
	<-exited
}

// killFor kills the process and starts it again after a time.
func (n *node) killFor(down time.Duration) {
	n.mu.Lock()
	n.stopping = true
	_ = n.command.Process.Kill()
	exited := n.exited
	n.mu.Unlock()
	<-exited
	time.Sleep(down)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = false
	n.startLocked()
}

// residentKB returns the resident memory of the process.
func (n *node) residentKB() int {
	n.mu.Lock()
	pid := n.command.Process.Pid
	n.mu.Unlock()
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(body) {
		if rest, ok := strings.CutPrefix(string(line), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// watchMemory kills the process whenever it holds more than its machine has, as DEPLOY says.
func (n *node) watchMemory(done <-chan struct{}, report func(string, ...any)) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kb := n.residentKB()
		n.mu.Lock()
		n.peakK = max(n.peakK, kb)
		over := kb > n.machine.megabytes<<10
		if over {
			n.killedForMemory++
			_ = n.command.Process.Kill()
		}
		exited := n.exited
		n.mu.Unlock()
		if over {
			report("%s holds %d MB of %d: killed as over its memory", n.id, kb>>10, n.machine.megabytes)
			<-exited
			time.Sleep(400 * time.Millisecond)
		}
	}
}

// peakMB returns the most memory that a process of the node was seen to hold.
func (n *node) peakMB() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peakK >> 10
}

// memoryEnds returns how often a process of the node was killed for its memory.
func (n *node) memoryEnds() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killedForMemory
}

// ready reports whether the node says that it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (n *node) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.ready() {
			return true
		}
	}
	return false
}
