package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// lateRequest is a request whose body is still arriving when its gateway stops.
type lateRequest struct {
	path string
	// bodyEnd is when the body is complete, after the stop began; 0 if never.
	bodyEnd time.Duration
	// served says that the gateway has time to serve the request.
	served bool
}

// lateAnswer is the answer to a lateRequest.
type lateAnswer struct {
	status int
	text   string
	err    error
}

// openLate sends the head and the begin of a request.
func openLate(t *testing.T, gateway *Gateway, path, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", gateway.settings.Node.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nContent-Length: 4\r\n\r\nbo", path, siteHost, id)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// endLate completes a request and reads the answer until its connection ends.
func endLate(conn net.Conn, bodyEnd time.Duration) lateAnswer {
	if bodyEnd > 0 {
		time.Sleep(bodyEnd)
		// An error means that the gateway has answered already, or cut the connection.
		_, _ = io.WriteString(conn, "dy")
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return lateAnswer{err: err}
	}
	text, err := io.ReadAll(response.Body)
	return lateAnswer{status: response.StatusCode, text: string(text), err: err}
}

// Guards against requests that are taken late in a planned stop, sent to a replica, and cut when the gateway ends.
func TestGateway_StopAnswersLateRequests(t *testing.T) {
	// The gateways of a site have a grace period of 4 s, of which 3.4 s are for requests.
	site := newGatewaySite(t, 1)
	server := site.servers[0]
	server.EventTime = 120 * time.Millisecond
	site.configure(2, "resume", "once", "plain")
	gateway := site.start("a")
	site.eventually("routes in force", func() bool { return gateway.routes.Load().Version == 2 })
	var requests []lateRequest
	for _, path := range []string{"/resume/x", "/once/x", "/plain/x"} {
		if status, text, _ := site.call(gateway, http.MethodPost, path, "before"+path[1:5], nil); status != http.StatusOK {
			t.Fatalf("%s: %d %q", path, status, text)
		}
		requests = append(requests,
			lateRequest{path, 300 * time.Millisecond, true}, lateRequest{path, 1500 * time.Millisecond, true},
			lateRequest{path, 2900 * time.Millisecond, false}, lateRequest{path, 3100 * time.Millisecond, false}, lateRequest{path, 0, false})
	}
	requests = append(requests, lateRequest{"/batch/j", 0, false})
	conns := make([]net.Conn, len(requests))
	for i, request := range requests {
		conns[i] = openLate(t, gateway, request.path, fmt.Sprint("late", i))
	}
	time.Sleep(100 * time.Millisecond)
	answers := make([]lateAnswer, len(requests))
	var callers sync.WaitGroup
	for i, request := range requests {
		callers.Go(func() { answers[i] = endLate(conns[i], request.bodyEnd) })
	}
	gateway.Stop()
	// The process ends here.
	for _, server := range gateway.servers {
		_ = server.Close()
	}
	callers.Wait()
	runs := map[string]bool{}
	for _, run := range server.Runs() {
		runs[run.ID] = true
	}
	for i, request := range requests {
		checkLateAnswer(t, request, answers[i], runs[fmt.Sprint("late", i)])
	}
}

func checkLateAnswer(t *testing.T, request lateRequest, answer lateAnswer, ran bool) {
	t.Helper()
	whole := answer.err == nil && answer.status == http.StatusOK
	refused := answer.err == nil && answer.status == http.StatusServiceUnavailable && !ran
	if request.served && !whole || !request.served && !refused {
		t.Errorf("%s, body complete after %v: status %d, %q, %v, ran %v", request.path, request.bodyEnd, answer.status, answer.text, answer.err, ran)
	}
}

// Guards against a request that is cut when the gateway ends, if it takes longer than others did.
func TestGateway_StopAnswersWhatTakesTooLong(t *testing.T) {
	site := newGatewaySite(t, 1)
	server := site.servers[0]
	site.configure(2, "plain")
	gateway := site.start("a")
	site.eventually("routes in force", func() bool { return gateway.routes.Load().Version == 2 })
	server.SetBehaviour(func(int) standin.Behaviour { return standin.Hang })
	conn := openLate(t, gateway, "/plain/x", "late")
	answered := make(chan lateAnswer, 1)
	go func() { answered <- endLate(conn, 1500*time.Millisecond) }()
	gateway.Stop()
	for _, server := range gateway.servers {
		_ = server.Close()
	}
	if answer := <-answered; answer.err != nil || answer.status != http.StatusGatewayTimeout {
		t.Errorf("status %d, %v; want 504, since the request may have run", answer.status, answer.err)
	}
}

// Guards against a stream that is cut while there is still time, because requests without an answer must end.
func TestGateway_StreamsOutlastTheEndOfRequests(t *testing.T) {
	site := newGatewaySite(t, 1)
	site.servers[0].EventTime = 100 * time.Millisecond
	site.configure(2, "once", "plain")
	gateway := site.start("a")
	site.eventually("routes in force", func() bool { return gateway.routes.Load().Version == 2 })
	stream := openLate(t, gateway, "/once/x", "stream")
	_, _ = io.WriteString(stream, "dy")
	begun, err := http.ReadResponse(bufio.NewReader(stream), nil)
	if err != nil {
		t.Fatal(err)
	}
	conn, plain := openLate(t, gateway, "/plain/x", "plain"), make(chan lateAnswer, 1)
	go func() { plain <- endLate(conn, time.Millisecond) }()
	site.eventually("the plain request runs", func() bool { return len(site.servers[0].Runs()) == 2 })
	gateway.endRequests(forward.ErrStopping)
	if answer := <-plain; answer.err != nil || answer.status != http.StatusGatewayTimeout {
		t.Errorf("plain: status %d, %v; want 504", answer.status, answer.err)
	}
	if text, err := io.ReadAll(begun.Body); err != nil || string(text) != wholeStream() {
		t.Errorf("stream: %q, %v", text, err)
	}
}
