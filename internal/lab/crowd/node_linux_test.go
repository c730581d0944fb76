package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/command"
	"github.com/wheelhoist/wheelhoist/internal/lab/port"
	"github.com/wheelhoist/wheelhoist/internal/lab/tail"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	host = "site.example"
	// smallMachine and mediumMachine are the memory of machines in megabytes.
	smallMachine  = 144
	mediumMachine = 304
	// maxBody and maxHeader are the limits of the configuration in bytes.
	maxBody   = 4 << 20
	maxHeader = 16 << 10
	// manyDescriptors is a limit of descriptors that no crowd of these tests reaches.
	manyDescriptors = 8200
	// giveUp bounds all waiting of a test.
	giveUp = time.Minute
	// descriptorsEnv is the variable that limits the descriptors of a node's process.
	descriptorsEnv = "WHEELHOIST_TEST_DESCRIPTORS"
)

// TestMain runs the node command if a test starts the test binary as a node.
func TestMain(m *testing.M) {
	if len(os.Args) < 2 || os.Args[1] != "node" {
		os.Exit(m.Run())
	}
	if limit, err := strconv.ParseUint(os.Getenv(descriptorsEnv), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
			panic(err)
		}
	}
	os.Exit(command.Main(os.Args[1:]))
}

// machine is what a node may use.
type machine struct {
	// megabytes is its memory, descriptors the limit of its process.
	megabytes, descriptors int
}

// testedNode is a node that runs as a process of its own.
type testedNode struct {
	t       *testing.T
	machine machine
	pid     int
	exited  <-chan struct{}
	log     *tail.Writer
	// address is that of the callers' listener. readiness, metrics and peers are empty for a node of the
	// product's own interface.
	address, readiness, metrics, peers string
	// ordinary sends a request inside the limits and returns its status.
	ordinary func(client *http.Client) (int, error)
}

// startGateway starts a gateway beside a store and servers that stand in for the platform.
func startGateway(t *testing.T, machine machine) *testedNode {
	t.Helper()
	return startGatewayWithHeadTime(t, machine, 10*time.Second)
}

// startGatewayWithHeadTime starts a gateway whose configuration gives callers headTime for a head.
func startGatewayWithHeadTime(t *testing.T, machine machine, headTime time.Duration) *testedNode {
	t.Helper()
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	for i := range 4 {
		server := &standin.Server{ID: fmt.Sprintf("i-%d", i), Events: 6, EventTime: 2 * time.Millisecond}
		httpServer := httptest.NewServer(server)
		t.Cleanup(httpServer.Close)
		store.Put("servers", server.ID, standin.ServerRow(httpServer.Listener.Addr().String(), "z", 8, false))
	}
	config := standin.NewConfig(1, host, 0, "resume").(map[string]any)
	config["limits"] = map[string]any{"maxHeaderBytes": maxHeader, "maxBodyBytes": maxBody, "headerTimeoutMs": headTime.Milliseconds(), "idleTimeoutMs": 60000}
	store.Put("op", "config", config)
	n := &testedNode{t: t, machine: machine, address: freeAddress(t), readiness: freeAddress(t), metrics: freeAddress(t), peers: freeAddress(t)}
	n.ordinary = func(client *http.Client) (int, error) {
		return send(client, "http://"+n.address+"/resume/x", "question", http.Header{"Model": {"m"}})
	}
	n.start(fmt.Sprintf(`
node: {id: a, zone: z, listen: %q}
gateway:
  store: %q
  readiness: %q
  metrics: %q
  peers: %q
  memoryMegabytes: %d
`, n.address, storeServer.Listener.Addr(), n.readiness, n.metrics, n.peers, machine.megabytes))
	n.requireAnswer("before the crowd")
	return n
}

// start runs the test binary as a node.
func (n *testedNode) start(settings string) {
	n.t.Helper()
	path := filepath.Join(n.t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		n.t.Fatal(err)
	}
	executable, err := os.Executable()
	if err != nil {
		n.t.Fatal(err)
	}
	process := exec.Command(executable, "node", "--settings", path)
	process.Env = append(os.Environ(), fmt.Sprintf("%s=%d", descriptorsEnv, n.machine.descriptors))
	n.log = &tail.Writer{}
	process.Stdout, process.Stderr = n.log, n.log
	if err := process.Start(); err != nil {
		n.t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		// A node that ends by itself is reported by requireAlive.
		_ = process.Wait()
		close(exited)
	}()
	n.pid, n.exited = process.Process.Pid, exited
	n.t.Cleanup(func() {
		_ = process.Process.Kill()
		<-exited
	})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := port.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// requireAlive fails the test if the node's process has ended.
func (n *testedNode) requireAlive() {
	n.t.Helper()
	select {
	case <-n.exited:
		n.t.Fatalf("the process has ended; the end of its log:\n%s", n.log)
	default:
	}
}

// requireAnswer fails the test unless an ordinary caller, who tries again on new connections, gets a success.
func (n *testedNode) requireAnswer(when string) {
	n.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var status int
	var err error
	for began := time.Now(); time.Since(began) < giveUp; time.Sleep(100 * time.Millisecond) {
		n.requireAlive()
		if status, err = n.ordinary(client); err == nil && status == http.StatusOK {
			return
		}
	}
	n.t.Errorf("%s: an ordinary request is not answered: status %d, %v", when, status, err)
}

// requireBounds fails the test if the node uses more than its machine has. Bytes that have arrived and are not
// read count as its memory.
func (n *testedNode) requireBounds() {
	n.t.Helper()
	n.requireAlive()
	peak, unread := n.peakBytes(), n.unreadBytes()
	descriptors := n.openDescriptors()
	n.t.Logf("peak %d MB, %d MB unread, %d descriptors", peak>>20, unread>>20, descriptors)
	if peak+unread > int64(n.machine.megabytes)<<20 {
		n.t.Errorf("the process needs %d MB and %d MB unread of %d MB", peak>>20, unread>>20, n.machine.megabytes)
	}
	if descriptors >= n.machine.descriptors {
		n.t.Errorf("the process has %d descriptors open of %d", descriptors, n.machine.descriptors)
	}
}

// peakBytes returns the largest resident memory of the process so far.
func (n *testedNode) peakBytes() int64 {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid))
	if err != nil {
		n.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		value, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		if err != nil {
			n.t.Fatal(err)
		}
		return kilobytes << 10
	}
	n.t.Fatal("the process has no peak of its memory")
	return 0
}

// unreadBytes returns the bytes that have arrived at the node's listeners and are not read.
func (n *testedNode) unreadBytes() int64 {
	n.t.Helper()
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		n.t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	ports := n.hexPorts()
	const listening = "0A"
	total := int64(0)
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, local, _ := strings.Cut(fields[1], ":")
		_, queue, _ := strings.Cut(fields[4], ":")
		if bytes, err := strconv.ParseInt(queue, 16, 64); err == nil && ports[local] {
			total += bytes
		}
	}
	return total
}

// hexPorts returns the ports of the node's listeners as /proc/net/tcp writes them.
func (n *testedNode) hexPorts() map[string]bool {
	ports := map[string]bool{}
	for _, address := range []string{n.address, n.readiness, n.metrics, n.peers} {
		if _, text, err := net.SplitHostPort(address); err == nil {
			number, _ := strconv.Atoi(text)
			ports[fmt.Sprintf("%04X", number)] = true
		}
	}
	return ports
}

func (n *testedNode) openDescriptors() int {
	n.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid))
	if err != nil {
		n.t.Fatal(err)
	}
	return len(entries)
}
