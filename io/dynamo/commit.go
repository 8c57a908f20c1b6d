package dynamo

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"azurering/core"
	"azurering/core/codes"
)

// Commit implements core.Table. A commit that can never succeed (too many
// writes or bytes, a row that occurs twice, an empty space or key, an unknown
// kind of write) is not sent and fails with Internal. A commit without writes
// is not sent either and succeeds.
func (t *Table) Commit(ctx context.Context, writes []core.Write) error {
	items, err := transactItems(t.name, writes)
	if err != nil {
		return err
	}
	if len(items) == 0 {
		return nil
	}
	ctx, cancel, connected := t.withRequestTimeout(ctx)
	defer cancel()
	_, err = t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	if err != nil {
		err = commitError(err, connected())
	}
	t.onRequest(OpCommit, len(writes), codes.Of(err))
	return err
}

func transactItems(table string, writes []core.Write) ([]types.TransactWriteItem, error) {
	if len(writes) > core.MaxCommitWrites {
		return nil, codes.New(codes.Internal, "dynamo: commit has %d writes; the limit is %d", len(writes), core.MaxCommitWrites)
	}
	type rowKey struct {
		space core.Space
		key   string
	}
	seen := make(map[rowKey]bool, len(writes))
	items := make([]types.TransactWriteItem, 0, len(writes))
	size := 0
	for _, w := range writes {
		k := rowKey{w.Space, w.Key}
		if w.Space == "" || w.Key == "" || seen[k] {
			return nil, codes.New(codes.Internal, "dynamo: row %s/%s occurs twice in the commit or has an empty space or key", w.Space, w.Key)
		}
		seen[k] = true
		size += w.Size()
		if w.Size() > core.MaxRowBytes || size > core.MaxCommitBytes {
			return nil, codes.New(codes.Internal, "dynamo: row %s/%s or the commit up to this row exceeds the size limit", w.Space, w.Key)
		}
		i, err := transactItem(table, w)
		if err != nil {
			return nil, err
		}
		items = append(items, i)
	}
	return items, nil
}

func transactItem(table string, w core.Write) (types.TransactWriteItem, error) {
	c := writeCondition(w)
	switch w.Kind {
	case core.WritePut:
		return types.TransactWriteItem{Put: &types.Put{
			TableName: aws.String(table), Item: newItem(w),
			ConditionExpression: c.expression, ExpressionAttributeNames: c.names, ExpressionAttributeValues: c.values,
		}}, nil
	case core.WriteDelete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: aws.String(table), Key: itemKey(w.Space, w.Key),
			ConditionExpression: c.expression, ExpressionAttributeNames: c.names, ExpressionAttributeValues: c.values,
		}}, nil
	case core.WriteCheck:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: aws.String(table), Key: itemKey(w.Space, w.Key),
			ConditionExpression: c.expression, ExpressionAttributeNames: c.names, ExpressionAttributeValues: c.values,
		}}, nil
	default:
		return types.TransactWriteItem{}, codes.New(codes.Internal, "dynamo: unknown write kind %q", w.Kind)
	}
}

type condition struct {
	expression *string
	names      map[string]string
	values     item
}

// writeCondition returns the condition under which a write applies. Version
// zero expects that the row doesn't exist. A missing row has no token, so
// version zero together with an expected token never holds.
func writeCondition(w core.Write) condition {
	expr := "#v = :v"
	c := condition{names: map[string]string{"#v": attrVersion}, values: item{":v": numberAttr(w.ExpectVersion)}}
	if w.ExpectVersion == 0 {
		expr = "attribute_not_exists(#v)"
		c.values = nil
	}
	if w.ExpectToken != "" {
		expr += " AND #t = :t"
		c.names["#t"] = attrToken
		if c.values == nil {
			c.values = item{}
		}
		c.values[":t"] = stringAttr(w.ExpectToken)
	}
	c.expression = aws.String(expr)
	return c
}
