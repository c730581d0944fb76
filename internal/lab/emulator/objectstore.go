package emulator

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ObjectStore emulates an S3-compatible store with path-style addressing. It supports PUT, GET, HEAD
// and DELETE of whole objects.
type ObjectStore struct {
	// Faults applies to all calls.
	Faults *Faults

	mu      sync.Mutex
	objects map[string][]byte
	puts    uint64
	gets    uint64
	// bandwidth limits the bytes served per second; nil means no limit.
	bandwidth *rate.Limiter
}

// NewObjectStore returns an empty store.
func NewObjectStore(seed uint64) *ObjectStore {
	return &ObjectStore{
		Faults: NewFaults(seed, func(w http.ResponseWriter) {
			writeStoreError(w, http.StatusServiceUnavailable, "SlowDown")
		}),
		objects: map[string][]byte{},
	}
}

// LimitBandwidth limits the bytes per second served to all readers together.
func (o *ObjectStore) LimitBandwidth(bytesPerSecond int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bandwidth = rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond)
}

// Handler returns the HTTP handler of the store.
func (o *ObjectStore) Handler() http.Handler { return o.Faults.Wrap(http.HandlerFunc(o.serve)) }

// Seed stores an object directly, bypassing Faults and the call counters. The path includes the bucket.
func (o *ObjectStore) Seed(path string, body []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects["/"+path] = body
}

func (o *ObjectStore) serve(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		o.put(w, r)
	case http.MethodGet, http.MethodHead:
		o.get(w, r)
	case http.MethodDelete:
		o.mu.Lock()
		delete(o.objects, r.URL.Path)
		o.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	default:
		writeStoreError(w, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (o *ObjectStore) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || int64(len(body)) != r.ContentLength {
		writeStoreError(w, http.StatusBadRequest, "IncompleteBody")
		return
	}
	o.mu.Lock()
	o.objects[r.URL.Path] = body
	o.puts++
	o.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func (o *ObjectStore) get(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	body, ok := o.objects[r.URL.Path]
	bandwidth := o.bandwidth
	o.gets++
	o.mu.Unlock()
	if !ok {
		writeStoreError(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	if bandwidth != nil {
		reservation := bandwidth.ReserveN(time.Now(), min(len(body), bandwidth.Burst()))
		select {
		case <-time.After(reservation.Delay()):
		case <-r.Context().Done():
			reservation.Cancel()
			return
		}
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}

func writeStoreError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "<Error><Code>%s</Code><Message>%s</Message></Error>", code, code)
}
