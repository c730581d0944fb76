package emulator

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// resume continues a stream after the event given by Last-Event-ID. An event ID is the number of
// tokens sent so far, so ID 0 is the start of the stream.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.Header.Get(engine.HeaderLastEventID))
	if err != nil {
		offset = 0
	}
	e.scheduler.mu.Lock()
	seq, ok := e.scheduler.byID[r.PathValue("id")]
	readable := ok && seq.state != engine.RequestAborted && seq.state != engine.RequestNotRun
	if readable {
		seq.readers++
	}
	e.scheduler.mu.Unlock()
	if !readable {
		writeError(w, http.StatusNotFound, openai.TypeNotFound, "request id not known")
		return
	}
	e.serveSequence(w, r, seq, true, r.URL.Query().Get("api") != "completions", offset)
}

// serveSequence writes the answer of a sequence. The caller has already incremented seq.readers.
func (e *Engine) serveSequence(w http.ResponseWriter, r *http.Request, seq *sequence, stream, chat bool, offset int) {
	defer e.detach(seq)
	writer := &answerWriter{engine: e, seq: seq, chat: chat, created: time.Now().Unix()}
	if stream {
		writer.stream(w, r, offset)
		return
	}
	if !writer.wait(r) {
		dropConnection(w)
		return
	}
	writer.writeCompletion(w)
}

func (e *Engine) detach(seq *sequence) {
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	seq.readers--
	seq.detachedAt = time.Now()
}

// answerWriter writes the answer of a sequence to one response.
type answerWriter struct {
	engine  *Engine
	seq     *sequence
	chat    bool
	created int64
}

// progress returns the number of available tokens, the state, and a channel that is closed on the
// next change.
func (a *answerWriter) progress() (int, engine.RequestState, <-chan struct{}) {
	a.engine.scheduler.mu.Lock()
	defer a.engine.scheduler.mu.Unlock()
	return a.seq.generated, a.seq.state, a.seq.changed
}

// wait blocks until the sequence is done. It returns false if the sequence was aborted or the client
// disconnected.
func (a *answerWriter) wait(r *http.Request) bool {
	for {
		_, state, changed := a.progress()
		switch state {
		case engine.RequestDone:
			return true
		case engine.RequestAborted, engine.RequestNotRun:
			return false
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (a *answerWriter) writeCompletion(w http.ResponseWriter) {
	path := openai.PathCompletions
	if a.chat {
		path = openai.PathChatCompletions
	}
	completion := a.newCompletion()
	completion.Usage = a.usage()
	completion = openai.WholeAnswer(completion, a.seq.answer.Text(), path)
	w.Header().Set(engine.HeaderLoad, a.engine.loadHeader())
	writeJSON(w, completion)
}

func (a *answerWriter) newCompletion() openai.Completion {
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
	}
	return openai.Completion{
		ID: "cmpl-" + a.seq.id, Object: object, Created: a.created,
		Model: a.engine.config.Model, SystemFingerprint: a.seq.version,
	}
}

func (a *answerWriter) usage() *openai.Usage {
	return &openai.Usage{
		PromptTokens: a.seq.promptWords, CompletionTokens: a.seq.answer.Length(),
		TotalTokens: a.seq.promptWords + a.seq.answer.Length(),
	}
}

// stream writes server-sent events, starting with the token at offset.
func (a *answerWriter) stream(w http.ResponseWriter, r *http.Request, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderLoad, a.engine.loadHeader())
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	buffer := bufio.NewWriterSize(w, 1024)
	sent := offset
	for {
		available, state, changed := a.progress()
		for ; sent < available; sent++ {
			a.writeEvent(buffer, sent+1, a.seq.answer.Token(sent), false)
		}
		if state == engine.RequestDone {
			a.writeEvent(buffer, sent, "", true)
			_, _ = buffer.WriteString("data: " + openai.DoneMarker + "\n\n")
			_ = buffer.Flush()
			return
		}
		if state == engine.RequestAborted || state == engine.RequestNotRun {
			dropConnection(w)
			return
		}
		if buffer.Flush() != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (a *answerWriter) writeEvent(buffer *bufio.Writer, id int, token string, last bool) {
	chunk := a.newCompletion()
	choice := openai.Choice{}
	if a.chat {
		chunk.Object = "chat.completion.chunk"
		choice.Delta = &openai.Message{Role: "assistant", Content: openai.Content(token)}
	} else {
		choice.Text = token
	}
	if last {
		reason := "stop"
		choice.FinishReason = &reason
		chunk.Usage = a.usage()
	}
	chunk.Choices = []openai.Choice{choice}
	_, _ = buffer.WriteString("id: " + strconv.Itoa(id) + "\ndata: ")
	// Encode ends the data line with a newline; a second one ends the event.
	_ = json.NewEncoder(buffer).Encode(chunk)
	_ = buffer.WriteByte('\n')
}
