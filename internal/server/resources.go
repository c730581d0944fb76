package server

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/wheelhoist/wheelhoist/api/openai"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/ingress"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/resource"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// maxResourceBytes is the maximum size of a resource in a request.
	maxResourceBytes = 256 << 10
	// watchHeartbeat is how long a watch without changes waits before it checks for a drain.
	watchHeartbeat = 10 * time.Second
)

func (s *Server) nodeStatus(ctx iris.Context) { _ = ctx.JSON(s.options.Status()) }

func (s *Server) drain(ctx iris.Context) {
	s.options.Drain()
	ctx.StatusCode(iris.StatusAccepted)
}

// requireCurrent reports whether this node's view of the configuration is current, and refuses the
// request if not, because the node would return outdated resources.
func (s *Server) requireCurrent(ctx iris.Context) bool {
	if s.options.Current() {
		return true
	}
	refuse(ctx, iris.StatusServiceUnavailable, openai.TypeOverloaded, "this node is out of step", notServingRetryAfter)
	return false
}

// kindParam returns the kind in the path. For an unknown kind it refuses the request with 404.
func kindParam(ctx iris.Context) (v1.Kind, bool) {
	kind := v1.Kind(ctx.Params().Get("kind"))
	if !kind.Known() {
		refuse(ctx, iris.StatusNotFound, openai.TypeNotFound, "no such kind", 0)
		return "", false
	}
	return kind, true
}

func (s *Server) listResources(ctx iris.Context) {
	kind, ok := kindParam(ctx)
	if !ok {
		return
	}
	if kind == v1.KindBatchJob {
		s.listBatchJobs(ctx)
		return
	}
	if !s.requireCurrent(ctx) {
		return
	}
	snapshot := s.options.Store.Snapshot()
	list := v1.List{APIVersion: v1.APIVersion, ResourceVersion: snapshot.Revision, Items: []v1.Resource{}}
	for _, entry := range snapshot.List(kind) {
		list.Items = append(list.Items, *entry.Resource())
	}
	_ = ctx.JSON(list)
}

func (s *Server) getResource(ctx iris.Context) {
	kind, ok := kindParam(ctx)
	if !ok {
		return
	}
	if kind == v1.KindBatchJob {
		s.getBatchJob(ctx)
		return
	}
	if !s.requireCurrent(ctx) {
		return
	}
	entry, ok := s.options.Store.Snapshot().Get(kind, ctx.Params().Get("name"))
	if !ok {
		refuse(ctx, iris.StatusNotFound, openai.TypeNotFound, "no such resource", 0)
		return
	}
	found := entry.Resource()
	status := s.options.Resources.Status(entry.Change.Revision)
	if !status.Accepted() {
		s.options.Resources.Refresh(ctx.Request().Context())
		status = s.options.Resources.Status(entry.Change.Revision)
	}
	found.Status = &status
	ctx.Header("ETag", strconv.FormatUint(entry.Change.Revision, 10))
	_ = ctx.JSON(found)
}

// precondition returns the precondition of a write: If-None-Match: *, else If-Match, else the version
// in the body. It refuses the request if If-Match is not a version.
func precondition(ctx iris.Context, bodyVersion uint64) (resource.Precondition, bool) {
	if ctx.GetHeader("If-None-Match") == "*" {
		return resource.Precondition{Set: true}, true
	}
	text := strings.Trim(ctx.GetHeader("If-Match"), `"`)
	if text == "" {
		return resource.Precondition{Set: bodyVersion != 0, Version: bodyVersion}, true
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "If-Match must be a resource version", 0)
		return resource.Precondition{}, false
	}
	return resource.Precondition{Set: true, Version: version}, true
}

