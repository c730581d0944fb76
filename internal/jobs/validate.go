package jobs

import (
	"errors"
	"fmt"
	"slices"
)

// A row that decodes may still hold invalid values, if it was damaged or written by something else.
// Values that are used as indexes are checked once, when the row is read.

// maxChunks bounds the rows of a content; their keys have three digits.
const maxChunks = 999

var (
	errWrongJob       = errors.New("the row names another job than its key")
	errWrongPartition = errors.New("the row is in another partition than its job")
	errItemCount      = errors.New("invalid number of items")
	errItemHead       = errors.New("item without id, with negative tokens or with an unknown node")
	errChunkCount     = errors.New("invalid number of chunks")
	errRegionCount    = errors.New("number of regions differs from number of nodes")
	errItemIndex      = errors.New("item index out of range")
	errListedTwice    = errors.New("item listed twice")
	errNegative       = errors.New("negative number")
)

// check returns an error if a job row holds values that are invalid for the job with this id.
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

// check returns an error if a progress row holds values that are invalid for a job with the given
// number of items.
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

// check returns an error if a counter row holds invalid values.
func (c *counter) check() error {
	if c.Accepted < 0 || c.Quota < 0 {
		return fmt.Errorf("%w: %d accepted of %d", errNegative, c.Accepted, c.Quota)
	}
	return nil
}
