package node

import (
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"
)

// fullListener listens with a queue that is full, so that no further connection is established until its
// connections are accepted.
func fullListener(t *testing.T) net.Listener {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(socket), "listener")
	defer func() { _ = file.Close() }()
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(socket, 0); err != nil {
		t.Fatal(err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return listener
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// TestGateway_PauseBeforeAConnectionIsNoFault guards against a sound server that is ejected, as if it were gone,
// because it accepts no connection for a second. A request that waits for the connection goes on elsewhere.
func TestGateway_PauseBeforeAConnectionIsNoFault(t *testing.T) {
	const pause = time.Second
	site := newGatewaySite(t, 0)
	listener := fullListener(t)
	sound, soundAddress := newGatedServer(t)
	paused := &gatedServer{begin: sound.begin, finish: sound.finish}
	close(sound.begin)
	close(sound.finish)
	site.listServer("i-paused", listener.Addr().String(), "ready")
	site.listServer("i-sound", soundAddress, "ready")
	site.store.Put("op", "config", changeableConfig(2))
	gateway := site.launch("a", nil)
	site.eventually("gateway ready", func() bool {
		return gateway.Ready() && gateway.routes.Load().Version == 2 && len(gateway.replicas.Snapshot("llm", 0, time.Now())) == 2
	})
	for began := time.Now(); time.Since(began) < pause; {
		requests := slices.DeleteFunc(rawRequests(), func(r *rawRequest) bool { return r.after != "" || r.pipelined > 1 })
		for _, request := range requests {
			request.send(t, gateway.settings.Node.Listen)
		}
		for _, request := range requests {
			if err := request.answers(); err != nil {
				t.Errorf("%s: %v", request.name, err)
			}
		}
		if _, ejected := gateway.replicas.Count(time.Now()); ejected > 0 {
			t.Fatalf("ejected %v after the begin of the pause", time.Since(began))
		}
	}
	server := &http.Server{Handler: paused, ReadHeaderTimeout: time.Second}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	site.eventually("request at the server that had paused", func() bool {
		status, _, _ := site.call(gateway, http.MethodPost, "/safe/x", "later", nil)
		return status == http.StatusOK && paused.received.Load() > 0
	})
}
