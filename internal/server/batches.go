package server

import (
	"encoding/json"
	"errors"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/wheelhoist/wheelhoist/api/openai"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/batch"
	"github.com/wheelhoist/wheelhoist/internal/ingress"
)

const (
	// maxFileBytes is the maximum size of an uploaded file.
	maxFileBytes = 512 << 20
	// maxListed is the maximum number of batches in a list response.
	maxListed = 100
)

// uploadFile stores the file of a multipart upload as it arrives.
func (s *Server) uploadFile(ctx iris.Context) {
	if s.draining.Load() {
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeOverloaded, "this node takes no new work", notServingRetryAfter)
		return
	}
	ctx.Request().Body = http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxFileBytes)
	// The file is passed on in parts, which the batch service counts.
	if err := ingress.Keep(ctx.Request().Context(), 0); err != nil {
		refuseBody(ctx, err)
		return
	}
	reader, err := ctx.Request().MultipartReader()
	if err != nil {
		refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "a multipart form is expected", 0)
		return
	}
	purpose := ""
	for {
		part, err := reader.NextPart()
		if errors.Is(err, io.EOF) {
			refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "the form has no file", 0)
			return
		}
		if err != nil {
			refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "the form is broken", 0)
			return
		}
		switch part.FormName() {
		case "purpose":
			value, _ := io.ReadAll(io.LimitReader(part, maxListed))
			purpose = string(value)
		case "file":
			s.storeFile(ctx, part, purpose)
			return
		}
	}
}

func (s *Server) storeFile(ctx iris.Context, part *multipart.Part, purpose string) {
	record, err := s.options.Batch.Upload(ctx.Request().Context(), callingTenant(ctx).name, part.FileName(), part)
	if err != nil {
		failBatch(ctx, err)
		return
	}
	if purpose == "" {
		purpose = "batch"
	}
	_ = ctx.JSON(fileObject(record, purpose))
}

func fileObject(record *batch.FileRecord, purpose string) openai.File {
	return openai.File{
		ID: record.ID, Object: "file", Bytes: record.Bytes, CreatedAt: record.CreatedAt.Unix(),
		Filename: record.Name, Purpose: purpose,
	}
}

func (s *Server) getFile(ctx iris.Context) {
	id := ctx.Params().Get("id")
	if strings.HasPrefix(id, "file-out-") || strings.HasPrefix(id, "file-err-") {
		_ = ctx.JSON(openai.File{ID: id, Object: "file", Filename: id + ".jsonl", Purpose: "batch_output"})
		return
	}
	record, err := s.options.Batch.File(ctx.Request().Context(), callingTenant(ctx).name, id)
	if err != nil {
		failBatch(ctx, err)
		return
	}
	_ = ctx.JSON(fileObject(record, "batch"))
}

// fileContent streams a file. An error after the first byte aborts the connection, so that the
// caller does not mistake a truncated response for a complete one.
func (s *Server) fileContent(ctx iris.Context) {
	output := &countingWriter{writer: ctx.ResponseWriter()}
	ctx.ContentType("application/jsonl")
	err := s.options.Batch.Content(ctx.Request().Context(), callingTenant(ctx).name, ctx.Params().Get("id"), output)
	if err == nil {
		return
	}
	if output.written > 0 {
		panic(http.ErrAbortHandler)
	}
	failBatch(ctx, err)
}

// countingWriter counts the bytes written to writer.
type countingWriter struct {
	writer  io.Writer
	written int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(body []byte) (int, error) {
	n, err := w.writer.Write(body)
	w.written += int64(n)
	return n, err
}

func (s *Server) createBatch(ctx iris.Context) {
	if !s.serving() {
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeOverloaded, "this node takes no new work", notServingRetryAfter)
		return
	}
	var request openai.BatchRequest
	body, err := ingress.ReadBody(ctx.ResponseWriter(), ctx.Request(), maxBodyBytes)
	if err != nil {
		refuseBody(ctx, err)
		return
	}
	if err := json.Unmarshal(body, &request); err != nil {
		refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "the body is not valid JSON: "+err.Error(), 0)
		return
	}
	window, err := parseWindow(request.CompletionWindow)
	if err != nil || request.InputFileID == "" {
		refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "input_file_id must be set and completion_window be a time like 24h", 0)
		return
	}
	job, err := s.options.Batch.Submit(ctx.Request().Context(), batch.Submission{
		Tenant: callingTenant(ctx).name, Request: request, Completion: window,
		Key: ctx.GetHeader(HeaderIdempotencyKey),
	})
	if err != nil {
		failBatch(ctx, err)
		return
	}
	_ = ctx.JSON(job.API())
}

func parseWindow(text string) (time.Duration, error) {
	if text == "" {
		return batch.DefaultWindow, nil
	}
	return time.ParseDuration(text)
}

func (s *Server) getBatch(ctx iris.Context) {
	job, err := s.options.Batch.Job(ctx.Request().Context(), callingTenant(ctx).name, ctx.Params().Get("id"))
	if err != nil {
		failBatch(ctx, err)
		return
	}
	_ = ctx.JSON(job.API())
}

func (s *Server) listBatches(ctx iris.Context) {
	limit := ctx.URLParamIntDefault("limit", maxListed)
	jobs, err := s.options.Batch.Jobs(ctx.Request().Context(), callingTenant(ctx).name, min(max(limit, 1), maxListed))
	if err != nil {
		failBatch(ctx, err)
		return
	}
	listing := openai.Listing[*openai.Batch]{Object: "list", Data: []*openai.Batch{}}
	for _, job := range jobs {
		listing.Data = append(listing.Data, job.API())
	}
	_ = ctx.JSON(listing)
}

func (s *Server) cancelBatch(ctx iris.Context) {
	job, err := s.options.Batch.Cancel(ctx.Request().Context(), callingTenant(ctx).name, ctx.Params().Get("id"))
	if err != nil {
		failBatch(ctx, err)
		return
	}
	_ = ctx.JSON(job.API())
}

func (s *Server) listModels(ctx iris.Context) {
	listing := openai.Listing[openai.Model]{Object: "list", Data: []openai.Model{}}
	for _, entry := range s.options.Store.Snapshot().List(v1.KindModelPool) {
		spec, ok := entry.Spec.(*v1.ModelPoolSpec)
		if !ok {
			continue
		}
		listing.Data = append(listing.Data, openai.Model{ID: spec.Model, Object: "model", OwnedBy: entry.Change.Name})
		for _, adapter := range spec.Adapters {
			listing.Data = append(listing.Data, openai.Model{ID: spec.Model + ":" + adapter, Object: "model", OwnedBy: entry.Change.Name})
		}
	}
	_ = ctx.JSON(listing)
}
