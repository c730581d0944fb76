package object

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
)

// S3Config configures the adapter to an S3-compatible store.
type S3Config struct {
	Endpoint  string
	Region    string
	Bucket    string
	AccessKey string
	SecretKey string
	// HTTPClient may be nil to use the default client.
	HTTPClient *http.Client
}

// S3 is a Store that uses the S3 REST protocol with path-style addressing.
type S3 struct {
	client *s3.Client
	bucket string
}

var _ Store = (*S3)(nil)

// NewS3 returns an adapter with the given configuration. The retries of the SDK are disabled, because
// callers have their own retry budgets.
func NewS3(config S3Config) *S3 {
	options := s3.Options{
		Region:                     config.Region,
		BaseEndpoint:               aws.String(config.Endpoint),
		Credentials:                credentials.NewStaticCredentialsProvider(config.AccessKey, config.SecretKey, ""),
		Retryer:                    aws.NopRetryer{},
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	}
	if config.HTTPClient != nil {
		options.HTTPClient = config.HTTPClient
	}
	return &S3{client: s3.New(options), bucket: config.Bucket}
}

// Put implements Store.
func (s *S3) Put(ctx context.Context, key string, body []byte) error {
	_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket:        aws.String(s.bucket),
		Key:           aws.String(key),
		Body:          bytes.NewReader(body),
		ContentLength: aws.Int64(int64(len(body))),
	})
	return classify(err)
}

// Get implements Store.
func (s *S3) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	output, err := s.client.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(s.bucket),
		Key:    aws.String(key),
	})
	if err != nil {
		return nil, classify(err)
	}
	return output.Body, nil
}

// Delete implements Store.
func (s *S3) Delete(ctx context.Context, key string) error {
	_, err := s.client.DeleteObject(ctx, &s3.DeleteObjectInput{
		Bucket: aws.String(s.bucket),
		Key:    aws.String(key),
	})
	return classify(err)
}

func classify(err error) error {
	if err == nil {
		return nil
	}
	var missing *types.NoSuchKey
	var response *awshttp.ResponseError
	switch {
	case errors.As(err, &missing):
		return Error.Wrap(fmt.Errorf("%w: %w", ErrNotFound, err))
	case errors.As(err, &response) && response.HTTPStatusCode() == http.StatusNotFound:
		return Error.Wrap(fmt.Errorf("%w: %w", ErrNotFound, err))
	case errors.As(err, &response) && response.HTTPStatusCode() == http.StatusServiceUnavailable:
		return Error.Wrap(fmt.Errorf("%w: %w", ErrThrottled, err))
	default:
		return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
}
