package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// waitLimit bounds all waiting in these tests.
const waitLimit = 20 * time.Second

// testServer is a server behind a guard whose handler reads whole bodies and answers with their length. Requests
// for /wait are answered once finish is closed.
type testServer struct {
	t       *testing.T
	guard   *Guard
	address string
	// waiting gets a value for each request for /wait whose body has been read.
	waiting chan struct{}
	finish  chan struct{}
}

func newTestServer(t *testing.T, guard *Guard) *testServer {
	t.Helper()
	s := &testServer{t: t, guard: guard, waiting: make(chan struct{}, 100), finish: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	guard.Protect(server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(guard.Listener(listener))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	s.address = listener.Addr().String()
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		if r.URL.Path == "/wait" {
			s.waiting <- struct{}{}
			<-s.finish
		}
		_, _ = fmt.Fprint(w, len(body))
	}
}

// client is a connection to the server.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) connect() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return &client{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// post sends a request that announces a body, and a part of it.
func (c *client) post(path string, announced, sent int) {
	c.t.Helper()
	c.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, announced, strings.Repeat("x", sent)))
}

// answer returns the status and body of the next answer, 0 if the connection ends without one.
func (c *client) answer() (int, string) {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(waitLimit))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
			c.t.Fatal("no answer, and the connection does not end")
		}
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// Guards against a refusal that waits for the rest of a body, and against connections that stay open after it.
func TestGuard_AnswersBeforeTheBody(t *testing.T) {
	s := newTestServer(t, &Guard{})
	c := s.connect()
	c.post("/unread", 200_000, 100_000)
	if status, _ := c.answer(); status != http.StatusNotFound {
		t.Errorf("status %d", status)
	}
	if status, _ := c.answer(); status != 0 {
		t.Errorf("second status %d", status)
	}
}

// Guards against a connection that is closed though its request was read whole.
func TestGuard_KeepsConnectionsOfWholeRequests(t *testing.T) {
	s := newTestServer(t, &Guard{})
	c := s.connect()
	for i, request := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		c.send(request)
		if status, _ := c.answer(); status != http.StatusOK {
			t.Fatalf("request %d: status %d", i, status)
		}
	}
}
