package batch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/object"
)

// item is one line of a held chunk.
type item struct {
	line    int
	content openai.BatchItem
	// attempts counts the sendings that may have run.
	attempts int
	// cleared items may be sent: they are repeatable, or marked as started.
	cleared bool
}

// result is what became of an item.
type result struct {
	line    []byte
	failed  bool
	expired bool
}

// work is a chunk held by this node. The runner's lock guards it.
type work struct {
	job     *Job
	number  int
	chunk   Chunk
	items   []item
	pending []int
	results []result
	done    int
	running int
	// marking is set while start marks are being written.
	marking bool
	// dropped work has been lost or cancelled; its results count for nothing.
	dropped    bool
	committing bool
	cancel     context.CancelFunc
	ctx        context.Context
}

// name identifies a chunk within a node.
type name struct {
	job    string
	number int
}

func (w *work) name() name { return name{w.job.ID, w.number} }

// loadWork reads the lines of a claimed chunk.
func loadWork(ctx context.Context, store object.Store, job *Job, number int, chunk Chunk) (*work, error) {
	first, end := job.chunkRange(number)
	loaded := &work{job: job, number: number, chunk: chunk}
	for segment := first / SegmentLines; segment*SegmentLines < end; segment++ {
		body, err := object.ReadAll(ctx, store, segmentKey(job.File, segment))
		if err != nil {
			return nil, err
		}
		if err := loaded.addSegment(body, segment*SegmentLines, first, end); err != nil {
			return nil, err
		}
	}
	if len(loaded.items) != end-first {
		return nil, Error.New("chunk %d of %s has %d lines, not %d", number, job.ID, len(loaded.items), end-first)
	}
	loaded.results = make([]result, len(loaded.items))
	for i := range loaded.items {
		if !loaded.items[i].content.NotRepeatable {
			loaded.items[i].cleared = true
		}
		loaded.pending = append(loaded.pending, i)
	}
	return loaded, nil
}

func (w *work) addSegment(body []byte, line, first, end int) error {
	reader := bufio.NewReaderSize(bytes.NewReader(body), 64<<10)
	for ; ; line++ {
		source, _, err := readLine(reader)
		if len(source) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if line >= first && line < end {
			content, problem := ParseItem(source)
			if problem != nil {
				return Error.New("line %d of %s: %s", line+1, w.job.File, problem.Message)
			}
			w.items = append(w.items, item{line: line, content: content})
		}
		if err != nil {
			return nil
		}
	}
}

// requestID identifies an item over all its attempts.
func (w *work) requestID(index int) string {
	return fmt.Sprintf("%s-%d", w.job.ID, w.items[index].line)
}

// attemptID identifies one attempt. A not repeatable item has only one, under
// an id that a later holder can ask the engines for.
func (w *work) attemptID(index, attempt int) string {
	if w.items[index].content.NotRepeatable {
		return w.requestID(index) + "~once"
	}
	return fmt.Sprintf("%s~%d.%d", w.requestID(index), w.chunk.Epoch, attempt)
}

// finish records an item's result. It reports false if there was one already.
func (w *work) finish(index int, outcome result) bool {
	if w.results[index].line != nil {
		return false
	}
	w.results[index] = outcome
	w.done++
	return true
}

func (w *work) complete() bool { return w.done == len(w.items) }

// answered builds the output line of an answered item.
func (w *work) answered(index int, body []byte) result {
	return w.render(index, &openai.BatchItemResponse{StatusCode: 200, RequestID: w.requestID(index), Body: body}, nil)
}

// failed builds the error line of an item.
func (w *work) failed(index int, code, message string) result {
	rendered := w.render(index, nil, &openai.BatchItemError{Code: code, Message: message})
	rendered.failed = true
	rendered.expired = code == openai.CodeBatchExpired
	return rendered
}

func (w *work) render(index int, response *openai.BatchItemResponse, failure *openai.BatchItemError) result {
	line, err := json.Marshal(openai.BatchResult{
		ID: "batch_req_" + w.requestID(index), CustomID: w.items[index].content.CustomID,
		Response: response, Error: failure,
	})
	if err != nil {
		// Only an engine's answer that is not JSON can fail to encode.
		return w.failed(index, openai.CodeItemFailed, "engine answer is not valid JSON")
	}
	return result{line: line}
}

// collect splits the results into the output and the error object and counts.
func (w *work) collect() (outputs, failures []byte, chunk Chunk) {
	chunk = w.chunk
	chunk.State = ChunkDone
	chunk.Started = nil
	var outputBuffer, failureBuffer bytes.Buffer
	for _, outcome := range w.results {
		target := &outputBuffer
		if outcome.failed {
			target = &failureBuffer
			chunk.Failed++
		} else {
			chunk.Completed++
		}
		if outcome.expired {
			chunk.Expired++
		}
		target.Write(outcome.line)
		target.WriteByte('\n')
	}
	chunk.Errors = failureBuffer.Len() > 0
	return outputBuffer.Bytes(), failureBuffer.Bytes(), chunk
}
