package emulator

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// startSilentServer starts a server on a SilentListener. It answers with one line, and with a second
// one after release is closed.
func startSilentServer(t *testing.T, release chan struct{}) *SilentListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	silent := &SilentListener{Listener: listener}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("first\n"))
		w.(http.Flusher).Flush()
		<-release
		_, _ = w.Write([]byte("second\n"))
	})}
	go func() { _ = server.Serve(silent) }()
	t.Cleanup(func() { _ = server.Close() })
	return silent
}

// requestFirstLine sends a request on a new connection and reads the first line of the response.
func requestFirstLine(t *testing.T, address string) (net.Conn, *bufio.Scanner) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte("GET / HTTP/1.0\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(conn)
	for lines.Scan() && lines.Text() != "first" {
	}
	return conn, lines
}

// Guards against data or a close reaching the client of a silenced connection, and against silencing
// connections opened later.
func TestSilentListener_SilencesOpenConnections(t *testing.T) {
	release := make(chan struct{})
	listener := startSilentServer(t, release)
	conn, lines := requestFirstLine(t, listener.Addr().String())
	if count := listener.Silence(); count != 1 {
		t.Fatalf("Silence returned %d, want 1", count)
	}
	close(release)
	if err := conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if lines.Scan() || !errors.Is(lines.Err(), os.ErrDeadlineExceeded) {
		t.Errorf("read %q, error %v on a silent connection, want a read timeout", lines.Text(), lines.Err())
	}
	if _, lines := requestFirstLine(t, listener.Addr().String()); !lines.Scan() || lines.Text() != "second" {
		t.Errorf("read %q, error %v on a new connection, want the second line", lines.Text(), lines.Err())
	}
}
