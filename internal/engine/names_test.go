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

// Guards against an answer with a malformed name, whose body may be read by another framing than the engine's.
func TestBackend_MalformedNamesAreNoAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n")
		}
	}()
	client := NewClient(nil)
	defer client.Close()
	answer, err := NewBackend(client).Send(t.Context(), attemptOf(replica.Info{ID: "r1", Address: "http://" + listener.Addr().String()}, true, false))
	if err == nil {
		text, _ := io.ReadAll(answer.Body)
		t.Fatalf("status %d was passed on, body %q", answer.Status, text)
	}
	if !errors.Is(err, forward.ErrBroken) || outcome.Of(err) != outcome.Unknown {
		t.Errorf("%v, outcome %v", err, outcome.Of(err))
	}
}
