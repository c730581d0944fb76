// Package client provides a client of the resource API and of the parts of the OpenAI API that the
// command line uses.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"net/url"
	"strconv"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/api/openai"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("client")

// StatusError is an error response of the server.
type StatusError struct {
	Status int
	// Executed is the X-Wheelhoist-Executed header, which says whether the request ran: yes, no,
	// unknown or empty.
	Executed string
	Message  string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Message) }

// ErrTooOld reports that a watch requested changes that the server no longer stores.
var ErrTooOld = errors.New("resource version too old, list again")

// Client calls the API of one node.
type Client struct {
	// Base is the node's base URL.
	Base string
	// Key is the key of the operators or of a tenant.
	Key  string
	HTTP *http.Client
}

// New returns a client of the node at a base URL that uses http.DefaultClient.
func New(base, key string) *Client { return &Client{Base: base, Key: key, HTTP: http.DefaultClient} }

// do sends a request. A status of 300 or more becomes a *StatusError. The caller closes the body of
// the response.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, Error.Wrap(statusError(response))
	}
	return response, nil
}

func statusError(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	const maxBody = 64 << 10
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxBody))
	var answer openai.ErrorAnswer
	message := string(bytes.TrimSpace(body))
	if json.Unmarshal(body, &answer) == nil && answer.Error.Message != "" {
		message = answer.Error.Message
	}
	return &StatusError{
		Status: response.StatusCode, Executed: response.Header.Get("X-Wheelhoist-Executed"), Message: message,
	}
}

// call sends request as JSON, unless it is nil, and decodes the response into answer, unless it is
// nil.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, request, answer any) error {
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return Error.Wrap(err)
		}
		body = bytes.NewReader(encoded)
		if header == nil {
			header = http.Header{}
		}
		header.Set("Content-Type", "application/json")
	}
	response, err := c.do(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if answer == nil {
		return nil
	}
	return Error.Wrap(json.NewDecoder(response.Body).Decode(answer))
}

const apiPath = "/apis/wheelhoist/v1/"

func resourcePath(kind v1.Kind, name string) string {
	return apiPath + string(kind) + "/" + url.PathEscape(name)
}

// Put creates or replaces a resource. ifMatch, unless nil, is the version that the resource must have;
// 0 means that it must not exist.
func (c *Client) Put(ctx context.Context, resource *v1.Resource, ifMatch *uint64) (*v1.Resource, error) {
	header := http.Header{}
	if ifMatch != nil {
		header.Set("If-Match", strconv.FormatUint(*ifMatch, 10))
	}
	answer := &v1.Resource{}
	err := c.call(ctx, http.MethodPut, resourcePath(resource.Kind, resource.Metadata.Name), header, resource, answer)
	return answer, err
}

// Get returns a resource with its status.
func (c *Client) Get(ctx context.Context, kind v1.Kind, name string) (*v1.Resource, error) {
	answer := &v1.Resource{}
	err := c.call(ctx, http.MethodGet, resourcePath(kind, name), nil, nil, answer)
	return answer, err
}

// List returns all resources of a kind.
func (c *Client) List(ctx context.Context, kind v1.Kind) (*v1.List, error) {
	answer := &v1.List{}
	err := c.call(ctx, http.MethodGet, apiPath+string(kind), nil, nil, answer)
	return answer, err
}

// Delete deletes a resource. A batch job is cancelled instead.
func (c *Client) Delete(ctx context.Context, kind v1.Kind, name string) (*v1.Resource, error) {
	answer := &v1.Resource{}
	err := c.call(ctx, http.MethodDelete, resourcePath(kind, name), nil, nil, answer)
	return answer, err
}

// Watch calls handle for each change after a version, until the context is done, handle fails or the
// server ends the watch. An empty kind stands for all kinds.
func (c *Client) Watch(ctx context.Context, kind v1.Kind, after uint64, handle func(v1.Event) error) error {
	query := url.Values{"resourceVersion": {strconv.FormatUint(after, 10)}}
	if kind != "" {
		query.Set("kind", string(kind))
	}
	response, err := c.do(ctx, http.MethodGet, apiPath+"watch?"+query.Encode(), nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(bufio.NewReader(response.Body))
	for {
		var event v1.Event
		if err := decoder.Decode(&event); err != nil {
			return Error.Wrap(err)
		}
		if event.Type == v1.EventTooOld {
			return Error.Wrap(ErrTooOld)
		}
		if err := handle(event); err != nil {
			return err
		}
	}
}

// Status returns the status of the node as JSON.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var answer json.RawMessage
	err := c.call(ctx, http.MethodGet, apiPath+"status", nil, nil, &answer)
	return answer, err
}