func (s *Server) putResource(ctx iris.Context) {
	kind, ok := kindParam(ctx)
	if !ok {
		return
	}
	body, err := ingress.ReadBody(ctx.ResponseWriter(), ctx.Request(), maxResourceBytes)
	if err != nil {
		refuseBody(ctx, err)
		return
	}
	var declared v1.Resource
	if err := json.Unmarshal(body, &declared); err != nil {
		refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "the body is not valid JSON: "+err.Error(), 0)
		return
	}
	declared.Kind = kind
	declared.Metadata.Name = ctx.Params().Get("name")
	spec, found := declared.Validate()
	if len(found) > 0 {
		ctx.Header(HeaderExecuted, outcome.NotDone.String())
		failFindings(ctx, found)
		return
	}
	if job, ok := spec.(*v1.BatchJobSpec); ok {
		s.putBatchJob(ctx, &declared, job)
		return
	}
	if tenant, ok := spec.(*v1.TenantSpec); ok {
		tenant.Seal()
	}
	if declared.Spec, err = json.Marshal(spec); err != nil {
		refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, err.Error(), 0)
		return
	}
	condition, ok := precondition(ctx, declared.Metadata.ResourceVersion)
	if !ok {
		return
	}
	s.write(ctx, resource.NewChange(table.NewOperation(), &declared), condition)
}

func (s *Server) deleteResource(ctx iris.Context) {
	kind, ok := kindParam(ctx)
	if !ok {
		return
	}
	name := ctx.Params().Get("name")
	if kind == v1.KindBatchJob {
		s.deleteBatchJob(ctx, name)
		return
	}
	condition, ok := precondition(ctx, 0)
	if !ok {
		return
	}
	change := resource.Change{Operation: table.NewOperation(), Kind: kind, Name: name, Deleted: true}
	s.write(ctx, change, condition)
}

// write commits a change. The status is 200 if the change is in force on all nodes, 202 if it is
// committed but some nodes have not applied it yet.
func (s *Server) write(ctx iris.Context, change resource.Change, condition resource.Precondition) {
	committed, status, err := s.options.Resources.Write(ctx.Request().Context(), change, condition)
	if err != nil {
		failResource(ctx, err)
		return
	}
	if !status.Accepted() {
		ctx.StatusCode(iris.StatusAccepted)
	}
	written := v1.Resource{
		APIVersion: v1.APIVersion, Kind: committed.Kind, Spec: committed.Spec, Status: &status,
		Metadata: v1.Metadata{Name: committed.Name, ResourceVersion: committed.Revision},
	}
	if committed.Deleted {
		written.Spec = json.RawMessage("{}")
	}
	_ = ctx.JSON(written)
}

// watch streams the changes after a revision as JSON lines. It ends with a TOO_OLD event if changes
// that the watcher has not received were dropped from the history.
func (s *Server) watch(ctx iris.Context) {
	after, err := strconv.ParseUint(ctx.URLParamDefault("resourceVersion", "0"), 10, 64)
	if err != nil {
		refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "resourceVersion must be a number", 0)
		return
	}
	kind := v1.Kind(ctx.URLParam("kind"))
	ctx.ContentType("application/jsonl")
	encoder := json.NewEncoder(ctx.ResponseWriter())
	for {
		changes, applied, changed, err := s.options.Store.Since(after)
		if errors.Is(err, resource.ErrTooOld) {
			_ = encoder.Encode(v1.Event{Type: v1.EventTooOld, ResourceVersion: applied})
			return
		}
		for _, change := range changes {
			if kind != "" && change.Kind != kind {
				continue
			}
			if encoder.Encode(watchEvent(change)) != nil {
				return
			}
		}
		after = applied
		ctx.ResponseWriter().Flush()
		select {
		case <-ctx.Request().Context().Done():
			return
		case <-changed:
		case <-time.After(watchHeartbeat):
			if s.draining.Load() {
				return
			}
		}
	}
}

func watchEvent(change resource.Change) v1.Event {
	event := v1.Event{Type: v1.EventPut, ResourceVersion: change.Revision}
	if change.Deleted {
		event.Type = v1.EventDeleted
	}
	spec := json.RawMessage(change.Spec)
	if len(spec) == 0 {
		spec = json.RawMessage("{}")
	}
	event.Resource = &v1.Resource{
		APIVersion: v1.APIVersion, Kind: change.Kind, Spec: spec,
		Metadata: v1.Metadata{Name: change.Name, ResourceVersion: change.Revision},
	}
	return event
}
