package jobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// The text of a result that is too long for a row is written to an object, and then the row that
// names the object is listed. Several nodes may write texts of one item, at any time and with
// different contents, since a node that has lost an item may not know it yet. So each text that a
// node writes has an object of its own, and the one that is named by the listed row is never written
// again. The others are deleted by their writers.

// errTextUndecided reports that a text may still be listed.
var errTextUndecided = errors.New("the item is not listed yet")

// textObject returns a new name for an object with the text of an item.
func textObject(job string, item int) string {
	return fmt.Sprintf("text-%s-%d-%s", job, item, table.NewOperation())
}

// putText writes the text of a finished item to its object, which is the same at each try, since the
// text no longer changes.
func (s *Service) putText(ctx context.Context, job *Job, t *task) error {
	if t.object == "" {
		t.object = textObject(job.ID, t.index)
	}
	putCtx, cancel := context.WithTimeout(ctx, textPutTimeout)
	defer cancel()
	return s.putObject(putCtx, t.object, t.text)
}

// writtenText is what is kept of a finished item whose text was written as an object. The text itself is not:
// in an outage of the store, many would be kept for long.
type writtenText struct {
	item      int
	object    string
	bytes     int
	reason    Reason
	firstSent time.Time
}

// written returns what is kept of a finished item.
func (t *task) written() writtenText {
	return writtenText{item: t.index, object: t.object, bytes: len(t.text), reason: t.reason, firstSent: t.firstSent}
}

// resolveTexts finds out in the background which of the texts that this node has written as objects
// are listed, and deletes the others. The items must not be listed by this node any more.
func (s *Service) resolveTexts(ctx context.Context, job *Job, tasks []*task) {
	for _, t := range tasks {
		if t.object != "" {
			go s.resolveText(ctx, job, t.written())
		}
	}
}

// resolveText deletes the object of an item's text once nothing refers to it and nothing ever will, or reports
// that the text is listed.
func (s *Service) resolveText(ctx context.Context, job *Job, t writtenText) {
	position := -1
	err := s.deleteWhenUnused(ctx, t.object, func(ctx context.Context) (err error) {
		position, err = s.checkTextUnused(ctx, job.ID, t)
		return err
	})
	if errors.Is(err, errObjectUsed) {
		s.reportItem(job, t, position)
		return
	}
	s.Events.TextNotListed(job, job.Items[t.item].ID, position, t.object, t.bytes, err)
}

// checkTextUnused returns nil if no row refers to the object of an item's text or ever will, and the
// position of the item, -1 if it has none.
//
// All transactions that list the text are conditional on a version of the progress row in which the
// item is not listed, and the list only grows. So none of them can be applied once the row lists the
// item, is ended or is gone.
func (s *Service) checkTextUnused(ctx context.Context, job string, t writtenText) (position int, err error) {
	row, err := s.getOnce(ctx, progressKey(job))
	if errors.Is(err, ErrNotFound) {
		return -1, nil
	}
	if err != nil {
		return -1, err
	}
	var progress Progress
	if err := row.Decode(&progress); err != nil {
		return -1, Error.Wrap(err)
	}
	position = progress.position(t.item)
	switch {
	case position >= 0:
		return position, s.checkOtherText(ctx, resultKey(job, position), t.object)
	case progress.Ended:
		return position, nil
	default:
		return position, Error.Wrap(errTextUndecided)
	}
}

// checkOtherText returns nil if a result row refers to another object than the given one or to none.
func (s *Service) checkOtherText(ctx context.Context, key table.Key, object string) error {
	row, err := s.getOnce(ctx, key)
	if err != nil {
		return err
	}
	var listed storedResult
	if err := row.Decode(&listed); err != nil {
		return Error.Wrap(err)
	}
	if listed.Object == object {
		return Error.Wrap(errObjectUsed)
	}
	return nil
}

// reportItem reports that an item is listed at a position.
func (s *Service) reportItem(job *Job, t writtenText, position int) {
	s.Events.ItemListed(job, job.Items[t.item].ID, position, t.reason, t.object, t.bytes, clock.Since(t.firstSent))
}

// reportListed reports the items of a batch that are listed, and resolves the texts of the others.
// Items that are not in written were listed by an earlier write, if at all. A text that needs an object
// and was never written to one is not the listed one.
func (s *Service) reportListed(ctx context.Context, job *Job, batch []*task, written map[*task]bool) {
	entry := s.View.Get(job.ID)
	for _, t := range batch {
		position := -1
		if entry != nil {
			position = entry.Progress.position(t.index)
		}
		switch {
		case t.object != "" && !written[t]:
			s.resolveTexts(ctx, job, []*task{t})
		case position >= 0 && (written[t] || t.objectCount() == 0):
			s.reportItem(job, t.written(), position)
		}
	}
}
