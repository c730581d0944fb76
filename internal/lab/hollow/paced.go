package hollow

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
)

const (
	// pacedInterval is the time between two tokens of a paced answer.
	pacedInterval = 25 * time.Millisecond
	// stampMark comes before the time, in Unix nanoseconds, that a paced token
	// carries as its text.
	stampMark = `"content":"`
)

// pacedAnswer streams tokens at a fixed pace; each carries the time it was
// sent, so that its way can be timed. max_tokens is the number of tokens.
func (e *engines) pacedAnswer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request, err := openai.ParseCompletion(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	ticker := time.NewTicker(pacedInterval)
	defer ticker.Stop()
	event := make([]byte, 0, 256)
	for token := 1; token <= request.Limit(); token++ {
		event = appendStamped(event[:0], token, r.Header.Get(engine.HeaderRequestID))
		if _, err := w.Write(event); err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
	_, _ = io.WriteString(w, "data: "+openai.DoneMarker+"\n\n")
}

// appendStamped renders one chunk with the present time as its text.
func appendStamped(event []byte, token int, id string) []byte {
	event = append(event, "id: "...)
	event = strconv.AppendInt(event, int64(token), 10)
	event = append(event, "\ndata: {\"id\":\""...)
	event = append(event, id...)
	event = append(event, `","object":"chat.completion.chunk","model":"`+modelName+`","choices":[{"index":0,"delta":{"role":"assistant",`+stampMark...)
	event = strconv.AppendInt(event, time.Now().UnixNano(), 10)
	return append(event, "\"},\"finish_reason\":null}]}\n\n"...)
}
