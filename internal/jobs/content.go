package jobs

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// chunkBytes bounds the content in one row.
	chunkBytes = 40 << 10
	// maxInline bounds the content that goes into the rows of the acceptance
	// itself; it keeps the transaction below 1 MB with its encoding. Larger
	// contents become an object, which is a call more, and a slower one.
	maxInline = 600 << 10
	// maxContents bounds the jobs whose items are kept in memory.
	maxContents = 64
)

// contentChunks cuts a content into the bodies of rows; none if it is too large.
func contentChunks(content []byte) [][]byte {
	if len(content) > maxInline {
		return nil
	}
	var chunks [][]byte
	for len(content) > 0 {
		size := min(chunkBytes, len(content))
		chunks = append(chunks, content[:size])
		content = content[size:]
	}
	return chunks
}

func chunkPrefix(job string) string { return job + "/content/" }

func chunkKey(job string, number int) table.Key {
	return table.Key{Partition: resultPartition(job), Sort: fmt.Sprintf("%s%03d", chunkPrefix(job), number)}
}

// putContent stores a content that is too large for rows, before the rows that
// make it a job's. The object is only ever written with this content, so it may
// be written twice.
func (s *Service) putContent(ctx context.Context, id string, content []byte) error {
	if len(content) <= maxInline {
		return nil
	}
	return s.putObject(ctx, contentKey(id), content)
}

func (s *Service) putObject(ctx context.Context, key string, body []byte) error {
	delay := retryFirst
	for {
		callCtx, cancel := context.WithTimeout(ctx, objectTimeout)
		err := s.Objects.Put(callCtx, key, body)
		cancel()
		if err == nil || !wait(ctx, delay) {
			return Error.Wrap(err)
		}
		delay = min(2*delay, retryMax)
	}
}

// content returns the items of a job from memory or from the store.
func (s *Service) content(ctx context.Context, job *Job) ([]Item, error) {
	s.contentMu.Lock()
	items, ok := s.contents[job.ID]
	s.contentMu.Unlock()
	if ok {
		return items, nil
	}
	body, err := s.readContent(ctx, job)
	if err != nil {
		return nil, err
	}
	return items, decode(body, &items)
}

func (s *Service) readContent(ctx context.Context, job *Job) ([]byte, error) {
	if job.Chunks == 0 {
		return s.getObject(ctx, contentKey(job.ID))
	}
	delay := retryFirst
	for {
		callCtx, cancel := context.WithTimeout(ctx, slowCallTimeout)
		rows, err := s.Table.List(callCtx, resultPartition(job.ID), chunkPrefix(job.ID), job.Chunks)
		cancel()
		if err == nil {
			return joinChunks(job, rows)
		}
		if !wait(ctx, delay) {
			return nil, Error.Wrap(errors.Join(ErrUnavailable, err))
		}
		delay = min(2*delay, retryMax)
	}
}

func joinChunks(job *Job, rows []table.Row) ([]byte, error) {
	var content bytes.Buffer
	for number, row := range rows {
		if row.Key == chunkKey(job.ID, number) {
			content.Write(row.Body)
		}
	}
	if len(rows) != job.Chunks {
		return nil, Error.New("job %s has %d of %d chunks of content", job.ID, len(rows), job.Chunks)
	}
	return content.Bytes(), nil
}

// remember keeps the items of a job that this node runs.
func (s *Service) remember(id string, items []Item) {
	s.contentMu.Lock()
	defer s.contentMu.Unlock()
	if s.contents == nil {
		s.contents = map[string][]Item{}
	}
	if len(s.contents) < maxContents {
		s.contents[id] = items
	}
}

// forget drops the items of a job that is done.
func (s *Service) forget(id string) {
	s.contentMu.Lock()
	defer s.contentMu.Unlock()
	delete(s.contents, id)
}

func (s *Service) getObject(ctx context.Context, key string) ([]byte, error) {
	delay := retryFirst
	for {
		callCtx, cancel := context.WithTimeout(ctx, objectTimeout)
		body, err := object.ReadAll(callCtx, s.Objects, key)
		cancel()
		switch {
		case err == nil:
			return body, nil
		case errors.Is(err, object.ErrNotFound):
			return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrNotFound, err))
		}
		if !wait(ctx, delay) {
			return nil, Error.Wrap(errors.Join(ErrUnavailable, err))
		}
		delay = min(2*delay, retryMax)
	}
}
