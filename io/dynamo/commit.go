package dynamo

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"azurering/core"
	"azurering/core/codes"
)

// Commit implements core.Table. A commit that could never be applied (too
// many writes or bytes, one row twice, an empty key, an unknown kind) gets Internal
// and is not sent. A commit without writes is not sent either.
func (t *Table) Commit(ctx context.Context, writes []core.Write) error {
	items, err := transactItems(t.name, writes)
	if err != nil {
		return err
	}
	if len(items) == 0 {
		return nil
	}
	ctx, cancel, connected := t.begin(ctx)
	defer cancel()
	_, err = t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	if err != nil {
		err = commitError(err, connected())
	}
	t.count(OpCommit, len(writes), codes.Of(err))
	return err
}

func transactItems(table string, writes []core.Write) ([]types.TransactWriteItem, error) {
	if len(writes) > core.MaxCommitWrites {
		return nil, codes.New(codes.Internal, "dynamo: commit of %d writes; the limit is %d", len(writes), core.MaxCommitWrites)
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
			return nil, codes.New(codes.Internal, "dynamo: commit names row %s/%s twice or without a key", w.Space, w.Key)
		}
		seen[k] = true
		size += w.Size()
		if w.Size() > core.MaxRowBytes || size > core.MaxCommitBytes {
			return nil, codes.New(codes.Internal, "dynamo: row %s/%s makes the commit too large", w.Space, w.Key)
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
	c := conditionOf(w)
	switch w.Kind {
	case core.WritePut:
		return types.TransactWriteItem{Put: &types.Put{
			TableName: aws.String(table), Item: itemOf(w),
			ConditionExpression: c.text, ExpressionAttributeNames: c.names, ExpressionAttributeValues: c.values,
		}}, nil
	case core.WriteDelete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: aws.String(table), Key: itemKey(w.Space, w.Key),
			ConditionExpression: c.text, ExpressionAttributeNames: c.names, ExpressionAttributeValues: c.values,
		}}, nil
	case core.WriteCheck:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: aws.String(table), Key: itemKey(w.Space, w.Key),
			ConditionExpression: c.text, ExpressionAttributeNames: c.names, ExpressionAttributeValues: c.values,
		}}, nil
	default:
		return types.TransactWriteItem{}, codes.New(codes.Internal, "dynamo: unknown kind of write %q", w.Kind)
	}
}

type condition struct {
	text   *string
	names  map[string]string
	values item
}

// conditionOf returns the condition of a write. An absent row has no token,
// so a token expected with version zero never matches.
func conditionOf(w core.Write) condition {
	expr := "#v = :v"
	c := condition{names: map[string]string{"#v": attrVersion}, values: item{":v": number(w.ExpectVersion)}}
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
		c.values[":t"] = text(w.ExpectToken)
	}
	c.text = aws.String(expr)
	return c
}
