package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// sendTime bounds how long a client of a crowd sends, as a node may stop reading.
const sendTime = 20 * time.Second

// requestCount makes the ids of requests unique.
var requestCount atomic.Int64

func requestID() string { return fmt.Sprintf("r%d", requestCount.Add(1)) }

// send sends a request and returns the status of the answer after it has been read.
func send(client *http.Client, url, body string, header http.Header) (int, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Header = header.Clone()
	request.Header.Set("Request-Id", requestID())
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// crowdClient is one connection of a crowd.
type crowdClient struct {
	conn net.Conn
	// status is that of the first answer, 0 without one. It is set before answered is closed, which
	// happens when there is an answer or the connection has ended.
	status   int
	answered chan struct{}
}

// crowd is many clients that hold their connections.
type crowd struct {
	t       *testing.T
	clients []*crowdClient
}

// gather connects clients to address. Each sends what write writes and keeps its connection open. It returns
// once all have sent or can send no more.
func gather(t *testing.T, address string, clients int, write func(io.Writer) error) *crowd {
	t.Helper()
	c := &crowd{t: t}
	var mu sync.Mutex
	var sending sync.WaitGroup
	for range clients {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, giveUp)
			if err != nil {
				return
			}
			client := &crowdClient{conn: conn, answered: make(chan struct{})}
			mu.Lock()
			c.clients = append(c.clients, client)
			mu.Unlock()
			go client.readAnswer()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
			// A node may end the connection or stop reading.
			_ = write(conn)
		})
	}
	sending.Wait()
	t.Cleanup(c.leave)
	if len(c.clients) < clients {
		t.Logf("%d of %d clients connected", len(c.clients), clients)
	}
	return c
}

func (c *crowdClient) readAnswer() {
	defer close(c.answered)
	reader := bufio.NewReader(c.conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	c.status = response.StatusCode
	_ = response.Body.Close()
}

// leave closes all connections.
func (c *crowd) leave() {
	for _, client := range c.clients {
		_ = client.conn.Close()
	}
}

// statuses waits until each client has an answer or its connection has ended, and counts the statuses.
func (c *crowd) statuses() map[int]int {
	counts := map[int]int{}
	expired := time.After(giveUp)
	for _, client := range c.clients {
		select {
		case <-client.answered:
			counts[client.status]++
		case <-expired:
			c.t.Errorf("a client got no answer, and its connection has not ended")
			return counts
		}
	}
	return counts
}

// head is the head of a request to path, with the given header lines.
func head(path string, lines ...string) string {
	lines = append([]string{"POST " + path + " HTTP/1.1", "Host: " + host, "Request-Id: " + requestID(), "Model: m"}, lines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

const chunkedLine = "Transfer-Encoding: chunked"

func lengthLine(length int64) string { return "Content-Length: " + strconv.FormatInt(length, 10) }

// chunks writes a request whose body comes in chunks of the given size, up to total bytes, without its end.
func chunks(path string, size, total int, lines ...string) func(io.Writer) error {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	// Small chunks are sent together.
	perWrite := max(1, (64<<10)/len(chunk))
	batch := bytes.Repeat(chunk, perWrite)
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head(path, append(lines, chunkedLine)...)); err != nil {
			return err
		}
		for left := total / size; left > 0; left -= perWrite {
			if _, err := w.Write(batch[:min(left, perWrite)*len(chunk)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// announced writes a request that announces a body and sends only a part of it.
func announced(path string, length, sent int64, lines ...string) func(io.Writer) error {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head(path, append(lines, lengthLine(length))...)); err != nil {
			return err
		}
		return repeat(w, strings.Repeat("x", 64<<10), sent)
	}
}

// openHead writes a request line and header lines of the given total size, without the end of the head.
func openHead(path, line string, size int64) func(io.Writer) error {
	return func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, host); err != nil {
			return err
		}
		return repeat(w, line, size)
	}
}

// numberedLines returns short header lines with names that differ, of the given total size.
func numberedLines(size int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < size; i++ {
		lines.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return lines.String()
}

// repeat writes text again and again, total bytes in all.
func repeat(w io.Writer, text string, total int64) error {
	for total > 0 {
		part := text[:min(int64(len(text)), total)]
		if _, err := io.WriteString(w, part); err != nil {
			return err
		}
		total -= int64(len(part))
	}
	return nil
}
