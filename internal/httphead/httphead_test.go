package httphead

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// respond answers each request on a new connection with the given head line and the body "ok".
func respond(t *testing.T, line string) string {
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
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\nok", line)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

func TestTransport_FailsOnMalformedNames(t *testing.T) {
	client := &http.Client{Transport: Transport{&http.Transport{}}}
	defer client.CloseIdleConnections()
	for line, valid := range map[string]bool{
		"X-Y: 1": true, "X: a\r\n b": true, "X Y: 1": false, "XY : 1": false, "Content-Length : 2": false, "Transfer-Encoding : chunked": false,
	} {
		response, err := client.Get(respond(t, line))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if valid != (err == nil) || !valid && !errors.Is(err, ErrMalformedName) {
			t.Errorf("%q: %v", line, err)
		}
	}
}
