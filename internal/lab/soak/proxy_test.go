package soak

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// Silenced connections deliver nothing more, not even the end of an answer in progress or of the
// connection. New ones work, also after the server has crashed and is back.
func TestProxy_Silence(t *testing.T) {
	more := make(chan struct{})
	s := &soak{}
	t.Cleanup(s.close)
	address, err := s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("first\n"))
		w.(http.Flusher).Flush()
		select {
		case <-more:
		case <-r.Context().Done():
		}
		_, _ = w.Write([]byte("second\n"))
	}))
	if err != nil {
		t.Fatal(err)
	}
	proxy, err := startProxy(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.close)
	get := func() (net.Conn, *bufio.Scanner) {
		conn, err := net.Dial("tcp", proxy.address())
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
	silenced, _ := get()
	proxy.silence()
	close(more)
	expectNoData := func(when string) {
		if err := silenced.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(silenced)
		if lines.Scan() || !errors.Is(lines.Err(), os.ErrDeadlineExceeded) {
			t.Errorf("%s: read %q, error %v", when, lines.Text(), lines.Err())
		}
	}
	expectNoData("after the end of the answer")
	if _, lines := get(); !lines.Scan() || lines.Text() != "second" {
		t.Errorf("a new connection got %q", lines.Text())
	}
	proxy.refuse()
	expectNoData("after the crash of the server")
	if err := proxy.acceptAgain(); err != nil {
		t.Fatal(err)
	}
	if _, lines := get(); !lines.Scan() || lines.Text() != "second" {
		t.Errorf("a connection after the crash got %q", lines.Text())
	}
}

// Guards against a server's reset that reaches the caller as the normal end of the connection.
func TestProxy_PassesAResetOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		resetOnClose(conn)
		_ = conn.Close()
	}()
	proxy, err := startProxy(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.close)
	conn, err := net.Dial("tcp", proxy.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v", err)
	}
}