// Drain starts a planned shutdown of the node.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, apiPath+"drain", nil, nil, nil)
}

const quarantinePath = apiPath + "quarantine"

// Suspects returns the work that the node suspects of crashing replicas, quarantined work included.
func (c *Client) Suspects(ctx context.Context) (*v1.SuspectList, error) {
	answer := &v1.SuspectList{}
	return answer, c.call(ctx, http.MethodGet, quarantinePath, nil, nil, answer)
}

// Suspect returns what the node recorded against the work with an ID.
func (c *Client) Suspect(ctx context.Context, work string) (*v1.Suspect, error) {
	answer := &v1.Suspect{}
	return answer, c.call(ctx, http.MethodGet, quarantinePath+"/"+url.PathEscape(work), nil, nil, answer)
}

// Release clears the recorded crashes of the work with an ID at all nodes, so that it may run again,
// and returns what was recorded.
func (c *Client) Release(ctx context.Context, work string) (*v1.Suspect, error) {
	answer := &v1.Suspect{}
	return answer, c.call(ctx, http.MethodDelete, quarantinePath+"/"+url.PathEscape(work), nil, nil, answer)
}

// Upload uploads an input file for batch jobs.
func (c *Client) Upload(ctx context.Context, name string, content io.Reader) (*openai.File, error) {
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() {
		err := form.WriteField("purpose", "batch")
		if err == nil {
			var part io.Writer
			if part, err = form.CreateFormFile("file", name); err == nil {
				_, err = io.Copy(part, content)
			}
		}
		if err == nil {
			err = form.Close()
		}
		_ = writer.CloseWithError(err)
	}()
	response, err := c.do(ctx, http.MethodPost, openai.PathFiles, http.Header{"Content-Type": {form.FormDataContentType()}}, reader)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	file := &openai.File{}
	return file, Error.Wrap(json.NewDecoder(response.Body).Decode(file))
}

// CreateBatch submits a batch job. key, unless empty, is an idempotency key that identifies the job
// across retries.
func (c *Client) CreateBatch(ctx context.Context, request openai.BatchRequest, key string) (*openai.Batch, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	batch := &openai.Batch{}
	err := c.call(ctx, http.MethodPost, openai.PathBatches, header, request, batch)
	return batch, err
}

// Batch returns a batch job.
func (c *Client) Batch(ctx context.Context, id string) (*openai.Batch, error) {
	batch := &openai.Batch{}
	err := c.call(ctx, http.MethodGet, openai.PathBatches+"/"+url.PathEscape(id), nil, nil, batch)
	return batch, err
}

// Batches returns the tenant's batch jobs, the newest first.
func (c *Client) Batches(ctx context.Context) ([]openai.Batch, error) {
	var listing openai.Listing[openai.Batch]
	err := c.call(ctx, http.MethodGet, openai.PathBatches, nil, nil, &listing)
	return listing.Data, err
}

// CancelBatch cancels a batch job and returns it.
func (c *Client) CancelBatch(ctx context.Context, id string) (*openai.Batch, error) {
	batch := &openai.Batch{}
	err := c.call(ctx, http.MethodPost, openai.PathBatches+"/"+url.PathEscape(id)+"/cancel", nil, nil, batch)
	return batch, err
}

// Content writes the content of a file to output.
func (c *Client) Content(ctx context.Context, id string, output io.Writer) error {
	response, err := c.do(ctx, http.MethodGet, openai.PathFiles+"/"+url.PathEscape(id)+"/content", nil, nil)
	if err != nil {
		return err
	}
	_, copyErr := io.Copy(output, response.Body)
	return Error.Wrap(errors.Join(copyErr, response.Body.Close()))
}
