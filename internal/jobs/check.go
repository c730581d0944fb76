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
	errOtherJob   = errors.New("the row names another job than its key")
	errOtherPart  = errors.New("the row lies in another part than its job's")
	errItems      = errors.New("no such number of items")
	errItemHead   = errors.New("an item without an id, with negative tokens or of no node")
	errChunks     = errors.New("no such number of chunks")
	errRegions    = errors.New("not a region for each node")
	errItemIndex  = errors.New("no such item")
	errListedOnce = errors.New("an item is listed twice")
	errNegative   = errors.New("a negative number")
)

// check reports what a job row cannot say under a job's key.
func (j *Job) check(id string) error {
	switch {
	case j.ID != id:
		return fmt.Errorf("%w: %q", errOtherJob, j.ID)
	case len(j.Items) == 0 || len(j.Items) > MaxItems:
		return fmt.Errorf("%w: %d", errItems, len(j.Items))
	case j.Chunks < 0 || j.Chunks > maxChunks:
		return fmt.Errorf("%w: %d", errChunks, j.Chunks)
	case len(j.Regions) > 1 && len(j.Regions) != len(j.Nodes):
		return fmt.Errorf("%w: %d regions of %d nodes", errRegions, len(j.Regions), len(j.Nodes))
	case j.Accepted < 0:
		return fmt.Errorf("%w: %d tokens accepted", errNegative, j.Accepted)
	}
	for i, item := range j.Items {
		ofNode := item.Node >= 0 && item.Node < max(1, len(j.Nodes))
		if item.ID == "" || item.Tokens < 0 || !ofNode {
			return fmt.Errorf("%w: item %d", errItemHead, i)
		}
	}
	return nil
}

// check reports what a progress row cannot say of a job with so many items.
func (p *Progress) check(items int) error {
	listed := make([]bool, items)
	for _, one := range p.Listed {
		if one.Item < 0 || one.Item >= items {
			return fmt.Errorf("%w: %d is listed", errItemIndex, one.Item)
		}
		if listed[one.Item] {
			return fmt.Errorf("%w: %d", errListedOnce, one.Item)
		}
		listed[one.Item] = true
	}
	named := slices.Clone(p.Started)
	for item, count := range p.Failures {
		if count < 0 {
			return fmt.Errorf("%w: %d failures", errNegative, count)
		}
		named = append(named, item)
	}
	for item := range p.Moved {
		named = append(named, item)
	}
	for _, item := range named {
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
