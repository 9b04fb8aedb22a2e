package tablestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/pomelowheel/pomelowheel/internal/responsecheck"
)

const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrVersion   = "version"
	attrValue     = "value"

	maxIdleConnections = 32

	// requestTokenLength is the length of a client request token, in characters. The protocol allows no more.
	requestTokenLength = 36
	// MaxOps is the largest number of ops that the protocol allows in one write.
	MaxOps = 100

	conditionAbsent  = "attribute_not_exists(pk)"
	conditionVersion = "#version = :version"
)

// errWriteIDReused reports that a write ID was already used for a write with other ops.
var errWriteIDReused = errors.New("write ID was used for another write")

// DynamoDBOptions configures a DynamoDB store.
type DynamoDBOptions struct {
	Endpoint        string // URL of the table service
	Region          string
	Table           string
	Timeout         time.Duration // of one call; 1 s if zero
	AccessKeyID     string        // used with SecretAccessKey; requests are not signed if empty
	SecretAccessKey string
	Client          *http.Client // if nil, a client with the settings of http.DefaultTransport
}

// DynamoDB is a Store that uses the DynamoDB JSON protocol. The items of the table have the string keys pk
// and sk, the number attribute version and the binary attribute value.
type DynamoDB struct {
	client  *dynamodb.Client
	table   string
	timeout time.Duration
}

// NewDynamoDB returns a DynamoDB store. It opens no connection before the first call.
func NewDynamoDB(opts DynamoDBOptions) *DynamoDB {
	if opts.Timeout <= 0 {
		opts.Timeout = time.Second
	}
	if opts.Client == nil {
		t := http.DefaultTransport.(*http.Transport).Clone()
		t.MaxIdleConnsPerHost = maxIdleConnections
		opts.Client = &http.Client{Transport: responsecheck.NewTransport(t)}
	}
	client := *opts.Client
	if client.Transport == nil {
		client.Transport = http.DefaultTransport
	}
	client.Transport = bufferingTransport{client.Transport}
	o := dynamodb.Options{
		BaseEndpoint: aws.String(opts.Endpoint),
		Region:       opts.Region,
		HTTPClient:   &client,
		Retryer:      aws.NopRetryer{},
		Credentials:  aws.AnonymousCredentials{},
	}
	if opts.AccessKeyID != "" {
		o.Credentials = credentials.NewStaticCredentialsProvider(opts.AccessKeyID, opts.SecretAccessKey, "")
	}
	return &DynamoDB{client: dynamodb.New(o), table: opts.Table, timeout: opts.Timeout}
}

// callContext returns the context of one call, its cancel function, and a function that reports whether the call
// got a connection. Once it has one, the request may have reached the service.
func (d *DynamoDB) callContext(ctx context.Context) (context.Context, context.CancelFunc, func() bool) {
	var sent atomic.Bool
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), cancel, sent.Load
}

func keyAttributes(k Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartition: &types.AttributeValueMemberS{Value: k.Partition},
		attrSort:      &types.AttributeValueMemberS{Value: k.Sort},
	}
}

func versionAttribute(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

// Get implements Store.
func (d *DynamoDB) Get(ctx context.Context, key Key) (Row, error) {
	ctx, cancel, _ := d.callContext(ctx)
	defer cancel()
	out, err := d.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: &d.table, Key: keyAttributes(key), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, fmt.Errorf("get %s: %w: %w", key, ErrUnavailable, err)
	}
	if len(out.Item) == 0 {
		return Row{}, fmt.Errorf("get %s: %w", key, ErrNotFound)
	}
	return decodeRow(out.Item)
}

func decodeRow(item map[string]types.AttributeValue) (Row, error) {
	partition, hasPartition := item[attrPartition].(*types.AttributeValueMemberS)
	sort, hasSort := item[attrSort].(*types.AttributeValueMemberS)
	version, hasVersion := item[attrVersion].(*types.AttributeValueMemberN)
	if !hasPartition || !hasSort || !hasVersion {
		return Row{}, errors.New("decode row: pk, sk or version is missing or of the wrong type")
	}
	n, err := strconv.ParseInt(version.Value, 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("decode row version: %w", err)
	}
	row := Row{Key: Key{partition.Value, sort.Value}, Version: n}
	if value, ok := item[attrValue].(*types.AttributeValueMemberB); ok {
		row.Value = value.Value
	}
	return row, nil
}

