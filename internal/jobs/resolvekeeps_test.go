package jobs

import (
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// sizeEvents records the size of the last text that was not listed.
type sizeEvents struct {
	noEvents
	size atomic.Int64
}

func (e *sizeEvents) TextNotListed(_ *Job, _ string, _ int, _ string, size int, _ error) {
	e.size.Store(int64(size))
}

// Guards against a text that is read for the log while its runner drops it, and a log that says that it was
// empty.
func TestCommit_TextThatIsNotListedIsLoggedWithItsSize(t *testing.T) {
	withTextSite(t, func(t *testing.T, site *textSite) {
		site.list(t, site.owner, "owner")
		events := &sizeEvents{}
		site.late.Events = events
		owned := &ownedJob{job: site.job, ctx: t.Context()}
		runner := &Runner{RunnerOptions: RunnerOptions{Service: site.late.Service}, owned: map[string]*ownedJob{"j": owned}}
		lost := longTask(0, "late")
		lost.owned = owned
		want := int64(len(lost.text))
		if remaining := runner.commit(owned, []*task{lost}); remaining != 0 {
			t.Fatalf("%d items remain", remaining)
		}
		time.Sleep(2 * resolveTime)
		if got := events.size.Load(); got != want {
			t.Errorf("the text is logged with %d bytes, has %d", got, want)
		}
	})
}

// isKept reports whether the memory that p points to is still in use.
func isKept(p weak.Pointer[byte]) bool {
	runtime.GC()
	return p.Value() != nil
}

// Guards against a node that runs out of memory in an outage of the store, since it keeps the content of each
// submission that got no answer for a minute.
func TestResolveContent_KeepsNoContentInMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := startUnawareNode(tabletest.New(), &objecttest.Store{}, "a#1")
		content := newContent(submissionOf("a", largeBody))
		body := weak.Make(&content.body[0])
		node.resolveContent(t.Context(), "j", content, ErrUnknownOutcome)
		time.Sleep(resolveTime / 2)
		if isKept(body) {
			t.Error("the content is still in memory")
		}
		time.Sleep(resolveTime)
	})
}

// Guards against a node that runs out of memory in an outage of the store, since it keeps each text that it
// could not list for a minute.
func TestResolveTexts_KeepsNoTextInMemory(t *testing.T) {
	withTextSite(t, func(t *testing.T, site *textSite) {
		unanswered := longTask(0, "late")
		unanswered.object = "text"
		text := weak.Make(&unanswered.text[0])
		site.late.resolveTexts(t.Context(), site.job, []*task{unanswered})
		time.Sleep(resolveTime / 2)
		if isKept(text) {
			t.Error("the text is still in memory")
		}
		time.Sleep(resolveTime)
	})
}
