package engine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// serveOnce answers the first request with the given bytes and closes the connection.
func serveOnce(t *testing.T, answer string) string {
	t.Helper()
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
		defer func() { _ = conn.Close() }()
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, answer)
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against an answer with a head that no answer can have, and against a refusal that was cut, reaching callers.
func TestBackend_BrokenAnswersAreNoAnswers(t *testing.T) {
	const framed = "\r\nContent-Length: 2\r\n\r\nno"
	for name, answer := range map[string]string{
		// The chunks would be read as the body.
		"malformed name":        "HTTP/1.1 400 Bad Request\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"status 000":            "HTTP/1.1 000 Status" + framed,
		"status 099":            "HTTP/1.1 099 Status" + framed,
		"status 199":            "HTTP/1.1 199 Status" + framed,
		"status 600":            "HTTP/1.1 600 Status" + framed,
		"status 999":            "HTTP/1.1 999 Status" + framed,
		"switched protocols":    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"refusal that was cut":  "HTTP/1.1 400 Bad Request\r\nContent-Length: 20\r\n\r\nthe prompt",
		"overload that was cut": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 20\r\n\r\nthe",
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(nil)
			defer client.Close()
			sent, err := NewBackend(client).Send(t.Context(), attemptOf(replica.Info{ID: "r1", Address: serveOnce(t, answer)}, true, false))
			if err == nil {
				text, _ := io.ReadAll(sent.Body)
				t.Fatalf("status %d was passed on, body %q", sent.Status, text)
			}
			if !errors.Is(err, forward.ErrBroken) || outcome.Of(err) != outcome.Unknown {
				t.Errorf("%v, outcome %v", err, outcome.Of(err))
			}
		})
	}
}
