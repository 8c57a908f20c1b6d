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

// Get implements core.Table.
func (t *Table) Get(ctx context.Context, space core.Space, key string) (core.Row, error) {
	ctx, cancel, _ := t.begin(ctx)
	defer cancel()
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: aws.String(t.name), Key: itemKey(space, key), ConsistentRead: aws.Bool(true),
	})
	row := core.Row{Space: space, Key: key}
	if err != nil {
		err = readError(err, "get of "+string(space)+"/"+key)
	} else if len(out.Item) > 0 {
		row, err = rowOf(out.Item)
	}
	t.count(OpGet, 1, codes.Of(err))
	if err != nil {
		return core.Row{}, err
	}
	return row, nil
}

// List implements core.Table. A limit of zero or less means no limit. It
// needs one request per MiB of rows.
func (t *Table) List(ctx context.Context, space core.Space, after string, limit int) ([]core.Row, error) {
	var rows []core.Row
	var start map[string]types.AttributeValue
	for {
		left := 0
		if limit > 0 {
			left = limit - len(rows)
		}
		page, next, err := t.page(ctx, t.query(space, after, left, start))
		t.count(OpList, len(page), codes.Of(err))
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(next) == 0 || (limit > 0 && len(rows) >= limit) {
			return rows, nil
		}
		start = next
	}
}

func (t *Table) query(space core.Space, after string, limit int, start map[string]types.AttributeValue) *dynamodb.QueryInput {
	in := &dynamodb.QueryInput{
		TableName:                 aws.String(t.name),
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("#s = :s"),
		ExpressionAttributeNames:  map[string]string{"#s": attrSpace},
		ExpressionAttributeValues: map[string]types.AttributeValue{":s": text(string(space))},
		ExclusiveStartKey:         start,
	}
	// A sort key is never empty, and DynamoDB refuses to compare with an
	// empty one.
	if after != "" {
		in.KeyConditionExpression = aws.String("#s = :s AND #k > :k")
		in.ExpressionAttributeNames["#k"] = attrKey
		in.ExpressionAttributeValues[":k"] = text(after)
	}
	if limit > 0 {
		in.Limit = aws.Int32(int32(min(limit, math.MaxInt32)))
	}
	return in
}

func (t *Table) page(ctx context.Context, in *dynamodb.QueryInput) ([]core.Row, map[string]types.AttributeValue, error) {
	ctx, cancel, _ := t.begin(ctx)
	defer cancel()
	out, err := t.client.Query(ctx, in)
	if err != nil {
		return nil, nil, readError(err, "list")
	}
	rows := make([]core.Row, 0, len(out.Items))
	for _, item := range out.Items {
		row, err := rowOf(item)
		if err != nil {
			return nil, nil, err
		}
		rows = append(rows, row)
	}
	return rows, out.LastEvaluatedKey, nil
}
