package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// cutHeadServer is a model server that answers requests in turn with a whole answer and with one whose head is cut.
// Both come over the same connection, which it closes after the cut.
type cutHeadServer struct {
	// head returns the head of the answer to a request, with the empty line, and body its body.
	head func(id string) string
	body string
	// cutAt is the length of the next head that is cut; it grows by one with each.
	cutAt, cuts int
}

// listen serves one connection at a time until the test ends.
func (s *cutHeadServer) listen(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// serve answers the requests of a connection.
func (s *cutHeadServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if strings.HasPrefix(id, "whole") {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(s.body), s.body)
			continue
		}
		head := s.head(id)
		s.cutAt = s.cutAt%(len(head)-1) + 1
		s.cuts++
		_, _ = io.WriteString(conn, head[:s.cutAt])
		return
	}
}

// Guards against a 200 with an empty or short body, framed as whole, for an answer of which a server sent no more
// than a part of the head.
func TestGateway_AnswerWithACutHeadIsNoAnswer(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	heads := map[string]string{
		"length":                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 30\r\n\r\n",
		"length zero before more": "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\nResponse-Signature: s\r\n\r\n",
		"chunks":                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"neither":                 "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\n\r\n",
		"interim heads":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 30\r\n\r\n",
		"no content":              "HTTP/1.1 204 No Content\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := newGatewaySite(t, 0)
			server := &cutHeadServer{head: func(id string) string { return fmt.Sprintf(head, id) }, body: events}
			site.listServer("i-1", server.listen(t), "ready")
			site.store.Put("op", "config", changeableConfig(2))
			gateway := site.launch("a", nil)
			site.eventually("gateway ready", func() bool {
				return gateway.Ready() && gateway.routes.Load().Version == 2 && len(gateway.replicas.Snapshot("llm", 0, time.Now())) == 1
			})
			for i := range len(head) + 10 {
				for _, path := range []string{"/unsafe/x", "/stream/x"} {
					whole, cut := fmt.Sprint("whole", i, path), fmt.Sprint("cut", i, path)
					if status, body, _ := site.call(gateway, http.MethodPost, path, whole, nil); status != http.StatusOK || body != events {
						t.Fatalf("%s: status %d, %q", whole, status, body)
					}
					if status, body, _ := site.call(gateway, http.MethodPost, path, cut, nil); status < http.StatusBadRequest {
						t.Errorf("%s, head cut after %d bytes: status %d, %q", cut, server.cutAt, status, body)
					}
				}
			}
			if server.cuts < len(head) {
				t.Errorf("only %d heads were cut", server.cuts)
			}
		})
	}
}
