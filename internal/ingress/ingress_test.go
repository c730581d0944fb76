package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
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
	body, err := ReadBody(w, r, 0)
	switch {
	case errors.Is(err, ErrStalled):
		w.WriteHeader(http.StatusRequestTimeout)
	case errors.Is(err, ErrMemoryShort):
		w.WriteHeader(http.StatusServiceUnavailable)
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

func (s *testServer) eventually(description string, condition func() bool) {
	s.t.Helper()
	for began := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(began) > waitLimit {
			s.t.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// Guards against bytes that stay taken after their request or connection has ended.
func TestGuard_GivesBackWhatEndedRequestsTook(t *testing.T) {
	budget := &bytebudget.Budget{}
	s := newTestServer(t, &Guard{Budget: budget})
	kept := s.connect()
	kept.post("/", 1<<20, 1<<20)
	if status, body := kept.answer(); status != http.StatusOK || body != fmt.Sprint(1<<20) {
		t.Fatalf("answer %d %q", status, body)
	}
	s.eventually("room after a request", func() bool { return budget.Used() == 0 })
	gone := s.connect()
	gone.post("/", 1<<20, 1<<19)
	s.eventually("bytes that count", func() bool { return budget.Used() > 0 })
	_ = gone.conn.Close()
	s.eventually("room after a connection", func() bool { return budget.Used() == 0 })
}

// Guards against bodies that count before they have arrived.
func TestGuard_AnnouncedBytesDoNotCount(t *testing.T) {
	budget := &bytebudget.Budget{Limit: 1 << 20}
	s := newTestServer(t, &Guard{Budget: budget})
	for range 10 {
		s.connect().post("/", 1<<30, 100)
	}
	c := s.connect()
	c.post("/", 400<<10, 400<<10)
	if status, _ := c.answer(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// Guards against clients that stop sending and keep the room of others, and against a refusal that they do not
// get.
func TestGuard_StalledClientsMakeRoom(t *testing.T) {
	// Of the rest of a body that is announced, some are discarded before their connection ends.
	for _, announced := range []int{451 << 10, 1 << 20} {
		budget := &bytebudget.Budget{Limit: 1 << 20}
		s := newTestServer(t, &Guard{Budget: budget})
		stalled := s.connect()
		stalled.post("/", announced, 450<<10)
		s.eventually("bytes that count", func() bool { return budget.Used() >= 400<<10 })
		time.Sleep(stallTime)
		c := s.connect()
		c.post("/", 480<<10, 480<<10)
		if status, _ := c.answer(); status != http.StatusOK {
			t.Errorf("announced %d: status %d", announced, status)
		}
		if status, _ := stalled.answer(); status != http.StatusRequestTimeout {
			t.Errorf("announced %d: status of the stalled client %d", announced, status)
		}
	}
}

// Guards against room that a refused request takes until its connection has ended.
func TestResponseWriter_RefusalGivesBack(t *testing.T) {
	budget := &bytebudget.Budget{}
	serverSide, clientSide := net.Pipe()
	t.Cleanup(func() { _, _ = serverSide.Close(), clientSide.Close() })
	c := newConn(&Guard{Budget: budget}, serverSide)
	if err := c.hold(t.Context(), 1<<20); err != nil {
		t.Fatal(err)
	}
	writer := &responseWriter{ResponseWriter: httptest.NewRecorder(), body: &body{conn: c}}
	writer.WriteHeader(http.StatusRequestTimeout)
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes used after the refusal", used)
	}
}

// Guards against a request that is ended for others though it has been read whole.
func TestGuard_RequestsInProgressAreKept(t *testing.T) {
	budget := &bytebudget.Budget{Limit: 1 << 20}
	s := newTestServer(t, &Guard{Budget: budget, Connections: 1})
	running := s.connect()
	running.post("/wait", 450<<10, 450<<10)
	<-s.waiting
	time.Sleep(stallTime)
	if status, _ := s.connect().answer(); status != 0 {
		t.Errorf("status of a connection beyond the limit %d", status)
	}
	close(s.finish)
	if status, _ := running.answer(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// Guards against a memory budget that requests in progress exceed.
func TestGuard_RefusesWhatHasNoRoom(t *testing.T) {
	budget := &bytebudget.Budget{Limit: 1 << 20}
	s := newTestServer(t, &Guard{Budget: budget})
	running := s.connect()
	running.post("/wait", 450<<10, 450<<10)
	<-s.waiting
	c := s.connect()
	c.post("/", 900<<10, 900<<10)
	if status, _ := c.answer(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	close(s.finish)
	if status, _ := running.answer(); status != http.StatusOK {
		t.Errorf("status of the request in progress %d", status)
	}
}

// Guards against a request that runs though its connection has been closed for a new one, which tells its client
// that it does not run.
func TestGuard_NoRequestBeginsOnAConnectionThatMadeRoom(t *testing.T) {
	for _, begin := range []phase{readingHead, readingBody} {
		guard := &Guard{Budget: &bytebudget.Budget{}, Connections: 1}
		first, second := newConn(guard, &net.TCPConn{}), newConn(guard, &net.TCPConn{})
		guard.add(first)
		first.setPhase(begin)
		if !guard.add(second) {
			t.Fatal("no room for a new connection")
		}
		if first.setPhase(processing) || (&body{conn: first, complete: true}).endRead() {
			t.Error("a request begins")
		}
	}
}

// Guards against idle connections that keep new callers out, and against the end of the wrong one.
func TestGuard_LongestIdleConnectionMakesRoom(t *testing.T) {
	s := newTestServer(t, &Guard{Budget: &bytebudget.Budget{}, Connections: 2})
	first, second := s.connect(), s.connect()
	for _, c := range []*client{second, first} {
		c.post("/", 1, 1)
		if status, _ := c.answer(); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		time.Sleep(10 * time.Millisecond)
	}
	third := s.connect()
	for name, c := range map[string]*client{"new": third, "last used": first} {
		c.post("/", 1, 1)
		if status, _ := c.answer(); status != http.StatusOK {
			t.Errorf("status of the %s connection %d", name, status)
		}
	}
	if status, _ := second.answer(); status != 0 {
		t.Errorf("status of the longest idle connection %d", status)
	}
}

// Guards against clients that keep their connection by single bytes.
func TestGuard_SingleBytesAreNoProgress(t *testing.T) {
	s := newTestServer(t, &Guard{Budget: &bytebudget.Budget{}, Connections: 2})
	trickling := s.connect()
	trickling.post("/", 1000, 1)
	time.Sleep(20 * time.Millisecond)
	idle := s.connect()
	idle.post("/", 1, 1)
	if status, _ := idle.answer(); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	trickling.send("x")
	time.Sleep(20 * time.Millisecond)
	third := s.connect()
	for name, c := range map[string]*client{"new": third, "idle": idle} {
		c.post("/", 1, 1)
		if status, _ := c.answer(); status != http.StatusOK {
			t.Errorf("status of the %s connection %d", name, status)
		}
	}
}

// Guards against heads that are read on beyond their limit, and against a refusal that is lost with the
// connection.
func TestGuard_HeadOverTheLimit(t *testing.T) {
	s := newTestServer(t, &Guard{Budget: &bytebudget.Budget{}, MaxHead: func() int { return 8 << 10 }})
	for name, line := range map[string]string{"long": "A: " + strings.Repeat("x", 30_000), "short": strings.Repeat("a:\r\n", 8_000)} {
		c := s.connect()
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + line)
		if status, _ := c.answer(); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s lines: status %d", name, status)
		}
	}
}

// Guards against plain text in the middle of an encrypted connection.
func TestGuard_EncryptedHeadOverTheLimit(t *testing.T) {
	s := newTestServer(t, &Guard{Budget: &bytebudget.Budget{}, Encrypted: true, MaxHead: func() int { return 8 << 10 }})
	c := s.connect()
	c.send("GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 30_000))
	_ = c.conn.SetReadDeadline(time.Now().Add(waitLimit))
	if answer, _ := io.ReadAll(c.reader); strings.Contains(string(answer), "431") {
		t.Errorf("answer %q", answer)
	}
}

// Guards against heads that together take more than the budget: short lines take many times their bytes.
func TestGuard_HeadsCount(t *testing.T) {
	budget := &bytebudget.Budget{Limit: 256 << 10}
	s := newTestServer(t, &Guard{Budget: budget, RetryAfter: time.Second})
	refused := 0
	for range 4 {
		c := s.connect()
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1000))
		_ = c.conn.SetReadDeadline(time.Now().Add(3 * stallTime))
		response, err := http.ReadResponse(c.reader, nil)
		if err == nil && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
			refused++
		}
	}
	if refused == 0 || budget.Used() > budget.Limit {
		t.Errorf("%d heads refused, %d bytes used", refused, budget.Used())
	}
}

// Guards against heads and idle connections that end before their time, or not at all.
func TestGuard_Timeouts(t *testing.T) {
	timeouts := Timeouts{Head: 300 * time.Millisecond, Idle: time.Hour}
	s := newTestServer(t, &Guard{Budget: &bytebudget.Budget{}, Timeouts: func() Timeouts { return timeouts }})
	silent, slow, idle := s.connect(), s.connect(), s.connect()
	slow.send("GET / HT")
	idle.post("/wait", 1, 1)
	<-s.waiting
	for name, c := range map[string]*client{"silent": silent, "slow": slow} {
		if status, _ := c.answer(); status != 0 && status != http.StatusBadRequest {
			t.Errorf("status of a %s client %d", name, status)
		}
	}
	close(s.finish)
	for range 2 {
		if status, _ := idle.answer(); status != http.StatusOK {
			t.Errorf("status after a request that took longer than a head may, and after a pause: %d", status)
		}
		time.Sleep(2 * timeouts.Head)
		idle.post("/", 1, 1)
	}
}

// Guards against a refusal that waits for the rest of a body, and against connections that stay open after it.
func TestGuard_AnswersBeforeTheBody(t *testing.T) {
	s := newTestServer(t, &Guard{Budget: &bytebudget.Budget{}})
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
	s := newTestServer(t, &Guard{Budget: &bytebudget.Budget{}})
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

// Guards against bodies that change on their way, whatever their size and however they arrive.
func TestReadBody_ReturnsWhatArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.OneOf(rapid.IntRange(0, 40<<10), rapid.SampledFrom([]int{smallBody, smallBody + 1, segmentBytes, segmentBytes + 1, 2 * segmentBytes, 300_000})).Draw(t, "size")
		sent := make([]byte, size)
		for i := range sent {
			sent[i] = byte(i * 7)
		}
		step := rapid.IntRange(1, 100_000).Draw(t, "step")
		request, err := http.NewRequest(http.MethodPost, "/", &stepReader{rest: sent, step: step})
		if err != nil {
			t.Fatal(err)
		}
		request.ContentLength = int64(size)
		if rapid.Bool().Draw(t, "chunked") {
			request.ContentLength = -1
		}
		got, err := ReadBody(nil, request, 0)
		if err != nil || !bytes.Equal(got, sent) {
			t.Fatalf("%d of %d bytes, %v", len(got), size, err)
		}
	})
}

// Guards against a body that ends early and is taken for a whole one, and against the wrong error.
func TestReadBody_Errors(t *testing.T) {
	short := errors.New("connection lost")
	for _, length := range []int64{10, 100_000, -1} {
		request, err := http.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("abc"), &failingReader{short}))
		if err != nil {
			t.Fatal(err)
		}
		request.ContentLength = length
		if _, err := ReadBody(nil, request, 0); !errors.Is(err, short) {
			t.Errorf("length %d: %v", length, err)
		}
	}
	var tooLarge *http.MaxBytesError
	for _, length := range []int64{11, -1} {
		request, err := http.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", 11)))
		if err != nil {
			t.Fatal(err)
		}
		request.ContentLength = length
		if _, err := ReadBody(nil, request, 10); !errors.As(err, &tooLarge) {
			t.Errorf("length %d over the limit: %v", length, err)
		}
	}
}

