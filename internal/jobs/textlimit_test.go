package jobs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// endlessEvents brings events in order, each with data of a size, until its context ends.
type endlessEvents struct {
	ctx     context.Context
	size    int
	last    int
	pending string
	onEvent func()
}

// Read implements io.Reader.
func (e *endlessEvents) Read(into []byte) (int, error) {
	if err := e.ctx.Err(); err != nil {
		return 0, err
	}
	if e.pending == "" {
		e.last++
		e.onEvent()
		e.pending = fmt.Sprintf("id: %d\ndata: %s\n\n", e.last, strings.Repeat("x", e.size))
	}
	read := copy(into, e.pending)
	e.pending = e.pending[read:]
	return read, nil
}

// Guards against texts without end that together take more memory than a node has, against items that are given
// up for that, and against sound ones beside them that are not completed.
func TestRunner_EndlessTextsAreBoundedTogether(t *testing.T) {
	const items = 40
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	var most atomic.Int64
	var runner *Runner
	observe := func() {
		runner.mu.Lock()
		defer runner.mu.Unlock()
		most.Store(max(most.Load(), runner.textBytes()))
	}
	started := make(chan struct{})
	site := &stallSite{node: node, sends: map[string]int{}}
	runner, _ = startRunner(t, node, sendFunc(func(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
		<-started
		number := site.countSend(attempt.Request.ID)
		if number <= 2 && !strings.HasPrefix(attempt.Request.ID, "sound") {
			answer := answerOf(http.StatusOK, "")
			answer.Body = io.NopCloser(&endlessEvents{ctx: ctx, size: 8 << 10, last: attempt.LastEventID, onEvent: observe})
			return answer, nil
		}
		return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
	}))
	close(started)
	for _, id := range []string{"endless", "sound"} {
		if err := node.Submit(t.Context(), submission(id, items)); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []string{"sound", "endless"} {
		for _, result := range readAll(t, node, id) {
			if result.Dead || result.Text != wholeText {
				t.Errorf("item %s: dead %v, text of %d bytes", result.Item, result.Dead, len(result.Text))
			}
		}
	}
	t.Logf("texts had up to %.1f MB together", float64(most.Load())/(1<<20))
	if got := most.Load(); got > bytebudget.DefaultLimit || got == 0 {
		t.Errorf("texts had %d bytes together", got)
	}
	observe()
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for _, owned := range runner.owned {
		for _, task := range owned.tasks {
			if task.state == taskListed && task.text != nil {
				t.Errorf("listed item %d still has a text of %d bytes", task.index, len(task.text))
			}
		}
	}
}

// Guards against a single text without end, and against an item that is given up for it.
func TestRunner_EndlessTextIsBounded(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	sent := 0
	backend := &scriptedBackend{answer: func(attempt *forward.Attempt, number int) (*forward.Answer, error) {
		if number > 1 {
			return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
		}
		answer := answerOf(http.StatusOK, "")
		answer.Body = io.NopCloser(&endlessEvents{ctx: t.Context(), size: 64 << 10, onEvent: func() { sent += 64 << 10 }})
		return answer, nil
	}}
	startRunner(t, node, backend)
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	if results := readAll(t, node, "j"); results[0].Dead || results[0].Text != wholeText {
		t.Errorf("dead %v, text of %d bytes", results[0].Dead, len(results[0].Text))
	}
	if sent > 2*maxTextBytes {
		t.Errorf("%d bytes were read", sent)
	}
}
