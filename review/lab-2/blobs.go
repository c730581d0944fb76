//go:build linux

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pacedStore is a store whose calls about objects take the time that its settings tell: each takes latency, and all
// of them share bytesPerS.
type pacedStore struct {
	inner     http.Handler
	bytesPerS float64
	latency   time.Duration

	mu sync.Mutex
	// next is when the bytes that were taken last have passed.
	next time.Time
	// read counts the bytes of objects that were read, done the reads that got all of them, broken the others.
	read, done, broken int
}

// paceStep is how many bytes pass at a time, so that calls share the bandwidth evenly.
const paceStep = 16 << 10

// take waits until the shared bandwidth has passed a number of bytes.
func (p *pacedStore) take(ctx context.Context, n int) error {
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(n) / p.bytesPerS * float64(time.Second)))
	wait := p.next.Sub(now)
	p.mu.Unlock()
	if wait < 2*time.Millisecond {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

// bufferedWriter keeps a response.
type bufferedWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedWriter) Header() http.Header         { return b.header }
func (b *bufferedWriter) WriteHeader(s int)           { b.status = s }
func (b *bufferedWriter) Write(p []byte) (int, error) { return b.body.Write(p) }

func (p *pacedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/blob-") {
		p.inner.ServeHTTP(w, r)
		return
	}
	time.Sleep(p.latency)
	if r.Method == http.MethodPut {
		body, err := io.ReadAll(r.Body)
		if err != nil || p.pass(r.Context(), len(body)) != nil {
			// The caller has left.
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	buffered := &bufferedWriter{header: w.Header(), status: 200}
	p.inner.ServeHTTP(buffered, r)
	w.Header().Set("Content-Length", fmt.Sprint(buffered.body.Len()))
	w.WriteHeader(buffered.status)
	whole := buffered.body.Bytes()
	for len(whole) > 0 {
		n := min(paceStep, len(whole))
		if p.take(r.Context(), n) != nil {
			p.count(&p.broken)
			return
		}
		if _, err := w.Write(whole[:n]); err != nil {
			p.count(&p.broken)
			return
		}
		p.mu.Lock()
		p.read += n
		p.mu.Unlock()
		whole = whole[n:]
	}
	if r.Method == http.MethodGet {
		p.count(&p.done)
	}
}

// pass waits until the shared bandwidth has passed a number of bytes, a step at a time.
func (p *pacedStore) pass(ctx context.Context, n int) error {
	for n > 0 {
		step := min(paceStep, n)
		if err := p.take(ctx, step); err != nil {
			return err
		}
		n -= step
	}
	return nil
}

func (p *pacedStore) count(field *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*field++
}

// counts returns the megabytes of objects that were read, and the reads that got all of an object or a part.
func (p *pacedStore) counts() (mb, done, broken int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.read >> 20, p.done, p.broken
}
