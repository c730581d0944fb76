package jobs

import (
	"bytes"
	"context"
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
	return Error.Wrap(repeat(ctx, objectTimeout, func(callCtx context.Context) error {
		return s.Objects.Put(callCtx, key, body)
	}))
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

// Items returns the items of a job.
func (s *Service) Items(ctx context.Context, job *Job) ([]Item, error) { return s.content(ctx, job) }

func (s *Service) readContent(ctx context.Context, job *Job) ([]byte, error) {
	if job.Chunks == 0 {
		return s.getObject(ctx, contentKey(job.ID))
	}
	var rows []table.Row
	err := repeat(ctx, slowCallTimeout, func(callCtx context.Context) (err error) {
		rows, err = s.Table.List(callCtx, resultPartition(job.ID), chunkPrefix(job.ID), job.Chunks)
		return err
	})
	if err != nil {
		return nil, readError(err)
	}
	return joinChunks(job, rows)
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

func (s *Service) getObject(ctx context.Context, key string) (body []byte, err error) {
	err = repeat(ctx, objectTimeout, func(callCtx context.Context) error {
		body, err = object.ReadAll(callCtx, s.Objects, key)
		return err
	})
	return body, readError(err)
}
