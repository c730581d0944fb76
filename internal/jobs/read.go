package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// maxReadText bounds the texts of one read, in bytes.
	maxReadText = 900 << 10
	// maxCachedText bounds the texts kept in memory, in bytes.
	maxCachedText = 16 << 20
)

// ReadResult is the answer to a read of a job's results.
type ReadResult struct {
	Total   int
	Results []Result
	// Next is the position after the last result.
	Next int
	// Version is the version of the job's progress row that the answer was made from.
	Version uint64
	// AsOf is the time up to which that row is the newest; zero if that is not known.
	AsOf time.Time
}

// Read returns the results from a position on. If there is none, it waits for one, for at most
// wait.
func (s *Service) Read(ctx context.Context, id string, position int, wait time.Duration) (*ReadResult, error) {
	entry, err := s.find(ctx, id)
	if err != nil {
		return nil, err
	}
	if wait > 0 {
		entry = s.freshenBeforeWait(ctx, entry, position)
	}
	entry, asOf, err := s.ensureFresh(ctx, s.awaitResult(ctx, entry, position, wait), position)
	if err != nil {
		return nil, err
	}
	if position >= len(entry.Progress.Listed) && entry.isOpen() {
		s.Events.NoResult(entry, position, clock.Since(asOf))
	}
	result := &ReadResult{Total: len(entry.Job.Items), Next: position, Version: entry.Version, AsOf: asOf}
	cache := &s.cache
	if !s.mayStoreHere(ctx, entry.Job) {
		// The texts are passed on to the caller and not cached at this node.
		cache = &textCache{}
	}
	texts, err := s.texts(ctx, cache, entry, position)
	if err != nil {
		return nil, err
	}
	for _, text := range texts {
		listed := entry.Progress.Listed[result.Next]
		result.Results = append(result.Results, Result{
			Item: entry.Job.Items[listed.Item].ID, Dead: listed.Dead, Text: text.text, Reason: text.reason,
		})
		result.Next++
	}
	return result, nil
}

// awaitResult waits until the job has a result at a position or can no longer get one, for at most
// wait.
func (s *Service) awaitResult(ctx context.Context, entry *Entry, position int, wait time.Duration) *Entry {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	s.waiters.Add(1)
	defer s.waiters.Add(-1)
	requested := false
	for {
		changed := s.View.Changed()
		if known := s.View.Get(entry.Job.ID); known != nil {
			entry = known
		}
		if len(entry.Progress.Listed) > position || !entry.isOpen() || wait <= 0 {
			return entry
		}
		if !requested && s.RequestUpdate != nil {
			s.RequestUpdate()
		}
		requested = true
		select {
		case <-ctx.Done():
			return entry
		case <-deadline.C:
			return entry
		case <-changed:
		}
	}
}

// texts returns the texts from a position on, as many as fit into one read.
func (s *Service) texts(ctx context.Context, cache *textCache, entry *Entry, position int) ([]resultText, error) {
	var texts []resultText
	size := 0
	for ; position < len(entry.Progress.Listed); position++ {
		text, ok := cache.get(entry.Job.ID, position)
		if !ok {
			if err := s.fetchTexts(ctx, cache, entry, position); err != nil {
				return texts, ignoreIfPartial(texts, err)
			}
			if text, ok = cache.get(entry.Job.ID, position); !ok {
				return texts, ignoreIfPartial(texts, Error.Wrap(ErrUnavailable))
			}
		}
		size += len(text.text)
		if len(texts) > 0 && size > maxReadText {
			return texts, nil
		}
		texts = append(texts, text)
	}
	return texts, nil
}

// ignoreIfPartial drops the error if there are texts to answer with.
func ignoreIfPartial(texts []resultText, err error) error {
	if len(texts) > 0 {
		return nil
	}
	return err
}

// fetchTexts reads result rows from a position on into a cache.
func (s *Service) fetchTexts(ctx context.Context, cache *textCache, entry *Entry, position int) error {
	const batchRows = 25
	id := entry.Job.ID
	limit := min(batchRows, len(entry.Progress.Listed)-position)
	after := resultKey(id, position-1).Sort
	if position == 0 {
		after = id + "/"
	}
	var rows []table.Row
	err := retryCall(ctx, callTimeout, func(callCtx context.Context) (err error) {
		rows, err = s.Table.List(callCtx, resultPartition(id), after, limit)
		return err
	})
	if err != nil {
		return readError(err)
	}
	for i, row := range rows {
		if row.Key != resultKey(id, position+i) {
			break
		}
		err := s.cacheRow(ctx, cache, id, position+i, row)
		if err != nil && i > 0 {
			// The results before this one can be returned.
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) cacheRow(ctx context.Context, cache *textCache, id string, position int, row table.Row) error {
	var stored storedResult
	if err := row.Decode(&stored); err != nil {
		return s.reportUnreadable(err)
	}
	if stored.Object != "" {
		text, err := s.readNamedObject(ctx, stored.Object)
		if err != nil {
			return s.reportUnreadable(err)
		}
		stored.Text = string(text.Body)
	}
	cache.put(id, position, resultText{text: stored.Text, reason: stored.Reason})
	return nil
}

// Body returns the body of an item. Nodes outside the job's regions may answer too, because the
// body is not cached.
func (s *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	entry, err := s.find(ctx, id)
	if err != nil {
		return nil, err
	}
	items, err := s.content(ctx, entry.Job)
	if err != nil {
		return nil, err
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, Error.Wrap(ErrNotFound)
}

type textKey struct {
	job      string
	position int
}

// resultText is the text of a listed result, or the reason why it has none.
type resultText struct {
	text   string
	reason Reason
}

// textCache caches the texts of listed results, which never change. It drops the oldest first.
type textCache struct {
	mu    sync.Mutex
	texts map[textKey]resultText
	order []textKey
	size  int
}

func (c *textCache) get(job string, position int) (resultText, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, ok := c.texts[textKey{job, position}]
	return text, ok
}

func (c *textCache) put(job string, position int, text resultText) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := textKey{job, position}
	if _, ok := c.texts[key]; ok {
		return
	}
	if c.texts == nil {
		c.texts = map[textKey]resultText{}
	}
	c.texts[key] = text
	c.order = append(c.order, key)
	c.size += len(text.text)
	for c.size > maxCachedText {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.size -= len(c.texts[oldest].text)
		delete(c.texts, oldest)
	}
}
