package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

const (
	// lingerTime is how long, and maxLinger how much in bytes, the rest of a refused request is discarded before
	// its connection is closed.
	lingerTime = time.Second
	maxLinger  = 256 << 10
)

// handler returns a handler that counts what requests make the node hold until next has returned.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.setPhase(processing) {
			// The connection made room for a new one after its head had been read.
			panic(http.ErrAbortHandler)
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		received := &body{ReadCloser: r.Body, conn: c, ctx: r.Context(), idleSince: clock.Now()}
		r = r.WithContext(context.WithValue(r.Context(), bodyKey{}, received))
		r.Body = received
		writer := &responseWriter{ResponseWriter: w, body: received}
		next.ServeHTTP(writer, r)
		if !writer.wroteHead {
			writer.WriteHeader(http.StatusOK)
		}
	})
}

// responseWriter closes the connection after an answer that comes before the end of the body: to read the rest
// first would make the answer wait for a client that may have stopped sending.
type responseWriter struct {
	http.ResponseWriter
	body      *body
	wroteHead bool
}

// Unwrap serves http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHead {
		w.wroteHead = true
		w.closeUnread()
	}
	w.ResponseWriter.WriteHeader(status)
}

// closeUnread prepares the end of the connection if the body has not been read whole.
func (w *responseWriter) closeUnread() {
	if w.body.complete {
		return
	}
	w.Header().Set("Connection", "close")
	// Nothing of the request is kept.
	w.body.conn.release()
	w.body.conn.setPhase(closing)
	_ = w.body.conn.SetReadDeadline(clock.Now().Add(lingerTime))
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(part []byte) (int, error) {
	if !w.wroteHead {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(part)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	// The connection may have ended.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}
