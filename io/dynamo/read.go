package dynamo

import (
	"context"
	"math"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"azurering/core"
	"azurering/core/codes"
)

// Get implements core.Table. Errors have the code StoreDown or StoreLimit.
func (t *Table) Get(ctx context.Context, space core.Space, key string) (core.Row, error) {
	ctx, cancel, _ := t.withRequestTimeout(ctx)
	defer cancel()
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: aws.String(t.name), Key: itemKey(space, key), ConsistentRead: aws.Bool(true),
	})
	row := core.Row{Space: space, Key: key}
	if err != nil {
		err = readError(err, "get of "+string(space)+"/"+key)
	} else if len(out.Item) > 0 {
		row, err = rowFromItem(out.Item)
	}
	t.onRequest(OpGet, 1, codes.Of(err))
	if err != nil {
		return core.Row{}, err
	}
	return row, nil
}

// List implements core.Table. A limit of zero or less means no limit. It sends
// one request for each page, which DynamoDB limits to 1 MiB of rows; the
// timeout applies to each of them. Errors have the code StoreDown or
// StoreLimit.
func (t *Table) List(ctx context.Context, space core.Space, after string, limit int) ([]core.Row, error) {
	var rows []core.Row
	var startKey map[string]types.AttributeValue
	for {
		remaining := 0
		if limit > 0 {
			remaining = limit - len(rows)
		}
		page, lastKey, err := t.queryPage(ctx, t.queryInput(space, after, remaining, startKey))
		t.onRequest(OpList, len(page), codes.Of(err))
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(lastKey) == 0 || (limit > 0 && len(rows) >= limit) {
			return rows, nil
		}
		startKey = lastKey
	}
}

func (t *Table) queryInput(space core.Space, after string, limit int, startKey map[string]types.AttributeValue) *dynamodb.QueryInput {
	in := &dynamodb.QueryInput{
		TableName:                 aws.String(t.name),
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("#s = :s"),
		ExpressionAttributeNames:  map[string]string{"#s": attrSpace},
		ExpressionAttributeValues: map[string]types.AttributeValue{":s": stringAttr(string(space))},
		ExclusiveStartKey:         startKey,
	}
	// DynamoDB rejects a comparison with an empty key. No row has an empty
	// sort key, so an empty after needs no condition.
	if after != "" {
		in.KeyConditionExpression = aws.String("#s = :s AND #k > :k")
		in.ExpressionAttributeNames["#k"] = attrKey
		in.ExpressionAttributeValues[":k"] = stringAttr(after)
	}
	if limit > 0 {
		in.Limit = aws.Int32(int32(min(limit, math.MaxInt32)))
	}
	return in
}

func (t *Table) queryPage(ctx context.Context, in *dynamodb.QueryInput) ([]core.Row, map[string]types.AttributeValue, error) {
	ctx, cancel, _ := t.withRequestTimeout(ctx)
	defer cancel()
	out, err := t.client.Query(ctx, in)
	if err != nil {
		return nil, nil, readError(err, "list")
	}
	rows := make([]core.Row, 0, len(out.Items))
	for _, item := range out.Items {
		row, err := rowFromItem(item)
		if err != nil {
			return nil, nil, err
		}
		rows = append(rows, row)
	}
	return rows, out.LastEvaluatedKey, nil
}
