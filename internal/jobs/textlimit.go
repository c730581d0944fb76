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

// Texts of a node are bounded together, or answers that never end would use up its memory. The text that
// grows beyond what is left for the others is dropped, with all its memory, and its item starts over
// elsewhere after a pause: were it kept, texts that wait for each other's memory would never finish.

// makeRoom returns an error if a text must not grow by a number of bytes. The caller holds mu.
func (r *Runner) makeRoom(t *task, bytes int) error {
	size := len(t.text) + 1 + bytes
	if size > maxTextBytes {
		return fmt.Errorf("%w: over %d bytes", errTextTooLong, maxTextBytes)
	}
	if size/textStepBytes == len(t.text)/textStepBytes {
		return nil
	}
	budget := bytebudget.Budget{}
	if !budget.Allows(int64(size), r.textBytes()+int64(size-len(t.text))) {
		return fmt.Errorf("%w: %d bytes of this text", bytebudget.ErrFull, len(t.text))
	}
	return nil
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
