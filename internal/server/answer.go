package server

import (
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/batch"
	"github.com/wheelhoist/wheelhoist/internal/findings"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/resource"
)

// storeRetryAfter is the Retry-After of requests refused because the store is unavailable.
const storeRetryAfter = 2 * time.Second

// fail writes an error response in the format of the OpenAI API.
func fail(ctx iris.Context, status int, kind openai.ErrorType, message string) {
	failWithDetail(ctx, status, openai.ErrorDetail{Message: message, Type: kind})
}

func failWithDetail(ctx iris.Context, status int, detail openai.ErrorDetail) {
	ctx.StatusCode(status)
	_ = ctx.JSON(openai.ErrorAnswer{Error: detail})
}

// refuse writes the error response of a request that did not run. A retryAfter of 0 sends no
// Retry-After header.
func refuse(ctx iris.Context, status int, kind openai.ErrorType, message string, retryAfter time.Duration) {
	ctx.Header(HeaderExecuted, outcome.NotDone.String())
	if retryAfter > 0 {
		ctx.Header("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	fail(ctx, status, kind, message)
}

// failFindings writes an error response that lists all findings about an input.
func failFindings(ctx iris.Context, found []findings.Finding) {
	list := &findings.Error{Findings: found}
	ctx.StatusCode(iris.StatusBadRequest)
	_ = ctx.JSON(struct {
		openai.ErrorAnswer
		Findings []findings.Finding `json:"findings"`
	}{
		openai.ErrorAnswer{Error: openai.ErrorDetail{Message: list.Error(), Type: openai.TypeInvalidRequest}},
		found,
	})
}

// failBatch writes the response for an error of the batch service.
func failBatch(ctx iris.Context, err error) {
	switch {
	case errors.Is(err, batch.ErrNotFound):
		refuse(ctx, iris.StatusNotFound, openai.TypeNotFound, "no such file or batch", 0)
	case errors.Is(err, batch.ErrUnknownOutcome):
		ctx.Header(HeaderExecuted, outcome.Unknown.String())
		fail(ctx, iris.StatusServiceUnavailable, openai.TypeServer, err.Error())
	default:
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeServer, err.Error(), storeRetryAfter)
	}
}

// failResource writes the response for an error of a configuration write.
func failResource(ctx iris.Context, err error) {
	switch {
	case errors.Is(err, resource.ErrVersionMismatch):
		refuse(ctx, iris.StatusPreconditionFailed, openai.TypeConflict, err.Error(), 0)
	case errors.Is(err, resource.ErrNotFound):
		refuse(ctx, iris.StatusNotFound, openai.TypeNotFound, "no such resource", 0)
	case errors.Is(err, resource.ErrUnknownOutcome):
		ctx.Header(HeaderExecuted, outcome.Unknown.String())
		fail(ctx, iris.StatusServiceUnavailable, openai.TypeServer, err.Error())
	default:
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeServer, err.Error(), storeRetryAfter)
	}
}
