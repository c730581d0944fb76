package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// connection is one TCP connection; it carries one call at a time.
type connection struct {
	conn     net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

func newConnection(conn net.Conn) *connection {
	return &connection{conn: conn, reader: bufio.NewReader(conn)}
}

func (t *Transport) writeFrame(conn net.Conn, frame []byte) error {
	if len(frame) > MaxFrameBytes {
		return Error.Wrap(ErrTooLarge)
	}
	message := make([]byte, 0, 4+len(frame))
	message = binary.BigEndian.AppendUint32(message, uint32(len(frame)))
	message = append(message, frame...)
	sent, err := conn.Write(message)
	t.bytesSent.Add(uint64(sent))
	return err
}

func (t *Transport) readFrame(reader *bufio.Reader) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, ErrTooLarge
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(reader, frame); err != nil {
		return nil, err
	}
	t.bytesReceived.Add(uint64(size) + 4)
	return frame, nil
}

// Call sends request to a peer and decodes its answer into response, which may
// be nil. ErrUnreachable tells that the peer cannot have seen the call.
func (t *Transport) Call(ctx context.Context, address string, kind Kind, request, response any) error {
	if t.dropped(address) {
		return Error.Wrap(ErrUnreachable)
	}
	frame, err := encode(t.options.Cluster, kind, "", request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.callCount.Add(1)
	conn, reused, err := t.connect(ctx, address)
	if err != nil {
		return err
	}
	answer, err := t.exchange(ctx, conn, frame)
	if err != nil && reused && ctx.Err() == nil {
		// An idle connection may have been closed by the peer meanwhile. All
		// calls are idempotent, so a second sending is safe.
		conn, err = t.dial(ctx, address)
		if err != nil {
			return err
		}
		answer, err = t.exchange(ctx, conn, frame)
	}
	if err != nil {
		return Error.Wrap(err)
	}
	t.release(address, conn)
	if answer.Failure != "" {
		return Error.Wrap(fmt.Errorf("%w: %s", ErrRemote, answer.Failure))
	}
	if response == nil {
		return nil
	}
	return Decode(answer.Body, response)
}

// exchange sends a frame and reads the answer; on failure it closes conn.
func (t *Transport) exchange(ctx context.Context, conn *connection, frame []byte) (envelope, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	err := t.writeFrame(conn.conn, frame)
	var answerFrame []byte
	if err == nil {
		answerFrame, err = t.readFrame(conn.reader)
	}
	var answer envelope
	if err == nil {
		answer, err = decode(t.options.Cluster, answerFrame)
	}
	if err != nil {
		_ = conn.conn.Close()
	}
	return answer, err
}

func (t *Transport) connect(ctx context.Context, address string) (*connection, bool, error) {
	t.mu.Lock()
	pool := t.idle[address]
	for len(pool) > 0 {
		conn := pool[len(pool)-1]
		pool = pool[:len(pool)-1]
		if time.Since(conn.lastUsed) < idleConnectionTime {
			t.idle[address] = pool
			t.mu.Unlock()
			return conn, true, nil
		}
		_ = conn.conn.Close()
	}
	delete(t.idle, address)
	t.mu.Unlock()
	conn, err := t.dial(ctx, address)
	return conn, false, err
}

func (t *Transport) dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUnreachable, err))
	}
	if t.options.TLS == nil {
		return newConnection(conn), nil
	}
	secured := tls.Client(conn, t.options.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, Error.Wrap(errors.Join(fmt.Errorf("%w: %w", ErrUnreachable, err), conn.Close()))
	}
	return newConnection(secured), nil
}

func (t *Transport) release(address string, conn *connection) {
	_ = conn.conn.SetDeadline(time.Time{})
	conn.lastUsed = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.idle[address]) >= maxIdlePerPeer {
		_ = conn.conn.Close()
		return
	}
	t.idle[address] = append(t.idle[address], conn)
}

func (t *Transport) acceptLoop() {
	defer t.done.Done()
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		t.mu.Lock()
		if t.closed {
			t.mu.Unlock()
			_ = conn.Close()
			return
		}
		t.open[conn] = true
		t.done.Add(1)
		t.mu.Unlock()
		go t.serveConnection(conn)
	}
}

func (t *Transport) serveConnection(conn net.Conn) {
	defer t.done.Done()
	defer func() {
		_ = conn.Close()
		t.mu.Lock()
		delete(t.open, conn)
		t.mu.Unlock()
	}()
	if err := t.handshake(conn); err != nil {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(2 * idleConnectionTime))
		frame, err := t.readFrame(reader)
		if err != nil {
			return
		}
		answer, err := t.dispatch(frame)
		if err != nil || t.writeFrame(conn, answer) != nil {
			return
		}
	}
}

// handshake verifies a TLS peer before anything is read from it.
func (t *Transport) handshake(conn net.Conn) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := secured.HandshakeContext(ctx)
	if err != nil && t.options.Refused != nil {
		t.options.Refused(conn.RemoteAddr().String(), err)
	}
	return err
}

func (t *Transport) dispatch(frame []byte) ([]byte, error) {
	message, err := decode(t.options.Cluster, frame)
	if errors.Is(err, ErrVersion) || errors.Is(err, ErrCluster) {
		return encode(t.options.Cluster, message.Kind, err.Error(), nil)
	}
	if err != nil {
		return nil, err
	}
	t.mu.RLock()
	handler := t.handlers[message.Kind]
	t.mu.RUnlock()
	if handler == nil {
		return encode(t.options.Cluster, message.Kind, "unknown kind of call", nil)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, err := handler(ctx, message.Body)
	if err != nil {
		return encode(t.options.Cluster, message.Kind, err.Error(), nil)
	}
	return encode(t.options.Cluster, message.Kind, "", result)
}

// Loopback calls a handler in this process, through the encoding that a call
// over the network would take.
func Loopback(ctx context.Context, handler Handler, request, response any) error {
	frame, err := encode(0, 0, "", request)
	if err != nil {
		return err
	}
	message, err := decode(0, frame)
	if err != nil {
		return err
	}
	result, err := handler(ctx, message.Body)
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrRemote, err))
	}
	if frame, err = encode(0, 0, "", result); err != nil {
		return err
	}
	if message, err = decode(0, frame); err != nil || response == nil {
		return err
	}
	return Decode(message.Body, response)
}
