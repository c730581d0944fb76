package batch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// newSubmission builds the job that runs a group from the lines of the input file.
func (s *Service) newSubmission(ctx context.Context, batch *Job, number int) (*jobs.Submission, error) {
	if batch.activeVersion == table.Absent {
		return nil, Error.New("batch %s is not known to be active", batch.ID)
	}
	lines, err := s.readLines(ctx, batch, number)
	if err != nil {
		return nil, err
	}
	first, _ := batch.groupRange(number)
	submission := &jobs.Submission{
		ID: groupID(batch.ID, number), Route: RouteOf(batch.Model), Host: RouteOf(batch.Model),
		Completion: time.Until(batch.Deadline), Retention: time.Until(batch.Deadline), FIFO: true,
		// Groups of ended batches and groups that are done are not submitted again.
		Guards: []table.Write{
			{Key: activeKey(batch.ID), Expect: batch.activeVersion},
			{Key: groupKey(batch.ID, number), Expect: table.Absent},
		},
	}
	for i, line := range lines {
		item, problem := ParseItem(line)
		if problem != nil {
			return nil, Error.New("line %d of %s: %s", first+i+1, batch.File, problem.Message)
		}
		request, _ := openai.ParseCompletion(item.Body)
		submission.Items = append(submission.Items, jobs.Item{
			ID: fmt.Sprintf("%s-%d", batch.ID, first+i), Path: item.URL, Body: item.Body,
			Tokens:     int64(len(item.Body)/bytesPerToken + request.Limit()),
			AtMostOnce: item.NotRepeatable, Label: item.CustomID,
		})
	}
	return submission, nil
}

// bytesPerToken is the typical length of a token, used to estimate the size of prompts.
const bytesPerToken = 4

// RouteOf returns the name of the route for the batches of a model.
func RouteOf(model string) string { return "batch/" + model }

// readLines returns the lines of a group from the segments of the input file.
func (s *Service) readLines(ctx context.Context, batch *Job, number int) ([][]byte, error) {
	first, end := batch.groupRange(number)
	var lines [][]byte
	for segment := first / SegmentLines; segment*SegmentLines < end; segment++ {
		body, err := object.ReadAll(ctx, s.Objects, segmentKey(batch.File, segment))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		lines = append(lines, linesInRange(body, segment*SegmentLines, first, end)...)
	}
	if len(lines) != end-first {
		return nil, Error.New("group %d of %s has %d lines, not %d", number, batch.ID, len(lines), end-first)
	}
	return lines, nil
}

// linesInRange returns the lines of a segment whose numbers in the file are in [first, end).
// lineNumber is the number of the segment's first line.
func linesInRange(segment []byte, lineNumber, first, end int) [][]byte {
	var lines [][]byte
	reader := bufio.NewReaderSize(bytes.NewReader(segment), 64<<10)
	for ; ; lineNumber++ {
		line, _, err := readLine(reader, nil, func(int) error { return nil })
		if len(line) == 0 && errors.Is(err, io.EOF) {
			return lines
		}
		if lineNumber >= first && lineNumber < end {
			lines = append(lines, bytes.Clone(line))
		}
		if err != nil {
			return lines
		}
	}
}

// finishGroup makes the listed results of a group permanent. It stores them as objects, then in one
// transaction writes the group's record and removes its job, if the batch is still active.
func (s *Service) finishGroup(ctx context.Context, batch *Job, number int, entry *jobs.Entry) error {
	results, err := s.itemResults(ctx, entry)
	if err != nil {
		return err
	}
	outputs, failures, group := render(results)
	if err := s.Objects.Put(ctx, resultKey(batch.ID, number), outputs); err != nil {
		return Error.Wrap(err)
	}
	if group.Errors {
		if err := s.Objects.Put(ctx, errorKey(batch.ID, number), failures); err != nil {
			return Error.Wrap(err)
		}
	}
	body, err := encode(group)
	if err != nil {
		return err
	}
	return s.Work.Remove(ctx, entry,
		table.Write{Key: groupKey(batch.ID, number), Expect: table.Absent, Body: body},
		table.Write{Key: activeKey(batch.ID), Kind: table.Check, Expect: batch.activeVersion})
}

// itemResults returns the results of a completed group, each with its item.
func (s *Service) itemResults(ctx context.Context, entry *jobs.Entry) ([]itemResult, error) {
	items, err := s.Work.Items(ctx, entry.Job)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	byID := make(map[string]*jobs.Item, len(items))
	for i := range items {
		byID[items[i].ID] = &items[i]
	}
	var results []itemResult
	for len(results) < len(items) {
		page, err := s.Work.Read(ctx, entry.Job.ID, len(results), 0)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if len(page.Results) == 0 {
			return nil, Error.New("group %s has %d of %d results", entry.Job.ID, len(results), len(items))
		}
		for _, result := range page.Results {
			results = append(results, itemResult{item: byID[result.Item], result: result})
		}
	}
	return results, nil
}

// itemResult is a listed result and the item it belongs to.
type itemResult struct {
	item   *jobs.Item
	result jobs.Result
}

// render returns the contents of the output object and the error object, and the group's counts.
func render(results []itemResult) (outputs, failures []byte, group Group) {
	var outputBuffer, failureBuffer bytes.Buffer
	for _, item := range results {
		line, failed := item.line()
		target := &outputBuffer
		if failed {
			target = &failureBuffer
			group.Failed++
		} else {
			group.Completed++
		}
		if item.result.Reason == jobs.Expired {
			group.Expired++
		}
		target.Write(line)
		target.WriteByte('\n')
	}
	group.Errors = failureBuffer.Len() > 0
	return outputBuffer.Bytes(), failureBuffer.Bytes(), group
}

// line returns the result as a line of the output or error file, and whether the item failed.
func (r *itemResult) line() ([]byte, bool) {
	rendered := openai.BatchResult{ID: "batch_req_" + r.item.ID, CustomID: r.item.Label}
	if !r.result.Dead {
		body, err := engine.AssembleAnswer(r.result.Text, r.item.Path)
		if err == nil {
			rendered.Response = &openai.BatchItemResponse{StatusCode: 200, RequestID: r.item.ID, Body: body}
			return marshal(rendered), false
		}
	}
	rendered.Error = itemError(r.result.Reason)
	return marshal(rendered), true
}

func marshal(rendered openai.BatchResult) []byte {
	line, err := json.Marshal(rendered)
	if err != nil {
		// The parts are strings and JSON that this package encoded, so this cannot happen.
		panic(err)
	}
	return line
}

// itemError returns the error that the caller receives for an item without an answer.
func itemError(reason jobs.Reason) *openai.BatchItemError {
	switch reason {
	case jobs.Expired:
		return &openai.BatchItemError{Code: openai.CodeBatchExpired, Message: "the deadline passed before the item ran"}
	case jobs.Undecided:
		return &openai.BatchItemError{Code: openai.CodeOutcomeUnknown, Message: "the item may have run"}
	case jobs.Quarantined:
		return &openai.BatchItemError{Code: openai.CodeQuarantined, Message: "replicas ended while they ran the item"}
	case jobs.Invalid:
		return &openai.BatchItemError{Code: openai.CodeItemFailed, Message: "the engine says that the item can never be done"}
	default:
		return &openai.BatchItemError{Code: openai.CodeItemFailed, Message: "the item failed at each run"}
	}
}
