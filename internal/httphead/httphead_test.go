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

// respond answers each request on a new connection with the given status and head line, and the body "ok".
func respond(t *testing.T, status, line string) string {
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
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\n%s\r\n\r\nok", status, line)
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
		response, err := client.Get(respond(t, "200", line))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if valid != (err == nil) || !valid && !errors.Is(err, ErrMalformedName) {
			t.Errorf("%q: %v", line, err)
		}
	}
}

func TestTransport_FailsOnImpossibleStatuses(t *testing.T) {
	client := &http.Client{Transport: Transport{&http.Transport{}}}
	defer client.CloseIdleConnections()
	for status, valid := range map[string]bool{
		"200": true, "404": true, "599": true, "000": false, "099": false, "101": false, "600": false, "999": false,
	} {
		response, err := client.Get(respond(t, status, "X: 1"))
		if err == nil {
			_ = response.Body.Close()
		}
		if valid != (err == nil) || !valid && !errors.Is(err, ErrImpossibleStatus) {
			t.Errorf("%s: %v", status, err)
		}
	}
}
