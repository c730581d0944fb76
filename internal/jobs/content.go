package jobs

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// chunkBytes bounds the content in one row.
	chunkBytes = 40 << 10
	// maxInlineContent bounds the content that is stored in rows by the acceptance itself; it keeps
	// the encoded transaction below 1 MB. A larger content becomes an object, which costs one more
	// and slower call.
	maxInlineContent = 600 << 10
	// maxCachedContents bounds the jobs whose items are kept in memory.
	maxCachedContents = 64
)

// contentChunks splits a content into the bodies of rows. It returns none if the content is too
// large for rows.
func contentChunks(content []byte) [][]byte {
	if len(content) > maxInlineContent {
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

// submittedContent is the encoded content of a submission. Several nodes may write contents of one job
// id, at any time and with different items, so each has a name of its own, and that of the job that is
// accepted is never written again.
type submittedContent struct {
	name string
	body []byte
	// object names the object that holds a content too large for rows.
	object string
}

func newContent(submission *Submission) *submittedContent {
	content := &submittedContent{name: table.NewOperation(), body: encode(submission.Items)}
	if len(content.body) > maxInlineContent {
		content.object = contentObject(submission.ID, content.name)
	}
	return content
}

// putContent stores a content that is too large for rows as an object, before the rows that refer
// to it.
func (s *Service) putContent(ctx context.Context, content *submittedContent) error {
	if content.object == "" {
		return nil
	}
	return s.putObject(ctx, content.object, content.body)
}

// resolveContent deletes the object with the content of a submission in the background, once its job
// is known to have another content or, if the submission was refused, to not exist. refused is the
// error of the submission.
func (s *Service) resolveContent(ctx context.Context, id string, content *submittedContent, refused error) {
	if entry := s.View.Get(id); content.object == "" || entry != nil && entry.Job.Content == content.name {
		return
	}
	// The body is not kept: in an outage of the store, many would be for long.
	name, object, size := content.name, content.object, len(content.body)
	go func() {
		err := s.deleteWhenUnused(ctx, object, func(ctx context.Context) error {
			return s.checkContentUnused(ctx, id, name, refused)
		})
		if !errors.Is(err, errObjectUsed) {
			s.Events.ContentUnused(id, object, size, err)
		}
	}()
}

// checkContentUnused returns nil if no job refers to the named content or ever will. All transactions that
// accept the submission are conditional on there being no job with its id.
func (s *Service) checkContentUnused(ctx context.Context, id, name string, refused error) error {
	row, err := s.getOnce(ctx, jobKey(id))
	if errors.Is(err, ErrNotFound) {
		if isRefusal(refused) {
			return nil
		}
		return Error.Wrap(errContentUndecided)
	}
	if err != nil {
		return err
	}
	var job Job
	if err := row.Decode(&job); err != nil {
		return Error.Wrap(err)
	}
	if job.Content == name {
		return Error.Wrap(errObjectUsed)
	}
	return nil
}

// isRefusal reports whether the error of a submission means that it is never accepted.
func isRefusal(err error) bool {
	refused := errors.Is(err, ErrQuota) || errors.Is(err, ErrNotAccepted) || errors.Is(err, ErrSuperseded)
	return refused && !errors.Is(err, ErrUnknownOutcome)
}

func (s *Service) putObject(ctx context.Context, key string, body []byte) error {
	return Error.Wrap(retryCall(ctx, objectTimeout, func(callCtx context.Context) error {
		return s.Objects.Put(callCtx, key, body)
	}))
}

// content returns the items of a job from memory or from the store.
func (s *Service) content(ctx context.Context, job *Job) ([]Item, error) {
	s.contentMu.Lock()
	cached, ok := s.contents[job.ID]
	s.contentMu.Unlock()
	if ok && cached.name == job.Content {
		return cached.items, nil
	}
	content, err := s.readContent(ctx, job)
	if err != nil {
		return nil, s.reportUnreadable(err)
	}
	items, err := decodeContent(job, content)
	return items, s.reportUnreadable(err)
}

// reportUnreadable reports a row or object that cannot be read, and marks the error for callers:
// the store is available, but a retry will not help.
func (s *Service) reportUnreadable(err error) error {
	if found := (*table.UnreadableError)(nil); !errors.As(err, &found) {
		return err
	}
	s.View.Unreadable.Report(err)
	return Error.Wrap(errors.Join(ErrUnavailable, ErrUnreadable, err))
}

// decodeContent decodes the items of a job and checks that they are those named in its row.
func decodeContent(job *Job, content *table.Row) ([]Item, error) {
	var items []Item
	if err := content.Decode(&items); err != nil {
		return nil, err
	}
	same := func(item Item, head ItemHead) bool { return item.ID == head.ID }
	if !slices.EqualFunc(items, job.Items, same) {
		return nil, content.AsUnreadable(table.Content, errItemMismatch)
	}
	return items, nil
}

// objectReportPartition is the partition given in reports of objects that cannot be read.
const objectReportPartition = "objects"

var (
	errItemMismatch = errors.New("the content has other items than the job")
	errChunkMissing = errors.New("rows of the content are missing")
	// errContentUndecided reports that a content may still be referred to.
	errContentUndecided = errors.New("the job is not accepted yet")
)

// Items returns the items of a job.
func (s *Service) Items(ctx context.Context, job *Job) ([]Item, error) { return s.content(ctx, job) }

// readContent reads the encoded items of a job, as the body of a row.
func (s *Service) readContent(ctx context.Context, job *Job) (*table.Row, error) {
	if job.Chunks == 0 {
		return s.readNamedObject(ctx, contentObject(job.ID, job.Content))
	}
	var rows []table.Row
	err := retryCall(ctx, slowCallTimeout, func(callCtx context.Context) (err error) {
		rows, err = s.Table.List(callCtx, resultPartition(job.ID), chunkPrefix(job.ID), job.Chunks)
		return err
	})
	if err != nil {
		return nil, readError(err)
	}
	return joinChunks(job, rows)
}

// joinChunks joins the rows of a content into one row, which has the key and version of the last.
func joinChunks(job *Job, rows []table.Row) (*table.Row, error) {
	content := &table.Row{Key: chunkKey(job.ID, 0)}
	for number := range job.Chunks {
		if number >= len(rows) || rows[number].Key != chunkKey(job.ID, number) {
			return nil, content.AsUnreadable(table.Content, errChunkMissing)
		}
		row := rows[number]
		if row.Unreadable != nil {
			return nil, row.AsUnreadable(table.Envelope, row.Unreadable)
		}
		content.Key, content.Version = row.Key, row.Version
		content.Body = append(content.Body, row.Body...)
	}
	return content, nil
}

// cachedContent is a content in memory, under its name.
type cachedContent struct {
	name  string
	items []Item
}

// cacheContent keeps the items of a job that this node runs in memory.
func (s *Service) cacheContent(id, name string, items []Item) {
	s.contentMu.Lock()
	defer s.contentMu.Unlock()
	if s.contents == nil {
		s.contents = map[string]cachedContent{}
	}
	if len(s.contents) < maxCachedContents {
		s.contents[id] = cachedContent{name: name, items: items}
	}
}

// dropContent drops the items of a job from memory.
func (s *Service) dropContent(id string) {
	s.contentMu.Lock()
	defer s.contentMu.Unlock()
	delete(s.contents, id)
}

// readNamedObject reads an object that a row refers to, as the body of a row. The object exists as
// long as that row, so a missing one is lost and reported as unreadable.
func (s *Service) readNamedObject(ctx context.Context, name string) (*table.Row, error) {
	row := &table.Row{Key: table.Key{Partition: objectReportPartition, Sort: name}}
	body, err := s.getObject(ctx, name)
	if notFound(err) {
		return nil, row.AsUnreadable(table.Content, err)
	}
	row.Body = body
	return row, err
}

func (s *Service) getObject(ctx context.Context, key string) (body []byte, err error) {
	err = retryCall(ctx, objectTimeout, func(callCtx context.Context) error {
		body, err = object.ReadAll(callCtx, s.Objects, key)
		return err
	})
	return body, readError(err)
}
