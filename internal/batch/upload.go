package batch

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/ingress"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// MaxLineBytes is the maximum length of a line of an input file.
	MaxLineBytes = 1 << 20
	// MaxLines is the maximum number of items in one input file.
	MaxLines = 270_000
	// maxFindings is the maximum number of findings stored for one file.
	maxFindings = 100
	// readBuffer is the size in bytes of the buffer for what arrives.
	readBuffer = 64 << 10
)

// Codes of the findings about input files.
const (
	codeInvalidJSON  = "invalid_json_line"
	codeInvalidItem  = "invalid_item"
	codeDuplicateID  = "duplicate_custom_id"
	codeLineTooLong  = "line_too_long"
	codeTooManyItems = "too_many_items"
	codeEmptyFile    = "empty_file"
)

// ParseItem decodes and validates one line of an input file.
func ParseItem(line []byte) (openai.BatchItem, *openai.BatchError) {
	var item openai.BatchItem
	if err := json.Unmarshal(line, &item); err != nil {
		return item, &openai.BatchError{Code: codeInvalidJSON, Message: "line is not valid JSON: " + err.Error()}
	}
	problem := ""
	switch {
	case item.CustomID == "":
		problem = "custom_id must be set"
	case item.Method != http.MethodPost:
		problem = "method must be POST"
	case item.URL != openai.PathChatCompletions && item.URL != openai.PathCompletions:
		problem = "url must be " + openai.PathChatCompletions + " or " + openai.PathCompletions
	}
	if problem == "" {
		if _, err := openai.ParseCompletion(item.Body); err != nil {
			problem = "body: " + err.Error()
		}
	}
	if problem != "" {
		return item, &openai.BatchError{Code: codeInvalidItem, Message: problem}
	}
	return item, nil
}

// uploader validates the lines of a file as they arrive and stores them in segments, so that at most
// one segment is in memory.
type uploader struct {
	store          object.Store
	record         *FileRecord
	digest         hash.Hash
	seenIDs        map[uint64]bool
	segment        bytes.Buffer
	storedSegments int
}

// Upload stores an input file and returns its record. An upload with findings succeeds, but a job over
// the file fails.
func (s *Service) Upload(ctx context.Context, tenant, name string, content io.Reader) (*FileRecord, error) {
	record := &FileRecord{ID: "file-" + table.NewOperation(), Tenant: tenant, Name: name, CreatedAt: time.Now().UTC()}
	upload := &uploader{store: s.Objects, record: record, digest: sha256.New(), seenIDs: map[uint64]bool{}}
	if err := upload.readAll(ctx, content); err != nil {
		return nil, err
	}
	record.SHA256 = upload.digest.Sum(nil)
	body, err := encode(record)
	if err != nil {
		return nil, err
	}
	err = table.CommitSettled(ctx, s.Table, table.NewOperation(),
		table.Write{Key: fileKey(record.ID), Expect: table.Absent, Body: body})
	if err != nil {
		// No caller has received the file's ID, so an undecided upload counts as not accepted.
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrNotAccepted, err))
	}
	return record, nil
}

func (u *uploader) readAll(ctx context.Context, content io.Reader) error {
	reader := bufio.NewReaderSize(content, readBuffer)
	var buffer []byte
	for {
		line, tooLong, err := readLine(reader, buffer, func(capacity int) error { return u.keep(ctx, capacity) })
		if err != nil && !errors.Is(err, io.EOF) {
			return Error.Wrap(outcome.AsNotDone(err))
		}
		buffer = line
		atEOF := err != nil
		if len(line) > 0 || tooLong || !atEOF {
			if err := u.addLine(ctx, line, tooLong); err != nil {
				return err
			}
		}
		if atEOF {
			break
		}
	}
	if u.record.Lines == 0 {
		u.addFinding(0, openai.BatchError{Code: codeEmptyFile, Message: "the file has no items"})
	}
	return u.flush(ctx)
}

// readLine reads the next line into buffer, which may grow, and returns it without its line ending. For a line
// longer than MaxLineBytes, tooLong is true and the line is empty or cut. It calls grown after each part of a long
// line with the capacity of the buffer.
func readLine(reader *bufio.Reader, buffer []byte, grown func(capacity int) error) (line []byte, tooLong bool, err error) {
	line = buffer[:0]
	for {
		part, err := reader.ReadSlice('\n')
		if len(line)+len(part) > MaxLineBytes {
			tooLong = true
			line = line[:0]
		}
		if !tooLong {
			line = append(line, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return bytes.TrimRight(line, "\r\n"), tooLong, err
		}
		if err := grown(cap(line)); err != nil {
			return nil, false, err
		}
	}
}

// keep tells how much memory the upload takes: what it has buffered, and the given number of bytes.
func (u *uploader) keep(ctx context.Context, bytes int) error {
	err := ingress.Keep(ctx, readBuffer+u.segment.Cap()+bytes)
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrNotAccepted, err))
	}
	return nil
}

// addLine counts, validates and stores a line. Blank lines are ignored.
func (u *uploader) addLine(ctx context.Context, line []byte, tooLong bool) error {
	if len(bytes.TrimSpace(line)) == 0 && !tooLong {
		return nil
	}
	u.record.Lines++
	u.record.Bytes += int64(len(line)) + 1
	_, _ = u.digest.Write(line)
	_, _ = u.digest.Write([]byte{'\n'})
	switch {
	case tooLong:
		u.addFinding(u.record.Lines, openai.BatchError{Code: codeLineTooLong, Message: "line is longer than 1 MiB"})
	case u.record.Lines > MaxLines:
		if u.record.Lines == MaxLines+1 {
			u.addFinding(u.record.Lines, openai.BatchError{Code: codeTooManyItems, Message: "a file holds at most 270,000 items"})
		}
		return nil
	default:
		u.checkLine(line)
	}
	u.segment.Write(line)
	u.segment.WriteByte('\n')
	if err := u.keep(ctx, cap(line)); err != nil {
		return err
	}
	if u.record.Lines%SegmentLines == 0 {
		return u.flush(ctx)
	}
	return nil
}

// checkLine validates a line and records its findings.
func (u *uploader) checkLine(line []byte) {
	item, problem := ParseItem(line)
	if problem != nil {
		u.addFinding(u.record.Lines, *problem)
		return
	}
	id := xxhash.Sum64String(item.CustomID)
	if u.seenIDs[id] {
		u.addFinding(u.record.Lines, openai.BatchError{Code: codeDuplicateID, Message: fmt.Sprintf("custom_id %q stands on an earlier line", item.CustomID)})
	}
	u.seenIDs[id] = true
	u.record.NotRepeatable = u.record.NotRepeatable || item.NotRepeatable
	if u.record.Model == "" {
		request, _ := openai.ParseCompletion(item.Body)
		u.record.Model = request.Model
	}
}

// addFinding records a finding about a line, counted from 1; 0 stands for the whole file.
func (u *uploader) addFinding(line int, problem openai.BatchError) {
	if len(u.record.Findings) < maxFindings {
		problem.Line = line
		u.record.Findings = append(u.record.Findings, problem)
	}
}

// flush stores the buffered lines as the next segment.
func (u *uploader) flush(ctx context.Context) error {
	if u.segment.Len() == 0 {
		return nil
	}
	if err := u.keep(ctx, u.segment.Len()); err != nil {
		return err
	}
	err := u.store.Put(ctx, segmentKey(u.record.ID, u.storedSegments), bytes.Clone(u.segment.Bytes()))
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrNotAccepted, err))
	}
	u.storedSegments++
	u.segment.Reset()
	return nil
}
