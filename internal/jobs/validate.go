package jobs

import (
	"errors"
	"fmt"
	"slices"
)

// A row that decodes may still say what cannot be, when somebody else has written it or it
// was damaged. What is indexed by such a row is checked here once, when it is read.

// maxChunks bounds the rows of a content; their keys have three digits.
const maxChunks = 999

var (
	errWrongJob       = errors.New("the row names another job than its key")
	errWrongPartition = errors.New("the row lies in another part than its job's")
	errItemCount      = errors.New("no such number of items")
	errItemHead       = errors.New("an item without an id, with negative tokens or of no node")
	errChunkCount     = errors.New("no such number of chunks")
	errRegionCount    = errors.New("not a region for each node")
	errItemIndex      = errors.New("no such item")
	errListedTwice    = errors.New("an item is listed twice")
	errNegative       = errors.New("a negative number")
)

// check reports what a job row cannot say under a job's key.
func (j *Job) check(id string) error {
	switch {
	case j.ID != id:
		return fmt.Errorf("%w: %q", errWrongJob, j.ID)
	case len(j.Items) == 0 || len(j.Items) > MaxItems:
		return fmt.Errorf("%w: %d", errItemCount, len(j.Items))
	case j.Chunks < 0 || j.Chunks > maxChunks:
		return fmt.Errorf("%w: %d", errChunkCount, j.Chunks)
	case len(j.Regions) > 1 && len(j.Regions) != len(j.Nodes):
		return fmt.Errorf("%w: %d regions of %d nodes", errRegionCount, len(j.Regions), len(j.Nodes))
	case j.Accepted < 0:
		return fmt.Errorf("%w: %d tokens accepted", errNegative, j.Accepted)
	}
	for i, item := range j.Items {
		validNode := item.Node >= 0 && item.Node < max(1, len(j.Nodes))
		if item.ID == "" || item.Tokens < 0 || !validNode {
			return fmt.Errorf("%w: item %d", errItemHead, i)
		}
	}
	return nil
}

// check reports what a progress row cannot say of a job with so many items.
func (p *Progress) check(items int) error {
	listed := make([]bool, items)
	for _, result := range p.Listed {
		if result.Item < 0 || result.Item >= items {
			return fmt.Errorf("%w: %d is listed", errItemIndex, result.Item)
		}
		if listed[result.Item] {
			return fmt.Errorf("%w: %d", errListedTwice, result.Item)
		}
		listed[result.Item] = true
	}
	indexes := slices.Clone(p.Started)
	for item, count := range p.Failures {
		if count < 0 {
			return fmt.Errorf("%w: %d failures", errNegative, count)
		}
		indexes = append(indexes, item)
	}
	for item := range p.Reassigned {
		indexes = append(indexes, item)
	}
	for _, item := range indexes {
		if item < 0 || item >= items {
			return fmt.Errorf("%w: %d", errItemIndex, item)
		}
	}
	return nil
}

// check reports what a counter row cannot say.
func (c *counter) check() error {
	if c.Accepted < 0 || c.Quota < 0 {
		return fmt.Errorf("%w: %d accepted of %d", errNegative, c.Accepted, c.Quota)
	}
	return nil
}