// Query implements Store. It reads as many pages as needed, each of them as a call with its own time-out.
func (d *DynamoDB) Query(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	in := &dynamodb.QueryInput{
		TableName:              &d.table,
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String("pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk": &types.AttributeValueMemberS{Value: partition},
		},
	}
	if after != "" {
		in.KeyConditionExpression = aws.String("pk = :pk AND sk > :after")
		in.ExpressionAttributeValues[":after"] = &types.AttributeValueMemberS{Value: after}
	}
	var rows []Row
	for len(rows) < limit {
		in.Limit = aws.Int32(int32(limit - len(rows)))
		out, err := d.queryPage(ctx, in)
		if err != nil {
			return nil, fmt.Errorf("query %s: %w: %w", partition, ErrUnavailable, err)
		}
		for _, item := range out.Items {
			row, err := decodeRow(item)
			if err != nil {
				return nil, fmt.Errorf("query %s: %w", partition, err)
			}
			rows = append(rows, row)
		}
		if len(out.LastEvaluatedKey) == 0 {
			break
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
	return rows, nil
}

func (d *DynamoDB) queryPage(ctx context.Context, in *dynamodb.QueryInput) (*dynamodb.QueryOutput, error) {
	ctx, cancel, _ := d.callContext(ctx)
	defer cancel()
	return d.client.Query(ctx, in)
}

// Write implements Store.
func (d *DynamoDB) Write(ctx context.Context, writeID string, ops ...Op) error {
	if len(ops) > MaxOps {
		return fmt.Errorf("write %s: %d ops exceed the limit of %d", writeID, len(ops), MaxOps)
	}
	in := &dynamodb.TransactWriteItemsInput{ClientRequestToken: aws.String(requestToken(writeID))}
	for _, op := range ops {
		in.TransactItems = append(in.TransactItems, d.transactItem(op))
	}
	ctx, cancel, sent := d.callContext(ctx)
	defer cancel()
	if _, err := d.client.TransactWriteItems(ctx, in); err != nil {
		return fmt.Errorf("write %s: %w", writeID, writeError(err, ops, sent()))
	}
	return nil
}

func requestToken(writeID string) string {
	sum := sha256.Sum256([]byte(writeID))
	return hex.EncodeToString(sum[:])[:requestTokenLength]
}

func (d *DynamoDB) transactItem(op Op) types.TransactWriteItem {
	var condition *string
	var names map[string]string
	var values map[string]types.AttributeValue
	switch op.IfVersion {
	case Any:
	case Absent:
		condition = aws.String(conditionAbsent)
	default:
		condition = aws.String(conditionVersion)
		names = map[string]string{"#version": attrVersion}
		values = map[string]types.AttributeValue{":version": versionAttribute(op.IfVersion)}
	}
	switch {
	case op.Check:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: &d.table, Key: keyAttributes(op.Key), ConditionExpression: condition,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}
	case op.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &d.table, Key: keyAttributes(op.Key), ConditionExpression: condition,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}
	}
	item := keyAttributes(op.Key)
	item[attrVersion] = versionAttribute(nextVersion(op))
	item[attrValue] = &types.AttributeValueMemberB{Value: op.Value}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: &d.table, Item: item, ConditionExpression: condition,
		ExpressionAttributeNames: names, ExpressionAttributeValues: values,
	}}
}

// writeError maps the error of a write to one of the errors of Store.Write. sent reports whether the call got a
// connection: if it did and the service gave no definite answer, the outcome is unknown.
func writeError(err error, ops []Op, sent bool) error {
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return transactionCancelledError(cancelled, ops)
	}
	var mismatch *types.IdempotentParameterMismatchException
	if errors.As(err, &mismatch) {
		return fmt.Errorf("%w: %w", errWriteIDReused, err)
	}
	var inProgress *types.TransactionInProgressException
	if !sent {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var response *smithyhttp.ResponseError
	var api smithy.APIError
	if errors.As(err, &response) && !errors.As(err, &inProgress) {
		switch status := response.HTTPStatusCode(); {
		case status == http.StatusServiceUnavailable:
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		case status >= 400 && status < 500 && errors.As(err, &api):
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

func transactionCancelledError(err *types.TransactionCanceledException, ops []Op) error {
	var failed []Key
	for i, reason := range err.CancellationReasons {
		if aws.ToString(reason.Code) == "ConditionalCheckFailed" && i < len(ops) {
			failed = append(failed, ops[i].Key)
		}
	}
	if len(failed) > 0 {
		return &PreconditionError{Keys: failed}
	}
	// Nothing was written, because of a conflict with another transaction or throttling.
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