// stepReader returns at most step bytes at a time.
type stepReader struct {
	rest []byte
	step int
}

func (r *stepReader) Read(buffer []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, r.rest[:min(r.step, len(r.rest))])
	r.rest = r.rest[n:]
	return n, nil
}

type failingReader struct{ err error }

func (r *failingReader) Read([]byte) (int, error) { return 0, r.err }

// The limits leave room for the largest bodies of the platform on the smallest machine, and descriptors for
// replicas.
func TestMachine_Limits(t *testing.T) {
	small := Machine{Megabytes: 144, Descriptors: 300}.Limits()
	if small.Bytes < 2*(4<<20) || small.Connections < minConnections || 2*small.Connections+2*ProbeConnections+small.PeerConnections >= 300 {
		t.Errorf("limits of a small machine: %+v", small)
	}
	if got := (Machine{Megabytes: 256, Requests: 2000}).Limits().Connections; got < 2000 {
		t.Errorf("%d connections for 2000 requests", got)
	}
}

// Guards against a timeout for a head that has fired, but acts only after the request has ended: it must not close
// the connection, which may rest.
func TestConn_TimeoutOfAnEarlierHead(t *testing.T) {
	timeouts := Timeouts{Head: time.Hour, Idle: time.Hour}
	client, accepted := net.Pipe()
	defer func() { _ = client.Close() }()
	c := newConn(&Guard{Budget: &bytebudget.Budget{}, Timeouts: func() Timeouts { return timeouts }}, accepted)
	c.setPhase(processing)
	c.awaitRequest()
	c.endLate()
	if !c.setPhase(readingHead) {
		t.Error("the connection was closed before its timeout")
	}
}
