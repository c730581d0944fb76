package dialer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// failedConn fails its writes with writeErr, and is at its end for reads.
type failedConn struct {
	net.Conn
	writeErr error
}

func (c *failedConn) Write([]byte) (int, error)        { return 0, c.writeErr }
func (c *failedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c *failedConn) SetWriteDeadline(time.Time) error { return nil }

func TestConn_EndAfterAFailedWriteIsAnError(t *testing.T) {
	for name, c := range map[string]struct {
		writeErr error
		ended    bool
	}{
		"no error":           {nil, true},
		"deadline":           {os.ErrDeadlineExceeded, true},
		"reset":              {syscall.ECONNRESET, false},
		"broken pipe":        {syscall.EPIPE, false},
		"no acknowledgement": {syscall.ETIMEDOUT, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracked := &conn{Conn: &failedConn{writeErr: c.writeErr}}
			_, _ = tracked.Write([]byte("x"))
			_, err := tracked.Read(make([]byte, 1))
			if c.ended && err != io.EOF {
				t.Errorf("%v, want the end", err)
			}
			if !c.ended && (errors.Is(err, io.EOF) || !errors.Is(err, c.writeErr)) {
				t.Errorf("%v, want %v", err, c.writeErr)
			}
		})
	}
}

// Guards against a read that meets the end while the write that got the error of the reset has not returned.
func TestConn_EndDuringAWriteWaitsForIt(t *testing.T) {
	blocked := &blockedConn{writing: make(chan struct{}), failed: make(chan struct{})}
	tracked := &conn{Conn: blocked}
	go func() { _, _ = tracked.Write([]byte("x")) }()
	<-blocked.writing
	if _, err := tracked.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
}

// blockedConn is at its end for reads, and its writes fail with a reset once they get a deadline.
type blockedConn struct {
	net.Conn
	writing, failed chan struct{}
}

func (c *blockedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *blockedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.failed
	return 0, syscall.ECONNRESET
}

func (c *blockedConn) SetWriteDeadline(time.Time) error {
	close(c.failed)
	return nil
}

// Guards against a response without a length that is reset during the upload and reads as complete.
func TestReportResets_ResponsesEndWithTheirConnection(t *testing.T) {
	const calls = 20
	for name, c := range map[string]struct {
		end   func(conn *net.TCPConn, upload io.Reader)
		whole int
	}{
		"reset":     {func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }, 0},
		"unread":    {func(*net.TCPConn, io.Reader) {}, 0},
		"rest read": {func(_ *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }, calls},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveEarly(t, c.end)
			client := &http.Client{Transport: &http.Transport{DialContext: ReportResets(New(time.Second).DialContext)}}
			defer client.CloseIdleConnections()
			whole := 0
			for range calls {
				if post(client, "http://"+address, make([]byte, 4<<20)) == nil {
					whole++
				}
			}
			if whole != c.whole {
				t.Errorf("%d of %d responses were complete, want %d", whole, calls, c.whole)
			}
		})
	}
}

// serveEarly answers each request after 64 KiB of its body, by a response that ends with its connection.
func serveEarly(t *testing.T, end func(conn *net.TCPConn, upload io.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, request.Body, 64<<10)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		end(conn, request.Body)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func post(client *http.Client, url string, body []byte) error {
	response, err := client.Post(url, "", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
