package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/dialer"
	"github.com/wheelhoist/wheelhoist/internal/httphead"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/traffic"
)

// Attempt is one transmission of a request to one engine.
type Attempt struct {
	// ID is unique to this attempt; the engine refuses an ID that it already knows.
	ID string
	// Path is the path of the OpenAI API.
	Path string
	// Body is the caller's JSON body; Encode sets its priority and stream fields.
	Body []byte
}

// Encode appends the priority and stream fields to a caller's JSON object. They come last, so that
// they override fields of the same name.
func Encode(body []byte, priority Priority, stream bool) []byte {
	trimmed := bytes.TrimRight(body, " \t\r\n")
	end := bytes.LastIndexByte(trimmed, '}')
	if end < 0 {
		return body
	}
	encoded := make([]byte, 0, len(trimmed)+40)
	encoded = append(encoded, trimmed[:end]...)
	if len(bytes.TrimSpace(trimmed[:end])) > 1 {
		encoded = append(encoded, ',')
	}
	encoded = append(encoded, `"priority":`...)
	encoded = strconv.AppendInt(encoded, int64(priority), 10)
	encoded = append(encoded, `,"stream":`...)
	encoded = strconv.AppendBool(encoded, stream)
	return append(encoded, '}')
}

// RefusalError is an engine's refusal of a request that did not run.
type RefusalError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("engine answered %d: %s", e.Status, e.Message)
}

// Is makes the error match ErrRefused.
func (e *RefusalError) Is(target error) bool { return target == ErrRefused }

// Temporary reports whether the request may succeed later or at another replica.
func (e *RefusalError) Temporary() bool {
	return e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// controlHTTP is used for load reports, orders and aborts, whose bytes count as control
	// traffic.
	controlHTTP *http.Client
}

const (
	dialTimeout = 500 * time.Millisecond
	// maxIdlePerEngine keeps enough idle connections to serve bursts without dialing.
	maxIdlePerEngine = 64
	controlTimeout   = 2 * time.Second
	// maxHeaderBytes and maxControlBytes bound the header of any answer and the body of one to a control
	// call, in bytes.
	maxHeaderBytes  = 64 << 10
	maxControlBytes = 1 << 20
)

// NewClient returns a client with its own connection pools. counter, which may be nil, counts the
// bytes of control traffic.
func NewClient(counter *traffic.Counter) *Client {
	dial := dialer.ReportResets(dialer.New(dialTimeout).DialContext)
	controlDial := dial
	if counter != nil {
		controlDial = counter.Dial(dial)
	}
	return &Client{
		http:        &http.Client{Transport: newTransport(dial, maxIdlePerEngine)},
		controlHTTP: &http.Client{Transport: newTransport(controlDial, 1)},
	}
}

func newTransport(dial traffic.DialContext, idle int) http.RoundTripper {
	return httphead.Transport{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		WriteBufferSize:     8 << 10,
		ReadBufferSize:      8 << 10,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.controlHTTP.CloseIdleConnections()
}

func (c *Client) send(ctx context.Context, method, address string, body []byte, header http.Header) (*http.Response, error) {
	return sendWith(ctx, c.http, method, address, body, header)
}

func sendWith(ctx context.Context, client *http.Client, method, address string, body []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(outcome.AsNotDone(err))
	}
	// No GetBody: the HTTP client must never send a request twice on its own.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, Error.Wrap(classifySendError(err))
	}
	return response, nil
}

func classifySendError(err error) error {
	var operation *net.OpError
	switch {
	case !errors.As(err, &operation) || operation.Op != "dial":
		return outcome.AsUnknown(fmt.Errorf("%w: %w", ErrBroken, err))
	case operation.Timeout():
		return outcome.AsNotDone(fmt.Errorf("%w: %w: %w", ErrUnreachable, ErrNotAccepted, err))
	default:
		return outcome.AsNotDone(fmt.Errorf("%w: %w", ErrUnreachable, err))
	}
}

// Stream sends a streaming attempt and returns its events.
func (c *Client) Stream(ctx context.Context, base string, attempt Attempt) (*Stream, error) {
	header := http.Header{HeaderRequestID: {attempt.ID}, "Content-Type": {"application/json"}}
	response, err := c.send(ctx, http.MethodPost, base+attempt.Path, attempt.Body, header)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusalError(response)
	}
	return newStream(response), nil
}

// Resume continues the stream of an attempt after the given event. It returns ErrUnknownRequest if
// the engine no longer has the attempt.
func (c *Client) Resume(ctx context.Context, base, id, path string, after int) (*Stream, error) {
	api := "chat"
	if path == openai.PathCompletions {
		api = "completions"
	}
	address := base + "/v1/requests/" + url.PathEscape(id) + "/stream?api=" + api
	header := http.Header{HeaderLastEventID: {strconv.Itoa(after)}}
	response, err := c.send(ctx, http.MethodGet, address, nil, header)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusNotFound {
		drain(response)
		return nil, Error.Wrap(ErrUnknownRequest)
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusalError(response)
	}
	return newStream(response), nil
}

// Abort aborts an attempt and returns its final status.
func (c *Client) Abort(ctx context.Context, base, id string) (RequestStatus, error) {
	var status RequestStatus
	err := c.control(ctx, http.MethodPost, base+"/v1/requests/"+url.PathEscape(id)+"/abort", nil, &status)
	return status, err
}

// Load returns the engine's load report, which lags behind its actual load.
func (c *Client) Load(ctx context.Context, base string) (Load, error) {
	var load Load
	err := c.control(ctx, http.MethodGet, base+"/load", nil, &load)
	return load, err
}

// Order sends a fenced order. It returns ErrStaleFence if the engine has obeyed a newer order.
func (c *Client) Order(ctx context.Context, base string, order Order) error {
	return c.control(ctx, http.MethodPut, base+"/orders", order, nil)
}

// control makes a short call with an optional JSON request and answer.
func (c *Client) control(ctx context.Context, method, address string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body []byte
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return Error.Wrap(err)
		}
		body = encoded
	}
	response, err := sendWith(ctx, c.controlHTTP, method, address, body, nil)
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusConflict {
		drain(response)
		return Error.Wrap(outcome.AsNotDone(ErrStaleFence))
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusalError(response)
	}
	defer drain(response)
	if answer == nil {
		return nil
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(answer))
}

// refusalError returns the error for an answer without success: a RefusalError, or an error with an unknown
// outcome if the answer was cut, or if the engine failed at what it may have begun.
func refusalError(response *http.Response) error {
	const maxRefusalBytes = 4096
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	_ = response.Body.Close()
	if err != nil {
		return Error.Wrap(outcome.AsUnknown(fmt.Errorf("%w: status %d: %w", ErrBroken, response.StatusCode, err)))
	}
	var answer openai.ErrorAnswer
	message := strings.TrimSpace(string(body))
	if json.Unmarshal(body, &answer) == nil && answer.Error.Message != "" {
		message = answer.Error.Message
	}
	if response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusServiceUnavailable {
		return Error.Wrap(outcome.AsUnknown(fmt.Errorf("engine failed with %d: %s", response.StatusCode, message)))
	}
	return Error.Wrap(outcome.AsNotDone(&RefusalError{Status: response.StatusCode, Message: message}))
}

func drain(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
	_ = response.Body.Close()
}
