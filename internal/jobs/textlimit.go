package jobs

import (
	"errors"
	"fmt"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
)

const (
	// maxTextBytes bounds the text of an item. The store keeps objects of at least this size.
	maxTextBytes = 4 << 20
	// textStepBytes is how much a text grows between two checks of what all texts of the node keep.
	textStepBytes = 16 << 10
)

// errTextTooLong reports a text that is longer than any may be.
var errTextTooLong = errors.New("text is too long")

// Texts of a node are bounded together, or answers that never end would use up its memory. Where a text
// finds no room, those of items that wait for a slot are dropped first, since they may wait for long and
// nothing else makes them end. Then the text itself is dropped, with all its memory, and its item starts
// over elsewhere after a pause: were it kept, texts that wait for each other's memory would never finish.

// makeRoom drops texts of items that wait until a text may grow by a number of bytes. It returns an error if
// the text must not grow. The caller holds mu.
func (r *Runner) makeRoom(t *task, bytes int) error {
	size := len(t.text) + 1 + bytes
	if size > maxTextBytes {
		return fmt.Errorf("%w: over %d bytes", errTextTooLong, maxTextBytes)
	}
	if size/textStepBytes == len(t.text)/textStepBytes {
		return nil
	}
	budget, total := bytebudget.Budget{}, r.textBytes()+int64(size-len(t.text))
	for !budget.Allows(int64(size), total) {
		waiting := r.longestWaitingText()
		if waiting == nil {
			return fmt.Errorf("%w: %d bytes of this text", bytebudget.ErrFull, len(t.text))
		}
		total -= int64(len(waiting.text))
		r.dropWaitingText(waiting)
	}
	return nil
}

// longestWaitingText returns the item with the longest text among those that wait; nil if none has any. The
// caller holds mu.
func (r *Runner) longestWaitingText() *task {
	var longest *task
	for _, owned := range r.owned {
		for _, t := range owned.tasks {
			if t.state == taskWaiting && len(t.text) > 0 && (longest == nil || len(t.text) > len(longest.text)) {
				longest = t
			}
		}
	}
	return longest
}

// dropWaitingText makes an item that waits start over. The caller holds mu.
func (r *Runner) dropWaitingText(t *task) {
	err := fmt.Errorf("%w: the text of %d bytes was dropped while the item waited", bytebudget.ErrFull, len(t.text))
	t.discardText()
	r.Service.Events.ItemFailed(t.owned.job, t.owned.job.Items[t.index].ID, "", err)
}

// textBytes returns the size of all texts of unfinished items. Finished ones wait for the store only, and to
// break off others for them would lose work in each of its outages. The caller holds mu.
func (r *Runner) textBytes() int64 {
	total := int64(0)
	for _, owned := range r.owned {
		for _, t := range owned.tasks {
			if t.state == taskWaiting || t.state == taskRunning {
				total += int64(len(t.text))
			}
		}
	}
	return total
}
