package table

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
)

// Names of the attributes of a stored row.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeVersion   = "version"
	attributeOperation = "operation"
	attributeBody      = "body"
)

// DynamoConfig configures the adapter to a DynamoDB-compatible service.
type DynamoConfig struct {
	Endpoint  string
	Region    string
	Table     string
	AccessKey string
	SecretKey string
	// HTTPClient may be nil to use the default client.
	HTTPClient *http.Client
}

// Dynamo is a Service that uses the DynamoDB protocol (API version 2012-08-10).
type Dynamo struct {
	client *dynamodb.Client
	table  string
}

var _ Service = (*Dynamo)(nil)

// NewDynamo returns an adapter with the given configuration. The retries of the SDK are disabled,
// because callers have their own retry budgets.
func NewDynamo(config DynamoConfig) *Dynamo {
	options := dynamodb.Options{
		Region:       config.Region,
		BaseEndpoint: aws.String(config.Endpoint),
		Credentials:  credentials.NewStaticCredentialsProvider(config.AccessKey, config.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
	}
	if config.HTTPClient != nil {
		options.HTTPClient = config.HTTPClient
	}
	return &Dynamo{client: dynamodb.New(options), table: config.Table}
}

// Get implements Service.
func (d *Dynamo) Get(ctx context.Context, key Key) (Row, error) {
	output, err := d.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(d.table),
		Key:            keyAttributes(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, classify(err)
	}
	if len(output.Item) == 0 {
		return Row{}, Error.Wrap(ErrNotFound)
	}
	return decodeRow(output.Item), nil
}

// List implements Service. The service limits a response to 1 MB, so List may need several calls.
func (d *Dynamo) List(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	var rows []Row
	for {
		output, err := d.client.Query(ctx, &dynamodb.QueryInput{
			TableName:              aws.String(d.table),
			KeyConditionExpression: aws.String("pk = :partition AND sk > :after"),
			ExpressionAttributeValues: map[string]types.AttributeValue{
				":partition": stringAttribute(partition),
				":after":     stringAttribute(after + "\x00"),
			},
			ConsistentRead: aws.Bool(true),
			Limit:          aws.Int32(int32(limit - len(rows))),
		})
		if err != nil {
			return nil, classify(err)
		}
		for _, item := range output.Items {
			rows = append(rows, decodeRow(item))
		}
		if len(output.LastEvaluatedKey) == 0 || len(output.Items) == 0 || len(rows) >= limit {
			return rows, nil
		}
		after = rows[len(rows)-1].Sort
	}
}

// Commit implements Service.
func (d *Dynamo) Commit(ctx context.Context, operation string, writes ...Write) ([]uint64, error) {
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, write := range writes {
		items = append(items, d.transactItem(operation, write))
	}
	_, err := d.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		TransactItems:      items,
		ClientRequestToken: aws.String(operation),
	})
	if err != nil {
		return nil, classify(err)
	}
	return nextVersions(writes), nil
}

func nextVersions(writes []Write) []uint64 {
	versions := make([]uint64, len(writes))
	for i, write := range writes {
		versions[i] = write.NextVersion()
	}
	return versions
}

func (d *Dynamo) transactItem(operation string, write Write) types.TransactWriteItem {
	condition, values := conditionFor(write.Expect)
	table := aws.String(d.table)
	switch write.Kind {
	case Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: table, Key: keyAttributes(write.Key),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case Check:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: table, Key: keyAttributes(write.Key),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	default:
		item := keyAttributes(write.Key)
		item[attributeVersion] = numberAttribute(write.NextVersion())
		item[attributeOperation] = stringAttribute(operation)
		item[attributeBody] = &types.AttributeValueMemberB{Value: write.Body}
		return types.TransactWriteItem{Put: &types.Put{
			TableName: table, Item: item,
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	}
}

func conditionFor(expect uint64) (*string, map[string]types.AttributeValue) {
	if expect == Absent {
		return aws.String("attribute_not_exists(pk)"), nil
	}
	return aws.String("version = :expect"), map[string]types.AttributeValue{":expect": numberAttribute(expect)}
}

func keyAttributes(key Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: stringAttribute(key.Partition),
		attributeSort:      stringAttribute(key.Sort),
	}
}

func stringAttribute(value string) types.AttributeValue {
	return &types.AttributeValueMemberS{Value: value}
}

func numberAttribute(value uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(value, 10)}
}

// decodeRow converts an item to a row. If an attribute is missing or invalid, the row is returned
// with Unreadable set; the service guarantees that the key attributes exist.
func decodeRow(item map[string]types.AttributeValue) Row {
	var row Row
	var decoder attributeDecoder
	row.Partition = decoder.text(item, attributePartition)
	row.Sort = decoder.text(item, attributeSort)
	row.Operation = decoder.text(item, attributeOperation)
	row.Version = decoder.number(item, attributeVersion)
	if decoder.err != nil {
		row.Unreadable = decoder.err
		return row
	}
	if body, ok := item[attributeBody].(*types.AttributeValueMemberB); ok {
		row.Body = body.Value
	}
	return row
}

// attributeDecoder decodes attributes and records the last error.
type attributeDecoder struct{ err error }

func (d *attributeDecoder) text(item map[string]types.AttributeValue, name string) string {
	value, ok := item[name].(*types.AttributeValueMemberS)
	if !ok {
		d.err = Error.New("row lacks string attribute %q", name)
		return ""
	}
	return value.Value
}

func (d *attributeDecoder) number(item map[string]types.AttributeValue, name string) uint64 {
	value, ok := item[name].(*types.AttributeValueMemberN)
	if !ok {
		d.err = Error.New("row lacks number attribute %q", name)
		return 0
	}
	parsed, err := strconv.ParseUint(value.Value, 10, 64)
	if err != nil {
		d.err = Error.Wrap(err)
	}
	return parsed
}

// validationErrorCode is the error code of a call that is too large or invalid.
const validationErrorCode = "ValidationException"

// classify converts an error of the SDK to an error of this package with an outcome.
func classify(err error) error {
	if err == nil {
		return nil
	}
	var canceled *types.TransactionCanceledException
	var conditional *types.ConditionalCheckFailedException
	var conflict *types.TransactionConflictException
	var throughput *types.ProvisionedThroughputExceededException
	var limit *types.RequestLimitExceeded
	var throttling *types.ThrottlingException
	var api smithy.APIError
	switch {
	case errors.As(err, &canceled), errors.As(err, &conditional), errors.As(err, &conflict):
		return Error.Wrap(outcome.AsNotDone(fmt.Errorf("%w: %w", ErrConflict, err)))
	case errors.As(err, &throughput), errors.As(err, &limit), errors.As(err, &throttling):
		return Error.Wrap(outcome.AsNotDone(fmt.Errorf("%w: %w", ErrThrottled, err)))
	case errors.As(err, &api) && api.ErrorCode() == validationErrorCode:
		return Error.Wrap(outcome.AsNotDone(fmt.Errorf("%w: %w", ErrRejected, err)))
	case isDialError(err):
		return Error.Wrap(outcome.AsNotDone(fmt.Errorf("%w: %w", ErrUnavailable, err)))
	default:
		return Error.Wrap(outcome.AsUnknown(fmt.Errorf("%w: %w", ErrUnavailable, err)))
	}
}

// isDialError reports whether err means that no connection was established, so that the service
// cannot have received any of the request.
func isDialError(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
